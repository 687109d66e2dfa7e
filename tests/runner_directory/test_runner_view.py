"""A dispatcher's view of runners: its indexes agree with the registry, and handle reused addresses."""

from __future__ import annotations

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from larchgw.distribution.registry import Registry
from larchgw.runner_directory.directory import TOMBSTONE_RETENTION_S
from larchgw.runner_directory.runner_record import HeldModel, RunnerRecord, Stage
from larchgw.runner_directory.runner_view import RunnerView


class ViewTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.clock = [0.0]
        self.registry = Registry("c.1")
        self.view = RunnerView(self.registry, lambda: self.clock[0])
        self.count = 0

    def publish(
        self,
        id: str,
        stage: Stage = Stage.READY,
        address: str = "h:1",
        service: str = "llm",
        models: tuple[HeldModel, ...] = (),
    ) -> None:
        self.count += 1
        record = RunnerRecord(id, service, address, "z", stage=stage, call_count=self.count, models=models)
        self.registry.put("runner/" + id, record.encode(), self.count, int(stage))

    def holders(self, model: str, adapter: str = "") -> list[str]:
        return [record.id for record in self.view.holders("llm", model, adapter)]

    def test_holders_follow_loads_and_unloads(self) -> None:
        self.publish("x", models=(HeldModel("m", 1, ("a1",)),))
        assert (self.holders("m"), self.holders("m", "a1")) == (["x"], ["x"])
        assert self.holders("m", "a2") == []
        self.publish("x", models=(HeldModel("n"),))
        assert (self.holders("m"), self.holders("m", "a1"), self.holders("n")) == ([], [], ["x"])

    def test_a_draining_or_silent_runner_is_no_holder_but_stays_listed(self) -> None:
        for stage in (Stage.SILENT, Stage.DRAINING):
            self.publish("x", stage, models=(HeldModel("m"),))
            assert self.holders("m") == []
            assert stage == self.view.by_service("llm")["x"].stage

    def test_a_runner_that_has_left_is_in_no_index(self) -> None:
        self.publish("x", models=(HeldModel("m"),))
        self.publish("x", Stage.GONE)
        assert (self.view.by_service("llm"), self.holders("m")) == ({}, [])
        assert (self.view.get("x"), len(self.view)) == (None, 0)

    def test_a_new_runner_replaces_the_older_one_at_its_address(self) -> None:
        notified: list[tuple[str, Stage]] = []
        self.view.watch(lambda record: notified.append((record.id, record.stage)))
        self.publish("old", models=(HeldModel("m"),))
        self.publish("new", service="other")
        assert self.view.get("old") is None
        assert self.holders("m") == []
        assert notified == [("old", Stage.READY), ("old", Stage.GONE), ("new", Stage.READY)]

    def test_a_change_of_the_older_runner_does_not_unlist_the_newer_one(self) -> None:
        self.publish("old")
        self.publish("new")
        self.publish("old", Stage.SILENT)
        assert self.view.get("new") is not None
        assert self.view.get("old") is None

    def test_entries_in_the_wrong_order_are_corrected_when_the_older_runner_is_silent(self) -> None:
        self.publish("new")
        self.publish("old")
        assert self.view.get("new") is None
        self.publish("old", Stage.SILENT)
        assert self.view.get("new") is not None

    def test_a_runner_at_another_address_is_not_replaced(self) -> None:
        self.publish("old", address="h:1")
        self.publish("new", address="h:2")
        assert self.view.get("old") is not None

    def test_runners_that_are_already_in_the_registry_are_listed(self) -> None:
        self.publish("x")
        assert RunnerView(self.registry).get("x") is not None

    def test_runners_that_have_not_been_ready_for_long_are_removed(self) -> None:
        self.publish("x", address="h:1")
        self.publish("y", Stage.SILENT, address="h:2")
        self.publish("z", Stage.GONE, address="h:3")
        self.clock[0] = TOMBSTONE_RETENTION_S + 1.0
        self.view.remove_expired()
        assert [entry.key for entry in self.registry.items()] == ["runner/x"]
        assert len(self.view) == 1

    def test_a_runner_removed_from_the_registry_is_notified_as_gone(self) -> None:
        notified: list[tuple[str, Stage]] = []
        self.publish("x", models=(HeldModel("m"),))
        self.view.watch(lambda record: notified.append((record.id, record.stage)))
        self.registry.remove_if("runner/", lambda entry: True)
        assert (self.holders("m"), list(self.view.by_service("llm"))) == ([], [])
        assert notified == [("x", Stage.GONE)]


steps = st.lists(
    st.tuples(
        st.sampled_from("abcd"),
        st.sampled_from(list(Stage)),
        st.sampled_from(["h:1", "h:2"]),
        st.sampled_from(["llm", "other"]),
        st.lists(st.sampled_from("mn"), unique=True, max_size=2),
    ),
    max_size=40,
)


@settings(max_examples=200, deadline=None)
@given(steps)
def test_indexes_always_agree_with_the_listed_runners(
    published: list[tuple[str, Stage, str, str, list[str]]],
) -> None:
    registry = Registry("c.1")
    view = RunnerView(registry)
    notified: dict[str, RunnerRecord] = {}
    view.watch(lambda record: notified.__setitem__(record.id, record))
    for number, (id, stage, address, service, models) in enumerate(published, start=1):
        held = tuple(HeldModel(name, 0, ("a1",)) for name in models)
        record = RunnerRecord(id, service, address, "z", stage=stage, call_count=number, models=held)
        registry.put("runner/" + id, record.encode(), number, int(stage))
        listed = {id: found for id in "abcd" if (found := view.get(id)) is not None}
        assert len(view) == len(listed)
        for name in ("llm", "other"):
            assert view.by_service(name) == {id: r for id, r in listed.items() if r.service == name}
            for model in "mn":
                for adapter in ("", "a1"):
                    expected = {
                        id
                        for id, r in listed.items()
                        if r.stage is Stage.READY
                        and r.service == name
                        and any(
                            held.name == model and (not adapter or adapter in held.adapters)
                            for held in r.models
                        )
                    }
                    assert {r.id for r in view.holders(name, model, adapter)} == expected
        active = [r.address for r in listed.values() if r.stage in (Stage.READY, Stage.DRAINING)]
        assert len(active) == len(set(active))
        for seen in notified.values():
            assert (seen.stage is Stage.GONE) == (view.get(seen.id) is None)

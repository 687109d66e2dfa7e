"""A dispatcher's view of runners: its indexes agree with the registry, and a reused address shows who is
gone.
"""

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
        self.assertEqual((["x"], ["x"]), (self.holders("m"), self.holders("m", "a1")))
        self.assertEqual([], self.holders("m", "a2"))
        self.publish("x", models=(HeldModel("n"),))
        self.assertEqual(([], [], ["x"]), (self.holders("m"), self.holders("m", "a1"), self.holders("n")))

    def test_one_that_drains_or_is_silent_is_no_holder_but_stays_listed(self) -> None:
        for stage in (Stage.SILENT, Stage.DRAINING):
            self.publish("x", stage, models=(HeldModel("m"),))
            self.assertEqual([], self.holders("m"))
            self.assertEqual(stage, self.view.by_service("llm")["x"].stage)

    def test_one_that_left_is_nowhere(self) -> None:
        self.publish("x", models=(HeldModel("m"),))
        self.publish("x", Stage.GONE)
        self.assertEqual(({}, []), (self.view.by_service("llm"), self.holders("m")))
        self.assertEqual((None, 0), (self.view.get("x"), len(self.view)))

    def test_a_new_runner_at_an_address_shows_that_the_older_one_is_gone(self) -> None:
        told: list[tuple[str, Stage]] = []
        self.view.watch(lambda record: told.append((record.id, record.stage)))
        self.publish("old", models=(HeldModel("m"),))
        self.publish("new", service="other")
        self.assertIsNone(self.view.get("old"))
        self.assertEqual([], self.holders("m"))
        self.assertEqual([("old", Stage.READY), ("old", Stage.GONE), ("new", Stage.READY)], told)

    def test_news_of_the_older_one_does_not_put_the_newer_one_out(self) -> None:
        self.publish("old")
        self.publish("new")
        self.publish("old", Stage.SILENT)
        self.assertIsNotNone(self.view.get("new"))
        self.assertIsNone(self.view.get("old"))

    def test_entries_that_came_in_the_wrong_order_are_put_right_by_the_silence_of_the_older_one(self) -> None:
        self.publish("new")
        self.publish("old")
        self.assertIsNone(self.view.get("new"))
        self.publish("old", Stage.SILENT)
        self.assertIsNotNone(self.view.get("new"))

    def test_an_older_one_at_another_address_is_left_alone(self) -> None:
        self.publish("old", address="h:1")
        self.publish("new", address="h:2")
        self.assertIsNotNone(self.view.get("old"))

    def test_what_the_registry_held_before_is_there(self) -> None:
        self.publish("x")
        self.assertIsNotNone(RunnerView(self.registry).get("x"))

    def test_runners_that_have_not_been_ready_for_long_are_forgotten(self) -> None:
        self.publish("x", address="h:1")
        self.publish("y", Stage.SILENT, address="h:2")
        self.publish("z", Stage.GONE, address="h:3")
        self.clock[0] = TOMBSTONE_RETENTION_S + 1.0
        self.view.remove_expired()
        self.assertEqual(["runner/x"], [entry.key for entry in self.registry.items()])
        self.assertEqual(1, len(self.view))

    def test_one_that_is_dropped_from_the_registry_is_told_as_gone(self) -> None:
        told: list[tuple[str, Stage]] = []
        self.publish("x", models=(HeldModel("m"),))
        self.view.watch(lambda record: told.append((record.id, record.stage)))
        self.registry.remove_if("runner/", lambda entry: True)
        self.assertEqual(([], []), (self.holders("m"), list(self.view.by_service("llm"))))
        self.assertEqual([("x", Stage.GONE)], told)


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
    told: dict[str, RunnerRecord] = {}
    view.watch(lambda record: told.__setitem__(record.id, record))
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
        for seen in told.values():
            assert (seen.stage is Stage.GONE) == (view.get(seen.id) is None)

"""Check-ins and the directory: late ones, moved ones, silence, and stages that must not go back."""

from __future__ import annotations

import json
from dataclasses import replace
from itertools import pairwise

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from larchgw.distribution.registry import Registry
from larchgw.runner_directory.check_in_parser import parse_check_in
from larchgw.runner_directory.directory import TOMBSTONE_RETENTION_S, RunnerDirectory
from larchgw.runner_directory.errors import CheckInError
from larchgw.runner_directory.runner_record import HeldModel, RunnerRecord, Stage

BEAT = 1.0


def body(**fields: object) -> bytes:
    return json.dumps(
        {"service": "llm", "address": "10.0.0.9:8080", "zone": "z1", "state": "ready", "call_count": 1}
        | fields
    ).encode()


def record(id: str = "i-1", count: int = 1, stage: Stage = Stage.READY, **fields: object) -> RunnerRecord:
    base = RunnerRecord(id, "llm", "10.0.0.9:8080", "z1", stage=stage, call_count=count)
    return replace(base, **fields)  # type: ignore[arg-type]


UNUSABLE: list[tuple[str, bytes]] = [
    ("body", b"{"),
    ("body", b"[]"),
    ("service", body(service="")),
    ("service", body(service=None)),
    ("address", body(address="nowhere")),
    ("address", body(address="h:99999")),
    ("state", body(state="dead")),
    ("state", body(state=[])),
    ("slots", body(slots="many")),
    ("call_count", body(call_count=True)),
    ("models", body(models={"a": 1})),
    ("models[0]", body(models=["m"])),
    ("models[0].adapters", body(models=[{"name": "m", "adapters": [1]}])),
]


class CheckinsTest(testtools.TestCase):
    def test_a_whole_checkin_is_read(self) -> None:
        models = [{"name": "m", "config_version": 3, "adapters": ["a1", "a2"], "more": 1}]
        got = parse_check_in(
            "i-1",
            body(
                config_version="v1",
                slots=64,
                state="draining",
                cold_left_ms=10,
                left_ms=900,
                phase="both",
                models=models,
                call_count=4,
                unknown={"x": 1},
            ),
        )
        self.assertEqual(
            RunnerRecord(
                "i-1",
                "llm",
                "10.0.0.9:8080",
                "z1",
                Stage.DRAINING,
                64,
                "v1",
                "both",
                10.0,
                900.0,
                4,
                (HeldModel("m", 3, ("a1", "a2")),),
            ),
            got,
        )

    def test_what_is_missing_gets_a_default(self) -> None:
        got = parse_check_in("i-1", b'{"service":"s","address":"h:1"}')
        self.assertEqual((Stage.READY, 1, -1.0, ()), (got.stage, got.slots, got.left_ms, got.models))

    def test_what_cannot_be_used_names_field_and_remedy(self) -> None:
        for field, sent in UNUSABLE:
            error = self.assertRaises(CheckInError, parse_check_in, "i-1", sent)
            self.assertEqual((field, 400), (error.field, error.status))
            self.assertIn("; send", str(error))

    @given(
        st.binary(max_size=60)
        | st.recursive(
            st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
            lambda inner: st.lists(inner, max_size=3)
            | st.dictionaries(
                st.sampled_from(["service", "address", "state", "slots", "models", "name", "call_count"]),
                inner,
            ),
            max_leaves=12,
        ).map(lambda value: json.dumps(value).encode())
    )
    def test_no_bytes_make_it_fail_otherwise(self, sent: bytes) -> None:
        try:
            parse_check_in("i-1", sent)
        except CheckInError:
            pass

    def test_a_record_survives_the_registry(self) -> None:
        one = record(models=(HeldModel("m", 2, ("a1",)),), owner="c.1", left_ms=5.0)
        self.assertEqual(one, RunnerRecord.decode(one.encode()))


class Process:
    """A control process's directory with a clock that all share, and what it published."""

    def __init__(self, name: str, clock: list[float], lost: set[str] | None = None) -> None:
        self.registry = Registry(name)
        self.published: list[RunnerRecord] = []
        self.registry.watch("runner/", lambda entry: self.published.append(RunnerRecord.decode(entry.value)))
        self.directory = RunnerDirectory(
            self.registry,
            lambda: clock[0],
            BEAT,
            name,
            is_owner_alive=lambda owner: owner not in (lost or set()),
        )

    def stage(self, id: str = "i-1") -> Stage:
        found = self.directory.get(id)
        assert found is not None
        return found.stage


def exchange(*processes: Process) -> None:
    for _ in range(2):
        for one in processes:
            for other in processes:
                if one is not other:
                    one.registry.merge(list(other.registry.items()))


class DirectoryTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.clock = [100.0]
        self.lost: set[str] = set()
        self.a = Process("a.1", self.clock, self.lost)
        self.b = Process("b.1", self.clock, self.lost)

    def pass_time(self, seconds: float, *processes: Process) -> None:
        for _ in range(round(seconds / 0.1)):
            self.clock[0] += 0.1
            for process in processes or (self.a, self.b):
                process.directory.tick(self.clock[0])

    def test_a_beat_that_changes_nothing_is_not_published(self) -> None:
        self.assertTrue(self.a.directory.check_in(record(count=1)).is_published)
        for count in range(2, 30):
            self.assertFalse(self.a.directory.check_in(record(count=count)).is_published)
        self.assertEqual(1, len(self.a.published))

    def test_times_that_run_down_are_no_news_but_their_end_is(self) -> None:
        self.a.directory.check_in(record(count=1, cold_left_ms=900.0))
        self.assertFalse(self.a.directory.check_in(record(count=2, cold_left_ms=400.0)).is_published)
        self.assertTrue(self.a.directory.check_in(record(count=3, cold_left_ms=0.0)).is_published)

    def test_a_model_loaded_is_news_and_not_urgent(self) -> None:
        self.a.directory.check_in(record(count=1))
        outcome = self.a.directory.check_in(record(count=2, models=(HeldModel("m"),)))
        self.assertEqual((True, False), (outcome.is_published, outcome.needs_replication))

    def test_a_late_checkin_does_not_bring_back_what_was_unloaded(self) -> None:
        self.a.directory.check_in(record(count=7))
        self.assertFalse(self.a.directory.check_in(record(count=5, models=(HeldModel("m"),))).is_published)

    def test_a_late_checkin_counts_as_late_against_beats_that_were_not_published(self) -> None:
        for count in range(1, 9):
            self.a.directory.check_in(record(count=count))
        self.assertFalse(self.a.directory.check_in(record(count=5, models=(HeldModel("m"),))).is_published)
        self.assertEqual((), self.a.published[-1].models)

    def test_draining_is_urgent_until_the_others_have_it_and_leaving_is_once_more(self) -> None:
        self.a.directory.check_in(record(count=1))
        for count in (2, 3):  # the first was not acknowledged
            self.assertTrue(
                self.a.directory.check_in(record(count=count, stage=Stage.DRAINING)).needs_replication
            )
        self.assertTrue(self.a.directory.check_in(record(count=2, stage=Stage.DRAINING)).needs_replication)
        self.a.directory.mark_replicated("i-1", Stage.DRAINING)
        self.assertFalse(self.a.directory.check_in(record(count=4, stage=Stage.DRAINING)).needs_replication)
        self.assertTrue(self.a.directory.leave("i-1").needs_replication)
        self.assertTrue(self.a.directory.leave("i-1").needs_replication)
        self.a.directory.mark_replicated("i-1", Stage.DRAINING)  # of before the leave
        self.assertTrue(self.a.directory.leave("i-1").needs_replication)
        self.a.directory.mark_replicated("i-1", Stage.GONE)
        self.assertFalse(self.a.directory.leave("i-1").needs_replication)

    def test_draining_sticks(self) -> None:
        self.a.directory.check_in(record(count=2, stage=Stage.DRAINING))
        self.a.directory.check_in(record(count=4, stage=Stage.READY, models=(HeldModel("m"),)))
        self.assertEqual(Stage.DRAINING, self.a.stage())

    def test_draining_said_again_elsewhere_is_urgent_there_too(self) -> None:
        self.a.directory.check_in(record(count=2, stage=Stage.DRAINING))
        exchange(self.a, self.b)
        self.assertTrue(self.b.directory.check_in(record(count=3, stage=Stage.DRAINING)).needs_replication)

    def test_nothing_brings_back_a_runner_that_left(self) -> None:
        self.a.directory.check_in(record(count=5))
        exchange(self.a, self.b)
        self.assertTrue(self.a.directory.leave("i-1").needs_replication)
        self.assertFalse(self.a.directory.check_in(record(count=6)).is_published)
        self.b.directory.check_in(record(count=9, models=(HeldModel("m"),)))
        exchange(self.a, self.b)
        self.assertEqual([Stage.GONE, Stage.GONE], [self.a.stage(), self.b.stage()])
        self.assertEqual([], self.a.directory.runners())

    def test_leave_at_a_process_that_does_not_know_the_runner_still_counts(self) -> None:
        self.a.directory.check_in(record(count=5))
        self.assertTrue(self.b.directory.leave("i-1").needs_replication)
        exchange(self.a, self.b)
        self.assertEqual(Stage.GONE, self.a.stage())

    def test_silence_shows_after_three_beats_and_not_before(self) -> None:
        self.a.directory.check_in(record(count=1))
        self.pass_time(3.0 * BEAT)
        self.assertEqual(Stage.READY, self.a.stage())
        self.pass_time(0.5 * BEAT)
        self.assertEqual(Stage.SILENT, self.a.stage())

    def test_a_later_checkin_ends_a_silence_and_an_older_one_does_not(self) -> None:
        self.a.directory.check_in(record(count=8))
        self.pass_time(4.0)
        self.a.directory.check_in(record(count=7))
        self.assertEqual(Stage.SILENT, self.a.stage())
        self.a.directory.check_in(record(count=9))
        self.assertEqual(Stage.READY, self.a.stage())

    def test_a_draining_runner_that_falls_silent_stays_draining(self) -> None:
        for count in range(1, 5):
            self.a.directory.check_in(record(count=count, stage=Stage.DRAINING))
        self.pass_time(10.0)
        self.assertEqual(Stage.DRAINING, self.a.stage())

    def test_a_runner_that_beats_elsewhere_is_not_declared_silent_by_its_former_process(self) -> None:
        self.a.directory.check_in(record(count=1))
        exchange(self.a, self.b)
        for count in range(2, 15):
            self.b.directory.check_in(record(count=count))
            exchange(self.a, self.b)
            self.pass_time(BEAT)
        self.assertNotIn(Stage.SILENT, [seen.stage for seen in self.a.published + self.b.published])

    def test_one_call_heard_by_two_processes_leaves_one_of_them_watching(self) -> None:
        self.a.directory.check_in(record(count=1))
        self.b.directory.check_in(record(count=1))
        exchange(self.a, self.b)
        for count in range(2, 8):
            self.b.directory.check_in(record(count=count))
            self.pass_time(BEAT)
        self.assertNotIn(Stage.SILENT, [seen.stage for seen in self.a.published])

    def test_a_move_heard_late_wins_over_the_silence_declared_meanwhile(self) -> None:
        self.a.directory.check_in(record(count=1))
        exchange(self.a, self.b)
        self.b.directory.check_in(record(count=2))
        for count in range(3, 9):  # cut from one another
            self.pass_time(BEAT)
            self.b.directory.check_in(record(count=count))
        self.assertEqual(Stage.SILENT, self.a.stage())
        exchange(self.a, self.b)
        self.assertEqual([Stage.READY, Stage.READY], [self.a.stage(), self.b.stage()])

    def test_an_older_checkin_delivered_late_elsewhere_does_not_move_the_runner(self) -> None:
        for count in range(1, 9):
            self.a.directory.check_in(record(count=count))
        self.b.directory.check_in(record(count=4, models=(HeldModel("old"),)))
        exchange(self.a, self.b)
        for process in (self.a, self.b):
            found = process.directory.get("i-1")
            assert found is not None
            self.assertEqual(("a.1", 8, ()), (found.owner, found.call_count, found.models))

    def test_runners_of_a_lost_process_are_watched_by_the_others(self) -> None:
        self.a.directory.check_in(record("i-1", count=5))
        self.a.directory.check_in(record("i-2", count=5))
        exchange(self.a, self.b)
        self.lost.add("a.1")
        self.pass_time(2.0, self.b)
        self.b.directory.check_in(record("i-2", count=7))
        self.pass_time(1.5, self.b)
        self.assertEqual((Stage.SILENT, Stage.READY), (self.b.stage("i-1"), self.b.stage("i-2")))

    def test_a_process_that_returns_in_time_keeps_its_runners(self) -> None:
        self.a.directory.check_in(record(count=5))
        exchange(self.a, self.b)
        self.lost.add("a.1")
        self.pass_time(2.0, self.b)
        self.lost.clear()
        self.pass_time(2.0, self.b)
        self.lost.add("a.1")
        self.pass_time(2.0, self.b)
        self.assertEqual(Stage.READY, self.b.stage())

    def test_an_adopted_silence_yields_to_the_owner_that_still_hears_the_runner(self) -> None:
        self.a.directory.check_in(record(count=1))
        exchange(self.a, self.b)
        for count in range(2, 9):
            self.a.directory.check_in(record(count=count))
        self.lost.add("a.1")
        self.pass_time(4.0, self.b)
        self.assertEqual(Stage.SILENT, self.b.stage())
        self.a.directory.check_in(record(count=9))
        exchange(self.a, self.b)
        self.assertEqual([Stage.READY, Stage.READY], [self.a.stage(), self.b.stage()])

    def test_a_process_that_was_frozen_declares_nobody_silent_at_its_thaw(self) -> None:
        self.a.directory.check_in(record(count=1))
        self.pass_time(1.0)
        self.clock[0] += 20.0
        self.pass_time(1.0)
        self.assertEqual(Stage.READY, self.a.stage())
        self.pass_time(2.0)
        self.assertEqual(Stage.SILENT, self.a.stage())

    def test_a_restarted_process_takes_its_runners_over_with_their_next_beats(self) -> None:
        self.a.directory.check_in(record(count=5))
        exchange(self.a, self.b)
        again = Process("a.2", self.clock, self.lost)
        self.lost.add("a.1")
        exchange(self.b, again)
        self.assertTrue(again.directory.check_in(record(count=6)).is_published)
        exchange(self.b, again)
        self.pass_time(2.0, self.b, again)
        again.directory.check_in(record(count=7))
        self.pass_time(2.0, self.b, again)
        self.assertEqual(Stage.READY, self.b.stage())

    def test_old_ones_are_forgotten_and_ready_ones_are_not(self) -> None:
        self.a.directory.check_in(record("gone", count=1))
        self.a.directory.leave("gone")
        self.a.directory.check_in(record("silent", count=1))
        for count in range(1, round(TOMBSTONE_RETENTION_S) + 30):
            self.a.directory.check_in(record("beats", count=count))
            self.pass_time(BEAT, self.a)
        self.assertEqual(["runner/beats"], [entry.key for entry in self.a.registry.items()])
        self.assertEqual(["beats"], [found.id for found in self.a.directory.runners()])

    def test_runners_of_one_service(self) -> None:
        self.a.directory.check_in(record("x"))
        self.a.directory.check_in(record("y", service="other"))
        self.assertEqual(["y"], [found.id for found in self.a.directory.runners("other")])


steps = st.lists(
    st.one_of(
        st.tuples(st.just("beat"), st.integers(0, 2), st.integers(0, 4)),
        st.tuples(st.just("sync"), st.integers(0, 2), st.integers(0, 2)),
        st.tuples(st.just("time"), st.integers(1, 40), st.just(0)),
        st.tuples(st.just("drain"), st.just(0), st.just(0)),
        st.tuples(st.just("leave"), st.integers(0, 2), st.just(0)),
    ),
    max_size=40,
)


@settings(max_examples=200, deadline=None)
@given(steps)
def test_in_any_order_stages_do_not_go_back_and_all_agree_on_the_last_checkin(
    played: list[tuple[str, int, int]],
) -> None:
    clock = [100.0]
    processes = [Process(f"{name}.1", clock) for name in "abc"]
    sent: list[RunnerRecord] = []
    delivered = 0
    draining = left = False
    for kind, one, two in played:
        if kind == "beat":  # `two` calls ago: those are late
            sent.append(record(count=len(sent) + 1, stage=Stage.DRAINING if draining else Stage.READY))
            late = sent[max(len(sent) - 1 - two, 0)]
            processes[one].directory.check_in(late)
            delivered = max(delivered, late.call_count)
        elif kind == "sync":
            processes[one].registry.merge(list(processes[two].registry.items()))
        elif kind == "time":
            clock[0] += one / 10.0
            for process in processes:
                process.directory.tick(clock[0])
        elif kind == "drain":
            draining = True
        elif kind == "leave" and sent:
            left = True
            processes[one].directory.leave("i-1")
    for process in processes:
        check_stages(process.published)
    exchange(*processes)
    exchange(*processes)
    found = {process.directory.get("i-1") for process in processes}
    assert len(found) == 1
    (final,) = found
    if left:
        assert final is not None and final.stage is Stage.GONE
    elif delivered:
        assert final is not None
        expected = sent[delivered - 1].stage
        assert final.stage == expected or (expected is Stage.READY and final.stage is Stage.SILENT)


def check_stages(published: list[RunnerRecord]) -> None:
    for before, after in pairwise(published):
        if before.stage >= Stage.DRAINING:
            assert after.stage >= before.stage

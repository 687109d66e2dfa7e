"""The runner directory: late check-ins, changes of owner, silence time-outs, and the order of stages."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import replace
from itertools import pairwise

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from larchgw.distribution.registry import Registry
from larchgw.rpc.generated.ttypes import Entry
from larchgw.runner_directory.directory import TOMBSTONE_RETENTION_S, RunnerDirectory
from larchgw.runner_directory.runner_record import HeldModel, RunnerRecord, Stage

HEARTBEAT_S = 1.0


def record(id: str = "i-1", count: int = 1, stage: Stage = Stage.READY, **fields: object) -> RunnerRecord:
    base = RunnerRecord(id, "llm", "10.0.0.9:8080", "z1", stage=stage, call_count=count)
    return replace(base, **fields)  # type: ignore[arg-type]


class Process:
    """The directory of one control process, with a shared clock and the records that it published."""

    def __init__(
        self,
        name: str,
        clock: list[float],
        lost: set[str] | None = None,
        earlier_incarnations: Collection[str] = (),
    ) -> None:
        self.registry = Registry(name)
        self.published: list[RunnerRecord] = []
        self.registry.watch("runner/", lambda entry: self.published.append(RunnerRecord.decode(entry.value)))
        self.directory = RunnerDirectory(
            self.registry,
            lambda: clock[0],
            HEARTBEAT_S,
            name,
            is_owner_alive=lambda owner: owner not in (lost or set()),
            is_earlier_incarnation=lambda owner: owner in earlier_incarnations,
        )

    def stage(self, id: str = "i-1") -> Stage:
        found = self.directory.get(id)
        assert found is not None
        return found.stage


def exchange(*processes: Process) -> None:
    for _ in range(2):
        for process in processes:
            for other in processes:
                if process is not other:
                    process.registry.merge(list(other.registry.items()))


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

    def test_a_check_in_that_changes_nothing_is_not_published(self) -> None:
        assert self.a.directory.check_in(record(count=1)).is_published
        for count in range(2, 30):
            assert not self.a.directory.check_in(record(count=count)).is_published
        assert len(self.a.published) == 1

    def test_remaining_times_are_published_only_when_they_run_out(self) -> None:
        self.a.directory.check_in(record(count=1, warm_up_left_ms=900.0))
        assert not self.a.directory.check_in(record(count=2, warm_up_left_ms=400.0)).is_published
        assert self.a.directory.check_in(record(count=3, warm_up_left_ms=0.0)).is_published

    def test_a_loaded_model_is_published_and_needs_no_replication(self) -> None:
        self.a.directory.check_in(record(count=1))
        outcome = self.a.directory.check_in(record(count=2, models=(HeldModel("m"),)))
        assert (outcome.is_published, outcome.needs_replication) == (True, False)

    def test_a_late_check_in_does_not_list_an_unloaded_model_again(self) -> None:
        self.a.directory.check_in(record(count=7))
        assert not self.a.directory.check_in(record(count=5, models=(HeldModel("m"),))).is_published

    def test_a_check_in_is_late_also_against_one_that_was_not_published(self) -> None:
        for count in range(1, 9):
            self.a.directory.check_in(record(count=count))
        assert not self.a.directory.check_in(record(count=5, models=(HeldModel("m"),))).is_published
        assert self.a.published[-1].models == ()

    def test_draining_needs_replication_until_a_majority_has_it_and_leaving_does_again(self) -> None:
        self.a.directory.check_in(record(count=1))
        for count in (2, 3):  # the first was not acknowledged
            assert self.a.directory.check_in(record(count=count, stage=Stage.DRAINING)).needs_replication
        assert self.a.directory.check_in(record(count=2, stage=Stage.DRAINING)).needs_replication
        self.a.directory.mark_replicated("i-1", Stage.DRAINING)
        assert not self.a.directory.check_in(record(count=4, stage=Stage.DRAINING)).needs_replication
        assert self.a.directory.leave("i-1").needs_replication
        assert self.a.directory.leave("i-1").needs_replication
        self.a.directory.mark_replicated("i-1", Stage.DRAINING)  # from before the Leave
        assert self.a.directory.leave("i-1").needs_replication
        self.a.directory.mark_replicated("i-1", Stage.GONE)
        assert not self.a.directory.leave("i-1").needs_replication

    def test_a_later_check_in_does_not_end_draining(self) -> None:
        self.a.directory.check_in(record(count=2, stage=Stage.DRAINING))
        self.a.directory.check_in(record(count=4, stage=Stage.READY, models=(HeldModel("m"),)))
        assert self.a.stage() == Stage.DRAINING

    def test_draining_reported_again_elsewhere_needs_replication_there_too(self) -> None:
        self.a.directory.check_in(record(count=2, stage=Stage.DRAINING))
        exchange(self.a, self.b)
        assert self.b.directory.check_in(record(count=3, stage=Stage.DRAINING)).needs_replication

    def test_no_check_in_makes_a_runner_that_left_ready_again(self) -> None:
        self.a.directory.check_in(record(count=5))
        exchange(self.a, self.b)
        assert self.a.directory.leave("i-1").needs_replication
        assert not self.a.directory.check_in(record(count=6)).is_published
        self.b.directory.check_in(record(count=9, models=(HeldModel("m"),)))
        exchange(self.a, self.b)
        assert [self.a.stage(), self.b.stage()] == [Stage.GONE, Stage.GONE]
        assert self.a.directory.runners() == []

    def test_leave_at_a_process_that_does_not_know_the_runner_still_counts(self) -> None:
        self.a.directory.check_in(record(count=5))
        assert self.b.directory.leave("i-1").needs_replication
        exchange(self.a, self.b)
        assert self.a.stage() == Stage.GONE

    def test_a_runner_is_silent_after_three_missed_heartbeats_but_not_earlier(self) -> None:
        self.a.directory.check_in(record(count=1))
        self.pass_time(3.0 * HEARTBEAT_S)
        assert self.a.stage() == Stage.READY
        self.pass_time(0.5 * HEARTBEAT_S)
        assert self.a.stage() == Stage.SILENT

    def test_a_later_check_in_ends_a_silence_and_an_older_one_does_not(self) -> None:
        self.a.directory.check_in(record(count=8))
        self.pass_time(4.0)
        self.a.directory.check_in(record(count=7))
        assert self.a.stage() == Stage.SILENT
        self.a.directory.check_in(record(count=9))
        assert self.a.stage() == Stage.READY

    def test_a_draining_runner_without_check_ins_stays_draining(self) -> None:
        for count in range(1, 5):
            self.a.directory.check_in(record(count=count, stage=Stage.DRAINING))
        self.pass_time(10.0)
        assert self.a.stage() == Stage.DRAINING

    def test_a_former_owner_does_not_publish_a_runner_as_silent(self) -> None:
        self.a.directory.check_in(record(count=1))
        exchange(self.a, self.b)
        for count in range(2, 15):
            self.b.directory.check_in(record(count=count))
            exchange(self.a, self.b)
            self.pass_time(HEARTBEAT_S)
        assert Stage.SILENT not in [seen.stage for seen in self.a.published + self.b.published]

    def test_a_check_in_received_by_two_processes_leaves_one_owner(self) -> None:
        self.a.directory.check_in(record(count=1))
        self.b.directory.check_in(record(count=1))
        exchange(self.a, self.b)
        for count in range(2, 8):
            self.b.directory.check_in(record(count=count))
            self.pass_time(HEARTBEAT_S)
        assert Stage.SILENT not in [seen.stage for seen in self.a.published]

    def test_a_late_record_of_the_new_owner_ends_the_silence_published_meanwhile(self) -> None:
        self.a.directory.check_in(record(count=1))
        exchange(self.a, self.b)
        self.b.directory.check_in(record(count=2))
        for count in range(3, 9):  # partitioned from each other
            self.pass_time(HEARTBEAT_S)
            self.b.directory.check_in(record(count=count))
        assert self.a.stage() == Stage.SILENT
        exchange(self.a, self.b)
        assert [self.a.stage(), self.b.stage()] == [Stage.READY, Stage.READY]

    def test_an_older_check_in_delivered_late_elsewhere_does_not_move_the_runner(self) -> None:
        for count in range(1, 9):
            self.a.directory.check_in(record(count=count))
        self.b.directory.check_in(record(count=4, models=(HeldModel("old"),)))
        exchange(self.a, self.b)
        for process in (self.a, self.b):
            found = process.directory.get("i-1")
            assert found is not None
            assert (found.owner, found.call_count, found.models) == ("a.1", 8, ())

    def test_runners_of_a_lost_process_are_monitored_by_the_others(self) -> None:
        self.a.directory.check_in(record("i-1", count=5))
        self.a.directory.check_in(record("i-2", count=5))
        exchange(self.a, self.b)
        self.lost.add("a.1")
        self.pass_time(2.0, self.b)
        self.b.directory.check_in(record("i-2", count=7))
        self.pass_time(1.5, self.b)
        assert (self.b.stage("i-1"), self.b.stage("i-2")) == (Stage.SILENT, Stage.READY)

    def test_a_process_that_returns_in_time_keeps_its_runners(self) -> None:
        self.a.directory.check_in(record(count=5))
        exchange(self.a, self.b)
        self.lost.add("a.1")
        self.pass_time(2.0, self.b)
        self.lost.clear()
        self.pass_time(2.0, self.b)
        self.lost.add("a.1")
        self.pass_time(2.0, self.b)
        assert self.b.stage() == Stage.READY

    def test_silence_published_by_another_process_is_ended_by_an_owner_that_gets_check_ins(self) -> None:
        self.a.directory.check_in(record(count=1))
        exchange(self.a, self.b)
        for count in range(2, 9):
            self.a.directory.check_in(record(count=count))
        self.lost.add("a.1")
        self.pass_time(4.0, self.b)
        assert self.b.stage() == Stage.SILENT
        self.a.directory.check_in(record(count=9))
        exchange(self.a, self.b)
        assert [self.a.stage(), self.b.stage()] == [Stage.READY, Stage.READY]

    def test_a_process_that_was_frozen_publishes_no_silent_runners_when_it_resumes(self) -> None:
        self.a.directory.check_in(record(count=1))
        self.pass_time(1.0)
        self.clock[0] += 20.0
        self.pass_time(1.0)
        assert self.a.stage() == Stage.READY
        self.pass_time(2.0)
        assert self.a.stage() == Stage.SILENT

    def test_a_restarted_process_owns_its_runners_again_after_their_next_check_ins(self) -> None:
        self.a.directory.check_in(record(count=5))
        exchange(self.a, self.b)
        restarted = Process("a.2", self.clock, self.lost)
        self.lost.add("a.1")
        exchange(self.b, restarted)
        assert restarted.directory.check_in(record(count=6)).is_published
        exchange(self.b, restarted)
        self.pass_time(2.0, self.b, restarted)
        restarted.directory.check_in(record(count=7))
        self.pass_time(2.0, self.b, restarted)
        assert self.b.stage() == Stage.READY

    def test_a_record_handed_back_after_a_restart_does_not_begin_another_silence_time_out(self) -> None:
        """Guards against a runner that crashed with all control processes and is called silent too late."""
        restarted = Process("a.2", self.clock, {"a.1"}, earlier_incarnations={"a.1"})
        self.pass_time(2.0, restarted)
        handed_back = record(owner="a.1")
        restarted.registry.merge([Entry("runner/i-1", 1, 0, "a.1", 1, handed_back.encode())])
        self.pass_time(restarted.directory.silence_timeout_s - 2.5, restarted)
        assert restarted.stage() is Stage.READY
        self.pass_time(1.0, restarted)
        assert restarted.stage() is Stage.SILENT

    def test_time_in_isolation_after_a_restart_does_not_count_as_silence(self) -> None:
        restarted = Process("a.2", self.clock, {"a.1"}, earlier_incarnations={"a.1"})
        for _ in range(40):
            self.clock[0] += 0.25
            restarted.directory.tick(self.clock[0], isolated=True)
        handed_back = record(owner="a.1")
        restarted.registry.merge([Entry("runner/i-1", 1, 0, "a.1", 1, handed_back.encode())])
        self.pass_time(restarted.directory.silence_timeout_s - 0.5, restarted)
        assert restarted.stage() is Stage.READY

    def test_a_runner_that_checked_in_elsewhere_stays_ready_whatever_its_former_owner_publishes(self) -> None:
        restarted = Process("a.2", self.clock, {"a.1"}, earlier_incarnations={"a.1"})
        self.pass_time(10.0, restarted, self.b)
        self.b.directory.check_in(record(count=2))
        handed_back = record(owner="a.1")
        restarted.registry.merge([Entry("runner/i-1", 1, 0, "a.1", 1, handed_back.encode())])
        self.pass_time(0.5, restarted, self.b)
        exchange(restarted, self.b)
        assert restarted.stage() is Stage.READY
        assert self.b.stage() is Stage.READY

    def test_expired_tombstones_are_removed_and_ready_runners_are_not(self) -> None:
        self.a.directory.check_in(record("gone", count=1))
        self.a.directory.leave("gone")
        self.a.directory.check_in(record("silent", count=1))
        for count in range(1, round(TOMBSTONE_RETENTION_S) + 30):
            self.a.directory.check_in(record("beats", count=count))
            self.pass_time(HEARTBEAT_S, self.a)
        assert [entry.key for entry in self.a.registry.items()] == ["runner/beats"]
        assert [found.id for found in self.a.directory.runners()] == ["beats"]

    def test_runners_of_one_service(self) -> None:
        self.a.directory.check_in(record("x"))
        self.a.directory.check_in(record("y", service="other"))
        assert [found.id for found in self.a.directory.runners("other")] == ["y"]


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


class RunnerLifecycle:
    """One runner at three control processes, with drawn check-ins (some late), a drain and a Leave."""

    def __init__(self) -> None:
        self.clock = [100.0]
        self.processes = [Process(f"{name}.1", self.clock) for name in "abc"]
        self.sent: list[RunnerRecord] = []
        self.delivered_count = 0
        self.is_draining = self.has_left = False

    def play(self, kind: str, first: int, second: int) -> None:
        if kind == "beat":
            self.check_in(self.processes[first], calls_ago=second)
        elif kind == "sync":
            self.processes[first].registry.merge(list(self.processes[second].registry.items()))
        elif kind == "time":
            self.pass_time(first / 10.0)
        elif kind == "drain":
            self.is_draining = True
        elif kind == "leave" and self.sent:
            self.has_left = True
            self.processes[first].directory.leave("i-1")

    def check_in(self, process: Process, calls_ago: int) -> None:
        """The runner sends another check-in; the one from `calls_ago` check-ins before is delivered."""
        stage = Stage.DRAINING if self.is_draining else Stage.READY
        self.sent.append(record(count=len(self.sent) + 1, stage=stage))
        late = self.sent[max(len(self.sent) - 1 - calls_ago, 0)]
        process.directory.check_in(late)
        self.delivered_count = max(self.delivered_count, late.call_count)

    def pass_time(self, seconds: float) -> None:
        self.clock[0] += seconds
        for process in self.processes:
            process.directory.tick(self.clock[0])

    def final_record(self) -> RunnerRecord | None:
        """Returns the record that all processes have after exchanging all entries."""
        exchange(*self.processes)
        exchange(*self.processes)
        found = {process.directory.get("i-1") for process in self.processes}
        assert len(found) == 1
        return found.pop()


@settings(max_examples=200, deadline=None)
@given(steps)
def test_stages_never_decrease_and_all_processes_agree_on_the_last_check_in(
    drawn_steps: list[tuple[str, int, int]],
) -> None:
    lifecycle = RunnerLifecycle()
    for step in drawn_steps:
        lifecycle.play(*step)
        for process in lifecycle.processes:
            process.directory.validate_state()
    for process in lifecycle.processes:
        check_stages(process.published)
    final = lifecycle.final_record()
    if lifecycle.has_left:
        assert final is not None
        assert final.stage is Stage.GONE
    elif lifecycle.delivered_count:
        assert final is not None
        expected = lifecycle.sent[lifecycle.delivered_count - 1].stage
        assert final.stage == expected or (expected is Stage.READY and final.stage is Stage.SILENT)


def check_stages(published: list[RunnerRecord]) -> None:
    for before, after in pairwise(published):
        if before.stage >= Stage.DRAINING:
            assert after.stage >= before.stage

"""Room for large jobs: the planner beside the real decisions, and whole fleets in virtual time."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from larchgw import Dispatcher, Settings
from larchgw.dispatcher.capacity import Planner, ReservationSettings
from larchgw.dispatcher.capacity.estimates import RunTimeEstimates, RunTimes
from larchgw.dispatcher.scheduling.interface import (
    JobClass,
    ListKind,
    Member,
    Note,
    Outcome,
    Presence,
    Request,
    Status,
)
from larchgw.emulator.fleet import FAULTS, Fault, FleetSpec
from larchgw.emulator.load import CLASSES, LoadSpec
from larchgw.emulator.virtual import Scenario, World, summary
from tests.support.bench import Recorder

PROOF, RELEASE = 0, 1


class Desk:
    """One dispatcher with a planner, its hand on the clock, and boxes that do what they are told."""

    def __init__(self, boxes: int = 1, limit: float = 4.0, aim: float = 8.0, **room: Any) -> None:
        classes = [
            JobClass("proof", 2.0, 10.0, 1.0, stretch=1.0, effect="idempotent"),
            JobClass("release", aim, 30.0, 8.0, stretch=1.0),
        ]
        settings = Settings(
            classes,
            tells_start=True,
            can_cancel=True,
            max_attempts=3,
            worth_by_work=True,
            slot_reports=0,
            warm_up=20.0,
            cold_from=0.2,
        )
        self.planner = Planner(settings, ReservationSettings(**{"boxes_share": 1.0, "lead": 30.0} | room))
        self.actions = Recorder()
        self.module = Dispatcher(settings, 1, self.actions, self.planner)
        self.now, self.next = 1000.0, 0
        self.ids = [b"box-%d" % n for n in range(boxes)]
        self.module.on_members(self.now, ListKind.FULL, [Member(name) for name in self.ids])
        self.limit = limit
        self.fix()
        for job_class, run in ((PROOF, 1.0), (RELEASE, 4.0)):
            self.module.run_times[job_class].value = run
            for _ in range(40):
                self.planner.estimates.learn(job_class, 0, run)

    def fix(self) -> None:
        """Holds the thresholds where they are: what moves them is not the matter here."""
        for worker in self.module.workers.values():
            worker.slot_limit = self.limit

    def ask(self, job_class: int = PROOF, slots: float = 1.0, wait: float = 30.0) -> int:
        self.next += 1
        wait = min(wait, 10.0) if job_class == PROOF else wait
        self.module.on_request(self.now, Request(self.next, self.now + wait, job_class, slots=slots))
        return self.next

    def sent(self, job: int) -> bytes | None:
        return self.actions.sends.get(job, [None])[-1]

    def begin(self, job: int) -> None:
        self.module.on_attempt_progress(self.now, Note(job, 0, self.actions.sends[job][0]))
        self.fix()

    def end(self, job: int, status: int = Status.OK, free: float = -1.0) -> None:
        index = len(self.actions.sends[job]) - 1
        report = (free,) if free >= 0 else ()
        self.module.on_outcome(
            self.now,
            Outcome(job, index, self.actions.sends[job][index], status, status == Status.OK, 0.1, report),
        )

    def pass_time(self, seconds: float) -> None:
        end = self.now + seconds
        while due := [t for t in self.actions.timers if t[0] <= end]:
            first = min(due)
            self.actions.timers.remove(first)
            self.now = max(self.now, first[0])
            self.module.on_timer(self.now, first[1])
        self.now = end

    def full(self, count: int = 4, job_class: int = PROOF) -> list[int]:
        """So many jobs of one slot that run."""
        jobs = [self.ask(job_class) for _ in range(count)]
        for job in jobs:
            self.begin(job)
        return jobs


def pressed(**room: Any) -> tuple[Desk, list[int], int, int]:
    """A box of two slots, one of them just free, a large job that must start within a second, a small one."""
    desk = Desk(limit=2.0, aim=3.0, **room)
    running = desk.full(2, RELEASE)
    desk.pass_time(2.0)
    large = desk.ask(RELEASE, 2.0)
    desk.pass_time(1.9)
    desk.end(running[0])
    return desk, running, large, desk.ask()


def test_a_slot_that_comes_free_is_kept_for_the_large_job_that_would_miss_its_time() -> None:
    desk, running, large, small = pressed()
    assert desk.sent(small) is None, "a second's run would end past the latest start"
    assert desk.planner.by_job[large].worker.id == desk.ids[0]
    desk.end(running[1])
    assert desk.sent(large) == desk.ids[0]


def test_small_jobs_fill_the_gap_while_the_large_one_still_starts_in_time() -> None:
    desk = Desk(limit=2.0, lead=0.1)
    running = desk.full(2, RELEASE)
    large = desk.ask(RELEASE, 2.0)
    desk.pass_time(1.0)
    desk.end(running[0])
    small = desk.ask()
    assert desk.sent(small) == desk.ids[0]
    assert large in desk.planner.by_job
    assert desk.planner.counts.filled >= 1


def test_no_small_job_is_passed_over_for_longer_than_its_bound() -> None:
    desk, _, _, small = pressed(pass_over=0.05)
    assert desk.sent(small) is None
    desk.pass_time(0.2)  # a twentieth of the 2 s that it had to start in time, and more
    assert desk.sent(small) == desk.ids[0]
    assert desk.planner.counts.overdue >= 1


@pytest.mark.parametrize("trouble", ["drains", "leaves", "restarts", "hangs", "is full"])
def test_room_at_a_box_that_goes_bad_is_held_elsewhere_or_not_at_all(trouble: str) -> None:
    desk = Desk(2)
    running = desk.full(8, RELEASE)
    large = desk.ask(RELEASE, 2.0)
    held = desk.planner.by_job[large].worker
    there = [j for j in running if desk.sent(j) == held.id]
    if trouble == "drains":
        desk.module.on_members(desk.now, ListKind.DELTA, [Member(held.id, Presence.DRAINING)])
    elif trouble == "leaves":
        desk.module.on_members(desk.now, ListKind.DELTA, [Member(held.id, Presence.GONE)])
    elif trouble == "restarts":
        desk.module.on_members(desk.now, ListKind.DELTA, [Member(held.id, up_since=desk.now)])
    elif trouble == "hangs":
        held.suspicion, held.avoid_until = 1, desk.now + 60.0
        desk.pass_time(1.0)
    else:
        desk.end(there[0], Status.FULL)
    now_held = desk.planner.by_job.get(large)
    assert now_held is None or now_held.worker is not held
    if trouble != "is full":  # its attempts have ended then, and it is a box like others again
        assert held.id not in desk.planner.by_worker
    assert all(r.job.request.id in desk.planner.by_job for r in desk.planner.by_worker.values())


def test_what_was_held_is_free_again_when_the_large_jobs_client_leaves() -> None:
    desk, _, large, small = pressed()
    assert desk.sent(small) is None
    desk.module.on_client_gone(desk.now, large)
    assert not desk.planner.by_job
    assert not desk.planner.by_worker
    assert not desk.planner.waiting
    desk.pass_time(0.1)
    assert desk.sent(small) == desk.ids[0]


def test_two_large_jobs_never_hold_the_same_room() -> None:
    desk = Desk(2)
    desk.full(8, RELEASE)
    first, second, third = (desk.ask(RELEASE, 2.0) for _ in range(3))
    boxes = [desk.planner.by_job[j].worker.id for j in (first, second)]
    assert sorted(boxes) == sorted(desk.ids)
    assert third not in desk.planner.by_job


def test_a_job_of_eight_slots_gets_its_room_among_many_of_two() -> None:
    desk = Desk(limit=8.0, lead=2.0)
    running = [desk.ask(RELEASE, 2.0) for _ in range(4)]
    for job in running:
        desk.begin(job)
    large = desk.ask(RELEASE, 8.0)
    others = []
    while desk.sent(large) is None and desk.now < 1040.0:
        desk.pass_time(1.0)
        others.append(desk.ask(RELEASE, 2.0))
        for job in list(running):
            if desk.sent(job) and desk.now - desk.module.jobs[job].attempts[0].sent_at >= 4.0:
                running.remove(job)
                desk.end(job)
        running += [j for j in others if desk.sent(j) and j in desk.module.jobs and j not in running]
        for job in running:
            desk.begin(job)
    assert desk.sent(large) == desk.ids[0]


def test_a_job_that_no_box_has_slots_for_is_refused_at_once_and_not_held() -> None:
    desk = Desk(2)
    for name in desk.ids:
        desk.planner.set_capacity(name, 5.0)
    for job in desk.full(2):
        desk.end(job)
    job = desk.ask(RELEASE, 8.0)
    assert ("refuse", job) in desk.actions.log
    assert not desk.planner.by_job
    fits = desk.ask(RELEASE, 4.0)
    assert desk.sent(fits) is not None


def test_a_box_whose_slots_nobody_knows_keeps_a_large_job_from_being_refused() -> None:
    desk = Desk(2)
    desk.planner.set_capacity(desk.ids[0], 5.0)
    job = desk.ask(RELEASE, 8.0)
    assert desk.sent(job) == desk.ids[1], "the one that is known to be too small gets none"
    for name in desk.ids:
        desk.planner.set_capacity(name, 5.0)
    desk.module.on_members(desk.now, ListKind.DELTA, [Member(b"new")])
    assert desk.sent(desk.ask(RELEASE, 8.0)) == b"new"


def test_nothing_is_remembered_of_boxes_that_have_gone() -> None:
    desk = Desk(2)
    jobs = desk.full(2)
    for name in desk.ids:
        desk.module.on_members(desk.now, ListKind.DELTA, [Member(name, Presence.GONE)])
    for job in jobs:
        desk.end(job, Status.RESET)
    assert not desk.planner.worker_states


def test_an_idle_box_that_turns_a_large_job_away_is_not_waited_for() -> None:
    desk = Desk(1)
    for job in desk.full(1):
        desk.end(job, free=5.0)
    job = desk.ask(RELEASE, 8.0)
    assert desk.sent(job) == desk.ids[0]
    desk.end(job, Status.FULL, free=5.0)
    assert desk.planner.worker_states[desk.ids[0]].rejected_slots == 8.0
    again = desk.ask(RELEASE, 8.0)
    assert ("refuse", again) in desk.actions.log


@pytest.mark.parametrize("wrong", [0.1, 10.0])
def test_run_times_wrong_by_ten_times_end_no_job_without_an_answer(wrong: float) -> None:
    desk = Desk()
    desk.planner.estimates = RunTimeEstimates([wrong, 4.0 * wrong])
    for _ in range(40):
        desk.planner.estimates.learn(PROOF, 0, wrong)
        desk.planner.estimates.learn(RELEASE, 0, 4.0 * wrong)
    running = desk.full(4, RELEASE)
    jobs = [desk.ask(RELEASE, 2.0), desk.ask(), desk.ask()]
    for step in range(60):
        desk.pass_time(0.5)
        if step % 4 == 3 and running:
            desk.end(running.pop())
        for job in jobs:
            if desk.sent(job) and job in desk.module.jobs and job not in running:
                desk.begin(job)
                running.append(job)
    for job in jobs:
        assert desk.sent(job) is not None or desk.actions.log.count(("refuse", job)) == 1


WHAT = ("ask", "large", "huge", "end", "full", "fail", "drain", "back", "leave", "wait")
STEP = st.tuples(st.sampled_from(WHAT), st.integers(0, 11))


@given(st.lists(STEP, min_size=20, max_size=120))
def test_whatever_happens_no_more_is_held_than_there_is_and_only_for_living_jobs(
    steps: list[tuple[str, int]],
) -> None:
    plans = []
    for _ in range(2):  # the same steps twice: the plan must be the same
        desk = Desk(3, boxes_share=0.67)
        plan = []
        for what, number in steps:
            out = [j for j, job in desk.module.jobs.items() if job.in_flight()]
            if what == "ask":
                desk.ask()
            elif what in ("large", "huge"):
                desk.ask(RELEASE, 2.0 if what == "large" else 4.0)
            elif what in ("end", "full", "fail") and out:
                how = {"end": Status.OK, "full": Status.FULL, "fail": Status.ERROR}[what]
                desk.begin(out[number % len(out)])
                desk.end(out[number % len(out)], how, free=float(number % 5))
            elif what in ("drain", "back"):
                presence = Presence.DRAINING if what == "drain" else Presence.READY
                desk.module.on_members(desk.now, ListKind.DELTA, [Member(desk.ids[number % 3], presence)])
            elif what == "leave" and desk.module.jobs:
                desk.module.on_client_gone(desk.now, list(desk.module.jobs)[number % len(desk.module.jobs)])
            else:
                desk.pass_time(0.2 * number)
            planner, jobs = desk.planner, desk.module.jobs
            assert len(planner.by_worker) == len(planner.by_job) <= 2
            for held in planner.by_worker.values():
                assert planner.by_job[held.job.request.id] is held
                assert not held.job.done
                assert jobs[held.job.request.id] is held.job
                assert held.job.queued
                assert held.worker.ready
                assert not held.job.in_flight()
            assert set(planner.waiting) <= set(jobs)
            assert set(planner._excluded_since) <= {j for j, job in jobs.items() if not job.done}
            plan.append(sorted((job, held.worker.id) for job, held in planner.by_job.items()))
        plans.append(plan)
    assert plans[0] == plans[1]


def test_the_rest_of_a_run_is_read_off_its_distribution_and_not_off_a_mean() -> None:
    runs = RunTimes(1.0)
    for _ in range(90):
        runs.add(1.0)
    for _ in range(10):
        runs.add(20.0)
    assert runs.remaining(0.0, 0.5) == pytest.approx(1.0, rel=0.25)
    assert runs.remaining(2.0, 0.5) == pytest.approx(18.0, rel=0.25), (
        "what runs for 2 s is one of the long ones"
    )
    assert runs.remaining(60.0, 0.5) == 60.0, "longer than any seen: as long again"


@given(st.lists(st.floats(0.01, 100.0), min_size=8, max_size=60), st.floats(0.0, 120.0))
def test_a_larger_share_of_runs_never_ends_sooner(samples: list[float], elapsed: float) -> None:
    runs = RunTimes(1.0)
    for sample in samples:
        runs.add(sample)
    rests = [runs.remaining(elapsed, share) for share in (0.1, 0.5, 0.9)]
    assert 0.0 <= rests[0] <= rests[1] <= rests[2]


@pytest.mark.parametrize("what", FAULTS)
def test_a_fleet_that_holds_room_keeps_the_rules_through_each_fault(what: str) -> None:
    fleet, load = FleetSpec(boxes=5), LoadSpec(CLASSES, 14.0, keys=20)
    faults = [Fault(what, box, 2.0 + 3.0 * box, 5.0) for box in range(2)]
    world = World(Scenario(fleet, load, 2, seconds=12.0, faults=faults), 3, Planner)
    world.run()
    assert world.records.broken() == []
    assert summary(world)["jobs"] > 100
    assert all(job.ended for job in world.jobs)
    for dispatcher in world.dispatchers:
        assert isinstance(dispatcher.room, Planner)
        assert not dispatcher.room.by_worker, "room is held for nobody"


def test_a_dispatchers_reservations_die_with_it() -> None:
    fleet, load = FleetSpec(boxes=4), LoadSpec(CLASSES, 14.0, keys=16)
    world = World(Scenario(fleet, load, 2, seconds=12.0, crashes=[(0, 6.0)]), 5, Planner)
    world.run()
    assert world.records.broken() == []
    late = [job for job in world.jobs if job.due > world.jobs[0].due + 8.0]
    assert sum(job.ended == "served" for job in late) > len(late) / 4

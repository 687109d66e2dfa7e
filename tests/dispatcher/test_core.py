"""The core alone: one end for each send, one answer for each request, and what the module is told."""

from __future__ import annotations

from typing import Any

import pytest

from larchgw.dispatcher.core import Answer, AnswerKind, Attempt, Core, End, Request
from larchgw.dispatcher.core.requests import JobMessage, Reach
from larchgw.dispatcher.scheduling.interface import JobClass, ListKind, Member, Settings, Status
from larchgw.dispatcher.scheduling.scheduler import Dispatcher
from larchgw.dispatcher.workers.attempt_status import status_of
from larchgw.dispatcher.workers.discovery import ListReader
from larchgw.net.connection_outcome import ConnectionOutcome
from larchgw.net.timers import Clock, Deadlines


class HandClock(Clock):
    def __init__(self) -> None:
        self.time = 1000.0

    def now(self) -> float:
        return self.time


class Desk:
    """A front and a transport that do what they are told."""

    name = "desk"

    def __init__(self, classes: list[JobClass], max_open: int = 1000) -> None:
        self.clock, self.deadlines = HandClock(), Deadlines()
        settings = Settings(classes, tells_start=True, can_cancel=True, max_attempts=3)
        self.core = Core(settings, 1, self.clock, self.deadlines, max_open)
        self.core.add_transport(self)
        self.core.listed(ListKind.FULL, [Member(b"w%d" % n) for n in range(4)])
        self.sent: list[Attempt] = []
        self.given_up: list[Attempt] = []
        self.answers: list[tuple[bytes, Answer]] = []
        self.at_once: Status | None = None

    def take(self, name: bytes = b"r", wait: float = 5.0) -> Request:
        request = Request(self, name, 0, b"/job", b"body", wait)
        self.core.submit(request)
        return request

    def pass_time(self, seconds: float) -> None:
        end = self.clock.time + seconds
        while (due := self.deadlines.earliest()) is not None and due <= end:
            self.clock.time = max(self.clock.time, due)
            self.deadlines.run_due(self.clock.time)
        self.clock.time = end

    def answer(self, request: Request, answer: Answer) -> None:
        self.answers.append((request.name, answer))

    def news(self, request: Request, kind: JobMessage, data: bytes) -> None:
        pass

    def reach(self, worker: bytes, job_class: int) -> Reach:
        return Reach.NOW

    def send(self, attempt: Attempt) -> None:
        self.sent.append(attempt)
        if self.at_once is not None:
            self.core.ended(attempt, End(self.at_once))

    def give_up(self, attempt: Attempt, late: bool) -> Status:
        self.given_up.append(attempt)
        return Status.TIMEOUT if late else Status.CANCELLED

    def probe(self, worker: bytes) -> None:
        pass


SAFE = JobClass("p", 1.0, 5.0, effect="idempotent", stretch=2.0)
RELEASE = JobClass("r", 1.0, 5.0, effect="at_most_once", stretch=2.0)


def test_the_first_end_counts_and_the_second_is_dropped_and_counted() -> None:
    desk = Desk([SAFE])
    desk.take()
    attempt = desk.sent[0]
    desk.core.ended(attempt, End(Status.OK, b"made"))
    desk.core.ended(attempt, End(Status.RESET))
    desk.core.started(attempt)
    assert [a.result for _, a in desk.answers] == [b"made"]
    assert desk.core.counters.nonzero_values()["larchgw_late_events_total_end"] == 1
    assert desk.core.open_requests() == 0
    assert not desk.core.dispatcher.jobs
    assert all(w.pending_slots == 0 for w in desk.core.dispatcher.workers.values())


def test_an_end_within_the_send_does_not_enter_the_module_twice() -> None:
    desk = Desk([RELEASE])
    desk.at_once = Status.CONNECT_FAILED
    desk.take()
    desk.pass_time(6.0)
    assert 1 <= len(desk.sent) <= 3
    assert len({a.worker for a in desk.sent}) == len(desk.sent)
    assert [a.kind for _, a in desk.answers] == [AnswerKind.REFUSED]


@pytest.mark.parametrize(("cls", "kind"), [(SAFE, AnswerKind.REFUSED), (RELEASE, AnswerKind.FAILED)])
def test_what_is_silent_is_answered_before_its_client_gives_up(cls: JobClass, kind: AnswerKind) -> None:
    desk = Desk([cls])
    desk.core.settings.can_cancel = False
    request = desk.take()
    desk.pass_time(4.95)
    assert [a.kind for _, a in desk.answers] == [kind]
    assert desk.given_up == desk.sent
    assert request.attempts[0].status == Status.TIMEOUT
    assert desk.core.open_requests() == 0
    assert len(desk.deadlines) <= 1


def test_a_client_that_left_is_owed_nothing_and_its_attempt_is_given_up() -> None:
    desk = Desk([RELEASE])
    request = desk.take()
    desk.core.client_gone(request)
    assert desk.given_up == desk.sent
    assert desk.answers == []
    desk.core.ended(desk.sent[0], End(Status.OK, b"late"))
    assert desk.answers == []
    assert desk.core.open_requests() == 0


def test_a_request_that_the_module_forgets_fails_in_time(monkeypatch: pytest.MonkeyPatch) -> None:
    desk = Desk([RELEASE])
    monkeypatch.setattr(desk.core.dispatcher, "on_request", lambda *a: 1 / 0)
    desk.take()
    desk.pass_time(4.99)
    assert [a.kind for _, a in desk.answers] == [AnswerKind.FAILED]
    figures = desk.core.counters.nonzero_values()
    assert figures["larchgw_faults_total_decision"] == figures["larchgw_faults_total_overdue"] == 1


def test_over_the_cap_a_request_is_refused_before_the_module_sees_it() -> None:
    desk = Desk([SAFE], max_open=2)
    for n in range(4):
        desk.take(b"%d" % n)
    assert [name for name, _ in desk.answers] == [b"2", b"3"]
    assert len(desk.core.dispatcher.jobs) == 2


def test_a_sweep_ends_although_what_is_due_adds_what_is_due() -> None:
    deadlines = Deadlines()
    seen: list[int] = []

    def again() -> None:
        seen.append(1)
        deadlines.add(0.0, again)

    deadlines.add(0.0, again)
    dropped = deadlines.add(0.0, lambda: seen.append(2))
    deadlines.cancel(dropped)
    assert deadlines.run_due(1.0) == 1
    assert seen == [1]
    assert len(deadlines) == 1


@pytest.mark.parametrize("ending", list(ConnectionOutcome))
def test_every_ending_has_its_outcome_and_unwritten_requests_never_ran(ending: ConnectionOutcome) -> None:
    assert isinstance(status_of(ending), Status)
    assert status_of(ending, written=False) not in (Status.RESET, Status.TIMEOUT)


def test_a_box_known_only_by_its_connection_is_ready_until_discovery_says_otherwise() -> None:
    desk = Desk([SAFE])
    desk.core.worker_connected(b"g", restarted=True)
    assert desk.core.workers.takes_work(b"g")
    assert b"g" in desk.core.dispatcher.workers
    desk.core.listed(ListKind.DELTA, [Member(b"g", 2)])
    assert not desk.core.workers.takes_work(b"g")
    desk.core.worker_disconnected(b"g")
    assert b"g" in desk.core.dispatcher.workers  # discovery still names it
    desk.core.listed(ListKind.DELTA, [Member(b"g", 0)])
    assert b"g" not in desk.core.dispatcher.workers


@pytest.mark.parametrize(("kind", "members"), [(ListKind.FULL, []), (ListKind.DELTA, [Member(b"g", 0)])])
def test_a_drained_box_that_leaves_the_list_is_not_ready_again_for_being_connected(
    kind: ListKind, members: list[Member]
) -> None:
    desk = Desk([SAFE])
    desk.core.worker_connected(b"g", restarted=True)
    desk.core.listed(ListKind.FULL, [Member(b"g", 2)])
    desk.core.listed(kind, members)
    assert not desk.core.workers.takes_work(b"g")
    assert b"g" not in desk.core.dispatcher.workers


@pytest.mark.parametrize(("restarted", "cold"), [(True, True), (False, False)])
def test_a_box_that_comes_back_is_cold_unless_we_had_hung_up_on_it(restarted: bool, cold: bool) -> None:
    desk = Desk([SAFE])
    desk.clock.time += desk.core.settings.warm_up + 100
    desk.core.worker_connected(b"g", restarted)
    assert (desk.core.dispatcher.workers[b"g"].up_since > 0) is cold


def test_a_bad_list_counts_for_nothing_and_start_times_are_on_our_clock() -> None:
    reader = ListReader({"areas": ["a", "b"], "shapes": ["m1"]})
    entry = {
        "id": "s",
        "addr": "127.0.0.1:9",
        "zone": "b",
        "kind": "m1",
        "cell": 3,
        "state": "SERVING",
        "weight": 0.5,
        "started_ms": 1_700_000_000_500,
    }
    listing = reader.read({"version": 3, "full": True, "servers": [entry]})
    member = listing.members[0]
    assert (member.zone, member.kind, member.cell, member.up_since) == (1, 0, 3, 1_700_000_000.5)
    assert abs(Clock().now() - __import__("time").time()) < 1.0
    bad_lists: tuple[Any, ...] = (
        [],
        {"version": 1},
        {"version": 1, "full": True, "servers": [entry | {"state": "?"}]},
        {"version": 1, "full": True, "servers": [entry | {"addr": "nowhere"}]},
    )
    for bad in bad_lists:
        with pytest.raises(ValueError):
            reader.read(bad)


def _learned(module: Dispatcher, taken: float, *runs: float) -> None:
    """As if the module had seen warm boxes do so much, and these running times."""
    module.fleet.throughput.value = taken
    for index, run in enumerate(runs):
        module.run_times[index].value = module.fleet.work_estimates.by_class[index].value = run


def test_a_small_job_may_open_a_box_that_has_just_started() -> None:
    desk = Desk([SAFE, RELEASE])
    module, now = desk.core.dispatcher, desk.clock.now()
    (
        module.settings.warm_up,
        module.settings.cold_from,
        module.settings.tip_multiple,
        module.settings.tip_span,
    ) = 20.0, 0.15, 2.5, 3.0
    _learned(module, 3.0, 0.4, 5.0)
    desk.core.listed(ListKind.FULL, [Member(b"new", up_since=now)])
    assert 0.0 <= module.fleet.cold_start.tokens <= 0.4
    module.fleet.cold_start.tokens, desk.clock.time = 0.2, now + 0.1
    desk.core.submit(Request(desk, b"large", 1, b"/r", b"", 5.0))
    assert not desk.sent
    desk.core.submit(Request(desk, b"small", 0, b"/p", b"", 5.0))
    assert [a.request.name for a in desk.sent] == [b"small"]


def test_a_box_that_has_just_started_is_tried_though_the_window_is_shut_and_larger_jobs_wait() -> None:
    desk = Desk([SAFE, RELEASE])
    module, now = desk.core.dispatcher, desk.clock.now()
    (
        module.settings.warm_up,
        module.settings.cold_from,
        module.settings.tip_multiple,
        module.settings.tip_span,
    ) = 20.0, 0.15, 2.5, 3.0
    _learned(module, 3.0, 0.4, 5.0)
    module.window = module.active_slots = 4.0
    desk.core.listed(ListKind.FULL, [Member(b"old"), Member(b"new", up_since=now)])
    for n in range(20):
        desk.core.submit(Request(desk, b"large%d" % n, 1, b"/r", b"", 30.0))
    desk.core.submit(Request(desk, b"small", 0, b"/p", b"", 30.0))
    assert not desk.sent
    module.fleet.cold_start.tokens = 0.2
    desk.pass_time(0.1)
    assert [(a.worker, a.request.name) for a in desk.sent] == [(b"new", b"small")]

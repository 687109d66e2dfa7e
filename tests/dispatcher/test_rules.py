"""The four rules under random legal events, judged by a check that knows nothing of the module."""

from __future__ import annotations

import random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from larchgw import Dispatcher, Settings
from larchgw.dispatcher.estimates import Fleet
from larchgw.dispatcher.scheduling import scheduler
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
from tests.support.bench import Recorder

NEVER = (Status.FULL, Status.CONNECT_FAILED, Status.MOOT)
CLASSES = [
    JobClass("idempotent", 0.4, 3.0, 1.0, effect="idempotent", stretch=2.0),
    JobClass("zone", 0.4, 3.0, 2.0, effect="deduplicated", group="zone", window=2.0, stretch=2.0),
    JobClass("cell", 0.4, 3.0, 2.0, 0.5, effect="deduplicated", group="cell", window=2.0),
    JobClass("all", 0.4, 3.0, 2.0, effect="deduplicated", group="all", window=1.2),
    JobClass("at_most_once", 0.4, 3.0, 5.0, effect="at_most_once"),
]


class Judge(Recorder):
    """Keeps the rules' books and notes what breaks them."""

    def __init__(self, settings: Settings) -> None:
        super().__init__()
        self.s = settings
        self.now = 0.0
        self.members: dict[bytes, Member] = {}
        self.told_off: dict[bytes, float] = {}
        self.requests: dict[int, Request] = {}
        self.tries: dict[int, list[list[Any]]] = {}  # worker, sent, status or None
        self.closed: dict[int, float] = {}
        self.broken: list[str] = []

    def _may_have_run(self, request: int) -> list[list[Any]]:
        return [t for t in self.tries[request] if t[2] not in NEVER]

    def send(self, request: int, worker: bytes, timeout: float) -> None:
        super().send(request, worker, timeout)
        cls = self.s.classes[self.requests[request].job_class]
        before = self._may_have_run(request)
        if request in self.closed:
            self.broken.append("1: sent after its answer")
        if worker not in self.members:
            self.broken.append("3: sent to a worker never listed")
        if self.now > self.told_off.get(worker, 1e18) + self.s.drain_grace:
            self.broken.append("3: sent to a draining worker")
        if not self.s.second_copies and any(t[2] is None for t in self.tries[request]):
            self.broken.append("2: two at once")
        if before and cls.effect == "at_most_once":
            self.broken.append("2: at-most-once repeated")
        if before and cls.effect == "deduplicated":
            if self.now > min(t[1] for t in before) + cls.window:
                self.broken.append("2: deduplicated repeated when forgotten")
            for t in before:
                if cls.group != "all" and getattr(self.members[t[0]], cls.group) != getattr(
                    self.members[worker], cls.group
                ):
                    self.broken.append("2: deduplicated repeated outside its group")
        self.tries[request].append([worker, self.now, None])

    def refuse(self, request: int, retry_after: float) -> None:
        super().refuse(request, retry_after)
        cls = self.s.classes[self.requests[request].job_class]
        free = cls.effect == "idempotent" or (cls.effect == "deduplicated" and cls.group == "all")
        if not free and self._may_have_run(request):
            self.broken.append("2: refused what may have run")
        self._close(request)

    def fail(self, request: int) -> None:
        super().fail(request)
        self._close(request)

    def _close(self, request: int) -> None:
        if request in self.closed:
            self.broken.append("1: two final answers")
        self.closed[request] = self.now

    def late(self) -> list[int]:
        return [r for r, q in self.requests.items() if self.closed.get(r, 1e18) > q.give_up_at + 0.02]


def play(seed: int, judge: Judge, d: Dispatcher) -> None:
    """A stretch of random legal events: requests, notes, outcomes, list changes, cancels by clients."""
    dice = random.Random(seed)
    fleet = [
        Member(bytes([n, 1, 1, 1, 1, 1]), zone=n % 3, cell=n % 4, kind=n % 2, up_since=0.0) for n in range(9)
    ]
    judge.now = 50.0

    def tell(kind: int, members: list[Member]) -> None:
        for m in members:
            judge.members[m.worker] = m
            if m.presence == Presence.READY:
                judge.told_off.pop(m.worker, None)
            else:
                judge.told_off.setdefault(m.worker, judge.now)
        d.on_members(judge.now, kind, members)

    tell(ListKind.CACHED, fleet)
    open_tries: list[tuple[float, int, int, int]] = []
    seen: dict[int, int] = {}
    number = 0
    while judge.now < 62.0:
        judge.now += 0.005
        now = judge.now
        while due := [t for t in judge.timers if t[0] <= now]:
            judge.timers.remove(due[0])
            d.on_timer(now, due[0][1])
        if now < 57.0 and dice.random() < 0.3:
            number += 1
            request = Request(
                number, now + dice.choice([0.02, 0.3, 3.0]), dice.randrange(5), dice.randrange(6),
                slots=dice.choice([1.0, 2.0]), repeat=dice.random() < 0.1,
            )  # fmt: skip
            judge.requests[number], judge.tries[number] = request, []
            d.on_request(now, request)
        if dice.random() < 0.02:
            m = dice.choice(fleet)
            state = dice.choice([Presence.READY, Presence.READY, Presence.DRAINING, Presence.GONE])
            up = now if dice.random() < 0.3 else judge.members[m.worker].up_since
            tell(ListKind.DELTA, [Member(m.worker, state, up, m.kind, m.zone, m.cell)])
        if dice.random() < 0.005 and number:
            gone = dice.randrange(1, number + 1)
            if gone not in judge.closed:
                judge.closed[gone] = now
                d.on_client_gone(now, gone)
        for number_sent, tries in judge.tries.items():
            for index in range(seen.get(number_sent, 0), len(tries)):
                silent = dice.random() < 0.15
                open_tries.append((now + (99.0 if silent else dice.expovariate(3.0)), number_sent, index, 0))
            seen[number_sent] = len(tries)
        for entry in [e for e in open_tries if e[0] <= now or judge.requests[e[1]].give_up_at <= now]:
            open_tries.remove(entry)
            _, ended, index, _ = entry
            attempt = judge.tries[ended][index]
            if dice.random() < 0.3 and judge.requests[ended].give_up_at > now:
                d.on_attempt_progress(now, Note(ended, index, attempt[0]))
                open_tries.append((now + dice.expovariate(5.0), ended, index, 1))
                continue
            status = dice.choice([Status.OK, Status.OK, *Status])
            if judge.requests[ended].give_up_at <= now:
                status = Status.TIMEOUT
            attempt[2] = status
            if status == Status.OK and ended not in judge.closed:
                judge.closed[ended] = now
            d.on_outcome(
                now, Outcome(ended, index, attempt[0], status, ended in judge.closed, now - attempt[1])
            )


def settings(second: bool, start: bool, zones: int = 3) -> Settings:
    return Settings(
        CLASSES, instances=3, zones=zones, second_copies=second, can_cancel=second, tells_start=start,
        progress=1.0 if start else 0.0, max_attempts=4, drain_grace=0.1, cold_from=0.2, warm_up=5.0,
        tip_multiple=2.0, tip_span=1.0,
    )  # fmt: skip


@given(st.integers(0, 10_000), st.booleans(), st.booleans())
def test_rules_one_to_three_hold(seed: int, second: bool, start: bool) -> None:
    judge = Judge(settings(second, start))
    play(seed, judge, Dispatcher(judge.s, seed, judge))
    assert judge.broken == []
    assert judge.late() == []
    assert len(judge.requests) > 100
    assert len(judge.sends) > 20


PLANTS = {
    "1": (Dispatcher, "_refuse_or_fail", lambda self, now, job: None),
    "2": (scheduler, "may_refuse", lambda job: True),
    "3": (Dispatcher, "_set_ready", lambda self, worker, ready: setattr(worker, "ready", True)),
}


@pytest.mark.parametrize("rule", PLANTS)
def test_the_check_catches_a_planted_violation(rule: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(*PLANTS[rule])
    caught = []
    for seed in range(12):
        judge = Judge(settings(True, True))
        play(seed, judge, Dispatcher(judge.s, seed, judge))
        caught += judge.broken + ["1: late"] * bool(judge.late())
    assert any(c.startswith(rule) for c in caught)


def cold_sends(seed: int, instances: int = 8) -> float:
    """The most jobs that all together send a cold worker in one span, over what the rule allows."""
    s = settings(True, True, zones=1)
    s.classes = CLASSES[:1]
    s.instances = instances
    dice = random.Random(seed)
    hosts = []
    for rank in range(instances):
        judge = Judge(s)
        hosts.append((judge, Dispatcher(s, seed * 100 + rank, judge)))
    fleet = [Member(bytes([n, 1, 1, 1, 1, 1])) for n in range(4)]
    cold = Member(b"colder", up_since=20.0)
    arrivals: list[float] = []
    number, now, out = 0, 0.0, []
    while now < 26.0:
        now += 0.01
        for judge, d in hosts:
            judge.now = now
            if now == 0.01:
                judge.members = {m.worker: m for m in [*fleet, cold]}
                d.on_members(now, ListKind.FULL, fleet)
            if abs(now - 20.0) < 0.004:
                d.on_members(now, ListKind.DELTA, [cold])
            while due := [t for t in judge.timers if t[0] <= now]:
                judge.timers.remove(due[0])
                d.on_timer(now, due[0][1])
            if dice.random() < 0.03:
                number += 1
                judge.requests[number], judge.tries[number] = Request(number, now + 3.0, key=number), []
                d.on_request(now, judge.requests[number])
            for request, tries in judge.tries.items():
                for index, t in enumerate(tries):
                    if t[2] is None and t[1] == now and len(t) == 3:
                        t.append(True)
                        out.append((now + 0.2, judge, d, request, index))
                        if t[0] == cold.worker:
                            arrivals.append(now)
        for entry in [e for e in out if e[0] <= now]:
            out.remove(entry)
            _, judge, d, request, index = entry
            judge.tries[request][index][2] = Status.OK
            judge.closed[request] = now
            worker = judge.tries[request][index][0]
            d.on_outcome(now, Outcome(request, index, worker, Status.OK, True, 0.2))
    warm_rate = number / 26.0 / len(fleet)  # jobs a second that a warm worker bears
    worst = 0.0
    for at in (x for x in arrivals if x < 20.0 + s.warm_up):
        share = s.cold_from + (1 - s.cold_from) * (at - 20.0) / s.warm_up
        budget = s.tip_multiple * share * warm_rate * s.tip_span
        end = min(at + s.tip_span, 20.0 + s.warm_up)
        after = sum(at < x < end for x in arrivals)  # one job is the slack for chance
        worst = max(worst, after / budget)
    return worst


@pytest.mark.parametrize("seed", range(2))
def test_a_cold_worker_is_not_pushed_over_by_all_together(seed: int) -> None:
    assert cold_sends(seed) <= 1.0


def test_the_cold_check_catches_a_planted_violation(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Fleet, "may_use_cold_worker", lambda self, now, job, w: True)
    assert cold_sends(1) > 1.0

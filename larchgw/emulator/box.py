"""A render box: slots, cores, a queue, keys, load reports, cold starts, and all that can go wrong with it.

The model meets time through a `Timeline` and its visitors through `Work.say`: whoever brings it jobs, in
memory or over a socket. It decides nothing by the clock of the machine.
"""

from __future__ import annotations

import random
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from heapq import heappop, heappush
from itertools import count

from .timeline import Timeline
from .vault import Vault

WARM_STEP = 0.25  # seconds between two looks at the speed of a box that warms up
FAIL_TIME = 0.01  # seconds that a box takes to fail a job fast
TOLD_SHARE = 2.0 / 3.0  # of the work that pushes a box over, for the senders to have broken the rule
ERRORS_SPAN = 5.0  # seconds over which errors a second are counted


class Order(Enum):
    """How a box serves its queue."""

    FIFO = "fifo"  # the first waits until it fits
    BACKFILL = "backfill"  # whatever fits first
    PRIORITY = "priority"  # by priority, then in order; the first of them waits until it fits


class Said(Enum):
    """What a box says of a job."""

    FULL = "full"  # turned away or handed back, never begun
    STARTED = "started"
    PROGRESS = "progress"
    DONE = "done"
    FAILED = "failed"
    LOST = "lost"  # the job was killed, or its connection broke


@dataclass(slots=True, eq=False)
class Work:
    """One attempt of a job at a box; `seconds` is its running time at speed 1 with a core for each slot."""

    request: str
    seconds: float
    say: Callable[[Work, Said], None] = field(repr=False)
    key: int = 0
    slots: int = 1
    priority: int = 0
    serial: int = 0
    ends_at: float = 0.0  # on the box's own measure of work done; 0: it has not begun
    began: float = 0.0  # time
    holds: bool = False  # slots
    over: bool = False
    told: bool = True  # whether its sender has been told of the start of the box's present process


@dataclass(frozen=True, slots=True)
class BoxSpec:
    """What one box is."""

    name: str
    zone: int = 0
    kind: str = "gen4"
    cores: int = 5
    slots: int = 5
    queue: int = 10
    order: Order = Order.FIFO
    speed: float = 1.2
    noise: float = 0.3  # standard deviation of the logarithm of an attempt's running time
    keys: int = 8
    cold_from: float = 0.25
    cold_s: float = 15.0
    report_s: float = 1.0
    report_delay_s: float = 0.25
    drain_returns: bool = True
    tip_multiple: float = 2.5  # of its present capacity, sent within `tip_s`, knocks a cold box over
    tip_s: float = 3.0
    progress_s: float = 0.0  # between two progress reports of a running job; 0: none


@dataclass(slots=True)
class Begun:
    """The record of one run, kept by the box itself."""

    request: str
    at: float
    box: str


class Box:
    """One process that renders. Everything that begins to run here is written into `ran`."""

    def __init__(
        self,
        time: Timeline,
        spec: BoxSpec,
        vault: Vault,
        seed: int,
        ran: Callable[[Begun], None] = lambda begun: None,
    ) -> None:
        self.time, self.spec, self._vault, self._ran = time, spec, vault, ran
        self._random = random.Random(seed)
        self.up = True
        self.hung = self.draining = False
        self.slow = 1.0  # running times are multiplied by this
        self.fail_share = 0.0
        self.fell: list[float] = []  # when it was pushed over, by those who had been told of its start
        self.surprised = 0  # times that it fell over under work of others
        self.up_since = 0.0  # 0: long ago
        self.epoch = 0
        self.waiting: deque[Work] = deque()
        self.inside: dict[int, Work] = {}  # those that hold slots
        self.used = 0
        self.keys: OrderedDict[int, None] = OrderedDict()
        self._serial = count(1)
        self._done = 0.0  # work that each running job has had since the process began
        self._at = time.now()
        self._ends: list[tuple[float, int, Work]] = []
        self._timer: object = None
        self._errors: deque[float] = deque()
        self._arrived: deque[tuple[float, float, bool]] = deque()
        self.report: tuple[float, float, float] = (0.0, 0.0, float(spec.slots))  # eps, queue, x0
        time.at(time.now() + spec.report_s * self._random.random(), self._measure)

    # From visitors

    def offer(self, work: Work) -> None:
        """A job has come in whole. What becomes of it is said through `work.say`, perhaps at once."""
        spec = self.spec
        work.serial = next(self._serial)
        if not self.up:
            self._end(work, Said.LOST)
            return
        self._arrived.append((self.time.now(), work.seconds * work.slots, work.told))
        if self._tips():
            told = sum(work for _, work, told in self._arrived if told)
            if told >= TOLD_SHARE * sum(work for _, work, _ in self._arrived):
                self.fell.append(self.time.now())
            else:
                self.surprised += 1
            self.crash()
            return
        if self.hung:
            self.waiting.append(work)  # it takes what comes and says nothing
            return
        if self.fail_share and self._random.random() < self.fail_share:
            work.began = self.time.now()
            self._errors.append(work.began)
            self._ran(Begun(work.request, work.began, spec.name))
            self.time.at(work.began + FAIL_TIME, lambda: self._end(work, Said.FAILED))
            return
        fits = self.used + work.slots <= spec.slots and not self.waiting
        if self.draining or work.slots > spec.slots or not fits and len(self.waiting) >= spec.queue:
            self._end(work, Said.FULL)
            return
        self.waiting.append(work)
        self._fill()

    def cancel(self, work: Work) -> None:
        """Its visitor has closed the connection: it stops, and nothing more is said of it."""
        if work.over:
            return
        work.over = True
        if work.holds:
            self._free(work)
            self._fill()
        elif work in self.waiting:
            self.waiting.remove(work)
            self._fill()

    # Faults and operations

    def set_slow(self, factor: float) -> None:
        """From now on it takes so many times as long."""
        self._advance()
        self.slow = factor
        self._reschedule()

    def set_hung(self, hung: bool) -> None:
        self._advance()
        self.hung = hung
        self._reschedule()
        if not hung:
            self._fill()

    def drain(self) -> None:
        """Completes what it runs; hands back, where it does that, what has not begun."""
        self.draining = True
        if self.spec.drain_returns:
            back, self.waiting = list(self.waiting), deque()
            for work in back:
                self._end(work, Said.FULL)

    def crash(self) -> None:
        """The process ends: connections break, whatever ran is lost."""
        self._advance()
        self.up = False
        lost = list(self.waiting) + list(self.inside.values())
        self.waiting.clear()
        self.inside.clear()
        self._ends.clear()
        self.used = 0
        self.keys.clear()
        self.epoch += 1
        self.time.drop(self._timer)
        for work in lost:
            self._end(work, Said.LOST)

    def cut(self) -> None:
        """Every connection breaks, the process runs on: work without a visitor stops."""
        self._advance()
        lost = [*self.waiting, *self.inside.values()]
        self.waiting.clear()
        for work in lost:
            if work.holds:
                self._free(work)
            self._end(work, Said.LOST)
        self._reschedule()

    def start(self) -> None:
        """A new process: cold, and with nothing kept."""
        self.up, self.hung, self.draining = True, False, False
        self.up_since = self._at = self.time.now()
        self._done = 0.0
        self._arrived.clear()
        self._errors.clear()

    # What it is at present

    def warm(self) -> float:
        """The part of its full speed that it has."""
        if not self.up_since:
            return 1.0
        part = (self.time.now() - self.up_since) / self.spec.cold_s
        return self.spec.cold_from + (1.0 - self.spec.cold_from) * min(max(part, 0.0), 1.0)

    def rate(self) -> float:
        """Work that each running job gets a second."""
        if self.hung or not self.up:
            return 0.0
        share = min(self.spec.cores / self.used, 1.0) if self.used else 1.0
        return self.spec.speed * self.warm() * share / self.slow

    # Within

    def _tips(self) -> bool:
        """Whether more has come within the span than a cold box can bear."""
        now, span = self.time.now(), self.spec.tip_s
        while self._arrived and self._arrived[0][0] < now - span:
            self._arrived.popleft()
        warm = self.warm()
        if warm >= 1.0:
            return False
        capacity = self.spec.cores * self.spec.speed * warm
        sent = sum(work for _, work, _ in self._arrived)
        return len(self._arrived) > 2 and sent > self.spec.tip_multiple * capacity * span + 2.0

    def _fill(self) -> None:
        """Starts what may start."""
        if self.hung or not self.up:
            return
        while self.waiting:
            work = self._next()
            if work is None:
                return
            self.waiting.remove(work)
            self._advance()
            work.holds = True
            self.inside[work.serial] = work
            self.used += work.slots
            work.began = self.time.now()
            self._ran(Begun(work.request, work.began, self.spec.name))
            work.say(work, Said.STARTED)  # with its slots; the fetch is part of its run
            if work.over:
                continue
            if self.spec.progress_s > 0:
                self.time.at(work.began + self.spec.progress_s, lambda work=work: self._progress(work))  # type: ignore[misc]
            if work.key and work.key not in self.keys:
                epoch = self.epoch
                self._vault.fetch(lambda work=work, epoch=epoch: self._fetched(work, epoch))  # type: ignore[misc]
                self._reschedule()
            else:
                self._begin(work)

    def _next(self) -> Work | None:
        order = self.spec.order
        if order is Order.PRIORITY:
            first = max(self.waiting, key=lambda w: (w.priority, -w.serial))
            return first if self.used + first.slots <= self.spec.slots else None
        for work in self.waiting:
            if self.used + work.slots <= self.spec.slots:
                return work
            if order is Order.FIFO:
                return None
        return None

    def _fetched(self, work: Work, epoch: int) -> None:
        if epoch == self.epoch:
            self.keys[work.key] = None
            while len(self.keys) > self.spec.keys:
                self.keys.popitem(last=False)
            if not work.over:
                self._begin(work)

    def _begin(self, work: Work) -> None:
        self._advance()
        if work.key in self.keys:
            self.keys.move_to_end(work.key)
        work.ends_at = self._done + work.seconds * self._random.lognormvariate(0.0, self.spec.noise)
        heappush(self._ends, (work.ends_at, work.serial, work))
        self._reschedule()

    def _progress(self, work: Work) -> None:
        if work.over or not self.up:
            return
        if not self.hung:
            work.say(work, Said.PROGRESS)
        self.time.at(self.time.now() + self.spec.progress_s, lambda: self._progress(work))

    def _advance(self) -> None:
        now = self.time.now()
        self._done += self.rate() * max(now - self._at, 0.0)
        self._at = now

    def _reschedule(self) -> None:
        self.time.drop(self._timer)
        self._timer = None
        while self._ends and self._ends[0][2].over:
            heappop(self._ends)
        rate = self.rate()
        if not self._ends or rate <= 0.0:
            return
        due = self._at + max(self._ends[0][0] - self._done, 0.0) / rate
        if self.warm() < 1.0:
            due = min(due, self._at + WARM_STEP)
        self._timer = self.time.at(due, self._due)

    def _due(self) -> None:
        self._timer = None
        self._advance()
        while self._ends and self._ends[0][0] <= self._done + 1e-9:
            work = heappop(self._ends)[2]
            if not work.over:
                self._free(work)
                self._end(work, Said.DONE)
        self._fill()
        self._reschedule()

    def _free(self, work: Work) -> None:
        self._advance()
        if self.inside.pop(work.serial, None) is not None:
            self.used -= work.slots
        work.holds = False
        self._reschedule()

    def _end(self, work: Work, said: Said) -> None:
        if not work.over:
            work.over = True
            work.say(work, said)

    def _measure(self) -> None:
        """Takes a load report, which is to be had after its delay."""
        now = self.time.now()
        while self._errors and self._errors[0] < now - ERRORS_SPAN:
            self._errors.popleft()
        free = float(self.spec.slots - self.used)
        taken = (len(self._errors) / ERRORS_SPAN, float(len(self.waiting)), free)
        self.time.at(now + self.spec.report_delay_s, lambda: setattr(self, "report", taken))
        self.time.at(now + self.spec.report_s * self._random.uniform(0.8, 1.2), self._measure)

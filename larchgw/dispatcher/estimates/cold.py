"""Turns at workers that have just started, so that all dispatchers together do not push one over.

The rule counts work: what is sent to a cold worker within `tip_span` seconds must stay under `tip_multiple`
times what the worker can do at present. No dispatcher sees what the others send. One that kept a budget for
each worker would, as one of 200, wait minutes for its turn at any of them while all stand idle. So what falls
to it at all cold workers together is one budget, and each turn goes to a worker drawn by its part of it: what
comes to a worker from all of them then scatters around its mean by its root, whatever their number.

That scatter is dear: four roots below the rule leave a worker that has just started a sixth of what it
can do.
Where each dispatcher is told its rank, turns go by rota in place of lots: none scatter, but for jobs' sizes.
"""

from __future__ import annotations

import random
from bisect import bisect
from collections.abc import Callable
from itertools import accumulate
from math import log2, sqrt

from ..scheduling.interface import Settings
from ..scheduling.records import Worker
from .mixing import MASK

# Share of the rule's budget that is planned with, and roots of what arrives that are kept below that. Turns
# that are saved up come one by one; lots fall at random, and at few jobs a span four roots are what leaves
# one span in ten thousand over the rule.
SAFE, ROOTS = 0.8, 3.0
LOT_SAFE, LOT_ROOTS = 0.85, 4.0
LARGE = 0.5  # of a worker's budget: a job of more than that is not for it yet
FIRST = 0.4  # of a mean job: what each of a few senders may have saved up for a worker that has just started
FEW = 3.0  # senders that may
MANY = 10  # dispatchers from which lots are drawn
PLANNED = 1.3  # of a worker's present capacity: what turns by rota give it in mean jobs
LARGE_TURNS = 4  # one of so many turns by rota may go to a job larger than the mean
TRIES = 4  # workers drawn until one may have the turn
RECKON = 0.1  # seconds for which the sum over all cold workers is kept


class ColdTurns:
    """One dispatcher's budget at cold workers, in mean jobs."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        able: Callable[[Worker], float],
        mean_job: Callable[[], float],
        flow: Callable[[], float],
        uneven: Callable[[], float] = lambda: 1.0,
    ) -> None:
        """`able`: slot seconds a second that this worker can do when warm, as on a usual worker.

        `mean_job`: slot seconds of a job; `flow`: jobs a second that come to all dispatchers, 0 if not known.
        """
        self.s, self._able, self._mean_job, self._flow = settings, able, mean_job, flow
        self._uneven = uneven  # mean square of jobs' sizes over the square of their mean
        self._random = random.Random(seed)
        self.workers: dict[bytes, Worker] = {}
        self.tokens, self._at = 0.0, 0.0
        self.parts = 1  # processes that act as this one dispatcher
        self._turn: Worker | None = None
        self._lot = -1  # of the job whose turn it is, where lots are drawn
        self._drawn: list[Worker] = []
        self._sums: list[float] = []  # of their rates, each with those before it
        self._total, self._reckoned = 0.0, -1.0
        self._used: dict[bytes, int] = {}  # by rota: the last turn of ours there that we have used

    def joined(self, now: float, worker: Worker) -> None:
        """A worker has started. Few senders give it a first small job at once: it shows that it works."""
        self._accrue(now)
        self.workers[worker.id] = worker
        self._used.pop(worker.id, None)  # its turns are counted from its start
        self.tokens += FIRST * self._random.random() * min(1.0, FEW / self.s.instances)
        self._reckoned = -1.0

    def left(self, worker: Worker) -> None:
        """It is gone, or warm."""
        self._used.pop(worker.id, None)
        if self.workers.pop(worker.id, None) is not None:
            self._reckoned = -1.0
        if self._turn is worker:
            self._turn = None

    def share(self, now: float, worker: Worker) -> float:
        """The part of its capacity that a worker has warmed up to at the least."""
        part = (now - worker.up_since) / max(self.s.warm_up, 1e-3)
        return self.s.cold_from + (1.0 - self.s.cold_from) * min(max(part, 0.0), 1.0)

    def budget(self, now: float, worker: Worker) -> float:
        """Mean jobs that may be sent there within a span, by all."""
        present = self._able(worker) * self.share(now, worker)
        safe = LOT_SAFE if self.lots() else SAFE
        return safe * self.s.tip_multiple * present * self.s.tip_span / max(self._mean_job(), 1e-3)

    def rate(self, now: float, worker: Worker) -> float:
        """Mean jobs a second, of all dispatchers, that keep so many roots below the budget."""
        # Jobs are of very unlike sizes, and a few large ones scatter more than as many mean ones.
        unit = max(self._uneven(), 1.0) if self.lots() else 1.0
        half = (LOT_ROOTS if self.lots() else ROOTS) / 2.0
        units = (sqrt(half * half + self.budget(now, worker) / unit) - half) ** 2
        return float(units * unit) / self.s.tip_span

    def mine(self, now: float, worker: Worker) -> int:
        """The number of the turn there that is ours and not used; 0 if there is none.

        A turn lasts for as long as the worker takes for a mean job. All read its start off the list, and
        reckon with the same clock, so they agree on where turns begin; whose it is goes round by rank.
        """
        age, warm_up = max(now - worker.up_since, 0.0), max(self.s.warm_up, 1e-3)
        done = self.s.cold_from * age + (1.0 - self.s.cold_from) * age * age / (2.0 * warm_up)  # seconds
        unit = max(self._mean_job(), 1e-3) / (PLANNED * max(self._able(worker), 1.0))
        unit = 2.0 ** round(log2(unit))  # estimates differ a little; most agree on the power of two
        number = int(done / unit) + 1
        length = unit / self.share(now, worker)
        # So many that one of them has a job within the turn; mostly just one.
        many = 1
        if self._flow() > 0.0:
            many = max(round(self.s.instances / max(self._flow() * length, 1e-3)), 1)
        n = self.s.instances
        if (self.s.rank + worker.point + number * many) % n >= many or self._used.get(worker.id) == number:
            return 0
        return number

    def lots(self) -> bool:
        """Whether dispatchers are so many that lots are drawn."""
        return self.s.instances > MANY and self._flow() > 0.0 and not self.rota()

    def rota(self) -> bool:
        """Whether turns go round by rank and clock; not while two processes would take those of one rank."""
        return self.s.rank >= 0 and self.s.instances > MANY and self.parts == 1

    def _reckon(self, now: float) -> None:
        if 0.0 <= now - self._reckoned < RECKON:
            return
        for worker in [w for w in self.workers.values() if now >= w.warm_at]:
            self.left(worker)
        self._reckoned = now
        self._drawn = [w for w in self.workers.values() if w.ready]
        self._sums = [] if self.rota() else list(accumulate(self.rate(now, w) for w in self._drawn))
        self._total = (self._sums[-1] if self._sums else 0.0) / self.s.instances / self.parts

    def _accrue(self, now: float) -> None:
        self._reckon(now)
        self.tokens += max(now - self._at, 0.0) * self._total
        self._at = now
        # A turn not used within the span is lost: turns that all have saved up would be used in one burst.
        self.tokens = min(self.tokens, 1.0 + self._total * self.s.tip_span)

    def turn(self, now: float, draw: int, fit: Callable[[Worker], bool]) -> Worker | None:
        """The cold worker whose turn it is, drawn by what falls to it; `fit` says which may have one at all.

        `draw` is a hash of the job. Where dispatchers are many, it decides by lot whether the job goes to a
        cold worker: each of them has a job or two while its budget grows by a hundredth of one, and those
        that have most jobs would have no more turns than the rest.
        """
        if not self.workers:
            return None
        self._accrue(now)
        if self.rota():
            ours = [w for w in self._drawn if self.mine(now, w) and fit(w)]
            return self._random.choice(ours) if ours else None
        if self.lots():
            lot = draw / (MASK + 1) * self._flow() * self.parts
            self._turn = self._pick(lot) if self._sums and lot < self._sums[-1] else None
            if self._turn is not None and not fit(self._turn):
                self._turn = None
            self._lot, self.tokens = draw, 1.0  # what the lot gave, and nothing is saved up
            return self._turn
        for _ in range(TRIES):
            if self._turn is not None and fit(self._turn):
                return self._turn
            self._turn = self._pick(self._random.random() * self._sums[-1]) if self._sums else None
        self._turn = None
        return None

    def _pick(self, at: float) -> Worker:
        return self._drawn[bisect(self._sums, at) % len(self._drawn)]

    def may(self, now: float, worker: Worker, draw: int, cost: float) -> bool:
        """Whether it is this worker's turn, and a job of so many mean jobs may take it.

        A lot is the drawn job's alone: others, whose keys have their home there, would come on top.
        """
        self._accrue(now)
        if self.rota():
            number = self.mine(now, worker)
            # Were any turn open to large jobs, many of those in a row would push it over now and then.
            most = LARGE * self.budget(now, worker) if number % LARGE_TURNS == 0 else 1.0
            return number > 0 and cost <= max(most, 1.0)
        if worker is not self._turn or (self.lots() and draw != self._lot):
            return False
        if cost > LARGE * self.budget(now, worker):
            return False
        return self.tokens >= min(cost, 1.0)

    def spent(self, now: float, worker: Worker, cost: float) -> None:
        """A job has gone to a cold worker."""
        self._accrue(now)
        if self.rota():
            self._used[worker.id] = self.mine(now, worker)
            return
        self.tokens -= cost
        self._turn = None

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
BUDGET_SHARE, BUDGET_ROOTS = 0.8, 3.0
LOTTERY_BUDGET_SHARE, LOTTERY_BUDGET_ROOTS = 0.85, 4.0
MAX_JOB_SHARE = 0.5  # of a worker's budget: a job of more than that is not for it yet
FIRST_JOB_TOKENS = (
    0.4  # of a mean job: what each of a few senders may have saved up for a worker that has just started
)
FIRST_SENDERS = 3.0  # senders that may
FEW_DISPATCHERS = 10  # dispatchers from which lots are drawn
ROTATION_LOAD = 1.3  # of a worker's present capacity: what turns by rota give it in mean jobs
LARGE_JOB_TURNS = 4  # one of so many turns by rota may go to a job larger than the mean
MAX_DRAWS = 4  # workers drawn until one may have the turn
RATE_REFRESH = 0.1  # seconds for which the sum over all cold workers is kept


class ColdStartLimiter:
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
        self.settings, self._capacity, self._mean_job, self._arrival_rate = settings, able, mean_job, flow
        self._size_dispersion = uneven  # mean square of jobs' sizes over the square of their mean
        self._random = random.Random(seed)
        self.workers: dict[bytes, Worker] = {}
        self.tokens, self._accrued_at = 0.0, 0.0
        self.processes = 1  # processes that act as this one dispatcher
        self._next_worker: Worker | None = None
        self._winning_hash = -1  # of the job whose turn it is, where lots are drawn
        self._candidates: list[Worker] = []
        self._cumulative_rates: list[float] = []  # of their rates, each with those before it
        self._own_rate, self._rates_at = 0.0, -1.0
        self._used_turns: dict[bytes, int] = {}  # by rota: the last turn of ours there that we have used

    def on_worker_started(self, now: float, worker: Worker) -> None:
        """A worker has started. Few senders give it a first small job at once: it shows that it works."""
        self._accrue(now)
        self.workers[worker.id] = worker
        self._used_turns.pop(worker.id, None)  # its turns are counted from its start
        self.tokens += (
            FIRST_JOB_TOKENS * self._random.random() * min(1.0, FIRST_SENDERS / self.settings.instances)
        )
        self._rates_at = -1.0

    def remove(self, worker: Worker) -> None:
        """It is gone, or warm."""
        self._used_turns.pop(worker.id, None)
        if self.workers.pop(worker.id, None) is not None:
            self._rates_at = -1.0
        if self._next_worker is worker:
            self._next_worker = None

    def warm_share(self, now: float, worker: Worker) -> float:
        """The part of its capacity that a worker has warmed up to at the least."""
        part = (now - worker.up_since) / max(self.settings.warm_up, 1e-3)
        return self.settings.cold_from + (1.0 - self.settings.cold_from) * min(max(part, 0.0), 1.0)

    def budget(self, now: float, worker: Worker) -> float:
        """Mean jobs that may be sent there within a span, by all."""
        present = self._capacity(worker) * self.warm_share(now, worker)
        safe = LOTTERY_BUDGET_SHARE if self.uses_lottery() else BUDGET_SHARE
        return (
            safe * self.settings.tip_multiple * present * self.settings.tip_span / max(self._mean_job(), 1e-3)
        )

    def rate(self, now: float, worker: Worker) -> float:
        """Mean jobs a second, of all dispatchers, that keep so many roots below the budget."""
        # Jobs are of very unlike sizes, and a few large ones scatter more than as many mean ones.
        unit = max(self._size_dispersion(), 1.0) if self.uses_lottery() else 1.0
        half = (LOTTERY_BUDGET_ROOTS if self.uses_lottery() else BUDGET_ROOTS) / 2.0
        units = (sqrt(half * half + self.budget(now, worker) / unit) - half) ** 2
        return float(units * unit) / self.settings.tip_span

    def own_turn(self, now: float, worker: Worker) -> int:
        """The number of the turn there that is ours and not used; 0 if there is none.

        A turn lasts for as long as the worker takes for a mean job. All read its start off the list, and
        reckon with the same clock, so they agree on where turns begin; whose it is goes round by rank.
        """
        age, warm_up = max(now - worker.up_since, 0.0), max(self.settings.warm_up, 1e-3)
        # Seconds
        done = self.settings.cold_from * age + (1.0 - self.settings.cold_from) * age * age / (2.0 * warm_up)
        unit = max(self._mean_job(), 1e-3) / (ROTATION_LOAD * max(self._capacity(worker), 1.0))
        unit = 2.0 ** round(log2(unit))  # estimates differ a little; most agree on the power of two
        number = int(done / unit) + 1
        length = unit / self.warm_share(now, worker)
        # So many that one of them has a job within the turn; mostly just one.
        many = 1
        if self._arrival_rate() > 0.0:
            many = max(round(self.settings.instances / max(self._arrival_rate() * length, 1e-3)), 1)
        n = self.settings.instances
        if (self.settings.rank + worker.ring_hash + number * many) % n >= many or self._used_turns.get(
            worker.id
        ) == number:
            return 0
        return number

    def uses_lottery(self) -> bool:
        """Whether dispatchers are so many that lots are drawn."""
        return (
            self.settings.instances > FEW_DISPATCHERS
            and self._arrival_rate() > 0.0
            and not self.uses_rotation()
        )

    def uses_rotation(self) -> bool:
        """Whether turns go round by rank and clock; not while two processes would take those of one rank."""
        return self.settings.rank >= 0 and self.settings.instances > FEW_DISPATCHERS and self.processes == 1

    def _refresh_rates(self, now: float) -> None:
        if 0.0 <= now - self._rates_at < RATE_REFRESH:
            return
        for worker in [w for w in self.workers.values() if now >= w.warm_at]:
            self.remove(worker)
        self._rates_at = now
        self._candidates = [w for w in self.workers.values() if w.ready]
        self._cumulative_rates = (
            [] if self.uses_rotation() else list(accumulate(self.rate(now, w) for w in self._candidates))
        )
        self._own_rate = (
            (self._cumulative_rates[-1] if self._cumulative_rates else 0.0)
            / self.settings.instances
            / self.processes
        )

    def _accrue(self, now: float) -> None:
        self._refresh_rates(now)
        self.tokens += max(now - self._accrued_at, 0.0) * self._own_rate
        self._accrued_at = now
        # A turn not used within the span is lost: turns that all have saved up would be used in one burst.
        self.tokens = min(self.tokens, 1.0 + self._own_rate * self.settings.tip_span)

    def next_worker(self, now: float, draw: int, fit: Callable[[Worker], bool]) -> Worker | None:
        """The cold worker whose turn it is, drawn by what falls to it; `fit` says which may have one at all.

        `draw` is a hash of the job. Where dispatchers are many, it decides by lot whether the job goes to a
        cold worker: each of them has a job or two while its budget grows by a hundredth of one, and those
        that have most jobs would have no more turns than the rest.
        """
        if not self.workers:
            return None
        self._accrue(now)
        if self.uses_rotation():
            ours = [w for w in self._candidates if self.own_turn(now, w) and fit(w)]
            return self._random.choice(ours) if ours else None
        if self.uses_lottery():
            lot = draw / (MASK + 1) * self._arrival_rate() * self.processes
            self._next_worker = (
                self._worker_at(lot) if self._cumulative_rates and lot < self._cumulative_rates[-1] else None
            )
            if self._next_worker is not None and not fit(self._next_worker):
                self._next_worker = None
            self._winning_hash, self.tokens = draw, 1.0  # what the lot gave, and nothing is saved up
            return self._next_worker
        for _ in range(MAX_DRAWS):
            if self._next_worker is not None and fit(self._next_worker):
                return self._next_worker
            self._next_worker = (
                self._worker_at(self._random.random() * self._cumulative_rates[-1])
                if self._cumulative_rates
                else None
            )
        self._next_worker = None
        return None

    def _worker_at(self, at: float) -> Worker:
        return self._candidates[bisect(self._cumulative_rates, at) % len(self._candidates)]

    def may_send(self, now: float, worker: Worker, draw: int, cost: float) -> bool:
        """Whether it is this worker's turn, and a job of so many mean jobs may take it.

        A lot is the drawn job's alone: others, whose keys have their home there, would come on top.
        """
        self._accrue(now)
        if self.uses_rotation():
            number = self.own_turn(now, worker)
            # Were any turn open to large jobs, many of those in a row would push it over now and then.
            most = MAX_JOB_SHARE * self.budget(now, worker) if number % LARGE_JOB_TURNS == 0 else 1.0
            return number > 0 and cost <= max(most, 1.0)
        if worker is not self._next_worker or (self.uses_lottery() and draw != self._winning_hash):
            return False
        if cost > MAX_JOB_SHARE * self.budget(now, worker):
            return False
        return self.tokens >= min(cost, 1.0)

    def on_sent(self, now: float, worker: Worker, cost: float) -> None:
        """A job has gone to a cold worker."""
        self._accrue(now)
        if self.uses_rotation():
            self._used_turns[worker.id] = self.own_turn(now, worker)
            return
        self.tokens -= cost
        self._next_worker = None

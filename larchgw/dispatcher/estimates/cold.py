"""Limits jobs sent to workers that have just started, so that all dispatchers together overload none.

The rule counts work: what is sent to a cold worker within `tip_span` seconds must stay under `tip_multiple`
times its present capacity. No dispatcher sees what the others send. With a separate budget for each worker,
one of 200 dispatchers would wait minutes for its turn at any of them while all workers stand idle. So each
dispatcher has one budget for all cold workers together, and each turn goes to a worker drawn in proportion
to its part of the budget. The arrivals at a worker from all dispatchers then vary around their mean by the
square root of the mean, whatever the number of dispatchers.

That variance is costly: a margin of four square roots below the limit leaves a worker that has just started a
sixth of its capacity. Where each dispatcher knows its rank, turns rotate instead of being drawn by lottery.
Arrivals then vary only with the job sizes.
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

# Share of the permitted budget that is used for planning, and the safety margin below it in square roots of
# the arrivals. Accrued turns come one by one, but lottery wins come at random: with few jobs in a span, a
# margin of four roots leaves one span in ten thousand over the limit.
BUDGET_SHARE, BUDGET_ROOTS = 0.8, 3.0
LOTTERY_BUDGET_SHARE, LOTTERY_BUDGET_ROOTS = 0.85, 4.0
MAX_JOB_SHARE = 0.5  # largest share of the budget of a cold worker that one job may take
FIRST_JOB_TOKENS = 0.4  # upper bound, in mean jobs, of the tokens that a sender gets when a worker starts
FIRST_SENDERS = 3.0  # number of dispatchers above which the initial tokens of each shrink in proportion
FEW_DISPATCHERS = 10  # largest number of dispatchers that works without lottery or rotation
ROTATION_LOAD = 1.3  # load that rotation plans for a worker, in mean jobs, relative to its present capacity
LARGE_JOB_TURNS = 4  # every n-th turn in the rotation may go to a job larger than the mean
MAX_DRAWS = 4  # attempts to draw a suitable worker for a turn
RATE_REFRESH = 0.1  # seconds for which the total rate of all cold workers is cached


class ColdStartLimiter:
    """Budget of one dispatcher for jobs to cold workers, in mean jobs."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        able: Callable[[Worker], float],
        mean_job: Callable[[], float],
        flow: Callable[[], float],
        uneven: Callable[[], float] = lambda: 1.0,
    ) -> None:
        """Takes callbacks for the current estimates.

        `able`: capacity of a warm worker in slot seconds per second, in terms of a typical worker;
        `mean_job`: slot seconds of a mean job; `flow`: jobs per second at all dispatchers, 0 if unknown;
        `uneven`: dispersion of the job sizes.
        """
        self.settings, self._capacity, self._mean_job, self._arrival_rate = settings, able, mean_job, flow
        self._size_dispersion = uneven  # mean square of the job sizes divided by the square of their mean
        self._random = random.Random(seed)
        self.workers: dict[bytes, Worker] = {}
        self.tokens, self._accrued_at = 0.0, 0.0
        self.processes = 1  # processes that act as this one dispatcher
        self._next_worker: Worker | None = None
        self._winning_hash = -1  # hash of the job that won the lottery
        self._candidates: list[Worker] = []
        self._cumulative_rates: list[float] = []  # prefix sums of the rates of the candidates
        self._own_rate, self._rates_at = 0.0, -1.0
        # Last turn of the rotation that this dispatcher used, by worker
        self._used_turns: dict[bytes, int] = {}

    def on_worker_started(self, now: float, worker: Worker) -> None:
        """Handles the start of a worker. A few senders send a small first job at once as a check."""
        self._accrue(now)
        self.workers[worker.id] = worker
        self._used_turns.pop(worker.id, None)  # its turns are counted from its start
        self.tokens += (
            FIRST_JOB_TOKENS * self._random.random() * min(1.0, FIRST_SENDERS / self.settings.instances)
        )
        self._rates_at = -1.0

    def remove(self, worker: Worker) -> None:
        """Removes a worker that is gone or has become warm."""
        self._used_turns.pop(worker.id, None)
        if self.workers.pop(worker.id, None) is not None:
            self._rates_at = -1.0
        if self._next_worker is worker:
            self._next_worker = None

    def warm_share(self, now: float, worker: Worker) -> float:
        """Lower bound on the share of its capacity that a worker has reached while warming up."""
        part = (now - worker.up_since) / max(self.settings.warm_up, 1e-3)
        return self.settings.cold_from + (1.0 - self.settings.cold_from) * min(max(part, 0.0), 1.0)

    def budget(self, now: float, worker: Worker) -> float:
        """Mean jobs that all dispatchers together may send to a worker within a span."""
        present = self._capacity(worker) * self.warm_share(now, worker)
        safe = LOTTERY_BUDGET_SHARE if self.uses_lottery() else BUDGET_SHARE
        return (
            safe * self.settings.tip_multiple * present * self.settings.tip_span / max(self._mean_job(), 1e-3)
        )

    def rate(self, now: float, worker: Worker) -> float:
        """Mean jobs per second from all dispatchers that keep the safety margin below the budget."""
        # Job sizes differ widely, and a few large jobs add more variance than as many mean ones.
        unit = max(self._size_dispersion(), 1.0) if self.uses_lottery() else 1.0
        half = (LOTTERY_BUDGET_ROOTS if self.uses_lottery() else BUDGET_ROOTS) / 2.0
        units = (sqrt(half * half + self.budget(now, worker) / unit) - half) ** 2
        return float(units * unit) / self.settings.tip_span

    def own_turn(self, now: float, worker: Worker) -> int:
        """Number of the current turn at a worker if it is ours and unused, else 0.

        A turn lasts as long as the worker takes for a mean job. All dispatchers read the start of the worker
        from the list and use the same clock, so they agree on where turns begin. Turns rotate by rank.
        """
        age, warm_up = max(now - worker.up_since, 0.0), max(self.settings.warm_up, 1e-3)
        # Work done since the start, in seconds at full capacity.
        done = self.settings.cold_from * age + (1.0 - self.settings.cold_from) * age * age / (2.0 * warm_up)
        unit = max(self._mean_job(), 1e-3) / (ROTATION_LOAD * max(self._capacity(worker), 1.0))
        # Estimates differ a little between dispatchers; most agree on the nearest power of two.
        unit = 2.0 ** round(log2(unit))
        number = int(done / unit) + 1
        length = unit / self.warm_share(now, worker)
        # Dispatchers that share a turn, so that one of them has a job within it; mostly just one.
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
        """Whether there are so many dispatchers that a lottery assigns the turns."""
        return (
            self.settings.instances > FEW_DISPATCHERS
            and self._arrival_rate() > 0.0
            and not self.uses_rotation()
        )

    def uses_rotation(self) -> bool:
        """Whether turns rotate by rank and clock; not while two processes would use the turns of one rank."""
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
        # Unused turns expire after the span: turns saved up by all dispatchers would be used in one burst.
        self.tokens = min(self.tokens, 1.0 + self._own_rate * self.settings.tip_span)

    def next_worker(self, now: float, draw: int, fit: Callable[[Worker], bool]) -> Worker | None:
        """The cold worker for the next turn, drawn in proportion to its rate, among those that `fit` accepts.

        `draw` is a hash of the job. With many dispatchers, it decides by lottery whether the job goes to a
        cold worker. Each dispatcher gets a job or two while its budget grows by a hundredth of a job, and
        with budgets the dispatchers with the most jobs would have no more turns than the rest.
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
            self._winning_hash, self.tokens = draw, 1.0  # lottery wins do not accumulate
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
        """Whether it is the turn of this worker and a job of `cost` mean jobs may take it.

        A lottery win is valid only for the job that was drawn. Other jobs, whose keys have their home at the
        worker, would come on top.
        """
        self._accrue(now)
        if self.uses_rotation():
            number = self.own_turn(now, worker)
            # If every turn were open to large jobs, a run of these would overload the worker now and then.
            most = MAX_JOB_SHARE * self.budget(now, worker) if number % LARGE_JOB_TURNS == 0 else 1.0
            return number > 0 and cost <= max(most, 1.0)
        if worker is not self._next_worker or (self.uses_lottery() and draw != self._winning_hash):
            return False
        if cost > MAX_JOB_SHARE * self.budget(now, worker):
            return False
        return self.tokens >= min(cost, 1.0)

    def on_sent(self, now: float, worker: Worker, cost: float) -> None:
        """Handles the sending of a job to a cold worker."""
        self._accrue(now)
        if self.uses_rotation():
            self._used_turns[worker.id] = self.own_turn(now, worker)
            return
        self.tokens -= cost
        self._next_worker = None

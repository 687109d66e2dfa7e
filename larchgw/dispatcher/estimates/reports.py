"""Schedules probes of workers that report only when asked, and estimates their load from the answers.

A report is refreshed only now and then and arrives late: it is about as old as a job is long. So it is not
taken as the present load, but as the average load from all other dispatchers. Our own load, which is known,
is added to that. A worker that does not answer is probed again at once, and is gone if that fails too.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable, Sequence
from math import log2

from ..scheduling.interface import Settings, WorkerId
from ..scheduling.records import Worker

PROBE_BUDGET = 0.0008  # share of the result that probes may cost, given their price and the job arrivals
# Bounds in seconds on the interval between probes of a worker by one dispatcher
MIN_PROBE_INTERVAL, MAX_PROBE_INTERVAL = 0.25, 2.0
MAX_PROBE_RATE = 12.0  # upper limit on probes per second to a worker from all dispatchers
REPROBE_DELAY = 0.05  # seconds until a worker that did not answer is probed again
PROBE_TIMEOUT = 2.0  # seconds after which an unanswered probe no longer counts as pending
REPORT_AGE = 0.6  # average age in seconds of a report on arrival
REPORT_GAIN = 0.4  # smoothing gain of each report
REPORT_HALF_LIFE = 4.0  # seconds after which the reported load counts half
CHANGE_RETENTION = 2.0  # seconds for which own sends and completions are kept
INITIAL_SLOTS = 4.0  # slots assumed per worker until one of its kind has reported
RUN_RATIO_GAIN = 0.02  # smoothing gain of each job for the run time ratio of a kind
NOT_PROBED = float("-inf")  # value of `probed_at` while no probe is pending
FEW_FREE_SLOTS = 0.7  # free slots below which a worker may have a queue


class ProbeState:
    """Probe schedule and reported load of one worker."""

    __slots__ = (
        "slots_of_others",
        "free_slots",
        "reported_at",
        "next_probe_at",
        "probed_at",
        "failures",
        "last_report",
        "own_changes",
    )

    def __init__(self, due: float) -> None:
        self.slots_of_others = 0.0  # slots used by other dispatchers
        self.free_slots = -1.0  # free slots in the last report; negative before the first one
        self.reported_at = 0.0  # time of the last report
        self.next_probe_at, self.probed_at, self.failures = due, NOT_PROBED, 0
        self.last_report: tuple[float, ...] = ()
        self.own_changes: deque[tuple[float, float]] = deque()


class Reports:
    """Load reports from probes; `enabled` tells whether probing is in use."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self._random = random.Random(seed)
        self.by_worker: dict[WorkerId, ProbeState] = {}
        self.slots_by_kind: dict[int, float] = {}  # most free slots seen, by kind of worker
        # Run time relative to the expected one, and rank weight in half octaves, by kind of worker
        self.run_ratios: dict[int, list[float]] = {}
        self.probe_interval = 0.5
        self._arrivals, self._counted_since, self._arrival_rate = 0, 0.0, 0.0
        self.configure(settings)

    def configure(self, settings: Settings) -> None:
        self.settings = settings
        self.enabled = settings.can_probe and settings.pull and settings.slot_reports >= 0
        self.include_queue = self.enabled and settings.queue_reports >= 0

    # Probing

    def on_arrival(self, now: float) -> None:
        """Counts the arrival of a job; the arrival rate determines the probe budget."""
        self._arrivals += 1
        if now - self._counted_since > 2.0:
            if self._counted_since:
                rate = self._arrivals / (now - self._counted_since)
                self._arrival_rate += (0.3 if self._arrival_rate else 1.0) * (rate - self._arrival_rate)
            self._arrivals, self._counted_since = 0, now

    def due_probes(self, now: float, workers: Iterable[Worker]) -> list[WorkerId]:
        """Returns the workers to probe now and marks their probes as pending."""
        if not self.enabled:
            return []
        asked = []
        for worker in workers:
            probe_state = self.by_worker.get(worker.id)
            if probe_state is None:
                probe_state = self.by_worker[worker.id] = ProbeState(now)
            if now < probe_state.next_probe_at or now < probe_state.probed_at + PROBE_TIMEOUT:
                continue
            probe_state.probed_at = now
            asked.append(worker.id)
        if asked:
            self.probe_interval = self._probe_interval(len(self.by_worker))
        return asked

    def _probe_interval(self, workers: int) -> float:
        """Seconds between two probes of a worker within the rate limit and the budget."""
        rate = MAX_PROBE_RATE / self.settings.instances
        if self.settings.price_probe > 0.0:
            rate = min(
                rate,
                PROBE_BUDGET / self.settings.price_probe * max(self._arrival_rate, 1.0) / max(workers, 1),
            )
        return min(max(1.0 / rate, MIN_PROBE_INTERVAL), MAX_PROBE_INTERVAL)

    def on_probe_failed(self, now: float, worker: WorkerId) -> int:
        """Handles an unanswered probe and returns the number of consecutive failures."""
        probe_state = self.by_worker.get(worker)
        if probe_state is None:
            return 0
        probe_state.failures += 1
        probe_state.probed_at = NOT_PROBED
        probe_state.next_probe_at = now + (
            REPROBE_DELAY
            if probe_state.failures == 1
            else self.probe_interval * self._random.uniform(0.7, 1.3)
        )
        return probe_state.failures

    # Load updates

    def on_report(self, now: float, worker: Worker, report: Sequence[float]) -> None:
        """Handles the answer to a probe."""
        probe_state = self.by_worker.get(worker.id)
        if probe_state is None:
            return
        probe_state.probed_at, probe_state.failures = NOT_PROBED, 0
        probe_state.next_probe_at = now + self.probe_interval * self._random.uniform(0.7, 1.3)
        if len(report) <= self.settings.slot_reports or not any(report):
            return  # an idle worker has free slots, so all zeros mean that the worker has no data yet
        free = max(report[self.settings.slot_reports], 0.0)
        self.slots_by_kind[worker.kind] = max(self.slots_by_kind.get(worker.kind, 0.0), free)
        new, probe_state.last_report = tuple(report) != probe_state.last_report, tuple(report)
        if not new:
            return
        self._trim(now, probe_state)
        own = worker.pending_slots - sum(c for at, c in probe_state.own_changes if at > now - REPORT_AGE)
        others = self.slots_by_kind[worker.kind] - free - max(own, 0.0)
        if self.include_queue and len(report) > self.settings.queue_reports:
            others += max(report[self.settings.queue_reports], 0.0)
        elif free < FEW_FREE_SLOTS:
            others = max(others, (self.settings.instances - 1) * own)  # the queue length is not reported
        gain = REPORT_GAIN if probe_state.free_slots >= 0.0 else 1.0
        probe_state.slots_of_others += gain * (max(others, 0.0) - probe_state.slots_of_others)
        probe_state.free_slots, probe_state.reported_at = free, now

    def on_full(self, now: float, worker: Worker) -> None:
        """Handles a rejection: at least as many jobs wait as run. This decays as a report does."""
        probe_state = self.by_worker.get(worker.id)
        if self.enabled and probe_state is not None:
            probe_state.slots_of_others, probe_state.reported_at = (
                max(probe_state.slots_of_others, 2.0 * self.slots(worker)),
                now,
            )

    def on_own_slots(self, now: float, worker: WorkerId, slots: float) -> None:
        """Records slots that this dispatcher has sent to a worker, or that were released (negative)."""
        probe_state = self.by_worker.get(worker)
        if probe_state is not None:
            probe_state.own_changes.append((now, slots))
            self._trim(now, probe_state)

    def _trim(self, now: float, probe_state: ProbeState) -> None:
        while probe_state.own_changes and probe_state.own_changes[0][0] < now - CHANGE_RETENTION:
            probe_state.own_changes.popleft()

    def forget(self, worker: WorkerId) -> None:
        """Drops the state of a worker that is gone or was replaced by another process."""
        self.by_worker.pop(worker, None)

    # Estimates

    def slots(self, worker: Worker) -> float:
        """Number of slots of a worker, at least one."""
        return max(self.slots_by_kind.get(worker.kind, INITIAL_SLOTS), 1.0)

    def warm_capacity(self, worker: Worker) -> float:
        """Capacity of a warm worker in typical slot seconds per second, at most its number of slots."""
        ratio_and_weight = self.run_ratios.get(worker.kind)
        return self.slots(worker) / max(ratio_and_weight[0] if ratio_and_weight else 1.0, 1.0)

    def on_run(self, worker: Worker, ratio: float) -> bool:
        """Records a run time relative to the expected one; returns whether the rank weight has changed."""
        ratio_and_weight = self.run_ratios.setdefault(worker.kind, [1.0, 0.0])
        ratio_and_weight[0] += RUN_RATIO_GAIN * (min(ratio, 5.0) - ratio_and_weight[0])
        weight = 2.0 * log2(self.slots(worker) / max(ratio_and_weight[0], 0.1))
        if abs(weight - ratio_and_weight[1]) < 0.75:
            return False
        ratio_and_weight[1] = round(weight)  # in half octaves, so that most dispatchers agree on the value
        return True

    def rank_weight(self, worker: Worker) -> float:
        """Relative capacity of workers of this kind, used as the weight in rankings."""
        ratio_and_weight = self.run_ratios.get(worker.kind)
        return float(2.0 ** (ratio_and_weight[1] / 2.0)) if ratio_and_weight else 1.0

    def slots_of_others(self, now: float, worker: Worker) -> float:
        """Slots used by other dispatchers at a worker; older reports count for less."""
        probe_state = self.by_worker.get(worker.id)
        if probe_state is None:
            return 0.0
        return float(
            probe_state.slots_of_others * 0.5 ** (max(now - probe_state.reported_at, 0.0) / REPORT_HALF_LIFE)
        )

    def expected_delay(
        self, now: float, worker: Worker, slots: float, mean_run: float, share: float = 1.0
    ) -> float:
        """Seconds that a job with this many slots is expected to wait or run longer at a worker.

        `share` is the part of its slots for which the worker has capacity.
        """
        have = max(share * self.slots(worker), 1.0)
        over = self.slots_of_others(now, worker) + worker.pending_slots + slots - have
        return max(over, 0.0) / have * mean_run * max(worker.run_time_ratio, 0.3)

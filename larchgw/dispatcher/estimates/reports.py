"""What probes tell of workers that report only when asked: whom to ask when, and what an answer is worth.

A report is refreshed now and then and comes late: it is about as old as a job is long. So it is not read as
what a worker holds now, but as what all others have there on the average; to that comes what is ours, which
is known. A worker that does not answer is asked again at once, and is gone if it is silent again.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable, Sequence
from math import log2

from ..scheduling.interface import Settings, WorkerId
from ..scheduling.records import Worker

PROBE_BUDGET = 0.0008  # part of the result that probes may cost, by their price and the jobs that come
# Seconds between two probes of a worker by one dispatcher, at least and at most
MIN_PROBE_INTERVAL, MAX_PROBE_INTERVAL = 0.25, 2.0
MAX_PROBE_RATE = 12.0  # probes a second that a worker gets from all dispatchers
REPROBE_DELAY = 0.05  # seconds until a worker that did not answer is asked again
PROBE_TIMEOUT = 2.0  # seconds after which a probe of which nothing was heard no longer counts as out
REPORT_AGE = 0.6  # seconds that a report is old when it comes, on the average
REPORT_GAIN = 0.4  # weight of the latest report
REPORT_HALF_LIFE = 4.0  # seconds after which half of what reports said is forgotten
CHANGE_RETENTION = 2.0  # seconds of own sends and ends that are kept
INITIAL_SLOTS = 4.0  # slots of a worker, until a report has come from one of its kind
RUN_RATIO_GAIN = 0.02  # weight of the latest job in the pace of its kind
NOT_PROBED = float("-inf")  # when a worker was asked, while no probe is out
FEW_FREE_SLOTS = 0.7  # free slots below which a worker may have jobs waiting


class ProbeState:
    """What is known of one worker."""

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
        self.slots_of_others = 0.0  # slots that others have there
        self.free_slots = -1.0  # slots free by the last report; below 0: none yet
        self.reported_at = 0.0  # when a report came
        self.next_probe_at, self.probed_at, self.failures = due, NOT_PROBED, 0
        self.last_report: tuple[float, ...] = ()
        self.own_changes: deque[tuple[float, float]] = deque()


class Reports:
    """Reports by probes. `on` says whether there are any."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self._random = random.Random(seed)
        self.by_worker: dict[WorkerId, ProbeState] = {}
        self.slots_by_kind: dict[
            int, float
        ] = {}  # slots of a worker of each kind: the most that were seen free
        self.run_ratios: dict[
            int, list[float]
        ] = {}  # by kind: running times over the usual, and the weight used
        self.probe_interval = 0.5
        self._arrivals, self._counted_since, self._arrival_rate = 0, 0.0, 0.0
        self.configure(settings)

    def configure(self, settings: Settings) -> None:
        self.settings = settings
        self.enabled = settings.can_probe and settings.pull and settings.slot_reports >= 0
        self.include_queue = self.enabled and settings.queue_reports >= 0

    # Asking

    def on_arrival(self, now: float) -> None:
        """A job has come in: its price allows so many probes."""
        self._arrivals += 1
        if now - self._counted_since > 2.0:
            if self._counted_since:
                rate = self._arrivals / (now - self._counted_since)
                self._arrival_rate += (0.3 if self._arrival_rate else 1.0) * (rate - self._arrival_rate)
            self._arrivals, self._counted_since = 0, now

    def due_probes(self, now: float, workers: Iterable[Worker]) -> list[WorkerId]:
        """Workers to ask now."""
        if not self.enabled:
            return []
        asked = []
        for worker in workers:
            sight = self.by_worker.get(worker.id)
            if sight is None:
                sight = self.by_worker[worker.id] = ProbeState(now)
            if now < sight.next_probe_at or now < sight.probed_at + PROBE_TIMEOUT:
                continue
            sight.probed_at = now
            asked.append(worker.id)
        if asked:
            self.probe_interval = self._probe_interval(len(self.by_worker))
        return asked

    def _probe_interval(self, workers: int) -> float:
        """Seconds between two probes of a worker."""
        rate = MAX_PROBE_RATE / self.settings.instances
        if self.settings.price_probe > 0.0:
            rate = min(
                rate,
                PROBE_BUDGET / self.settings.price_probe * max(self._arrival_rate, 1.0) / max(workers, 1),
            )
        return min(max(1.0 / rate, MIN_PROBE_INTERVAL), MAX_PROBE_INTERVAL)

    def on_probe_failed(self, now: float, worker: WorkerId) -> int:
        """A probe had no answer: how many in a row that is."""
        sight = self.by_worker.get(worker)
        if sight is None:
            return 0
        sight.failures += 1
        sight.probed_at = NOT_PROBED
        sight.next_probe_at = now + (
            REPROBE_DELAY if sight.failures == 1 else self.probe_interval * self._random.uniform(0.7, 1.3)
        )
        return sight.failures

    # What is heard

    def on_report(self, now: float, worker: Worker, report: Sequence[float]) -> None:
        """A worker has answered a probe."""
        sight = self.by_worker.get(worker.id)
        if sight is None:
            return
        sight.probed_at, sight.failures = NOT_PROBED, 0
        sight.next_probe_at = now + self.probe_interval * self._random.uniform(0.7, 1.3)
        if len(report) <= self.settings.slot_reports or not any(report):
            return  # an idle worker has free slots: all naught is said by one that knows nothing yet
        free = max(report[self.settings.slot_reports], 0.0)
        self.slots_by_kind[worker.kind] = max(self.slots_by_kind.get(worker.kind, 0.0), free)
        new, sight.last_report = tuple(report) != sight.last_report, tuple(report)
        if not new:
            return
        self._trim(now, sight)
        own = worker.pending_slots - sum(c for at, c in sight.own_changes if at > now - REPORT_AGE)
        others = self.slots_by_kind[worker.kind] - free - max(own, 0.0)
        if self.include_queue and len(report) > self.settings.queue_reports:
            others += max(report[self.settings.queue_reports], 0.0)
        elif free < FEW_FREE_SLOTS:
            others = max(others, (self.settings.instances - 1) * own)  # what waits there is told nowhere
        gain = REPORT_GAIN if sight.free_slots >= 0.0 else 1.0
        sight.slots_of_others += gain * (max(others, 0.0) - sight.slots_of_others)
        sight.free_slots, sight.reported_at = free, now

    def on_full(self, now: float, worker: Worker) -> None:
        """It has turned a job away: as many wait as run, at the least. That fades as a report does."""
        sight = self.by_worker.get(worker.id)
        if self.enabled and sight is not None:
            sight.slots_of_others, sight.reported_at = (
                max(sight.slots_of_others, 2.0 * self.slots(worker)),
                now,
            )

    def on_own_slots(self, now: float, worker: WorkerId, slots: float) -> None:
        """We sent so many slots there, or had them back (negative)."""
        sight = self.by_worker.get(worker)
        if sight is not None:
            sight.own_changes.append((now, slots))
            self._trim(now, sight)

    def _trim(self, now: float, sight: ProbeState) -> None:
        while sight.own_changes and sight.own_changes[0][0] < now - CHANGE_RETENTION:
            sight.own_changes.popleft()

    def forget(self, worker: WorkerId) -> None:
        """A worker is gone, or another process now."""
        self.by_worker.pop(worker, None)

    # What it is worth

    def slots(self, worker: Worker) -> float:
        """Slots of a worker; never under one."""
        return max(self.slots_by_kind.get(worker.kind, INITIAL_SLOTS), 1.0)

    def warm_capacity(self, worker: Worker) -> float:
        """Slot seconds a second that it can do when warm, as on a usual one; never more than it has slots."""
        pace = self.run_ratios.get(worker.kind)
        return self.slots(worker) / max(pace[0] if pace else 1.0, 1.0)

    def on_run(self, worker: Worker, ratio: float) -> bool:
        """A job ran there for so many times the usual; whether workers of its kind weigh otherwise now."""
        pace = self.run_ratios.setdefault(worker.kind, [1.0, 0.0])
        pace[0] += RUN_RATIO_GAIN * (min(ratio, 5.0) - pace[0])
        weight = 2.0 * log2(self.slots(worker) / max(pace[0], 0.1))
        if abs(weight - pace[1]) < 0.75:
            return False
        pace[1] = round(weight)  # in half octaves: most dispatchers agree on it
        return True

    def rank_weight(self, worker: Worker) -> float:
        """What a worker of its kind can do, beside others."""
        pace = self.run_ratios.get(worker.kind)
        return float(2.0 ** (pace[1] / 2.0)) if pace else 1.0

    def slots_of_others(self, now: float, worker: Worker) -> float:
        """Slots that others have there; what was told long ago counts for less."""
        sight = self.by_worker.get(worker.id)
        if sight is None:
            return 0.0
        return float(sight.slots_of_others * 0.5 ** (max(now - sight.reported_at, 0.0) / REPORT_HALF_LIFE))

    def expected_delay(
        self, now: float, worker: Worker, slots: float, mean_run: float, share: float = 1.0
    ) -> float:
        """Seconds that a job of so many slots is expected to wait, or to run longer, at a worker.

        `share`: the part of its slots that it can do justice to.
        """
        have = max(share * self.slots(worker), 1.0)
        over = self.slots_of_others(now, worker) + worker.pending_slots + slots - have
        return max(over, 0.0) / have * mean_run * max(worker.run_time_ratio, 0.3)

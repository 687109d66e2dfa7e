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

SPENT = 0.0008  # part of the result that probes may cost, by their price and the jobs that come
OFTEN, SELDOM = 0.25, 2.0  # seconds between two probes of a worker by one dispatcher, at least and at most
MOST = 12.0  # probes a second that a worker gets from all dispatchers
AGAIN = 0.05  # seconds until a worker that did not answer is asked again
ASKED = 2.0  # seconds after which a probe of which nothing was heard no longer counts as out
LAG = 0.6  # seconds that a report is old when it comes, on the average
GAIN = 0.4  # weight of the latest report
STALE = 4.0  # seconds after which half of what reports said is forgotten
KEEP = 2.0  # seconds of own sends and ends that are kept
GUESS = 4.0  # slots of a worker, until a report has come from one of its kind
SLOWLY = 0.02  # weight of the latest job in the pace of its kind
NOT = float("-inf")  # when a worker was asked, while no probe is out
FULL = 0.7  # free slots below which a worker may have jobs waiting


class Sight:
    """What is known of one worker."""

    __slots__ = ("others", "free", "at", "due", "asked", "fails", "last", "changes")

    def __init__(self, due: float) -> None:
        self.others = 0.0  # slots that others have there
        self.free = -1.0  # slots free by the last report; below 0: none yet
        self.at = 0.0  # when a report came
        self.due, self.asked, self.fails = due, NOT, 0
        self.last: tuple[float, ...] = ()
        self.changes: deque[tuple[float, float]] = deque()


class Reports:
    """Reports by probes. `on` says whether there are any."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self._random = random.Random(seed)
        self.sights: dict[WorkerId, Sight] = {}
        self.kinds: dict[int, float] = {}  # slots of a worker of each kind: the most that were seen free
        self.paces: dict[int, list[float]] = {}  # by kind: running times over the usual, and the weight used
        self.period = 0.5
        self._came, self._since, self._flow = 0, 0.0, 0.0
        self.configure(settings)

    def configure(self, settings: Settings) -> None:
        self.s = settings
        self.on = settings.can_probe and settings.pull and settings.slot_reports >= 0
        self.tells_queue = self.on and settings.queue_reports >= 0

    # Asking

    def came(self, now: float) -> None:
        """A job has come in: its price allows so many probes."""
        self._came += 1
        if now - self._since > 2.0:
            if self._since:
                rate = self._came / (now - self._since)
                self._flow += (0.3 if self._flow else 1.0) * (rate - self._flow)
            self._came, self._since = 0, now

    def due(self, now: float, workers: Iterable[Worker]) -> list[WorkerId]:
        """Workers to ask now."""
        if not self.on:
            return []
        asked = []
        for worker in workers:
            sight = self.sights.get(worker.id)
            if sight is None:
                sight = self.sights[worker.id] = Sight(now)
            if now < sight.due or now < sight.asked + ASKED:
                continue
            sight.asked = now
            asked.append(worker.id)
        if asked:
            self.period = self._every(len(self.sights))
        return asked

    def _every(self, workers: int) -> float:
        """Seconds between two probes of a worker."""
        rate = MOST / self.s.instances
        if self.s.price_probe > 0.0:
            rate = min(rate, SPENT / self.s.price_probe * max(self._flow, 1.0) / max(workers, 1))
        return min(max(1.0 / rate, OFTEN), SELDOM)

    def failed(self, now: float, worker: WorkerId) -> int:
        """A probe had no answer: how many in a row that is."""
        sight = self.sights.get(worker)
        if sight is None:
            return 0
        sight.fails += 1
        sight.asked = NOT
        sight.due = now + (AGAIN if sight.fails == 1 else self.period * self._random.uniform(0.7, 1.3))
        return sight.fails

    # What is heard

    def heard(self, now: float, worker: Worker, report: Sequence[float]) -> None:
        """A worker has answered a probe."""
        sight = self.sights.get(worker.id)
        if sight is None:
            return
        sight.asked, sight.fails = NOT, 0
        sight.due = now + self.period * self._random.uniform(0.7, 1.3)
        if len(report) <= self.s.slot_reports or not any(report):
            return  # an idle worker has free slots: all naught is said by one that knows nothing yet
        free = max(report[self.s.slot_reports], 0.0)
        self.kinds[worker.kind] = max(self.kinds.get(worker.kind, 0.0), free)
        new, sight.last = tuple(report) != sight.last, tuple(report)
        if not new:
            return
        self._trim(now, sight)
        own = worker.pending - sum(c for at, c in sight.changes if at > now - LAG)
        others = self.kinds[worker.kind] - free - max(own, 0.0)
        if self.tells_queue and len(report) > self.s.queue_reports:
            others += max(report[self.s.queue_reports], 0.0)
        elif free < FULL:
            others = max(others, (self.s.instances - 1) * own)  # what waits there is told nowhere
        gain = GAIN if sight.free >= 0.0 else 1.0
        sight.others += gain * (max(others, 0.0) - sight.others)
        sight.free, sight.at = free, now

    def full(self, now: float, worker: Worker) -> None:
        """It has turned a job away: as many wait as run, at the least. That fades as a report does."""
        sight = self.sights.get(worker.id)
        if self.on and sight is not None:
            sight.others, sight.at = max(sight.others, 2.0 * self.slots(worker)), now

    def changed(self, now: float, worker: WorkerId, slots: float) -> None:
        """We sent so many slots there, or had them back (negative)."""
        sight = self.sights.get(worker)
        if sight is not None:
            sight.changes.append((now, slots))
            self._trim(now, sight)

    def _trim(self, now: float, sight: Sight) -> None:
        while sight.changes and sight.changes[0][0] < now - KEEP:
            sight.changes.popleft()

    def forget(self, worker: WorkerId) -> None:
        """A worker is gone, or another process now."""
        self.sights.pop(worker, None)

    # What it is worth

    def slots(self, worker: Worker) -> float:
        """Slots of a worker; never under one."""
        return max(self.kinds.get(worker.kind, GUESS), 1.0)

    def able(self, worker: Worker) -> float:
        """Slot seconds a second that it can do when warm, as on a usual one; never more than it has slots."""
        pace = self.paces.get(worker.kind)
        return self.slots(worker) / max(pace[0] if pace else 1.0, 1.0)

    def paced(self, worker: Worker, ratio: float) -> bool:
        """A job ran there for so many times the usual; whether workers of its kind weigh otherwise now."""
        pace = self.paces.setdefault(worker.kind, [1.0, 0.0])
        pace[0] += SLOWLY * (min(ratio, 5.0) - pace[0])
        weight = 2.0 * log2(self.slots(worker) / max(pace[0], 0.1))
        if abs(weight - pace[1]) < 0.75:
            return False
        pace[1] = round(weight)  # in half octaves: most dispatchers agree on it
        return True

    def weight(self, worker: Worker) -> float:
        """What a worker of its kind can do, beside others."""
        pace = self.paces.get(worker.kind)
        return float(2.0 ** (pace[1] / 2.0)) if pace else 1.0

    def others(self, now: float, worker: Worker) -> float:
        """Slots that others have there; what was told long ago counts for less."""
        sight = self.sights.get(worker.id)
        if sight is None:
            return 0.0
        return float(sight.others * 0.5 ** (max(now - sight.at, 0.0) / STALE))

    def wait(self, now: float, worker: Worker, slots: float, mean_run: float, share: float = 1.0) -> float:
        """Seconds that a job of so many slots is expected to wait, or to run longer, at a worker.

        `share`: the part of its slots that it can do justice to.
        """
        have = max(share * self.slots(worker), 1.0)
        over = self.others(now, worker) + worker.pending + slots - have
        return max(over, 0.0) / have * mean_run * max(worker.pace, 0.3)

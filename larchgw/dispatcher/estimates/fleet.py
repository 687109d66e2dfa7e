"""What the decision module asks of the estimates, in narrow calls."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping, Sequence
from math import log

from ..scheduling.interface import Settings
from ..scheduling.records import Job, Worker
from .cold import MANY, ColdTurns
from .health import Health
from .keys import Keys
from .loads import Loads
from .mixing import MASK, mix
from .reports import Reports
from .runs import Runs, Taken
from .works import Works

FAST = 1.2  # times the usual speed that is believed of a worker which has just started
SPREAD = 1.5  # homes of a key over the workers that its jobs would fill if all were alike
LONGER = 1.5  # times the expected wait that may well pass, and ...
UNSEEN = 0.6  # ... of a mean job, for what came there that no list has shown yet
MAX_KEYS = 64  # keys remembered for one worker, where nothing tells of its size
SPARE = 1  # homes of a key beyond those that its part of all jobs needs
MOST_ORDERS = 4096  # keys for which the order of workers is kept
PLACES = 8  # workers in it
LIGHT, HEAVY = 0.25, 4.0  # sizes over the mean that are believed
NEAR = 0.1  # share of that time where the wait is reckoned from reports, which are as old as a job is long
HASTE = 0.5  # share of the time a job has left that its wait at a worker is expected to take at the most


def _reads_weights(settings: Settings) -> bool:
    """Of few dispatchers each knows at once much of what is at a worker; the list is a second old."""
    return settings.live_weights and settings.instances > MANY


class Fleet:
    """Loads, running times and turns at cold workers, as one dispatcher sees them.

    Times are seconds on the module's clock. Same sights, same estimates: randomness comes from `seed`.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        self.s = settings
        self.live = _reads_weights(settings)
        self._random = random.Random(~seed)
        self._salt = self._random.getrandbits(64)
        self.keys = Keys()
        self.health = Health(settings)
        self.ready = 0  # that take work
        self._orders: dict[tuple[int, int, int], list[Worker]] = {}  # by key, zone and kind
        self._weights: dict[bytes, float] = {}  # as listed, where they tell of a worker's size
        self.sizes: dict[bytes, float] = {}  # over the mean one
        self.runs = Runs(settings.classes)
        self.taken = Taken()
        self.loads = Loads()
        self.reports = Reports(settings, seed)
        self.works = Works(len(settings.classes))
        self.cold = ColdTurns(
            settings,
            seed,
            self.able,
            self.runs.mean,
            lambda: self.loads.flow if self.live else 0.0,
            self.runs.uneven,
        )

    def configure(self, settings: Settings) -> None:
        """Other settings for the same classes."""
        self.s = self.cold.s = self.health.s = settings
        self.reports.configure(settings)
        self.live = _reads_weights(settings)

    # Told by the module

    def listed(self, now: float, listed: Sequence[tuple[Worker, float]], workers: Iterable[Worker]) -> None:
        """The list gives these workers these weights; `workers` are all that it has named."""
        workers = [w for w in workers if w.ready]
        self.ready = len(workers)
        if self.live:
            self.loads.told(now, listed)
            warm = [w for w in workers if now >= w.warm_at]
            self.loads.sum_up(now, warm, self.runs.mean())
        elif self.s.sized:
            self._sized(listed, workers)

    def _sized(self, listed: Sequence[tuple[Worker, float]], workers: Sequence[Worker]) -> None:
        """Workers are drawn by their size: drawn alike, the slow ones fill first and turn jobs away."""
        self._weights.update((w.id, max(size, 0.0)) for w, size in listed)
        told = [size for w in workers if (size := self._weights.get(w.id, 0.0)) > 0.0]
        mean = sum(told) / len(told) if told else 1.0
        self.sizes = {w.id: min(max(self._weights.get(w.id, mean) / mean, LIGHT), HEAVY) for w in workers}

    def started(self, now: float, worker: Worker) -> None:
        """A worker has started: it is cold, and holds nothing."""
        self.loads.forget(worker.id)
        self.reports.forget(worker.id)
        if now < worker.warm_at:
            self.cold.joined(now, worker)

    def gone(self, worker: Worker) -> None:
        """A worker is no longer listed."""
        self.cold.left(worker)
        self._weights.pop(worker.id, None)
        self.loads.forget(worker.id)
        self.reports.forget(worker.id)

    def came(self, now: float, job_class: int, key: int) -> None:
        """A job has come in."""
        self.reports.came(now)
        self.runs.came(job_class)
        self.keys.came(key)

    def sent(self, now: float, job: Job, worker: Worker) -> None:
        self.loads.changed(now, worker.id, job.request.slots)
        self.reports.changed(now, worker.id, job.request.slots)
        if now < worker.warm_at:
            self.cold.spent(now, worker, self._cost(job))

    def ended(self, now: float, job: Job, worker: Worker) -> None:
        """An attempt has ended, however it did."""
        self.loads.changed(now, worker.id, -job.request.slots)
        self.reports.changed(now, worker.id, -job.request.slots)

    def ran(self, now: float, job: Job, worker: Worker, run: float, workers: Mapping[bytes, Worker]) -> None:
        """A job ran for so long from its start to its end."""
        self.runs.ended(job.request.job_class, run, job.request.slots)
        if self.reports.on and self.reports.paced(worker, run / max(job.work, 1e-3)):
            self.unsettled()
        if now >= worker.warm_at:
            self.taken.ran(run * job.request.slots)
        if self.taken.due(now):
            warm = sum(w.ready and now >= w.warm_at for w in workers.values())
            self.taken.sum_up(now, self.s.instances, warm)

    def full(self, now: float, worker: Worker) -> None:
        """It has turned a job away: its queue is full of others' jobs."""
        self.reports.full(now, worker)

    # Asked by the module

    def able(self, worker: Worker) -> float:
        """Slot seconds a second, as on a usual worker, that it can do when warm.

        Its cores by its speed, of which no more than `FAST` is believed; or the least that workers did.
        """
        if self.reports.on:
            return self.reports.able(worker)
        if self.live and self.loads.sure:
            return self.loads.cores * min(self.loads.speed(worker), FAST)
        return self.taken.value

    def wait(self, now: float, job: Job, worker: Worker) -> float:
        """Seconds that a job sent there now is expected to lose, by its wait and by the worker being cold."""
        if self.reports.on:
            # One that is cold starts what comes in all its slots, but can do no more than its share of them.
            share = self.cold.share(now, worker) if now < worker.warm_at else 1.0
            return self.reports.wait(now, worker, job.request.slots, self.runs.mean(), share)
        if not self.live:
            return 0.0
        cores = able = self.loads.cores
        there = self.loads.others(now, worker) + worker.pending + job.request.slots
        wait = 0.0
        if now < worker.warm_at:
            # It has all its slots and starts what comes, but what runs shares the little that it can do.
            able *= self.cold.share(now, worker)
            wait = max(min(there, cores) / able - 1.0, 0.0) * self.runs.by_class[job.request.job_class].value
        return wait + max(there - cores, 0.0) / able * self.runs.mean()

    def crowded(self, now: float, job: Job, worker: Worker) -> bool:
        """Whether a job is expected to wait there for so long that it would hardly be in time."""
        wait = self.wait(now, job, worker)
        return wait > 0.0 and wait > (NEAR if self.reports.on else HASTE) * (job.aim_at - now)

    def queued(self, now: float, job: Job, worker: Worker) -> float:
        """Seconds that a job sent there now may well stand in the queue behind others."""
        if not self.live:
            return 0.0
        return LONGER * self.wait(now, job, worker) + UNSEEN * self.runs.mean()

    def strange(self, now: float, worker: Worker) -> bool:
        """Whether a worker has held far less than others for a while: it may fail what it gets at once."""
        return self.live and now >= worker.warm_at and self.loads.strange(worker)

    def draw(self, now: float, job: Job, worker: Worker) -> bool:
        """Whether a worker that a job meets takes it: with the part of what comes that it should get.

        The verdict on a job and a worker holds until the next list, or a job that waits would ask until it
        had a yes, and everybody's waiting jobs would meet at the worker that looks emptiest.
        """
        if not self.live:
            return True
        part = self.loads.part(now, worker)
        if part >= 1.0:
            return True
        return mix((job.request.id ^ worker.point ^ self._salt) + self.loads.lists & MASK) < part * MASK

    def order(self, key: int, group: tuple[int, int], workers: Sequence[Worker]) -> Sequence[Worker]:
        """The workers for a key, the ones to try first first: the same at every dispatcher.

        Highest random weight (Thaler and Ravishankar), each worker by what it can do. A key that comes often
        has as many homes as its part of all jobs needs: of those in our zone first, then by our rank.
        `workers` are those of this zone and kind.
        """
        found = self._orders.get((key, *group))
        if found is None:
            if len(self._orders) >= MOST_ORDERS:
                self._orders.clear()
            found = self._orders[key, *group] = sorted(
                set(workers),
                reverse=True,
                key=lambda w: log((mix(key ^ w.point) + 1) / (MASK + 2)) / self.reports.weight(w),
            )[:PLACES]
        first = min(int(self.keys.share(key) * self.ready * SPREAD), len(found) - 1)
        start = (max(self.s.rank, 0) + key) % (first + 1) if first > 0 else 0
        homes = found[start : first + 1] + found[:start]
        homes.sort(key=lambda w: w.zone != self.s.zone)
        return homes + found[first + 1 : first + 1 + SPARE]

    def kept(self, worker: Worker) -> float:
        """Keys that a worker is taken to hold, at the most."""
        return self.reports.slots(worker) if self.reports.on else MAX_KEYS

    def unsettled(self) -> None:
        """Workers have come or gone, or can do more or less than was believed."""
        self._orders.clear()

    def homes(self, key: int, most: int) -> Iterable[int]:
        """Numbers of the places for a key, the ones to try first first.

        A key that comes often has as many homes as its part of all jobs needs, and one of them is drawn.
        """
        if not self.live:
            return ()  # what we have sent ourselves tells who holds it
        first = min(int(self.keys.share(key) * self.ready * SPREAD), most - 1)
        start = self._random.randrange(first + 1) if first else 0
        return (*range(start, first + 1), *range(start), *range(first + 1, most))

    def speed(self, worker: Worker) -> float:
        """What a worker can do over the mean worker, as far as its weight in the list tells."""
        if self.live:
            return self.loads.speed(worker)
        return self.sizes.get(worker.id, 1.0) if self.s.sized else 1.0

    def load(self, now: float, worker: Worker) -> float:
        """Slots that others have there over those that it has, by its reports; 0 where there are none."""
        return self.reports.others(now, worker) / self.reports.slots(worker) if self.reports.on else 0.0

    def turn(self, now: float, job: Job, fit: Callable[[Worker], bool]) -> Worker | None:
        """The cold worker whose turn it is with this job, if it is any one's and `fit` says yes to it."""
        return self.cold.turn(now, self._lot(job), lambda w: fit(w) and not self.crowded(now, job, w))

    def may_warm(self, now: float, job: Job, worker: Worker) -> bool:
        return self.cold.may(now, worker, self._lot(job), self._cost(job))

    def _lot(self, job: Job) -> int:
        """A hash of this attempt of a job: asked again, it gives the same."""
        return mix(mix(job.request.id ^ self._salt) + len(job.attempts) & MASK)

    def _cost(self, job: Job) -> float:
        """In mean jobs."""
        run = job.request.hint * job.request.slots or self.runs.by_class[job.request.job_class].value
        return run / max(self.runs.mean(), 1e-3)

"""What the decision module asks of the estimates, in narrow calls."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping, Sequence
from math import log

from ..scheduling.interface import Settings
from ..scheduling.records import Job, Worker
from .cold import FEW_DISPATCHERS, ColdStartLimiter
from .health import Health
from .keys import KeyShares
from .loads import Loads
from .mixing import MASK, mix
from .reports import Reports
from .runs import WarmThroughput, WorkEstimates
from .works import RunPredictor

MAX_COLD_SPEED = 1.2  # times the usual speed that is believed of a worker which has just started
HOME_SPREAD = 1.5  # homes of a key over the workers that its jobs would fill if all were alike
DELAY_FACTOR = 1.5  # times the expected wait that may well pass, and ...
UNLISTED_JOBS = 0.6  # ... of a mean job, for what came there that no list has shown yet
MAX_KEYS = 64  # keys remembered for one worker, where nothing tells of its size
SPARE_HOMES = 1  # homes of a key beyond those that its part of all jobs needs
MAX_RANKINGS = 4096  # keys for which the order of workers is kept
RANKED_WORKERS = 8  # workers in it
MIN_SIZE, MAX_SIZE = 0.25, 4.0  # sizes over the mean that are believed
REPORTED_DELAY_SHARE = (
    0.1  # share of that time where the wait is reckoned from reports, which are as old as a job is long
)
DELAY_SHARE = (
    0.5  # share of the time a job has left that its wait at a worker is expected to take at the most
)


def _reads_weights(settings: Settings) -> bool:
    """Of few dispatchers each knows at once much of what is at a worker; the list is a second old."""
    return settings.live_weights and settings.instances > FEW_DISPATCHERS


class Fleet:
    """Loads, running times and turns at cold workers, as one dispatcher sees them.

    Times are seconds on the module's clock. Same sights, same estimates: randomness comes from `seed`.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.reads_live_weights = _reads_weights(settings)
        self._random = random.Random(~seed)
        self._hash_salt = self._random.getrandbits(64)
        self.key_shares = KeyShares()
        self.health = Health(settings)
        self.ready_count = 0  # that take work
        self._rankings: dict[tuple[int, int, int], list[Worker]] = {}  # by key, zone and kind
        self._listed_sizes: dict[bytes, float] = {}  # as listed, where they tell of a worker's size
        self.relative_sizes: dict[bytes, float] = {}  # over the mean one
        self.work_estimates = WorkEstimates(settings.classes)
        self.throughput = WarmThroughput()
        self.listed_loads = Loads()
        self.reports = Reports(settings, seed)
        self.run_predictor = RunPredictor(len(settings.classes))
        self.cold_start = ColdStartLimiter(
            settings,
            seed,
            self.warm_capacity,
            self.work_estimates.mean,
            lambda: self.listed_loads.arrival_rate if self.reads_live_weights else 0.0,
            self.work_estimates.size_dispersion,
        )

    def configure(self, settings: Settings) -> None:
        """Other settings for the same classes."""
        self.settings = self.cold_start.settings = self.health.settings = settings
        self.reports.configure(settings)
        self.reads_live_weights = _reads_weights(settings)

    # Told by the module

    def on_member_list(
        self, now: float, listed: Sequence[tuple[Worker, float]], workers: Iterable[Worker]
    ) -> None:
        """The list gives these workers these weights; `workers` are all that it has named."""
        workers = [w for w in workers if w.ready]
        self.ready_count = len(workers)
        if self.reads_live_weights:
            self.listed_loads.on_weights(now, listed)
            warm = [w for w in workers if now >= w.warm_at]
            self.listed_loads.level_load(now, warm, self.work_estimates.mean())
        elif self.settings.sized:
            self._update_relative_sizes(listed, workers)

    def _update_relative_sizes(
        self, listed: Sequence[tuple[Worker, float]], workers: Sequence[Worker]
    ) -> None:
        """Workers are drawn by their size: drawn alike, the slow ones fill first and turn jobs away."""
        self._listed_sizes.update((w.id, max(size, 0.0)) for w, size in listed)
        told = [size for w in workers if (size := self._listed_sizes.get(w.id, 0.0)) > 0.0]
        mean = sum(told) / len(told) if told else 1.0
        self.relative_sizes = {
            w.id: min(max(self._listed_sizes.get(w.id, mean) / mean, MIN_SIZE), MAX_SIZE) for w in workers
        }

    def on_worker_started(self, now: float, worker: Worker) -> None:
        """A worker has started: it is cold, and holds nothing."""
        self.listed_loads.forget(worker.id)
        self.reports.forget(worker.id)
        if now < worker.warm_at:
            self.cold_start.on_worker_started(now, worker)

    def on_worker_gone(self, worker: Worker) -> None:
        """A worker is no longer listed."""
        self.cold_start.remove(worker)
        self._listed_sizes.pop(worker.id, None)
        self.listed_loads.forget(worker.id)
        self.reports.forget(worker.id)

    def on_arrival(self, now: float, job_class: int, key: int) -> None:
        """A job has come in."""
        self.reports.on_arrival(now)
        self.work_estimates.on_arrival(job_class)
        self.key_shares.on_arrival(key)

    def on_sent(self, now: float, job: Job, worker: Worker) -> None:
        self.listed_loads.on_own_slots(now, worker.id, job.request.slots)
        self.reports.on_own_slots(now, worker.id, job.request.slots)
        if now < worker.warm_at:
            self.cold_start.on_sent(now, worker, self._relative_work(job))

    def on_attempt_ended(self, now: float, job: Job, worker: Worker) -> None:
        """An attempt has ended, however it did."""
        self.listed_loads.on_own_slots(now, worker.id, -job.request.slots)
        self.reports.on_own_slots(now, worker.id, -job.request.slots)

    def on_run(
        self, now: float, job: Job, worker: Worker, run: float, workers: Mapping[bytes, Worker]
    ) -> None:
        """A job ran for so long from its start to its end."""
        self.work_estimates.on_run(job.request.job_class, run, job.request.slots)
        if self.reports.enabled and self.reports.on_run(worker, run / max(job.expected_run, 1e-3)):
            self.clear_rankings()
        if now >= worker.warm_at:
            self.throughput.on_run(run * job.request.slots)
        if self.throughput.update_due(now):
            warm = sum(w.ready and now >= w.warm_at for w in workers.values())
            self.throughput.update(now, self.settings.instances, warm)

    def on_full(self, now: float, worker: Worker) -> None:
        """It has turned a job away: its queue is full of others' jobs."""
        self.reports.on_full(now, worker)

    # Asked by the module

    def warm_capacity(self, worker: Worker) -> float:
        """Slot seconds a second, as on a usual worker, that it can do when warm.

        Its cores by its speed, of which no more than `FAST` is believed; or the least that workers did.
        """
        if self.reports.enabled:
            return self.reports.warm_capacity(worker)
        if self.reads_live_weights and self.listed_loads.cores_known:
            return self.listed_loads.cores * min(self.listed_loads.relative_speed(worker), MAX_COLD_SPEED)
        return self.throughput.value

    def expected_delay(self, now: float, job: Job, worker: Worker) -> float:
        """Seconds that a job sent there now is expected to lose, by its wait and by the worker being cold."""
        if self.reports.enabled:
            # One that is cold starts what comes in all its slots, but can do no more than its share of them.
            share = self.cold_start.warm_share(now, worker) if now < worker.warm_at else 1.0
            return self.reports.expected_delay(
                now, worker, job.request.slots, self.work_estimates.mean(), share
            )
        if not self.reads_live_weights:
            return 0.0
        cores = able = self.listed_loads.cores
        there = self.listed_loads.requests_of_others(now, worker) + worker.pending_slots + job.request.slots
        wait = 0.0
        if now < worker.warm_at:
            # It has all its slots and starts what comes, but what runs shares the little that it can do.
            able *= self.cold_start.warm_share(now, worker)
            wait = (
                max(min(there, cores) / able - 1.0, 0.0)
                * self.work_estimates.by_class[job.request.job_class].value
            )
        return wait + max(there - cores, 0.0) / able * self.work_estimates.mean()

    def is_too_slow(self, now: float, job: Job, worker: Worker) -> bool:
        """Whether a job is expected to wait there for so long that it would hardly be in time."""
        wait = self.expected_delay(now, job, worker)
        return wait > 0.0 and wait > (REPORTED_DELAY_SHARE if self.reports.enabled else DELAY_SHARE) * (
            job.target_start - now
        )

    def queue_allowance(self, now: float, job: Job, worker: Worker) -> float:
        """Seconds that a job sent there now may well stand in the queue behind others."""
        if not self.reads_live_weights:
            return 0.0
        return (
            DELAY_FACTOR * self.expected_delay(now, job, worker) + UNLISTED_JOBS * self.work_estimates.mean()
        )

    def is_underused(self, now: float, worker: Worker) -> bool:
        """Whether a worker has held far less than others for a while: it may fail what it gets at once."""
        return self.reads_live_weights and now >= worker.warm_at and self.listed_loads.is_underused(worker)

    def accepts(self, now: float, job: Job, worker: Worker) -> bool:
        """Whether a worker that a job meets takes it: with the part of what comes that it should get.

        The verdict on a job and a worker holds until the next list, or a job that waits would ask until it
        had a yes, and everybody's waiting jobs would meet at the worker that looks emptiest.
        """
        if not self.reads_live_weights:
            return True
        part = self.listed_loads.acceptance_share(now, worker)
        if part >= 1.0:
            return True
        return (
            mix((job.request.id ^ worker.ring_hash ^ self._hash_salt) + self.listed_loads.lists & MASK)
            < part * MASK
        )

    def ranked_workers(self, key: int, group: tuple[int, int], workers: Sequence[Worker]) -> Sequence[Worker]:
        """The workers for a key, the ones to try first first: the same at every dispatcher.

        Highest random weight (Thaler and Ravishankar), each worker by what it can do. A key that comes often
        has as many homes as its part of all jobs needs: of those in our zone first, then by our rank.
        `workers` are those of this zone and kind.
        """
        found = self._rankings.get((key, *group))
        if found is None:
            if len(self._rankings) >= MAX_RANKINGS:
                self._rankings.clear()
            found = self._rankings[key, *group] = sorted(
                set(workers),
                reverse=True,
                key=lambda w: log((mix(key ^ w.ring_hash) + 1) / (MASK + 2)) / self.reports.rank_weight(w),
            )[:RANKED_WORKERS]
        first = min(int(self.key_shares.share(key) * self.ready_count * HOME_SPREAD), len(found) - 1)
        start = (max(self.settings.rank, 0) + key) % (first + 1) if first > 0 else 0
        homes = found[start : first + 1] + found[:start]
        homes.sort(key=lambda w: w.zone != self.settings.zone)
        return homes + found[first + 1 : first + 1 + SPARE_HOMES]

    def key_capacity(self, worker: Worker) -> float:
        """Keys that a worker is taken to hold, at the most."""
        return self.reports.slots(worker) if self.reports.enabled else MAX_KEYS

    def clear_rankings(self) -> None:
        """Workers have come or gone, or can do more or less than was believed."""
        self._rankings.clear()

    def home_indices(self, key: int, most: int) -> Iterable[int]:
        """Numbers of the places for a key, the ones to try first first.

        A key that comes often has as many homes as its part of all jobs needs, and one of them is drawn.
        """
        if not self.reads_live_weights:
            return ()  # what we have sent ourselves tells who holds it
        first = min(int(self.key_shares.share(key) * self.ready_count * HOME_SPREAD), most - 1)
        start = self._random.randrange(first + 1) if first else 0
        return (*range(start, first + 1), *range(start), *range(first + 1, most))

    def relative_speed(self, worker: Worker) -> float:
        """What a worker can do over the mean worker, as far as its weight in the list tells."""
        if self.reads_live_weights:
            return self.listed_loads.relative_speed(worker)
        return self.relative_sizes.get(worker.id, 1.0) if self.settings.sized else 1.0

    def load_of_others(self, now: float, worker: Worker) -> float:
        """Slots that others have there over those that it has, by its reports; 0 where there are none."""
        return (
            self.reports.slots_of_others(now, worker) / self.reports.slots(worker)
            if self.reports.enabled
            else 0.0
        )

    def next_cold_worker(self, now: float, job: Job, fit: Callable[[Worker], bool]) -> Worker | None:
        """The cold worker whose turn it is with this job, if it is any one's and `fit` says yes to it."""
        return self.cold_start.next_worker(
            now, self._attempt_hash(job), lambda w: fit(w) and not self.is_too_slow(now, job, w)
        )

    def may_use_cold_worker(self, now: float, job: Job, worker: Worker) -> bool:
        return self.cold_start.may_send(now, worker, self._attempt_hash(job), self._relative_work(job))

    def _attempt_hash(self, job: Job) -> int:
        """A hash of this attempt of a job: asked again, it gives the same."""
        return mix(mix(job.request.id ^ self._hash_salt) + len(job.attempts) & MASK)

    def _relative_work(self, job: Job) -> float:
        """In mean jobs."""
        run = (
            job.request.hint * job.request.slots or self.work_estimates.by_class[job.request.job_class].value
        )
        return run / max(self.work_estimates.mean(), 1e-3)

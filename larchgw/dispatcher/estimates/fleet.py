"""Facade through which the decision module reads and updates the load and run time estimates."""

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

MAX_COLD_SPEED = 1.2  # upper bound on the relative speed assumed for a worker that has just started
HOME_SPREAD = 1.5  # ratio of home workers of a key to the number of equal workers that its jobs would fill
DELAY_FACTOR = 1.5  # factor on the expected delay in the queue allowance
UNLISTED_JOBS = 0.6  # mean jobs added to the queue allowance for arrivals that no list shows yet
MAX_KEYS = 64  # keys assumed to fit on one worker when its size is unknown
SPARE_HOMES = 1  # home workers of a key beyond those that its share of all jobs needs
MAX_RANKINGS = 4096  # keys whose worker ranking is cached
RANKED_WORKERS = 8  # workers kept in each cached ranking
MIN_SIZE, MAX_SIZE = 0.25, 4.0  # bounds on the size of a worker relative to the mean
# Replaces DELAY_SHARE where delays are estimated from reports, which are about as old as a job is long.
REPORTED_DELAY_SHARE = 0.1
DELAY_SHARE = 0.5  # largest share of the remaining time of a job that its expected delay at a worker may take


def _reads_weights(settings: Settings) -> bool:
    """Whether to use the listed weights.

    With few dispatchers, each one already knows much of the load from its own jobs; the list is a second old.
    """
    return settings.live_weights and settings.instances > FEW_DISPATCHERS


class Fleet:
    """Loads, run times and cold start limits as seen by one dispatcher.

    Times are seconds on the module's clock. The same inputs give the same estimates: all randomness comes
    from `seed`.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.reads_live_weights = _reads_weights(settings)
        self._random = random.Random(~seed)
        self._hash_salt = self._random.getrandbits(64)
        self.key_shares = KeyShares()
        self.health = Health(settings)
        self.ready_count = 0  # workers that accept jobs
        self._rankings: dict[tuple[int, int, int], list[Worker]] = {}  # by key, zone and kind
        self._listed_sizes: dict[bytes, float] = {}  # listed weights, where these are worker sizes
        self.relative_sizes: dict[bytes, float] = {}  # worker sizes relative to the mean
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
        """Applies new settings; the job classes must be the same."""
        self.settings = self.cold_start.settings = self.health.settings = settings
        self.reports.configure(settings)
        self.reads_live_weights = _reads_weights(settings)

    # Events reported by the decision module

    def on_member_list(
        self, now: float, listed: Sequence[tuple[Worker, float]], workers: Iterable[Worker]
    ) -> None:
        """Processes a member list: `listed` has workers and their weights, `workers` all known workers."""
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
        """Updates the sizes that weight the choice of workers.

        With equal weights the slow workers would fill first and reject jobs.
        """
        self._listed_sizes.update((w.id, max(size, 0.0)) for w, size in listed)
        told = [size for w in workers if (size := self._listed_sizes.get(w.id, 0.0)) > 0.0]
        mean = sum(told) / len(told) if told else 1.0
        self.relative_sizes = {
            w.id: min(max(self._listed_sizes.get(w.id, mean) / mean, MIN_SIZE), MAX_SIZE) for w in workers
        }

    def on_worker_started(self, now: float, worker: Worker) -> None:
        """Handles the start of a worker, which is cold and has no jobs yet."""
        self.listed_loads.forget(worker.id)
        self.reports.forget(worker.id)
        if now < worker.warm_at:
            self.cold_start.on_worker_started(now, worker)

    def on_worker_gone(self, worker: Worker) -> None:
        """Handles the removal of a worker from the list."""
        self.cold_start.remove(worker)
        self._listed_sizes.pop(worker.id, None)
        self.listed_loads.forget(worker.id)
        self.reports.forget(worker.id)

    def on_arrival(self, now: float, job_class: int, key: int) -> None:
        """Counts the arrival of a job."""
        self.reports.on_arrival(now)
        self.work_estimates.on_arrival(job_class)
        self.key_shares.on_arrival(key)

    def on_sent(self, now: float, job: Job, worker: Worker) -> None:
        self.listed_loads.on_own_slots(now, worker.id, job.request.slots)
        self.reports.on_own_slots(now, worker.id, job.request.slots)
        if now < worker.warm_at:
            self.cold_start.on_sent(now, worker, self._relative_work(job))

    def on_attempt_ended(self, now: float, job: Job, worker: Worker) -> None:
        """Handles the end of an attempt, whatever its outcome."""
        self.listed_loads.on_own_slots(now, worker.id, -job.request.slots)
        self.reports.on_own_slots(now, worker.id, -job.request.slots)

    def on_run(
        self, now: float, job: Job, worker: Worker, run: float, workers: Mapping[bytes, Worker]
    ) -> None:
        """Records the run time of a job, from its start to its end, in seconds."""
        self.work_estimates.on_run(job.request.job_class, run, job.request.slots)
        if self.reports.enabled and self.reports.on_run(worker, run / max(job.expected_run, 1e-3)):
            self.clear_rankings()
        if now >= worker.warm_at:
            self.throughput.on_run(run * job.request.slots)
        if self.throughput.update_due(now):
            warm = sum(w.ready and now >= w.warm_at for w in workers.values())
            self.throughput.update(now, self.settings.instances, warm)

    def on_full(self, now: float, worker: Worker) -> None:
        """Handles a rejection by a worker whose queue is full of jobs from other dispatchers."""
        self.reports.on_full(now, worker)

    # Queries by the decision module

    def warm_capacity(self, worker: Worker) -> float:
        """Capacity of a warm worker in slot seconds per second, in terms of a typical worker.

        This is cores times relative speed, the latter bounded by `MAX_COLD_SPEED`, or else the
        measured throughput of warm workers, which is a lower bound.
        """
        if self.reports.enabled:
            return self.reports.warm_capacity(worker)
        if self.reads_live_weights and self.listed_loads.cores_known:
            return self.listed_loads.cores * min(self.listed_loads.relative_speed(worker), MAX_COLD_SPEED)
        return self.throughput.value

    def expected_delay(self, now: float, job: Job, worker: Worker) -> float:
        """Expected delay in seconds of a job sent now, from queueing and from the worker being cold."""
        if self.reports.enabled:
            # A cold worker starts jobs in all its slots, but has capacity for only a share of them.
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
            # A cold worker starts jobs in all its slots, but the running jobs share its reduced capacity.
            able *= self.cold_start.warm_share(now, worker)
            wait = (
                max(min(there, cores) / able - 1.0, 0.0)
                * self.work_estimates.by_class[job.request.job_class].value
            )
        return wait + max(there - cores, 0.0) / able * self.work_estimates.mean()

    def is_too_slow(self, now: float, job: Job, worker: Worker) -> bool:
        """Whether the expected delay at the worker would probably make the job miss its target start."""
        wait = self.expected_delay(now, job, worker)
        return wait > 0.0 and wait > (REPORTED_DELAY_SHARE if self.reports.enabled else DELAY_SHARE) * (
            job.target_start - now
        )

    def queue_allowance(self, now: float, job: Job, worker: Worker) -> float:
        """Seconds that a job sent now may plausibly wait in the queue of the worker."""
        if not self.reads_live_weights:
            return 0.0
        return (
            DELAY_FACTOR * self.expected_delay(now, job, worker) + UNLISTED_JOBS * self.work_estimates.mean()
        )

    def is_underused(self, now: float, worker: Worker) -> bool:
        """Whether a worker has had far less load than others for a while; it may be failing jobs at once."""
        return self.reads_live_weights and now >= worker.warm_at and self.listed_loads.is_underused(worker)

    def accepts(self, now: float, job: Job, worker: Worker) -> bool:
        """Whether to admit a job to a worker, with a probability of the acceptance share of the worker.

        The decision for a job and a worker holds until the next list. Otherwise a waiting job would retry
        until admitted, and the waiting jobs of all dispatchers would gather at the worker that looks least
        loaded.
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
        """Workers for a key in order of preference, ranked the same way by every dispatcher.

        Uses weighted rendezvous hashing (highest random weight, Thaler and Ravishankar), with the capacity of
        each worker as its weight. A frequent key has as many home workers as its share of all jobs needs.
        Among these, workers in our zone come first, then the order depends on our rank. `workers` are those
        of this zone and kind.
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
        """Largest number of keys that a worker is assumed to hold."""
        return self.reports.slots(worker) if self.reports.enabled else MAX_KEYS

    def clear_rankings(self) -> None:
        """Clears the cached rankings after a change in the set of workers or in their capacity."""
        self._rankings.clear()

    def home_indices(self, key: int, most: int) -> Iterable[int]:
        """Indices of the home workers for a key, in order of preference.

        A frequent key has as many homes as its share of all jobs needs, and the first is drawn at random.
        """
        if not self.reads_live_weights:
            return ()  # own sends already show which worker holds the key
        first = min(int(self.key_shares.share(key) * self.ready_count * HOME_SPREAD), most - 1)
        start = self._random.randrange(first + 1) if first else 0
        return (*range(start, first + 1), *range(start), *range(first + 1, most))

    def relative_speed(self, worker: Worker) -> float:
        """Speed relative to the mean worker, as far as the listed weight shows it."""
        if self.reads_live_weights:
            return self.listed_loads.relative_speed(worker)
        return self.relative_sizes.get(worker.id, 1.0) if self.settings.sized else 1.0

    def load_of_others(self, now: float, worker: Worker) -> float:
        """Ratio of slots used by other dispatchers to the slots of the worker; 0 without reports."""
        return (
            self.reports.slots_of_others(now, worker) / self.reports.slots(worker)
            if self.reports.enabled
            else 0.0
        )

    def next_cold_worker(self, now: float, job: Job, fit: Callable[[Worker], bool]) -> Worker | None:
        """The cold worker that this job may go to in its turn, among those that `fit` accepts; or None."""
        return self.cold_start.next_worker(
            now, self._attempt_hash(job), lambda w: fit(w) and not self.is_too_slow(now, job, w)
        )

    def may_use_cold_worker(self, now: float, job: Job, worker: Worker) -> bool:
        return self.cold_start.may_send(now, worker, self._attempt_hash(job), self._relative_work(job))

    def _attempt_hash(self, job: Job) -> int:
        """A hash that identifies this attempt of a job; repeated calls give the same value."""
        return mix(mix(job.request.id ^ self._hash_salt) + len(job.attempts) & MASK)

    def _relative_work(self, job: Job) -> float:
        """Expected work of a job in units of the mean job."""
        run = (
            job.request.hint * job.request.slots or self.work_estimates.by_class[job.request.job_class].value
        )
        return run / max(self.work_estimates.mean(), 1e-3)

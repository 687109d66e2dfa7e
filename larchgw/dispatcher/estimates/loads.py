"""Load of all dispatchers at each worker, derived from the weights in the list from discovery.

Where the settings say `weightSource: live`, a worker's weight is its nominal size over 1 + requests held per
core. Its nominal size is the highest weight seen for any worker of its kind, since an idle worker shows its
full size. All dispatchers get the list at the same time, so they must not all pick the least loaded worker:
callers compare a few workers drawn at random.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

from ..scheduling.interface import WorkerId
from ..scheduling.records import Worker

INITIAL_CORES = 4.0  # cores assumed per worker until the weights show the number
MIN_MARK, MAX_MARK = 0.03, 0.6  # bounds on the requests per core that can stem from a single request
WEIGHT_AGE = 0.4  # age in seconds of a weight when its list arrives
WEIGHT_HALF_LIFE = (
    3.0  # seconds after which a listed load counts half and the mean load of all workers the other half
)
MAX_LIST_INTERVAL = 4.0  # upper bound in seconds on the interval between lists used for planning
EXTRA_ARRIVALS = 0.2  # requests assumed to arrive per worker beyond those that it completes
MIN_BUSY_LOAD = 1.5  # mean requests per worker needed to detect underused workers
# Share of the mean load below which a worker is underused, and the smoothing gain of each list
IDLE_SHARE, RATIO_GAIN = 0.35, 0.3
ARRIVAL_RATE_DECAY = 0.98  # factor on the arrival rate at each list when the workers complete less
VOTE_DECAY = 0.9  # factor by which votes decay at each list
NOMINAL_CHANGE = 1.05  # ratio to the nominal size above which a weight is not noise
CHANGE_RETENTION = 4.0  # seconds for which own sends and completions are kept


class WorkerLoad:
    """Load of one worker in the last list, and own sends and completions since."""

    __slots__ = (
        "requests_per_core",
        "own_slots",
        "listed_at",
        "own_changes",
        "capacity",
        "remaining",
        "headroom",
        "even_share",
        "smoothed_load_ratio",
    )

    def __init__(self) -> None:
        # Requests per core, own slots included in it, and the time of the list
        self.requests_per_core = self.own_slots = self.listed_at = 0.0
        self.capacity = self.remaining = self.headroom = self.even_share = 0.0
        # Load for its speed relative to the mean, smoothed over some lists; negative if unknown
        self.smoothed_load_ratio = -1.0
        self.own_changes: deque[tuple[float, float]] = deque()

    def freshness(self, now: float) -> float:
        """Weight of the listed load: 1 when the list arrives, decaying with age."""
        trust: float = 0.5 ** (max(now - self.listed_at, 0.0) / WEIGHT_HALF_LIFE)
        return trust


class Loads:
    """Requests held by workers, from this and all other dispatchers."""

    def __init__(self) -> None:
        self.cores = INITIAL_CORES
        self.nominal: dict[int, float] = {}  # highest weight seen, by kind of worker
        self.by_worker: dict[WorkerId, WorkerLoad] = {}
        self.mean_load = 0.0  # requests per unit of size, over all workers that accept jobs
        # Seconds between two lists, and when the last one came
        self.list_interval, self._last_list = 1.0, 0.0
        self.mean_size = 1.0
        self.lists = 0
        self.arrival_rate = 0.0  # jobs per second at all dispatchers
        self._votes: dict[int, float] = {}  # decayed votes by number of cores
        self.cores_known = False  # whether the number of cores was derived from weights

    def on_weights(self, now: float, listed: Sequence[tuple[Worker, float]]) -> None:
        """Processes the workers and weights of a list."""
        for worker, weight in listed:
            if weight > NOMINAL_CHANGE * self.nominal.get(worker.kind, 0.0):
                # This worker is less loaded than any before, so the loads derived so far were too low.
                self._votes.clear()
            if weight > self.nominal.get(worker.kind, 0.0):
                self.nominal[worker.kind] = weight
        marks = []
        for worker, weight in listed:
            per_core = self.nominal[worker.kind] / weight - 1.0 if weight > 0 else 0.0
            if MIN_MARK < per_core < MAX_MARK:
                marks.append(per_core)
            worker_load = self.by_worker.get(worker.id)
            if worker_load is None:
                worker_load = self.by_worker[worker.id] = WorkerLoad()
            worker_load.requests_per_core, worker_load.listed_at = per_core, now
            self._trim(worker_load, now)
            since = sum(change for at, change in worker_load.own_changes if at > now - WEIGHT_AGE)
            worker_load.own_slots = max(worker.pending_slots - since, 0.0)
        self._count_cores(marks)

    def _count_cores(self, marks: list[float]) -> None:
        """Estimates the cores per worker from the lowest loads in a list.

        The lowest load is mostly that of one request, which is one divided by the number of cores. Each list
        votes. Lists where no worker has just one request, or no worker of a kind is idle, are outvoted.
        """
        if not marks:
            return
        marks.sort()
        lowest = [m for m in marks if m < 1.5 * marks[0]]
        cores = min(max(round(1.0 / lowest[len(lowest) // 2]), 1), 64)
        self._votes = {c: n * VOTE_DECAY for c, n in self._votes.items() if n > 0.01}
        self._votes[cores] = self._votes.get(cores, 0.0) + len(lowest)
        self.cores = float(max(self._votes, key=lambda c: (self._votes[c], c)))
        self.cores_known = True

    def level_load(self, now: float, workers: Sequence[Worker], mean_job: float) -> None:
        """Computes how much each worker should get until new jobs show in a list.

        Distributes the expected arrivals by water filling: the workers with the least load for their speed
        get most, and none gets more than brings it to the common level. If dispatchers picked the least
        loaded worker instead, all would pick the same one, as they have the same list (Dahlin, "Interpreting
        stale load information").
        """
        if self._last_list and now > self._last_list:
            self.list_interval += 0.2 * (min(now - self._last_list, MAX_LIST_INTERVAL) - self.list_interval)
        self._last_list = now
        sizes = [self.nominal.get(w.kind, 1.0) for w in workers]
        self.mean_size = sum(sizes) / len(sizes) if sizes else 1.0
        self.lists += 1
        # Mean jobs that a core completes until new jobs show in a list
        ahead = self.visibility_delay() / max(mean_job, 1e-3)
        coming, held, levels = 0.0, 0.0, []
        for w, size in zip(workers, sizes, strict=True):
            worker_load = self.by_worker.get(w.id)
            if worker_load is None:
                continue
            speed = size / self.mean_size
            there = worker_load.requests_per_core * self.cores
            done = min(there, self.cores) * speed * ahead
            coming += done + EXTRA_ARRIVALS
            held += there
            worker_load.capacity = self.cores * speed
            worker_load.remaining = max(there - done, 0.0)
            levels.append((worker_load.remaining / worker_load.capacity, worker_load))
        self.mean_load = held / sum(sizes) if sizes else 0.0
        busy = self.mean_load * self.mean_size
        if busy >= MIN_BUSY_LOAD:
            for _, worker_load in levels:
                ratio = worker_load.requests_per_core * self.cores * self.cores / worker_load.capacity / busy
                worker_load.smoothed_load_ratio = (
                    ratio
                    if worker_load.smoothed_load_ratio < 0
                    else worker_load.smoothed_load_ratio
                    + RATIO_GAIN * (ratio - worker_load.smoothed_load_ratio)
                )
        self._fill_to_level(coming, levels)

    def visibility_delay(self) -> float:
        """Seconds until a job sent now shows in a list."""
        return self.list_interval + WEIGHT_AGE

    def _fill_to_level(self, coming: float, levels: list[tuple[float, WorkerLoad]]) -> None:
        levels.sort(key=lambda item: item[0])
        power = filled = level = 0.0
        for index, (_, worker_load) in enumerate(levels):
            power += worker_load.capacity
            filled += worker_load.remaining
            level = (coming + filled) / power
            if index + 1 == len(levels) or level <= levels[index + 1][0]:
                break
        # While workers are lost or cold, the rest complete less than arrives, so the rate decays only slowly.
        self.arrival_rate = max(coming / self.visibility_delay(), self.arrival_rate * ARRIVAL_RATE_DECAY)
        even = coming / sum(worker_load.capacity for _, worker_load in levels) if levels else 0.0
        for start, worker_load in levels:
            worker_load.headroom, worker_load.even_share = (
                max(level - start, 0.0) * worker_load.capacity,
                even * worker_load.capacity,
            )

    def acceptance_share(self, now: float, worker: Worker) -> float:
        """Ratio of the planned to the even share of arrivals of a worker by the last list, at most 1."""
        worker_load = self.by_worker.get(worker.id)
        if worker_load is None or worker_load.even_share <= 0.0:
            return 1.0
        room = worker_load.headroom - max(worker.pending_slots - worker_load.own_slots, 0.0)
        trust = worker_load.freshness(now)
        return min(max(room / worker_load.even_share, 0.0), 1.0) * trust + 1.0 - trust

    def is_underused(self, worker: Worker) -> bool:
        """Whether a worker had far less than the mean load over some lists."""
        worker_load = self.by_worker.get(worker.id)
        return worker_load is not None and 0.0 <= worker_load.smoothed_load_ratio < IDLE_SHARE

    def relative_speed(self, worker: Worker) -> float:
        """Nominal size of a worker relative to the mean."""
        return self.nominal.get(worker.kind, 1.0) / self.mean_size

    def forget(self, worker: WorkerId) -> None:
        """Drops the state of a worker that is gone or was replaced by another process."""
        self.by_worker.pop(worker, None)

    def on_own_slots(self, now: float, worker: WorkerId, slots: float) -> None:
        """Records slots that this dispatcher has sent to a worker, or that were released (negative)."""
        worker_load = self.by_worker.get(worker)
        if worker_load is not None:
            worker_load.own_changes.append((now, slots))
            self._trim(worker_load, now)

    def _trim(self, worker_load: WorkerLoad, now: float) -> None:
        while worker_load.own_changes and worker_load.own_changes[0][0] < now - CHANGE_RETENTION:
            worker_load.own_changes.popleft()

    def requests_of_others(self, now: float, worker: Worker) -> float:
        """Requests of other dispatchers at a worker, never below 0; tends to the mean as the list ages."""
        worker_load = self.by_worker.get(worker.id)
        usual = self.mean_load * self.nominal.get(worker.kind, 1.0)
        if worker_load is None:
            return max(usual - worker.pending_slots, 0.0) if self.nominal else 0.0
        known = max(worker_load.requests_per_core * self.cores - worker_load.own_slots, 0.0)
        trust = worker_load.freshness(now)
        return max(known * trust + (usual - worker_load.own_slots) * (1.0 - trust), 0.0)

"""What all dispatchers together have at each worker, read off the weights in discovery's list.

Where the settings say `weightSource: live`, a worker's weight is its nominal size over 1 + requests held per
core. Its nominal size is the highest weight that any worker of its kind has shown, since one that holds
nothing shows it whole. The list comes to everybody at once, so whoever reads it must not run to its emptiest
worker: callers compare a few workers drawn at random.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

from ..scheduling.interface import WorkerId
from ..scheduling.records import Worker

INITIAL_CORES = 4.0  # of a worker, until its weights show it
MIN_MARK, MAX_MARK = 0.03, 0.6  # requests per core that can be the mark of one request alone
WEIGHT_AGE = 0.4  # seconds by which a weight is older than the list that brings it
WEIGHT_HALF_LIFE = (
    3.0  # seconds in which half of what one list said of a worker is forgotten for what it said of all
)
MAX_LIST_INTERVAL = 4.0  # seconds between two lists, at the most that is planned for
EXTRA_ARRIVALS = 0.2  # requests that come for a worker beyond those that it ends
MIN_BUSY_LOAD = 1.5  # requests that a usual worker must hold for one that holds few to stand out
# Share of the usual load below which one does, and the weight of the last list
IDLE_SHARE, RATIO_GAIN = 0.35, 0.3
ARRIVAL_RATE_DECAY = (
    0.98  # share of the flow that is still believed at the next list when the workers end less
)
VOTE_DECAY = 0.9  # what is left of a vote at the next list
NOMINAL_CHANGE = 1.05  # times a nominal size that is more than noise
CHANGE_RETENTION = 4.0  # seconds of own sends and ends that are kept


class WorkerLoad:
    """What the list said last of one worker, and what we ourselves sent and had back since."""

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
        self.requests_per_core = self.own_slots = self.listed_at = (
            0.0  # requests per core; our own slots among them; when it was told
        )
        self.capacity = self.remaining = self.headroom = self.even_share = 0.0
        # Held for its speed over what is usual, over some lists; below 0: not known
        self.smoothed_load_ratio = -1.0
        self.own_changes: deque[tuple[float, float]] = deque()

    def freshness(self, now: float) -> float:
        """How much of what the list said still counts: 1 when it comes, less with age."""
        trust: float = 0.5 ** (max(now - self.listed_at, 0.0) / WEIGHT_HALF_LIFE)
        return trust


class Loads:
    """Requests held by workers, ours and everybody's."""

    def __init__(self) -> None:
        self.cores = INITIAL_CORES
        self.nominal: dict[int, float] = {}  # by kind
        self.by_worker: dict[WorkerId, WorkerLoad] = {}
        self.mean_load = 0.0  # held per unit of size, over all workers that take work
        # Seconds between two lists, and when the last one came
        self.list_interval, self._last_list = 1.0, 0.0
        self.mean_size = 1.0
        self.lists = 0
        self.arrival_rate = 0.0  # jobs a second that come to all dispatchers
        self._votes: dict[int, float] = {}  # workers that spoke for so many cores, older ones for less
        self.cores_known = False  # whether weights have shown the cores

    def on_weights(self, now: float, listed: Sequence[tuple[Worker, float]]) -> None:
        """The list gives these workers these weights."""
        for worker, weight in listed:
            if weight > NOMINAL_CHANGE * self.nominal.get(worker.kind, 0.0):
                # A worker that is emptier than any seen before: what was read off the others was too little.
                self._votes.clear()
            if weight > self.nominal.get(worker.kind, 0.0):
                self.nominal[worker.kind] = weight
        marks = []
        for worker, weight in listed:
            per_core = self.nominal[worker.kind] / weight - 1.0 if weight > 0 else 0.0
            if MIN_MARK < per_core < MAX_MARK:
                marks.append(per_core)
            sight = self.by_worker.get(worker.id)
            if sight is None:
                sight = self.by_worker[worker.id] = WorkerLoad()
            sight.requests_per_core, sight.listed_at = per_core, now
            self._trim(sight, now)
            since = sum(change for at, change in sight.own_changes if at > now - WEIGHT_AGE)
            sight.own_slots = max(worker.pending_slots - since, 0.0)
        self._count_cores(marks)

    def _count_cores(self, marks: list[float]) -> None:
        """The least load that a list shows is mostly that of one request, which is one over the cores.

        Lists vote. A list in which no worker has just one request, or none of a kind is idle, is outvoted.
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
        """Levels the workers that take work: how much each should get until it shows in a list.

        What comes meanwhile is poured over the workers like water: those that hold least for their speed get
        most, and nobody's share is more than brings it to the common level. Who ran to the emptiest worker
        instead would meet everybody else there, for all have the same list (Dahlin, "Interpreting stale load
        information").
        """
        if self._last_list and now > self._last_list:
            self.list_interval += 0.2 * (min(now - self._last_list, MAX_LIST_INTERVAL) - self.list_interval)
        self._last_list = now
        sizes = [self.nominal.get(w.kind, 1.0) for w in workers]
        self.mean_size = sum(sizes) / len(sizes) if sizes else 1.0
        self.lists += 1
        ahead = self.visibility_delay() / max(mean_job, 1e-3)  # mean jobs that a core ends until this shows
        coming, held, levels = 0.0, 0.0, []
        for w, size in zip(workers, sizes, strict=True):
            sight = self.by_worker.get(w.id)
            if sight is None:
                continue
            speed = size / self.mean_size
            there = sight.requests_per_core * self.cores
            done = min(there, self.cores) * speed * ahead
            coming += done + EXTRA_ARRIVALS
            held += there
            sight.capacity = self.cores * speed
            sight.remaining = max(there - done, 0.0)
            levels.append((sight.remaining / sight.capacity, sight))
        self.mean_load = held / sum(sizes) if sizes else 0.0
        busy = self.mean_load * self.mean_size
        if busy >= MIN_BUSY_LOAD:
            for _, sight in levels:
                ratio = sight.requests_per_core * self.cores * self.cores / sight.capacity / busy
                sight.smoothed_load_ratio = (
                    ratio
                    if sight.smoothed_load_ratio < 0
                    else sight.smoothed_load_ratio + RATIO_GAIN * (ratio - sight.smoothed_load_ratio)
                )
        self._fill_to_level(coming, levels)

    def visibility_delay(self) -> float:
        """Seconds until what is sent now shows in a list."""
        return self.list_interval + WEIGHT_AGE

    def _fill_to_level(self, coming: float, levels: list[tuple[float, WorkerLoad]]) -> None:
        levels.sort(key=lambda item: item[0])
        power = filled = level = 0.0
        for index, (_, sight) in enumerate(levels):
            power += sight.capacity
            filled += sight.remaining
            level = (coming + filled) / power
            if index + 1 == len(levels) or level <= levels[index + 1][0]:
                break
        # While workers are lost or cold the rest end less than comes: the flow is what it was before.
        self.arrival_rate = max(coming / self.visibility_delay(), self.arrival_rate * ARRIVAL_RATE_DECAY)
        even = coming / sum(sight.capacity for _, sight in levels) if levels else 0.0
        for start, sight in levels:
            sight.headroom, sight.even_share = max(level - start, 0.0) * sight.capacity, even * sight.capacity

    def acceptance_share(self, now: float, worker: Worker) -> float:
        """What it should get over its even share of what comes, 1 at the most, by what the last list said."""
        sight = self.by_worker.get(worker.id)
        if sight is None or sight.even_share <= 0.0:
            return 1.0
        room = sight.headroom - max(worker.pending_slots - sight.own_slots, 0.0)
        trust = sight.freshness(now)
        return min(max(room / sight.even_share, 0.0), 1.0) * trust + 1.0 - trust

    def is_underused(self, worker: Worker) -> bool:
        """Whether it has held far less than is usual, over some lists."""
        sight = self.by_worker.get(worker.id)
        return sight is not None and 0.0 <= sight.smoothed_load_ratio < IDLE_SHARE

    def relative_speed(self, worker: Worker) -> float:
        """Its nominal size over that of the mean worker."""
        return self.nominal.get(worker.kind, 1.0) / self.mean_size

    def forget(self, worker: WorkerId) -> None:
        """A worker is gone, or another process now."""
        self.by_worker.pop(worker, None)

    def on_own_slots(self, now: float, worker: WorkerId, slots: float) -> None:
        """We sent so many slots there, or had them back (negative)."""
        sight = self.by_worker.get(worker)
        if sight is not None:
            sight.own_changes.append((now, slots))
            self._trim(sight, now)

    def _trim(self, sight: WorkerLoad, now: float) -> None:
        while sight.own_changes and sight.own_changes[0][0] < now - CHANGE_RETENTION:
            sight.own_changes.popleft()

    def requests_of_others(self, now: float, worker: Worker) -> float:
        """Requests of others there. The older the list, the more it is what is usual; never below 0."""
        sight = self.by_worker.get(worker.id)
        usual = self.mean_load * self.nominal.get(worker.kind, 1.0)
        if sight is None:
            return max(usual - worker.pending_slots, 0.0) if self.nominal else 0.0
        known = max(sight.requests_per_core * self.cores - sight.own_slots, 0.0)
        trust = sight.freshness(now)
        return max(known * trust + (usual - sight.own_slots) * (1.0 - trust), 0.0)

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

CORES = 4.0  # of a worker, until its weights show it
LEAST, SINGLE = 0.03, 0.6  # requests per core that can be the mark of one request alone
LAG = 0.4  # seconds by which a weight is older than the list that brings it
FADE = 3.0  # seconds in which half of what one list said of a worker is forgotten for what it said of all
SELDOM = 4.0  # seconds between two lists, at the most that is planned for
SPARE = 0.2  # requests that come for a worker beyond those that it ends
BUSY = 1.5  # requests that a usual worker must hold for one that holds few to stand out
STRANGE, SLOWLY = 0.35, 0.3  # share of the usual load below which one does, and the weight of the last list
STEADY = 0.98  # share of the flow that is still believed at the next list when the workers end less
SLOW_VOTE = 0.9  # what is left of a vote at the next list
NEWS = 1.05  # times a nominal size that is more than noise
KEEP = 4.0  # seconds of own sends and ends that are kept


class Sight:
    """What the list said last of one worker, and what we ourselves sent and had back since."""

    __slots__ = ("held", "own", "at", "changes", "power", "left", "room", "even", "long")

    def __init__(self) -> None:
        self.held = self.own = self.at = 0.0  # requests per core; our own slots among them; when it was told
        self.power = self.left = self.room = self.even = 0.0
        self.long = -1.0  # held for its speed over what is usual, over some lists; below 0: not known
        self.changes: deque[tuple[float, float]] = deque()

    def trust(self, now: float) -> float:
        """How much of what the list said still counts: 1 when it comes, less with age."""
        trust: float = 0.5 ** (max(now - self.at, 0.0) / FADE)
        return trust


class Loads:
    """Requests held by workers, ours and everybody's."""

    def __init__(self) -> None:
        self.cores = CORES
        self.nominal: dict[int, float] = {}  # by kind
        self.sights: dict[WorkerId, Sight] = {}
        self.usual = 0.0  # held per unit of size, over all workers that take work
        self.every, self._last_list = 1.0, 0.0  # seconds between two lists, and when the last one came
        self.mean_size = 1.0
        self.lists = 0
        self.flow = 0.0  # jobs a second that come to all dispatchers
        self._votes: dict[int, float] = {}  # workers that spoke for so many cores, older ones for less
        self.sure = False  # whether weights have shown the cores

    def told(self, now: float, listed: Sequence[tuple[Worker, float]]) -> None:
        """The list gives these workers these weights."""
        for worker, weight in listed:
            if weight > NEWS * self.nominal.get(worker.kind, 0.0):
                # A worker that is emptier than any seen before: what was read off the others was too little.
                self._votes.clear()
            if weight > self.nominal.get(worker.kind, 0.0):
                self.nominal[worker.kind] = weight
        marks = []
        for worker, weight in listed:
            per_core = self.nominal[worker.kind] / weight - 1.0 if weight > 0 else 0.0
            if LEAST < per_core < SINGLE:
                marks.append(per_core)
            sight = self.sights.get(worker.id)
            if sight is None:
                sight = self.sights[worker.id] = Sight()
            sight.held, sight.at = per_core, now
            self._trim(sight, now)
            since = sum(change for at, change in sight.changes if at > now - LAG)
            sight.own = max(worker.pending - since, 0.0)
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
        self._votes = {c: n * SLOW_VOTE for c, n in self._votes.items() if n > 0.01}
        self._votes[cores] = self._votes.get(cores, 0.0) + len(lowest)
        self.cores = float(max(self._votes, key=lambda c: (self._votes[c], c)))
        self.sure = True

    def sum_up(self, now: float, workers: Sequence[Worker], mean_job: float) -> None:
        """Levels the workers that take work: how much each should get until it shows in a list.

        What comes meanwhile is poured over the workers like water: those that hold least for their speed get
        most, and nobody's share is more than brings it to the common level. Who ran to the emptiest worker
        instead would meet everybody else there, for all have the same list (Dahlin, "Interpreting stale load
        information").
        """
        if self._last_list and now > self._last_list:
            self.every += 0.2 * (min(now - self._last_list, SELDOM) - self.every)
        self._last_list = now
        sizes = [self.nominal.get(w.kind, 1.0) for w in workers]
        self.mean_size = sum(sizes) / len(sizes) if sizes else 1.0
        self.lists += 1
        ahead = self.period() / max(mean_job, 1e-3)  # mean jobs that a core ends until this shows
        coming, held, levels = 0.0, 0.0, []
        for w, size in zip(workers, sizes, strict=True):
            sight = self.sights.get(w.id)
            if sight is None:
                continue
            speed = size / self.mean_size
            there = sight.held * self.cores
            done = min(there, self.cores) * speed * ahead
            coming += done + SPARE
            held += there
            sight.power = self.cores * speed
            sight.left = max(there - done, 0.0)
            levels.append((sight.left / sight.power, sight))
        self.usual = held / sum(sizes) if sizes else 0.0
        busy = self.usual * self.mean_size
        if busy >= BUSY:
            for _, sight in levels:
                ratio = sight.held * self.cores * self.cores / sight.power / busy
                sight.long = ratio if sight.long < 0 else sight.long + SLOWLY * (ratio - sight.long)
        self._pour(coming, levels)

    def period(self) -> float:
        """Seconds until what is sent now shows in a list."""
        return self.every + LAG

    def _pour(self, coming: float, levels: list[tuple[float, Sight]]) -> None:
        levels.sort(key=lambda item: item[0])
        power = filled = level = 0.0
        for index, (_, sight) in enumerate(levels):
            power += sight.power
            filled += sight.left
            level = (coming + filled) / power
            if index + 1 == len(levels) or level <= levels[index + 1][0]:
                break
        # While workers are lost or cold the rest end less than comes: the flow is what it was before.
        self.flow = max(coming / self.period(), self.flow * STEADY)
        even = coming / sum(sight.power for _, sight in levels) if levels else 0.0
        for start, sight in levels:
            sight.room, sight.even = max(level - start, 0.0) * sight.power, even * sight.power

    def part(self, now: float, worker: Worker) -> float:
        """What it should get over its even share of what comes, 1 at the most, by what the last list said."""
        sight = self.sights.get(worker.id)
        if sight is None or sight.even <= 0.0:
            return 1.0
        room = sight.room - max(worker.pending - sight.own, 0.0)
        trust = sight.trust(now)
        return min(max(room / sight.even, 0.0), 1.0) * trust + 1.0 - trust

    def strange(self, worker: Worker) -> bool:
        """Whether it has held far less than is usual, over some lists."""
        sight = self.sights.get(worker.id)
        return sight is not None and 0.0 <= sight.long < STRANGE

    def speed(self, worker: Worker) -> float:
        """Its nominal size over that of the mean worker."""
        return self.nominal.get(worker.kind, 1.0) / self.mean_size

    def forget(self, worker: WorkerId) -> None:
        """A worker is gone, or another process now."""
        self.sights.pop(worker, None)

    def changed(self, now: float, worker: WorkerId, slots: float) -> None:
        """We sent so many slots there, or had them back (negative)."""
        sight = self.sights.get(worker)
        if sight is not None:
            sight.changes.append((now, slots))
            self._trim(sight, now)

    def _trim(self, sight: Sight, now: float) -> None:
        while sight.changes and sight.changes[0][0] < now - KEEP:
            sight.changes.popleft()

    def others(self, now: float, worker: Worker) -> float:
        """Requests of others there. The older the list, the more it is what is usual; never below 0."""
        sight = self.sights.get(worker.id)
        usual = self.usual * self.nominal.get(worker.kind, 1.0)
        if sight is None:
            return max(usual - worker.pending, 0.0) if self.nominal else 0.0
        known = max(sight.held * self.cores - sight.own, 0.0)
        trust = sight.trust(now)
        return max(known * trust + (usual - sight.own) * (1.0 - trust), 0.0)

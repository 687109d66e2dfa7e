"""Reservations: which box keeps room for a large job, and which smaller ones may go first all the same.

A reservation names a box and a latest start. Whoever wants room at that box is let in as long as the large
job is still expected to start by then; so the gap is filled for as long as that does no harm, and a fleet
with room to spare holds nothing back. `docs/design-room.md` weighs this against the other ways.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from ..scheduling.interface import Settings, Status
from ..scheduling.records import OUT, Attempt, Job, Mean, Worker
from .estimates import Estimates
from .settings import RoomSettings

EPS = 1e-9
HOPELESS = "no box has that many slots"
PACE = (0.25, 8.0)  # a box's pace is believed within these
LOOKS = 4  # waiting jobs that are looked at again whenever an attempt ends
FORGET = 0.02  # weight of the newest small job in what is known of their losses
SHUN = 1.0  # seconds
FRESH = 0.05  # seconds that expected ends at a box are taken for true
SMALL = 0.05  # seconds: as good as now


@dataclass(slots=True)
class Reservation:
    """Room held for one job at one box."""

    job: Job
    worker: Worker
    made: float
    latest: float  # the job must start by then to be in time
    expected: float  # when there is room, if nobody else is let in
    looked: float  # when that was last worked out
    passed: int = 0  # jobs kept out for its sake
    filled: int = 0  # jobs let in before it


@dataclass(slots=True)
class Figures:
    """What the planner has done since its start."""

    made: int = 0  # reservations
    used: int = 0  # of these, jobs that were sent to the box held
    moved: int = 0  # given up for a better box
    dropped: int = 0  # the box went bad, or the job ended otherwise
    filled: int = 0  # small jobs let in before a large one
    passed: int = 0  # times that a small job was kept out
    overdue: int = 0  # small jobs let in since they had been kept out for too long
    refused_cap: int = 0  # times that a bound on reservations kept one from being made
    hopeless: int = 0  # jobs larger than any box


@dataclass(slots=True)
class Box:
    """What is known of one box beside the module's own record."""

    out: dict[int, Attempt] = field(default_factory=dict)  # by the attempt's identity
    ends: list[tuple[float, float]] | None = None  # what `_ends` found last, and when
    ends_at: float = 0.0
    most: float = 0.0  # free slots and ours that run, the most ever seen together
    shun: float = 0.0  # until then no room is held there: it turned a job away
    too_small: float = float("inf")  # it turned a job of so many slots away when it was idle


class Planner:
    """One dispatcher's reservations. Same calls, same plan: it draws no random numbers."""

    def __init__(self, settings: Settings, config: RoomSettings | None = None) -> None:
        self.config = config or RoomSettings()
        self.config.check()
        self._classes = settings.classes
        self._by_work = settings.worth_by_work
        self.estimates = Estimates([c.aim for c in settings.classes])
        self.figures = Figures()
        self.by_job: dict[int, Reservation] = {}
        self.by_box: dict[bytes, Reservation] = {}
        self.boxes: dict[bytes, Box] = {}
        self.capacity: dict[bytes, float] = {}  # slots, where they are known for certain
        self.waiting: OrderedDict[int, tuple[Job, Sequence[Worker]]] = OrderedDict()  # large ones
        count = len(settings.classes)
        self._values, self._lost, self._losing = [0.0] * count, [0.0] * count, [0.0] * count  # of small jobs
        self._counted: Sequence[Worker] = ()
        self._count = 0  # boxes among these
        self._why = 0  # the last hopeless request
        self.on_bound: Callable[[str], None] = lambda name: None  # told of a setting that bit
        self._fetch = Mean(0.1)  # seconds that a box takes longer where it does not hold the key
        self._kept_since: dict[int, float] = {}  # small jobs, and since when they are kept out

    # Asked by the decision module

    def may_take(self, now: float, job: Job, worker: Worker) -> bool:
        """Whether this job may take room at this worker now."""
        if job.request.slots > 1.0 and not self._large_enough(worker, job):
            return False
        held = self.by_box.get(worker.id)
        if held is None or held.job is job:
            return True
        if job.request.id in self.by_job and job.value > held.job.value:
            return True  # two large ones, and the other is worth more for its work
        with_it = self._start(now, worker, held.job, job)
        if with_it <= held.latest:
            held.filled += 1
            self.figures.filled += 1
            return True
        since = self._kept_since.setdefault(job.request.id, now)
        if self._passed_enough(now, job, since):
            self.figures.overdue += 1
            return True
        if self._harm(held, with_it) < self._worth(job):
            self.figures.filled += 1
            return True
        held.passed += 1
        self.figures.passed += 1
        return False

    def kept(self, now: float, job: Job) -> float:
        """Slots of the window that others wait for whose box has room by now."""
        if not self.by_job or job.request.id in self.by_job:
            return 0.0
        kept = 0.0
        for held in self.by_job.values():
            if held.expected <= now + SMALL and held.job.value >= job.value:
                kept += held.job.request.slots
        if kept and self._passed_enough(now, job, self._kept_since.setdefault(job.request.id, now)):
            return 0.0
        return kept

    def place(self, now: float, job: Job) -> Worker | None:
        """The box that holds room for this job."""
        held = self.by_job.get(job.request.id)
        return held.worker if held else None

    def due(self, now: float, worker: Worker) -> Job | None:
        """The waiting job that room is held for at this box, if it must go before others now."""
        held = self.by_box.get(worker.id)
        if held is None or not held.job.held or held.job.done or now < held.latest - self.config.lead:
            return None
        return held.job if self._worth_it(held.job) else None

    def wait(self, now: float, job: Job, workers: Sequence[Worker]) -> None:
        """Makes, keeps or moves the reservation of a job that nothing has room for."""
        if job.request.slots < self.config.smallest or job.done or job.out():
            return
        if job.request.id in self.waiting or len(self.waiting) < self.config.waiting:
            self.waiting[job.request.id] = job, workers
        else:
            self._bit("waiting")
        held = self.by_job.get(job.request.id)
        if held is not None:
            if not self._sound(now, held.worker, job):
                self._drop(held)
                held = None
            elif now < held.looked + self.config.replan:
                return
            else:
                held.expected, held.looked = self._start(now, held.worker, job), now
        if held is None and len(self.by_box) >= self._most(workers):
            # Before anything is worked out: while many wait, this is where most of them end.
            self._bit("most" if len(self.by_box) >= self.config.most else "boxes_share")
            return
        latest = self._latest(job)
        best, best_at = self._best(now, job, workers)
        if best is None or best_at > latest or not self._worth_it(job):
            # Held room would come too late as well: it would only keep others waiting.
            if held is not None and (held.expected > latest or not self._worth_it(job)):
                self._drop(held)
            return
        if held is not None:
            if best_at < held.expected - 2.0 * self.config.replan and held.worker is not best:
                self.figures.moved += 1
                self._clear(held)
            else:
                return
        held = Reservation(job, best, now, latest, best_at, now)
        self.by_job[job.request.id] = self.by_box[best.id] = held
        self.figures.made += 1

    def hopeless(self, job: Job) -> bool:
        """Whether every box that may run it is known to have fewer slots than this job takes.

        Only what `wait` has just been told counts: a box that joined since may be large enough, and a refusal
        that is wrong loses a job.
        """
        known = self.waiting.get(job.request.id)
        if known is None or not known[1] or any(self._large_enough(w, job) for w in known[1]):
            return False
        self.figures.hopeless += 1
        self._why = job.request.id
        return True

    def _large_enough(self, worker: Worker, job: Job) -> bool:
        """Whether a box may have as many slots, for all that is known."""
        box, slots = self.boxes.get(worker.id), job.request.slots
        return self.capacity.get(worker.id, slots) >= slots and (box is None or box.too_small > slots)

    def why(self, request: int) -> str:
        """Why a request is hopeless; its refusal follows at once, so one is remembered."""
        return HOPELESS if request == self._why else ""

    # Told by the decision module

    def sent(self, now: float, attempt: Attempt) -> None:
        job, worker = attempt.job, attempt.worker
        box = self._box(worker)
        box.out[id(attempt)], box.ends = attempt, None
        self._forget(job)
        if len(job.attempts) == 1:
            self._tally(job, now > job.aim_at)
        held = self.by_job.get(job.request.id)
        if held is not None:
            if held.worker is worker:
                self.figures.used += 1
            else:
                self.figures.dropped += 1
            self._clear(held)

    def started(self, now: float, attempt: Attempt) -> None:
        box = self._box(attempt.worker)
        box.ends = None
        running = sum(a.job.request.slots for a in box.out.values() if a.begun)
        box.most = max(box.most, running)

    def ended(self, now: float, attempt: Attempt, status: int, free: float) -> None:
        worker, job = attempt.worker, attempt.job
        box = self._box(worker)
        box.out.pop(id(attempt), None)
        box.ends = None
        if status == Status.OK and attempt.begun:
            run = max(now - attempt.begun, 1e-3) / _pace(worker)
            if attempt.fresh:
                self._fetch.add(max(run - self.estimates.classes[job.request.job_class].mean(), 0.0))
            self.estimates.learn(job.request.job_class, job.request.key, run)
        running = sum(a.job.request.slots for a in box.out.values() if a.begun)
        idle = free >= 0 and not box.out and free >= box.most
        if status == Status.FULL and idle and free < job.request.slots:
            # It had nothing of ours, and as much free as it ever had: it does not hold that many.
            box.too_small = min(box.too_small, job.request.slots)
        if free >= 0:
            box.most = max(box.most, free + running)
        held = self.by_box.get(worker.id)
        if status != Status.OK:
            box.shun = now + SHUN  # full by others' jobs, failing or gone: look elsewhere
            if held is not None and held.job is not job:
                self._drop(held)
        if not box.out and not worker.ready:
            self.boxes.pop(worker.id, None)  # it drains or is gone: its last attempt has ended
        self._look_again(now)

    def lost(self, worker: Worker) -> None:
        held = self.by_box.get(worker.id)
        if held is not None:
            self._drop(held)
        box = self.boxes.pop(worker.id, None)
        if box is not None and box.out:
            self.boxes[worker.id] = Box(box.out)  # these end yet

    def over(self, job: Job) -> None:
        self._forget(job)
        if not job.attempts:
            self._tally(job, True)
        held = self.by_job.get(job.request.id)
        if held is not None:
            self._drop(held)

    def known(self, worker: bytes, slots: float | None) -> None:
        """How many slots a box has, from one who knows; None: that is no longer known."""
        if slots is None:
            self.capacity.pop(worker, None)
        else:
            self.capacity[worker] = slots

    def describe(self, now: float) -> list[dict[str, object]]:
        """What is held now and why: one entry a reservation, times in seconds from now."""
        return [
            {
                "box": held.worker.id.decode("latin-1"),
                "class": held.job.cls.name,
                "slots": held.job.request.slots,
                "held_s": round(now - held.made, 3),
                "room_in_s": round(held.expected - now, 3),
                "latest_in_s": round(held.latest - now, 3),
                "let_in": held.filled,
                "kept_out": held.passed,
            }
            for held in self.by_job.values()
        ]

    # Within

    def _bit(self, name: str) -> None:
        """A bound of ours kept something from being done."""
        self.figures.refused_cap += 1
        self.on_bound(name)

    def _forget(self, job: Job) -> None:
        self._kept_since.pop(job.request.id, None)
        self.waiting.pop(job.request.id, None)

    def _look_again(self, now: float) -> None:
        """A few waiting jobs in turn: the module itself tries only those of most worth."""
        for _ in range(min(LOOKS, len(self.waiting))):
            number, (job, workers) = next(iter(self.waiting.items()))
            self.waiting.move_to_end(number)
            if number not in self.by_job and not job.done:
                self.wait(now, job, workers)

    def _box(self, worker: Worker) -> Box:
        box = self.boxes.get(worker.id)
        if box is None:
            box = self.boxes[worker.id] = Box()
        return box

    def _latest(self, job: Job) -> float:
        return min(job.aim_at, job.late_at) - self.config.margin

    def _most(self, workers: Sequence[Worker]) -> int:
        """How many boxes may hold room at the same time: one at the least."""
        if workers is not self._counted:  # the module hands in the same list until the fleet changes
            self._counted, self._count = workers, len({w.id for w in workers})
        return min(max(int(self.config.boxes_share * self._count), 1), self.config.most)

    def _passed_enough(self, now: float, job: Job, since: float) -> bool:
        """Whether a job has been kept out for its share of the time that it had left when that began."""
        return now - since > self.config.pass_over * max(job.aim_at - since, 0.0)

    def _worth_it(self, job: Job) -> bool:
        """Whether its work is worth more than that of the small jobs which are being lost.

        A slot second that is kept free, or given to a large job, is taken from whoever would have had it.
        That costs little while those are served all the same, and their worth for their work once they
        are not.
        """
        return job.value * self.config.favour >= max(self._losing, default=0.0)

    def _tally(self, job: Job, lost: bool) -> None:
        """A small job went in time, or it did not."""
        if job.request.slots < self.config.smallest:
            index = job.request.job_class
            self._values[index] += FORGET * (job.value - self._values[index])
            self._lost[index] += FORGET * (lost - self._lost[index])
            self._losing[index] = self._values[index] * self._lost[index]

    def _worth(self, job: Job) -> float:
        """What is lost if this job is late."""
        run = self.estimates.classes[job.request.job_class].mean()
        return job.value * (run * job.request.slots if self._by_work else 1.0)

    def _harm(self, held: Reservation, start: float) -> float:
        """What is lost if the large job starts then: all, once it is past the latest start by the margin."""
        part = (start - held.latest) / max(self.config.margin, 0.1)
        return self._worth(held.job) * min(part, 1.0)

    def _sound(self, now: float, worker: Worker, job: Job) -> bool:
        """Whether a box is one to wait for."""
        if not worker.ready or worker.doubts or worker.bad > 0.1 or now < worker.warm_at:
            return False
        if now < worker.off_until - 2.0:
            return False
        box = self.boxes.get(worker.id)
        return (box is None or now >= box.shun) and self._large_enough(worker, job)

    def _best(self, now: float, job: Job, workers: Sequence[Worker]) -> tuple[Worker | None, float]:
        best, best_at = None, float("inf")
        for worker in self._candidates(job, workers):
            held = self.by_box.get(worker.id)
            if held is not None and held.job is not job:
                continue  # one reservation a box: never more is held than there is
            if self._sound(now, worker, job):
                at = self._start(now, worker, job)
                if job.request.key and job.request.key not in worker.keys:
                    at += self._fetch.value
                if at < best_at:
                    best, best_at = worker, at
        return best, best_at

    def _candidates(self, job: Job, workers: Sequence[Worker]) -> Iterable[Worker]:
        """A sample by the job's own number: each large job looks elsewhere on a large fleet."""
        count, sample = len(workers), self.config.sample
        if count <= 4 * sample:
            return {w.id: w for w in workers}.values()
        step = max(count // sample, 1)
        first = job.request.id * 7919 % count
        return {w.id: w for w in (workers[(first + i * step) % count] for i in range(sample))}.values()

    def _start(self, now: float, worker: Worker, job: Job, extra: Job | None = None) -> float:
        """When this job has room at this worker, if of all others only `extra` is let in before it.

        The module's threshold is what there is: a job fits under it, or alone.
        """
        there, slots = worker.pending, job.request.slots
        ends = self._ends(now, worker)
        if extra is not None:
            request = extra.request
            rest = self.estimates.rest(request.job_class, request.key, 0.0, self.config.certainty)
            ends = sorted([*ends, (now + rest * _pace(worker), request.slots)])
            there += request.slots
        at = max(now, worker.off_until)
        if there <= EPS or there + slots <= worker.limit:
            return at
        for end, freed in ends:
            there -= freed
            if there <= EPS or there + slots <= worker.limit:
                return max(at, end)
        return max(at, ends[-1][0]) if ends else at

    def _ends(self, now: float, worker: Worker) -> list[tuple[float, float]]:
        """When this worker's attempts are expected to end, and the slots that each frees, soonest first.

        Kept for a moment, or until something happens there: while many jobs wait, each asks about each box.
        """
        box = self._box(worker)
        if box.ends is None or now > box.ends_at + FRESH:
            pace, found = _pace(worker), []
            for attempt in box.out.values():
                if attempt.state == OUT:
                    request = attempt.job.request
                    elapsed = (now - attempt.begun) / pace if attempt.begun else 0.0
                    rest = self.estimates.rest(request.job_class, request.key, elapsed, self.config.certainty)
                    found.append((now + rest * pace, request.slots))
            box.ends, box.ends_at = sorted(found), now
        return box.ends

    def _drop(self, held: Reservation) -> None:
        self.figures.dropped += 1
        self._clear(held)

    def _clear(self, held: Reservation) -> None:
        self.by_job.pop(held.job.request.id, None)
        if self.by_box.get(held.worker.id) is held:
            del self.by_box[held.worker.id]


def _pace(worker: Worker) -> float:
    return min(max(worker.pace, PACE[0]), PACE[1])


__all__ = ["Figures", "Planner", "Reservation"]

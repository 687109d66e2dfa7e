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
from ..scheduling.records import IN_FLIGHT, Attempt, Job, MovingAverage, Worker
from .estimates import RunTimeEstimates
from .settings import ReservationSettings

EPS = 1e-9
INFEASIBLE = "no box has that many slots"
RUN_TIME_RATIO_BOUNDS = (0.25, 8.0)  # a box's pace is believed within these
RETRIED_JOBS = 4  # waiting jobs that are looked at again whenever an attempt ends
LOSS_GAIN = 0.02  # weight of the newest small job in what is known of their losses
AVOID_TIME = 1.0  # seconds
ENDS_LIFETIME = 0.05  # seconds that expected ends at a box are taken for true
NOW_TOLERANCE = 0.05  # seconds: as good as now


@dataclass(slots=True)
class Reservation:
    """Room held for one job at one box."""

    job: Job
    worker: Worker
    made_at: float
    latest_start: float  # the job must start by then to be in time
    expected_start: float  # when there is room, if nobody else is let in
    checked_at: float  # when that was last worked out
    jobs_kept_out: int = 0  # jobs kept out for its sake
    jobs_let_in: int = 0  # jobs let in before it


@dataclass(slots=True)
class PlannerCounts:
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
class WorkerState:
    """What is known of one box beside the module's own record."""

    attempts: dict[int, Attempt] = field(default_factory=dict)  # by the attempt's identity
    expected_ends: list[tuple[float, float]] | None = None  # what `_ends` found last, and when
    ends_computed_at: float = 0.0
    max_slots_seen: float = 0.0  # free slots and ours that run, the most ever seen together
    avoid_until: float = 0.0  # until then no room is held there: it turned a job away
    rejected_slots: float = float("inf")  # it turned a job of so many slots away when it was idle


class Planner:
    """One dispatcher's reservations. Same calls, same plan: it draws no random numbers."""

    def __init__(self, settings: Settings, config: ReservationSettings | None = None) -> None:
        self.config = config or ReservationSettings()
        self.config.check()
        self._classes = settings.classes
        self._by_work = settings.worth_by_work
        self.estimates = RunTimeEstimates([c.aim for c in settings.classes])
        self.counts = PlannerCounts()
        self.by_job: dict[int, Reservation] = {}
        self.by_worker: dict[bytes, Reservation] = {}
        self.worker_states: dict[bytes, WorkerState] = {}
        self.capacity: dict[bytes, float] = {}  # slots, where they are known for certain
        self.waiting: OrderedDict[int, tuple[Job, Sequence[Worker]]] = OrderedDict()  # large ones
        count = len(settings.classes)
        # Of small jobs
        self._mean_values, self._loss_rates, self._lost_values = [0.0] * count, [0.0] * count, [0.0] * count
        self._counted_workers: Sequence[Worker] = ()
        self._worker_count = 0  # boxes among these
        self._infeasible_request = 0  # the last hopeless request
        self.on_limit_reached: Callable[[str], None] = lambda name: None  # told of a setting that bit
        # Seconds that a box takes longer where it does not hold the key
        self._fetch_time = MovingAverage(0.1)
        self._excluded_since: dict[int, float] = {}  # small jobs, and since when they are kept out

    # Asked by the decision module

    def admits(self, now: float, job: Job, worker: Worker) -> bool:
        """Whether this job may take room at this worker now."""
        if job.request.slots > 1.0 and not self._large_enough(worker, job):
            return False
        held = self.by_worker.get(worker.id)
        if held is None or held.job is job:
            return True
        if job.request.id in self.by_job and job.value > held.job.value:
            return True  # two large ones, and the other is worth more for its work
        with_it = self._earliest_start(now, worker, held.job, job)
        if with_it <= held.latest_start:
            held.jobs_let_in += 1
            self.counts.filled += 1
            return True
        since = self._excluded_since.setdefault(job.request.id, now)
        if self._excluded_long_enough(now, job, since):
            self.counts.overdue += 1
            return True
        if self._expected_loss(held, with_it) < self._loss_if_late(job):
            self.counts.filled += 1
            return True
        held.jobs_kept_out += 1
        self.counts.passed += 1
        return False

    def reserved_slots(self, now: float, job: Job) -> float:
        """Slots of the window that others wait for whose box has room by now."""
        if not self.by_job or job.request.id in self.by_job:
            return 0.0
        kept = 0.0
        for held in self.by_job.values():
            if held.expected_start <= now + NOW_TOLERANCE and held.job.value >= job.value:
                kept += held.job.request.slots
        if kept and self._excluded_long_enough(
            now, job, self._excluded_since.setdefault(job.request.id, now)
        ):
            return 0.0
        return kept

    def reserved_worker(self, now: float, job: Job) -> Worker | None:
        """The box that holds room for this job."""
        held = self.by_job.get(job.request.id)
        return held.worker if held else None

    def due_job(self, now: float, worker: Worker) -> Job | None:
        """The waiting job that room is held for at this box, if it must go before others now."""
        held = self.by_worker.get(worker.id)
        if held is None or not held.job.queued or held.job.done or now < held.latest_start - self.config.lead:
            return None
        return held.job if self._is_worth_reserving(held.job) else None

    def request_reservation(self, now: float, job: Job, workers: Sequence[Worker]) -> None:
        """Makes, keeps or moves the reservation of a job that nothing has room for."""
        if job.request.slots < self.config.smallest or job.done or job.in_flight():
            return
        if job.request.id in self.waiting or len(self.waiting) < self.config.waiting:
            self.waiting[job.request.id] = job, workers
        else:
            self._on_limit("waiting")
        held = self.by_job.get(job.request.id)
        if held is not None:
            if not self._is_suitable(now, held.worker, job):
                self._cancel(held)
                held = None
            elif now < held.checked_at + self.config.replan:
                return
            else:
                held.expected_start, held.checked_at = self._earliest_start(now, held.worker, job), now
        if held is None and len(self.by_worker) >= self._max_reservations(workers):
            # Before anything is worked out: while many wait, this is where most of them end.
            self._on_limit("most" if len(self.by_worker) >= self.config.most else "boxes_share")
            return
        latest = self._latest_start(job)
        best, best_at = self._best_worker(now, job, workers)
        if best is None or best_at > latest or not self._is_worth_reserving(job):
            # Held room would come too late as well: it would only keep others waiting.
            if held is not None and (held.expected_start > latest or not self._is_worth_reserving(job)):
                self._cancel(held)
            return
        if held is not None:
            if best_at < held.expected_start - 2.0 * self.config.replan and held.worker is not best:
                self.counts.moved += 1
                self._remove(held)
            else:
                return
        held = Reservation(job, best, now, latest, best_at, now)
        self.by_job[job.request.id] = self.by_worker[best.id] = held
        self.counts.made += 1

    def is_infeasible(self, job: Job) -> bool:
        """Whether every box that may run it is known to have fewer slots than this job takes.

        Only what `wait` has just been told counts: a box that joined since may be large enough, and a refusal
        that is wrong loses a job.
        """
        known = self.waiting.get(job.request.id)
        if known is None or not known[1] or any(self._large_enough(w, job) for w in known[1]):
            return False
        self.counts.hopeless += 1
        self._infeasible_request = job.request.id
        return True

    def _large_enough(self, worker: Worker, job: Job) -> bool:
        """Whether a box may have as many slots, for all that is known."""
        box, slots = self.worker_states.get(worker.id), job.request.slots
        return self.capacity.get(worker.id, slots) >= slots and (box is None or box.rejected_slots > slots)

    def infeasible_reason(self, request: int) -> str:
        """Why a request is hopeless; its refusal follows at once, so one is remembered."""
        return INFEASIBLE if request == self._infeasible_request else ""

    # Told by the decision module

    def on_sent(self, now: float, attempt: Attempt) -> None:
        job, worker = attempt.job, attempt.worker
        box = self._state_of(worker)
        box.attempts[id(attempt)], box.expected_ends = attempt, None
        self._forget_job(job)
        if len(job.attempts) == 1:
            self._record_small_job(job, now > job.target_start)
        held = self.by_job.get(job.request.id)
        if held is not None:
            if held.worker is worker:
                self.counts.used += 1
            else:
                self.counts.dropped += 1
            self._remove(held)

    def on_started(self, now: float, attempt: Attempt) -> None:
        box = self._state_of(attempt.worker)
        box.expected_ends = None
        running = sum(a.job.request.slots for a in box.attempts.values() if a.started_at)
        box.max_slots_seen = max(box.max_slots_seen, running)

    def on_ended(self, now: float, attempt: Attempt, status: int, free: float) -> None:
        worker, job = attempt.worker, attempt.job
        box = self._state_of(worker)
        box.attempts.pop(id(attempt), None)
        box.expected_ends = None
        if status == Status.OK and attempt.started_at:
            run = max(now - attempt.started_at, 1e-3) / _run_time_ratio(worker)
            if attempt.fetches_key:
                self._fetch_time.add(max(run - self.estimates.classes[job.request.job_class].mean(), 0.0))
            self.estimates.learn(job.request.job_class, job.request.key, run)
        running = sum(a.job.request.slots for a in box.attempts.values() if a.started_at)
        idle = free >= 0 and not box.attempts and free >= box.max_slots_seen
        if status == Status.FULL and idle and free < job.request.slots:
            # It had nothing of ours, and as much free as it ever had: it does not hold that many.
            box.rejected_slots = min(box.rejected_slots, job.request.slots)
        if free >= 0:
            box.max_slots_seen = max(box.max_slots_seen, free + running)
        held = self.by_worker.get(worker.id)
        if status != Status.OK:
            box.avoid_until = now + AVOID_TIME  # full by others' jobs, failing or gone: look elsewhere
            if held is not None and held.job is not job:
                self._cancel(held)
        if not box.attempts and not worker.ready:
            self.worker_states.pop(worker.id, None)  # it drains or is gone: its last attempt has ended
        self._retry_waiting(now)

    def on_worker_lost(self, worker: Worker) -> None:
        held = self.by_worker.get(worker.id)
        if held is not None:
            self._cancel(held)
        box = self.worker_states.pop(worker.id, None)
        if box is not None and box.attempts:
            self.worker_states[worker.id] = WorkerState(box.attempts)  # these end yet

    def on_job_closed(self, job: Job) -> None:
        self._forget_job(job)
        if not job.attempts:
            self._record_small_job(job, True)
        held = self.by_job.get(job.request.id)
        if held is not None:
            self._cancel(held)

    def set_capacity(self, worker: bytes, slots: float | None) -> None:
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
                "held_s": round(now - held.made_at, 3),
                "room_in_s": round(held.expected_start - now, 3),
                "latest_in_s": round(held.latest_start - now, 3),
                "let_in": held.jobs_let_in,
                "kept_out": held.jobs_kept_out,
            }
            for held in self.by_job.values()
        ]

    # Within

    def _on_limit(self, name: str) -> None:
        """A bound of ours kept something from being done."""
        self.counts.refused_cap += 1
        self.on_limit_reached(name)

    def _forget_job(self, job: Job) -> None:
        self._excluded_since.pop(job.request.id, None)
        self.waiting.pop(job.request.id, None)

    def _retry_waiting(self, now: float) -> None:
        """A few waiting jobs in turn: the module itself tries only those of most worth."""
        for _ in range(min(RETRIED_JOBS, len(self.waiting))):
            number, (job, workers) = next(iter(self.waiting.items()))
            self.waiting.move_to_end(number)
            if number not in self.by_job and not job.done:
                self.request_reservation(now, job, workers)

    def _state_of(self, worker: Worker) -> WorkerState:
        box = self.worker_states.get(worker.id)
        if box is None:
            box = self.worker_states[worker.id] = WorkerState()
        return box

    def _latest_start(self, job: Job) -> float:
        return min(job.target_start, job.latest_start) - self.config.margin

    def _max_reservations(self, workers: Sequence[Worker]) -> int:
        """How many boxes may hold room at the same time: one at the least."""
        if workers is not self._counted_workers:  # the module hands in the same list until the fleet changes
            self._counted_workers, self._worker_count = workers, len({w.id for w in workers})
        return min(max(int(self.config.boxes_share * self._worker_count), 1), self.config.most)

    def _excluded_long_enough(self, now: float, job: Job, since: float) -> bool:
        """Whether a job has been kept out for its share of the time that it had left when that began."""
        return now - since > self.config.pass_over * max(job.target_start - since, 0.0)

    def _is_worth_reserving(self, job: Job) -> bool:
        """Whether its work is worth more than that of the small jobs which are being lost.

        A slot second that is kept free, or given to a large job, is taken from whoever would have had it.
        That costs little while those are served all the same, and their worth for their work once they
        are not.
        """
        return job.value * self.config.favour >= max(self._lost_values, default=0.0)

    def _record_small_job(self, job: Job, lost: bool) -> None:
        """A small job went in time, or it did not."""
        if job.request.slots < self.config.smallest:
            index = job.request.job_class
            self._mean_values[index] += LOSS_GAIN * (job.value - self._mean_values[index])
            self._loss_rates[index] += LOSS_GAIN * (lost - self._loss_rates[index])
            self._lost_values[index] = self._mean_values[index] * self._loss_rates[index]

    def _loss_if_late(self, job: Job) -> float:
        """What is lost if this job is late."""
        run = self.estimates.classes[job.request.job_class].mean()
        return job.value * (run * job.request.slots if self._by_work else 1.0)

    def _expected_loss(self, held: Reservation, start: float) -> float:
        """What is lost if the large job starts then: all, once it is past the latest start by the margin."""
        part = (start - held.latest_start) / max(self.config.margin, 0.1)
        return self._loss_if_late(held.job) * min(part, 1.0)

    def _is_suitable(self, now: float, worker: Worker, job: Job) -> bool:
        """Whether a box is one to wait for."""
        if not worker.ready or worker.suspicion or worker.failure_share > 0.1 or now < worker.warm_at:
            return False
        if now < worker.avoid_until - 2.0:
            return False
        box = self.worker_states.get(worker.id)
        return (box is None or now >= box.avoid_until) and self._large_enough(worker, job)

    def _best_worker(self, now: float, job: Job, workers: Sequence[Worker]) -> tuple[Worker | None, float]:
        best, best_at = None, float("inf")
        for worker in self._candidates(job, workers):
            held = self.by_worker.get(worker.id)
            if held is not None and held.job is not job:
                continue  # one reservation a box: never more is held than there is
            if self._is_suitable(now, worker, job):
                at = self._earliest_start(now, worker, job)
                if job.request.key and job.request.key not in worker.held_keys:
                    at += self._fetch_time.value
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

    def _earliest_start(self, now: float, worker: Worker, job: Job, extra: Job | None = None) -> float:
        """When this job has room at this worker, if of all others only `extra` is let in before it.

        The module's threshold is what there is: a job fits under it, or alone.
        """
        there, slots = worker.pending_slots, job.request.slots
        ends = self._expected_ends(now, worker)
        if extra is not None:
            request = extra.request
            rest = self.estimates.remaining(request.job_class, request.key, 0.0, self.config.certainty)
            ends = sorted([*ends, (now + rest * _run_time_ratio(worker), request.slots)])
            there += request.slots
        at = max(now, worker.avoid_until)
        if there <= EPS or there + slots <= worker.slot_limit:
            return at
        for end, freed in ends:
            there -= freed
            if there <= EPS or there + slots <= worker.slot_limit:
                return max(at, end)
        return max(at, ends[-1][0]) if ends else at

    def _expected_ends(self, now: float, worker: Worker) -> list[tuple[float, float]]:
        """When this worker's attempts are expected to end, and the slots that each frees, soonest first.

        Kept for a moment, or until something happens there: while many jobs wait, each asks about each box.
        """
        box = self._state_of(worker)
        if box.expected_ends is None or now > box.ends_computed_at + ENDS_LIFETIME:
            pace, found = _run_time_ratio(worker), []
            for attempt in box.attempts.values():
                if attempt.state == IN_FLIGHT:
                    request = attempt.job.request
                    elapsed = (now - attempt.started_at) / pace if attempt.started_at else 0.0
                    rest = self.estimates.remaining(
                        request.job_class, request.key, elapsed, self.config.certainty
                    )
                    found.append((now + rest * pace, request.slots))
            box.expected_ends, box.ends_computed_at = sorted(found), now
        return box.expected_ends

    def _cancel(self, held: Reservation) -> None:
        self.counts.dropped += 1
        self._remove(held)

    def _remove(self, held: Reservation) -> None:
        self.by_job.pop(held.job.request.id, None)
        if self.by_worker.get(held.worker.id) is held:
            del self.by_worker[held.worker.id]


def _run_time_ratio(worker: Worker) -> float:
    return min(max(worker.run_time_ratio, RUN_TIME_RATIO_BOUNDS[0]), RUN_TIME_RATIO_BOUNDS[1])


__all__ = ["PlannerCounts", "Planner", "Reservation"]

"""Reservations with backfilling: which worker keeps slots for a large job, and which jobs may run before it.

A reservation names a worker and a latest start. Other jobs are admitted to that worker as long as the large
job is still expected to start by then. Idle slots are thus backfilled while that delays nothing, and a fleet
with spare capacity holds nothing back. `docs/design-room.md` compares this with the alternatives.
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
RUN_TIME_RATIO_BOUNDS = (0.25, 8.0)  # a worker's run time ratio is clamped to this range
RETRIED_JOBS = 4  # waiting jobs reconsidered each time an attempt ends
LOSS_GAIN = 0.02  # weight of the newest sample in the moving averages of small jobs' losses
AVOID_TIME = 1.0  # seconds without new reservations at a worker after an attempt failed there
ENDS_LIFETIME = 0.05  # seconds for which a worker's expected ends are cached
NOW_TOLERANCE = 0.05  # seconds; an expected start this close counts as immediate


@dataclass(slots=True)
class Reservation:
    """Slots held for one job at one worker."""

    job: Job
    worker: Worker
    made_at: float
    latest_start: float  # latest start in time, less the configured margin
    expected_start: float  # when enough slots are free if no other job is admitted
    checked_at: float  # when `expected_start` was last computed
    jobs_kept_out: int = 0  # times a job was refused because of this reservation
    jobs_let_in: int = 0  # jobs admitted ahead of the reserved job


@dataclass(slots=True)
class PlannerCounts:
    """Counters since the planner was created."""

    made: int = 0  # reservations created
    used: int = 0  # reservations whose job was sent to the reserved worker
    moved: int = 0  # reservations replaced by one at a worker that is free sooner
    dropped: int = 0  # reservations given up: worker unsuitable, start too late, job sent elsewhere or closed
    filled: int = 0  # admissions of a small job ahead of a large one
    passed: int = 0  # refusals of a small job
    overdue: int = 0  # admissions of a small job because it had been refused for too long
    refused_cap: int = 0  # times a configured limit was hit
    hopeless: int = 0  # jobs that need more slots than any worker has


@dataclass(slots=True)
class WorkerState:
    """Planner state of one worker, in addition to the scheduler's `Worker` record."""

    attempts: dict[int, Attempt] = field(default_factory=dict)  # keyed by `id(attempt)`
    expected_ends: list[tuple[float, float]] | None = None  # cached result of `_expected_ends`
    ends_computed_at: float = 0.0
    max_slots_seen: float = 0.0  # maximum of free slots plus slots of our running jobs
    avoid_until: float = 0.0  # no reservation here before this time: an attempt failed
    rejected_slots: float = float("inf")  # smallest request refused while the worker was idle


class Planner:
    """Reservations of one dispatcher. Deterministic: uses no random numbers."""

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
        self.capacity: dict[bytes, float] = {}  # total slots by worker id, where known for certain
        self.waiting: OrderedDict[int, tuple[Job, Sequence[Worker]]] = OrderedDict()  # large jobs
        count = len(settings.classes)
        # Moving averages over small jobs, by class
        self._mean_values, self._loss_rates, self._lost_values = [0.0] * count, [0.0] * count, [0.0] * count
        self._counted_workers: Sequence[Worker] = ()
        self._worker_count = 0  # distinct workers in `_counted_workers`
        self._infeasible_request = 0  # id of the last infeasible request
        self.on_limit_reached: Callable[[str], None] = lambda name: None  # called with the setting's name
        # Extra seconds a job takes at a worker that does not hold its key
        self._fetch_time = MovingAverage(0.1)
        self._excluded_since: dict[int, float] = {}  # by request id: time of the first refusal

    # Queries from the scheduler

    def admits(self, now: float, job: Job, worker: Worker) -> bool:
        """Whether this job may take slots at this worker now."""
        if job.request.slots > 1.0 and not self._large_enough(worker, job):
            return False
        held = self.by_worker.get(worker.id)
        if held is None or held.job is job:
            return True
        if job.request.id in self.by_job and job.value > held.job.value:
            return True  # both have reservations, and this job is worth more per slot second
        delayed_start = self._earliest_start(now, worker, held.job, job)
        if delayed_start <= held.latest_start:
            held.jobs_let_in += 1
            self.counts.filled += 1
            return True
        since = self._excluded_since.setdefault(job.request.id, now)
        if self._excluded_long_enough(now, job, since):
            self.counts.overdue += 1
            return True
        if self._expected_loss(held, delayed_start) < self._loss_if_late(job):
            self.counts.filled += 1
            return True
        held.jobs_kept_out += 1
        self.counts.passed += 1
        return False

    def reserved_slots(self, now: float, job: Job) -> float:
        """Slots of the in-flight window kept for reserved jobs that can start now."""
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
        """The worker at which slots are reserved for this job."""
        held = self.by_job.get(job.request.id)
        return held.worker if held else None

    def due_job(self, now: float, worker: Worker) -> Job | None:
        """The queued job reserved at this worker, if it must be sent before others now."""
        held = self.by_worker.get(worker.id)
        if held is None or not held.job.queued or held.job.done or now < held.latest_start - self.config.lead:
            return None
        return held.job if self._is_worth_reserving(held.job) else None

    def request_reservation(self, now: float, job: Job, workers: Sequence[Worker]) -> None:
        """Creates, keeps or moves the reservation of a job that fits no worker now."""
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
            # Checked before the costly search: with many waiting jobs, most calls return here.
            self._on_limit("most" if len(self.by_worker) >= self.config.most else "boxes_share")
            return
        latest = self._latest_start(job)
        best, best_at = self._best_worker(now, job, workers)
        if best is None or best_at > latest or not self._is_worth_reserving(job):
            # A reservation that cannot start in time would only delay other jobs.
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
        """Whether every worker that may run this job is known to have too few slots for it.

        Uses only the workers last passed to `request_reservation`. A worker that joined since may be large
        enough, and a wrong refusal loses a job.
        """
        known = self.waiting.get(job.request.id)
        if known is None or not known[1] or any(self._large_enough(w, job) for w in known[1]):
            return False
        self.counts.hopeless += 1
        self._infeasible_request = job.request.id
        return True

    def _large_enough(self, worker: Worker, job: Job) -> bool:
        """Whether the worker may have enough slots in total, as far as is known."""
        state, slots = self.worker_states.get(worker.id), job.request.slots
        return self.capacity.get(worker.id, slots) >= slots and (
            state is None or state.rejected_slots > slots
        )

    def infeasible_reason(self, request: int) -> str:
        """Why a request is infeasible. Only the last one is stored, as its refusal follows at once."""
        return INFEASIBLE if request == self._infeasible_request else ""

    # Notifications from the scheduler

    def on_sent(self, now: float, attempt: Attempt) -> None:
        job, worker = attempt.job, attempt.worker
        state = self._state_of(worker)
        state.attempts[id(attempt)], state.expected_ends = attempt, None
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
        state = self._state_of(attempt.worker)
        state.expected_ends = None
        running = sum(a.job.request.slots for a in state.attempts.values() if a.started_at)
        state.max_slots_seen = max(state.max_slots_seen, running)

    def on_ended(self, now: float, attempt: Attempt, status: int, free: float) -> None:
        worker, job = attempt.worker, attempt.job
        state = self._state_of(worker)
        state.attempts.pop(id(attempt), None)
        state.expected_ends = None
        if status == Status.OK and attempt.started_at:
            run = max(now - attempt.started_at, 1e-3) / _run_time_ratio(worker)
            if attempt.fetches_key:
                self._fetch_time.add(max(run - self.estimates.classes[job.request.job_class].mean(), 0.0))
            self.estimates.learn(job.request.job_class, job.request.key, run)
        running = sum(a.job.request.slots for a in state.attempts.values() if a.started_at)
        idle = free >= 0 and not state.attempts and free >= state.max_slots_seen
        if status == Status.FULL and idle and free < job.request.slots:
            # The worker was idle with as many free slots as ever seen, so it is too small for this request.
            state.rejected_slots = min(state.rejected_slots, job.request.slots)
        if free >= 0:
            state.max_slots_seen = max(state.max_slots_seen, free + running)
        held = self.by_worker.get(worker.id)
        if status != Status.OK:
            state.avoid_until = now + AVOID_TIME  # filled by other dispatchers, failing or gone
            if held is not None and held.job is not job:
                self._cancel(held)
        if not state.attempts and not worker.ready:
            self.worker_states.pop(worker.id, None)  # draining or gone, and its last attempt has ended
        self._retry_waiting(now)

    def on_worker_lost(self, worker: Worker) -> None:
        held = self.by_worker.get(worker.id)
        if held is not None:
            self._cancel(held)
        state = self.worker_states.pop(worker.id, None)
        if state is not None and state.attempts:
            self.worker_states[worker.id] = WorkerState(state.attempts)  # attempts still in flight

    def on_job_closed(self, job: Job) -> None:
        self._forget_job(job)
        if not job.attempts:
            self._record_small_job(job, True)
        held = self.by_job.get(job.request.id)
        if held is not None:
            self._cancel(held)

    def set_capacity(self, worker: bytes, slots: float | None) -> None:
        """Sets a worker's total slots from an authoritative source; None means no longer known."""
        if slots is None:
            self.capacity.pop(worker, None)
        else:
            self.capacity[worker] = slots

    def describe(self, now: float) -> list[dict[str, object]]:
        """The current reservations, one entry each; times are seconds relative to now."""
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

    # Internals

    def _on_limit(self, name: str) -> None:
        """Counts and reports that a configured limit was hit."""
        self.counts.refused_cap += 1
        self.on_limit_reached(name)

    def _forget_job(self, job: Job) -> None:
        self._excluded_since.pop(job.request.id, None)
        self.waiting.pop(job.request.id, None)

    def _retry_waiting(self, now: float) -> None:
        """Reconsiders a few waiting jobs in turn, as the scheduler tries only the most valuable ones."""
        for _ in range(min(RETRIED_JOBS, len(self.waiting))):
            number, (job, workers) = next(iter(self.waiting.items()))
            self.waiting.move_to_end(number)
            if number not in self.by_job and not job.done:
                self.request_reservation(now, job, workers)

    def _state_of(self, worker: Worker) -> WorkerState:
        state = self.worker_states.get(worker.id)
        if state is None:
            state = self.worker_states[worker.id] = WorkerState()
        return state

    def _latest_start(self, job: Job) -> float:
        return min(job.target_start, job.latest_start) - self.config.margin

    def _max_reservations(self, workers: Sequence[Worker]) -> int:
        """How many workers may have a reservation at the same time; at least one."""
        if workers is not self._counted_workers:  # the scheduler reuses the list until the fleet changes
            self._counted_workers, self._worker_count = workers, len({w.id for w in workers})
        return min(max(int(self.config.boxes_share * self._worker_count), 1), self.config.most)

    def _excluded_long_enough(self, now: float, job: Job, since: float) -> bool:
        """Whether a job has been refused for `pass_over` of the time it had left at its first refusal."""
        return now - since > self.config.pass_over * max(job.target_start - since, 0.0)

    def _is_worth_reserving(self, job: Job) -> bool:
        """Whether the job is worth at least as much per slot second as the small jobs being lost.

        A slot second kept free or given to a large job is taken from small jobs. That costs little while
        they are served in time anyway, and their full worth per slot second once they are not.
        """
        return job.value * self.config.favour >= max(self._lost_values, default=0.0)

    def _record_small_job(self, job: Job, lost: bool) -> None:
        """Updates the loss averages with a small job that was sent in time or lost."""
        if job.request.slots < self.config.smallest:
            index = job.request.job_class
            self._mean_values[index] += LOSS_GAIN * (job.value - self._mean_values[index])
            self._loss_rates[index] += LOSS_GAIN * (lost - self._loss_rates[index])
            self._lost_values[index] = self._mean_values[index] * self._loss_rates[index]

    def _loss_if_late(self, job: Job) -> float:
        """Value lost if this job is late."""
        run = self.estimates.classes[job.request.job_class].mean()
        return job.value * (run * job.request.slots if self._by_work else 1.0)

    def _expected_loss(self, held: Reservation, start: float) -> float:
        """Value lost if the reserved job starts at `start`: all of it from `margin` past the latest start."""
        part = (start - held.latest_start) / max(self.config.margin, 0.1)
        return self._loss_if_late(held.job) * min(part, 1.0)

    def _is_suitable(self, now: float, worker: Worker, job: Job) -> bool:
        """Whether a reservation may be placed at this worker."""
        if not worker.ready or worker.suspicion or worker.failure_share > 0.1 or now < worker.warm_at:
            return False
        if now < worker.avoid_until - 2.0:
            return False
        state = self.worker_states.get(worker.id)
        return (state is None or now >= state.avoid_until) and self._large_enough(worker, job)

    def _best_worker(self, now: float, job: Job, workers: Sequence[Worker]) -> tuple[Worker | None, float]:
        best, best_at = None, float("inf")
        for worker in self._candidates(job, workers):
            held = self.by_worker.get(worker.id)
            if held is not None and held.job is not job:
                continue  # one reservation per worker, so that no more is held than it has
            if self._is_suitable(now, worker, job):
                at = self._earliest_start(now, worker, job)
                if job.request.key and job.request.key not in worker.held_keys:
                    at += self._fetch_time.value
                if at < best_at:
                    best, best_at = worker, at
        return best, best_at

    def _candidates(self, job: Job, workers: Sequence[Worker]) -> Iterable[Worker]:
        """Samples workers by request id, so that large jobs spread over a large fleet."""
        count, sample = len(workers), self.config.sample
        if count <= 4 * sample:
            return {w.id: w for w in workers}.values()
        step = max(count // sample, 1)
        first = job.request.id * 7919 % count
        return {w.id: w for w in (workers[(first + i * step) % count] for i in range(sample))}.values()

    def _earliest_start(self, now: float, worker: Worker, job: Job, extra: Job | None = None) -> float:
        """When this job can start at this worker if only `extra` is admitted before it.

        A job fits if the total stays within the scheduler's slot limit, or if it runs alone.
        """
        used_slots, slots = worker.pending_slots, job.request.slots
        ends = self._expected_ends(now, worker)
        if extra is not None:
            request = extra.request
            rest = self.estimates.remaining(request.job_class, request.key, 0.0, self.config.certainty)
            ends = sorted([*ends, (now + rest * _run_time_ratio(worker), request.slots)])
            used_slots += request.slots
        at = max(now, worker.avoid_until)
        if used_slots <= EPS or used_slots + slots <= worker.slot_limit:
            return at
        for end, freed in ends:
            used_slots -= freed
            if used_slots <= EPS or used_slots + slots <= worker.slot_limit:
                return max(at, end)
        return max(at, ends[-1][0]) if ends else at

    def _expected_ends(self, now: float, worker: Worker) -> list[tuple[float, float]]:
        """Expected end time and freed slots of each attempt at this worker, soonest first.

        Cached briefly or until an event at the worker, as each waiting job queries many workers.
        """
        state = self._state_of(worker)
        if state.expected_ends is None or now > state.ends_computed_at + ENDS_LIFETIME:
            ratio, found = _run_time_ratio(worker), []
            for attempt in state.attempts.values():
                if attempt.state == IN_FLIGHT:
                    request = attempt.job.request
                    elapsed = (now - attempt.started_at) / ratio if attempt.started_at else 0.0
                    rest = self.estimates.remaining(
                        request.job_class, request.key, elapsed, self.config.certainty
                    )
                    found.append((now + rest * ratio, request.slots))
            state.expected_ends, state.ends_computed_at = sorted(found), now
        return state.expected_ends

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

"""State records of the scheduler: workers, held keys, jobs and attempts. Contains no decision logic."""

from __future__ import annotations

from hashlib import blake2b

from .interface import JobClass, Member, Request

IN_FLIGHT, NEVER_RAN, MAYBE_RAN = range(3)


class MovingAverage:
    """Exponential moving average with the mean absolute deviation; a plain mean over the first samples."""

    __slots__ = ("value", "deviation", "sample_count")

    def __init__(self, value: float) -> None:
        self.value, self.deviation, self.sample_count = value, value / 2, 0

    def add(self, sample: float) -> None:
        self.sample_count += 1
        gain = max(1.0 / self.sample_count, 0.02)
        self.value += gain * (sample - self.value)
        self.deviation += gain * (abs(sample - self.value) - self.deviation)


class HeldKey:
    """A key held by one worker, with the slots of this dispatcher's pending jobs for it there."""

    __slots__ = ("key", "worker", "pending_slots", "last_used_at", "use_count")

    def __init__(self, key: int, worker: Worker) -> None:
        self.key, self.worker, self.pending_slots, self.last_used_at, self.use_count = (
            key,
            worker,
            0.0,
            0.0,
            0,
        )


class Worker:
    """State that this dispatcher keeps for one worker."""

    __slots__ = (
        "id",
        "ring_hash",
        "ready",
        "up_since",
        "zone",
        "kind",
        "cell",
        "pending_slots",
        "held_keys",
        "slot_limit",
        "avoid_until",
        "full_count",
        "suspicion",
        "run_time_ratio",
        "run_time_ratio_at",
        "last_contact_at",
        "warm_at",
        "failure_share",
        "failure_share_at",
        "last_report",
        "connection_failures",
        "last_started",
    )

    def __init__(self, member: Member, limit: float) -> None:
        self.id = member.worker
        self.ring_hash = int.from_bytes(blake2b(member.worker, digest_size=8).digest(), "little")
        self.ready = False
        self.up_since = 0.0
        self.zone, self.kind, self.cell = member.zone, member.kind, member.cell
        self.pending_slots = 0.0
        self.held_keys: dict[int, HeldKey] = {}
        self.warm_at = self.last_contact_at = 0.0
        self.reset(limit)

    def reset(self, limit: float) -> None:
        """Discards learned state, because the worker is a new process."""
        self.slot_limit, self.avoid_until, self.full_count, self.suspicion = limit, 0.0, 0, 0
        self.run_time_ratio, self.run_time_ratio_at = 1.0, 0.0  # Run time here relative to the usual one.
        self.failure_share, self.failure_share_at = (
            0.0,
            0.0,
        )  # Share of failed jobs, and when it was last updated.
        self.connection_failures = 0  # Connection failures since the last response.
        self.last_started = 0.0  # Send time of the most recently sent job that has started.
        self.last_report: tuple[float, ...] = ()


class Attempt:
    """One attempt to run a job on a worker."""

    __slots__ = (
        "job",
        "index",
        "worker",
        "held_key",
        "sent_at",
        "state",
        "last_seen",
        "fetches_key",
        "started_at",
        "presumed_lost",
        "queue_allowance",
        "expected_delay",
    )

    def __init__(self, job: Job, index: int, worker: Worker, pair: HeldKey | None, now: float) -> None:
        self.job, self.index, self.worker, self.held_key, self.sent_at = job, index, worker, pair, now
        self.state = IN_FLIGHT
        self.presumed_lost = False  # Set when the worker is silent or later jobs have started first.
        self.queue_allowance = 0.0  # Seconds that it may wait in the queue without being suspect.
        self.expected_delay = 0.0  # Expected queueing delay in seconds.
        self.fetches_key = pair is not None and pair.use_count <= 1
        self.last_seen = self.started_at = 0.0  # Times of the last and first sign that it runs.


class Job:
    """A request that still needs an answer or has attempts in flight."""

    __slots__ = (
        "request",
        "cls",
        "attempts",
        "done",
        "latest_start",
        "value",
        "expected_run",
        "queued",
        "queue_order",
        "retry_at",
        "may_spill_at",
        "target_start",
    )

    def __init__(self, request: Request, cls: JobClass) -> None:
        self.request, self.cls = request, cls
        self.attempts: list[Attempt] = []
        self.done = self.queued = False
        self.latest_start = self.value = self.expected_run = self.retry_at = self.may_spill_at = (
            self.target_start
        ) = 0.0
        self.queue_order: tuple[float, int] = (0.0, 0)

    def in_flight(self) -> int:
        return sum(a.state == IN_FLIGHT for a in self.attempts)

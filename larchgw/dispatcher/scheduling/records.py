"""Records of the scheduler: workers, keys held, jobs and attempts. No decisions."""

from __future__ import annotations

from hashlib import blake2b

from .interface import JobClass, Member, Request

OUT, NEVER_RAN, MAYBE_RAN = range(3)


class Mean:
    """A moving mean and mean deviation."""

    __slots__ = ("value", "dev", "count")

    def __init__(self, value: float) -> None:
        self.value, self.dev, self.count = value, value / 2, 0

    def add(self, sample: float) -> None:
        self.count += 1
        gain = max(1.0 / self.count, 0.02)
        self.value += gain * (sample - self.value)
        self.dev += gain * (abs(sample - self.value) - self.dev)


class Pair:
    """A key at a worker that holds it, with our own pending slots of it there."""

    __slots__ = ("key", "worker", "pending", "used", "uses")

    def __init__(self, key: int, worker: Worker) -> None:
        self.key, self.worker, self.pending, self.used, self.uses = key, worker, 0.0, 0.0, 0


class Worker:
    """What this dispatcher knows of one worker."""

    __slots__ = (
        "id",
        "point",
        "ready",
        "up_since",
        "zone",
        "kind",
        "cell",
        "pending",
        "keys",
        "limit",
        "off_until",
        "fulls",
        "doubts",
        "pace",
        "pace_at",
        "sign_at",
        "warm_at",
        "bad",
        "bad_at",
        "report",
        "breaks",
        "reached",
    )

    def __init__(self, member: Member, limit: float) -> None:
        self.id = member.worker
        self.point = int.from_bytes(blake2b(member.worker, digest_size=8).digest(), "little")
        self.ready = False
        self.up_since = 0.0
        self.zone, self.kind, self.cell = member.zone, member.kind, member.cell
        self.pending = 0.0
        self.keys: dict[int, Pair] = {}
        self.warm_at = self.sign_at = 0.0
        self.reset(limit)

    def reset(self, limit: float) -> None:
        """What was learned is void: this is a new process."""
        self.limit, self.off_until, self.fulls, self.doubts = limit, 0.0, 0, 0
        self.pace, self.pace_at = 1.0, 0.0  # running times here over the usual
        self.bad, self.bad_at = 0.0, 0.0  # share of jobs that it failed, and when that was last seen
        self.breaks = 0  # connections that broke since the last sign of life
        self.reached = 0.0  # when the latest job was sent that has begun
        self.report: tuple[float, ...] = ()  # the last one


class Attempt:
    """One send of a job."""

    __slots__ = (
        "job",
        "index",
        "worker",
        "pair",
        "sent",
        "state",
        "sign",
        "fresh",
        "begun",
        "lost",
        "queued",
        "waits",
    )

    def __init__(self, job: Job, index: int, worker: Worker, pair: Pair | None, now: float) -> None:
        self.job, self.index, self.worker, self.pair, self.sent = job, index, worker, pair, now
        self.state = OUT
        self.lost = False  # its worker has gone silent
        self.queued = 0.0  # seconds that it may well wait behind others ...
        self.waits = 0.0  # ... and that it was expected to
        self.fresh = pair is not None and pair.uses <= 1
        self.sign = self.begun = 0.0  # when it last showed that it runs, and when it first did


class Job:
    """A request that is owed an answer, or has attempts out."""

    __slots__ = (
        "request",
        "cls",
        "attempts",
        "done",
        "late_at",
        "value",
        "work",
        "held",
        "order",
        "next_at",
        "spill_at",
        "aim_at",
    )

    def __init__(self, request: Request, cls: JobClass) -> None:
        self.request, self.cls = request, cls
        self.attempts: list[Attempt] = []
        self.done = self.held = False
        self.late_at = self.value = self.work = self.next_at = self.spill_at = self.aim_at = 0.0
        self.order: tuple[float, int] = (0.0, 0)

    def out(self) -> int:
        return sum(a.state == OUT for a in self.attempts)

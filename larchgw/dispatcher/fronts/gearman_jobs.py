"""Gearman jobs: which are alive, who waits for them, and how releases ended."""

from __future__ import annotations

from base64 import b64decode, b64encode
from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any, Protocol

import structlog

from ...net.counters import Counters
from ...net.timers import Clock
from ..core import Answer, AnswerKind, Request
from ..scheduling.interface import Settings

MAX_REMEMBERED = 50_000
MAX_RESULT_BYTES = 16 << 20  # of remembered releases
LOST = Answer(AnswerKind.FAILED, reason="it was done before, but its result is not kept any more")
UNTOLD = Answer(AnswerKind.FAILED, reason="the process that had it ended, and it may have run")
log = structlog.get_logger()
Name = tuple[int, bytes]  # class and unique


class Waiter(Protocol):
    """A client's connection that waits for a job's end."""

    def write(self, data: bytes) -> None:
        """A packet on the way there."""

    def finish(self, job: Job, answer: Answer) -> None:
        """Its one final answer."""


@dataclass(slots=True, eq=False)
class Job:
    handle: bytes
    unique: bytes
    job_class: int
    background: bool
    waiters: list[Waiter] = field(default_factory=list)  # one for each foreground submit
    request: Request | None = None
    status: tuple[bytes, bytes] = (b"0", b"0")
    exception: bytes = b""

    def running(self) -> bool:
        return self.request is not None and any(a.started and not a.ended for a in self.request.attempts)


class Jobs:
    """Jobs by handle, and by class and unique."""

    def __init__(self, settings: Settings, clock: Clock, counters: Counters, remember: float) -> None:
        self._settings, self._clock, self._counters = settings, clock, counters
        self._remember = remember
        self._serial = 0
        self.by_handle: dict[bytes, Job] = {}
        self._by_name: dict[Name, Job] = {}
        # Oldest first. What a client submits again after the end must not run again.
        self._ended: OrderedDict[Name, tuple[float, bytes, Answer]] = OrderedDict()
        self._result_bytes = 0
        self._classes = [c.name for c in settings.classes]
        # In an upgrade: jobs alive in the other process, which must not run here, and what tells it of ours.
        self._elsewhere: dict[Name, object] = {}
        self.publish: Callable[[dict[str, Any]], None] = lambda item: None

    def find(self, unique: bytes) -> Job | None:
        return next((job for (_, name), job in self._by_name.items() if name == unique), None)

    def alive(self, job_class: int, unique: bytes) -> Job | None:
        return self._by_name.get((job_class, unique)) if unique else None

    def ended(self, job_class: int, unique: bytes) -> tuple[bytes, Answer] | None:
        """The handle and the end of a release that is still remembered."""
        self._expire()
        found = self._ended.get((job_class, unique)) if unique else None
        return found[1:] if found else None

    def full(self, job_class: int, unique: bytes) -> bool:
        """Whether there is no room to remember this job's end; to forget another could run that twice."""
        if not unique or self._safe(job_class):
            return False
        self._expire()
        full = len(self._ended) >= MAX_REMEMBERED
        if full:
            self._cap("remembered")
        return full

    def create(self, job_class: int, unique: bytes, background: bool) -> Job:
        self._serial += 1
        job = Job(b"H:larchgw:%d" % self._serial, unique, job_class, background)
        self.by_handle[job.handle] = job
        if unique:
            self._by_name[job_class, unique] = job
            if (job_class, unique) not in self._elsewhere and not self._safe(job_class):
                self.publish(self._alive(job))
        return job

    def elsewhere(self, job_class: int, unique: bytes) -> bool:
        """Whether the other process of an upgrade has this job; its end will be this one's."""
        return (job_class, unique) in self._elsewhere

    def end(self, job: Job, answer: Answer) -> None:
        """The job is over. Kept is what says that a release ran, or may have run."""
        self.by_handle.pop(job.handle, None)
        if not job.unique:
            return
        name = (job.job_class, job.unique)
        self._by_name.pop(name, None)
        if self._safe(job.job_class):
            return
        if job.request is not None:
            self.publish(self._end(name, job.handle, answer, self._remember))
        self._keep(name, job.handle, answer, self._remember)

    def _keep(self, name: Name, handle: bytes, answer: Answer, left: float) -> None:
        if answer.kind is AnswerKind.REFUSED:
            return
        self._expire()
        self._result_bytes += len(answer.result)
        self._ended[name] = (self._clock.now() + left, handle, answer)
        if self._result_bytes > MAX_RESULT_BYTES:
            self._shed_results()

    def _safe(self, job_class: int) -> bool:
        return self._settings.classes[job_class].effect == "idempotent"

    # With the other process of an upgrade

    def snapshot(self) -> Iterator[dict[str, Any]]:
        now = self._clock.now()
        for name, (until, handle, answer) in list(self._ended.items()):
            yield self._end(name, handle, answer, until - now)
        for job in list(self._by_name.values()):
            if job.request is not None and not self._safe(job.job_class):
                yield self._alive(job)

    def _alive(self, job: Job) -> dict[str, Any]:
        return self._named((job.job_class, job.unique), job.handle)

    def _end(self, name: Name, handle: bytes, answer: Answer, left: float) -> dict[str, Any]:
        return self._named(name, handle) | {
            "left": left,
            "kind": answer.kind.value,
            "result": _text(answer.result),
            "reason": answer.reason,
            "retry_after": answer.retry_after,
        }

    def _named(self, name: Name, handle: bytes) -> dict[str, Any]:
        return {"class": self._classes[name[0]], "unique": _text(name[1]), "handle": _text(handle)}

    def on_item(self, source: object, item: dict[str, Any]) -> None:
        """A job is alive there, or has ended; ValueError and its like for what is neither."""
        name = self._classes.index(item["class"]), b64decode(item["unique"])
        if "kind" not in item:
            self._elsewhere[name] = source
            return
        answer = Answer(
            AnswerKind(item["kind"]),
            b64decode(item["result"]),
            float(item["retry_after"]),
            str(item["reason"]),
        )
        self._ended_elsewhere(name, b64decode(item["handle"]), answer, float(item["left"]))

    def on_peer_lost(self, source: object) -> None:
        """What was alive there may have run, and nobody will say how it ended."""
        for name in [n for n, owner in self._elsewhere.items() if owner is source]:
            self._ended_elsewhere(name, b"H:larchgw:0", UNTOLD, self._remember)

    def _ended_elsewhere(self, name: Name, handle: bytes, answer: Answer, left: float) -> None:
        self._elsewhere.pop(name, None)
        self._keep(name, handle, answer, left)
        job = self._by_name.get(name)
        if job is not None and job.request is None:
            del self._by_name[name]
            self.by_handle.pop(job.handle, None)
            waiters, job.waiters = job.waiters, []
            for waiter in waiters:
                waiter.finish(job, answer)

    def _expire(self) -> None:
        now = self._clock.now()
        while self._ended and next(iter(self._ended.values()))[0] <= now:
            self._forget_oldest()

    def _forget_oldest(self) -> None:
        _, (_, _, answer) = self._ended.popitem(last=False)
        self._result_bytes -= len(answer.result)

    def _shed_results(self) -> None:
        """Lets the oldest results go, but not that they ran."""
        self._cap("remembered_results")
        for name, (until, handle, answer) in self._ended.items():
            if self._result_bytes <= MAX_RESULT_BYTES // 2:
                return
            if answer.result:
                self._result_bytes -= len(answer.result)
                self._ended[name] = (until, handle, LOST)

    def _cap(self, cap: str) -> None:
        self._counters.caps.labels(cap).inc()
        log.warning("cap." + cap, kept=len(self._ended), bytes=self._result_bytes)


def _text(data: bytes) -> str:
    return b64encode(data).decode()


def full_unique(unique: bytes, workload: bytes) -> bytes:
    """As with other job servers, the unique "-" stands for the workload itself."""
    return blake2b(workload, digest_size=16).hexdigest().encode() if unique == b"-" else unique

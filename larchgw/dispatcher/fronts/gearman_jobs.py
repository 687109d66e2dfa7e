"""Gearman jobs: open jobs, the connections that wait for them, and the answers of completed releases.

A release is a job that is not idempotent: if it is submitted again after its end, it must not run again.
"""

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
MAX_RESULT_BYTES = 16 << 20  # total of the remembered results
RESULT_DROPPED = Answer(AnswerKind.FAILED, reason="it was done before, but its result is not kept any more")
OUTCOME_UNKNOWN = Answer(AnswerKind.FAILED, reason="the process that had it ended, and it may have run")
log = structlog.get_logger()
Name = tuple[int, bytes]  # class and unique


class Waiter(Protocol):
    """A client connection that waits for the end of a job."""

    def write(self, data: bytes) -> None:
        """Sends a packet, such as progress, before the end of the job."""

    def finish(self, job: Job, answer: Answer) -> None:
        """Sends the final answer; called once."""


@dataclass(slots=True, eq=False)
class Job:
    handle: bytes
    unique: bytes
    job_class: int
    background: bool
    waiters: list[Waiter] = field(default_factory=list)  # one per foreground submit
    request: Request | None = None
    status: tuple[bytes, bytes] = (b"0", b"0")
    exception: bytes = b""

    def running(self) -> bool:
        return self.request is not None and any(a.started and not a.ended for a in self.request.attempts)


class Jobs:
    """Open jobs by handle and by class and unique, and the answers of recently ended releases."""

    def __init__(self, settings: Settings, clock: Clock, counters: Counters, remember: float) -> None:
        self._settings, self._clock, self._counters = settings, clock, counters
        self._remember = remember
        self._serial = 0
        self.by_handle: dict[bytes, Job] = {}
        self._by_name: dict[Name, Job] = {}
        # Oldest first. A release that is submitted again after its end must not run again.
        self._ended: OrderedDict[Name, tuple[float, bytes, Answer]] = OrderedDict()
        self._result_bytes = 0
        self._classes = [c.name for c in settings.classes]
        # During a hot restart: jobs open in the other process, which must not run here; `publish` sends it
        # ours.
        self._elsewhere: dict[Name, object] = {}
        self.publish: Callable[[dict[str, Any]], None] = lambda item: None

    def find(self, unique: bytes) -> Job | None:
        return next((job for (_, name), job in self._by_name.items() if name == unique), None)

    def alive(self, job_class: int, unique: bytes) -> Job | None:
        return self._by_name.get((job_class, unique)) if unique else None

    def ended(self, job_class: int, unique: bytes) -> tuple[bytes, Answer] | None:
        """Returns the handle and the answer of an ended release, if it is still remembered."""
        self._expire()
        found = self._ended.get((job_class, unique)) if unique else None
        return found[1:] if found else None

    def full(self, job_class: int, unique: bytes) -> bool:
        """Whether the answer of this job could not be remembered.

        Forgetting another release early could let that one run twice.
        """
        if not unique or self._is_idempotent(job_class):
            return False
        self._expire()
        full = len(self._ended) >= MAX_REMEMBERED
        if full:
            self._count_cap("remembered")
        return full

    def create(self, job_class: int, unique: bytes, background: bool) -> Job:
        self._serial += 1
        job = Job(b"H:larchgw:%d" % self._serial, unique, job_class, background)
        self.by_handle[job.handle] = job
        if unique:
            self._by_name[job_class, unique] = job
            if (job_class, unique) not in self._elsewhere and not self._is_idempotent(job_class):
                self.publish(self._open_item(job))
        return job

    def elsewhere(self, job_class: int, unique: bytes) -> bool:
        """Whether the other process of a hot restart has this job, whose answer then applies here as well."""
        return (job_class, unique) in self._elsewhere

    def end(self, job: Job, answer: Answer) -> None:
        """Removes an ended job, and remembers its answer if it is a release that ran or may have run."""
        self.by_handle.pop(job.handle, None)
        if not job.unique:
            return
        name = (job.job_class, job.unique)
        self._by_name.pop(name, None)
        if self._is_idempotent(job.job_class):
            return
        if job.request is not None:
            self.publish(self._end_item(name, job.handle, answer, self._remember))
        self._remember_end(name, job.handle, answer, self._remember)

    def _remember_end(self, name: Name, handle: bytes, answer: Answer, left: float) -> None:
        if answer.kind is AnswerKind.REFUSED:
            return
        self._expire()
        self._result_bytes += len(answer.result)
        self._ended[name] = (self._clock.now() + left, handle, answer)
        if self._result_bytes > MAX_RESULT_BYTES:
            self._drop_results()

    def _is_idempotent(self, job_class: int) -> bool:
        return self._settings.classes[job_class].effect == "idempotent"

    # Exchange with the other process of a hot restart

    def snapshot(self) -> Iterator[dict[str, Any]]:
        now = self._clock.now()
        for name, (until, handle, answer) in list(self._ended.items()):
            yield self._end_item(name, handle, answer, until - now)
        for job in list(self._by_name.values()):
            if job.request is not None and not self._is_idempotent(job.job_class):
                yield self._open_item(job)

    def _open_item(self, job: Job) -> dict[str, Any]:
        return self._item((job.job_class, job.unique), job.handle)

    def _end_item(self, name: Name, handle: bytes, answer: Answer, left: float) -> dict[str, Any]:
        return self._item(name, handle) | {
            "left": left,
            "kind": answer.kind.value,
            "result": _text(answer.result),
            "reason": answer.reason,
            "retry_after": answer.retry_after,
        }

    def _item(self, name: Name, handle: bytes) -> dict[str, Any]:
        return {"class": self._classes[name[0]], "unique": _text(name[1]), "handle": _text(handle)}

    def on_item(self, source: object, item: dict[str, Any]) -> None:
        """Handles that a job is open in the other process, or has ended there.

        Raises:
            ValueError, KeyError, TypeError: The item is malformed.
        """
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
        """Ends the jobs that were open in the other process: they may have run, with an unknown outcome."""
        for name in [n for n, owner in self._elsewhere.items() if owner is source]:
            self._ended_elsewhere(name, b"H:larchgw:0", OUTCOME_UNKNOWN, self._remember)

    def _ended_elsewhere(self, name: Name, handle: bytes, answer: Answer, left: float) -> None:
        self._elsewhere.pop(name, None)
        self._remember_end(name, handle, answer, left)
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

    def _drop_results(self) -> None:
        """Drops the oldest results, but still remembers that those jobs ran."""
        self._count_cap("remembered_results")
        for name, (until, handle, answer) in self._ended.items():
            if self._result_bytes <= MAX_RESULT_BYTES // 2:
                return
            if answer.result:
                self._result_bytes -= len(answer.result)
                self._ended[name] = (until, handle, RESULT_DROPPED)

    def _count_cap(self, cap: str) -> None:
        self._counters.caps.labels(cap).inc()
        log.warning("cap." + cap, kept=len(self._ended), bytes=self._result_bytes)


def _text(data: bytes) -> str:
    return b64encode(data).decode()


def full_unique(unique: bytes, workload: bytes) -> bytes:
    """Replaces the unique "-", which stands for the workload as with other job servers, by a hash of it."""
    return blake2b(workload, digest_size=16).hexdigest().encode() if unique == b"-" else unique

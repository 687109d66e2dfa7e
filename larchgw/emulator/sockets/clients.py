"""Open-loop clients on sockets."""

from __future__ import annotations

import asyncio
import json
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from ..load import ClassSpec, Job, LoadSpec
from ..rules import Records, Try
from .clientlink import Answer, ClientLink
from .realtime import RealTime

MAX_IDLE = 256  # kept connections


@dataclass(slots=True)
class Clients:
    """Sends jobs when they are due, whoever is slow; latency counts from then."""

    time: RealTime
    records: Records
    targets: Sequence[tuple[str, int]]  # the dispatchers, by zone
    load: LoadSpec
    jobs: list[Job]
    counts: dict[str, int] = field(default_factory=dict)
    _idle: dict[tuple[str, int], deque[ClientLink]] = field(default_factory=dict)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def run(self) -> None:
        """Until every job has its end."""
        for job in self.jobs:
            await asyncio.sleep(max(job.due - self.time.now(), 0.0))
            task = asyncio.create_task(self._job(job))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        if self._tasks:
            await asyncio.wait(self._tasks)

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        for links in self._idle.values():
            for link in links:
                link.close()

    async def _job(self, job: Job) -> None:
        cls = self.load.classes[job.job_class]
        try:
            while True:
                again = await self._try(job, cls)
                if again is None or len(job.tries) > self.load.retries:
                    break
                await asyncio.sleep(max(again, self.load.backoff_s))
        finally:
            self.counts[job.ended] = self.counts.get(job.ended, 0) + 1

    async def _try(self, job: Job, cls: ClassSpec) -> float | None:
        """Asks once. Seconds to wait before asking again, or None if that is of no use."""
        name = f"{job.number:x}-{len(job.tries)}"
        now = self.time.now()
        sent = min(now, job.due) if not job.tries else now  # late by our own doing: the client sent it then
        job.tries.append(name)
        record = self.records.tries[name] = Try(name, cls.effect == "at_most_once", now, now + cls.deadline)
        left = cls.deadline - (now - sent)
        target = self.targets[job.zone % len(self.targets)]
        try:
            link = await self._link(target)
        except OSError:
            record.excused = True
            job.ended = "failed"
            return self.load.backoff_s
        try:
            answer = await asyncio.wait_for(link.ask(_head_and_body(job, cls, name, left)), max(left, 0.001))
        except TimeoutError:
            link.close()
            record.left = self.time.now()
            job.ended = "gave up"
            return None
        except OSError:
            record.excused = job.ended != ""
            job.ended = "failed"
            return None if cls.effect == "at_most_once" else self.load.backoff_s
        answered_at = self.time.now()
        if link.keep:
            self._keep(target, link)
        return self._note(job, record, answer, answered_at)

    def _note(self, job: Job, record: Try, answer: Answer, answered_at: float) -> float | None:
        """What an answer means to its job. Returns as `_try` does."""
        served, refused = answer.status == 200, answer.status in (429, 503)
        job.ended = "served" if served else "refused" if refused else "failed"
        record.answers.append((answered_at, job.ended))
        if served:
            job.served_at = answered_at
            begun = self.records.begun.get(record.request)
            job.began_at = begun[0].at if begun else 0.0
        if not refused:
            return None
        try:
            return float(answer.headers.get("retry-after", "0"))
        except ValueError:
            return 0.0

    def _keep(self, target: tuple[str, int], link: ClientLink) -> None:
        idle = self._idle.setdefault(target, deque())
        idle.append(link)
        if len(idle) > MAX_IDLE:
            idle.popleft().close()

    async def _link(self, target: tuple[str, int]) -> ClientLink:
        idle = self._idle.get(target)
        while idle:
            link = idle.pop()
            if link.keep:
                return link
        _, link = await asyncio.get_running_loop().create_connection(ClientLink, *target)
        return link


def _head_and_body(job: Job, cls: ClassSpec, name: str, left: float) -> bytes:
    """A job as a request whose client waits for so many seconds more."""
    body = json.dumps({"work": round(job.work, 4), "slots": job.slots}).encode()
    head = (
        f"POST /{cls.name} HTTP/1.1\r\nHost: larchgw\r\nX-Request-Id: {name}\r\n"
        f"X-Key: {job.key:016x}\r\nX-Deadline-Ms: {max(int(1000 * left), 1)}\r\n"
        f"X-Extras: slots={job.slots}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body

"""Runners without models: so many requests at once, a few more wait, and each takes its time."""

from __future__ import annotations

import asyncio
import random

from tornado.iostream import IOStream

from ..sockets import RealTime
from .httpstream import Request, send
from .records import Arrival, Records
from .runner import SPOILT, Described, Mischief, Runner

QUEUE_PER_SLOT = 2
SPREAD = 0.3  # of working times, as a part of their mean
BODY_BYTES = 800


class PlainRunner(Runner):
    """Answers each request with bytes that are its own."""

    def __init__(
        self,
        described: Described,
        time: RealTime,
        records: Records,
        rng: random.Random,
        work_s: float = 0.02,
        max_conns: int = 200,
    ) -> None:
        super().__init__(described, time, records, max_conns)
        self._random, self._work_s = rng, work_s
        self._lanes = asyncio.Semaphore(described.slots)
        self._running = self._waiting = 0

    def reset(self) -> None:
        """Forgets everything."""
        self._lanes = asyncio.Semaphore(self.described.slots)
        self._running = self._waiting = 0

    def load(self) -> tuple[int, int, int]:
        """Requests running, requests waiting, and slots."""
        return self._running, self._waiting, self.described.slots

    async def run(self, request: Request, stream: IOStream, arrival: Arrival) -> None:
        """Waits for a slot, works, and answers, unless its connection or its life ends before."""
        if self._waiting >= QUEUE_PER_SLOT * self.described.slots:
            self.turn_away(stream, arrival, 503)
            return
        life, lanes = self.incarnation, self._lanes
        self._waiting += 1
        async with lanes:
            if self._is_over(life, arrival):
                return
            self._waiting -= 1
            closed = stream.closed() and not self.carries_on()
            if closed or self._too_late(request, arrival):
                self._drop(stream, arrival)
                return
            self._running += 1
            arrival.ran = True
            await asyncio.sleep(self._work_s * max(self._random.gauss(1.0, SPREAD), 0.1))
            if self._is_over(life, arrival):
                return
            self._running -= 1
        self._answer(stream, arrival)

    def answer_early(self, head: Request, stream: IOStream) -> Arrival | None:
        """Answers a request before its body is read, where that is its next mischief."""
        told = head.headers.get("x-target-runner", self.id)
        if not head.id or told != self.id or self.dark or not self._is_next_early():
            return None
        arrival = Arrival(
            head.id,
            self.id,
            self.described.service,
            self.time.now(),
            head.method,
            head.target,
            body_whole=False,
            ran=True,
        )
        self.records.arrivals.append(arrival)
        self._answer(stream, arrival)
        return arrival

    def _is_next_early(self) -> bool:
        if self.faults is not None and self.faults.answers_early():
            self.mischief.insert(0, Mischief.EARLY)
        return self.mischief[:1] == [Mischief.EARLY]

    def _is_over(self, life: int, arrival: Arrival) -> bool:
        """Whether the process that took the request has ended, or says nothing more."""
        over = life != self.incarnation or not self.up or self.dark
        if over:
            arrival.broke_off, arrival.ended_at = True, self.time.now()
        return over

    def _too_late(self, request: Request, arrival: Arrival) -> bool:
        left = request.headers.get("x-time-left-ms", "")
        return left.isdigit() and self.time.now() > arrival.at + int(left) / 1000.0

    def _drop(self, stream: IOStream, arrival: Arrival) -> None:
        """Its client is gone or out of time, and it has not begun."""
        if stream.closed():
            arrival.ended_at = self.time.now()
        else:
            self.turn_away(stream, arrival, 503)

    def _answer(self, stream: IOStream, arrival: Arrival) -> None:
        wrong = self.misbehave(stream, arrival)
        if wrong in SPOILT:
            return
        arrival.status, arrival.seal = 200, self.seal()
        body = f"{arrival.id} by {self.id}: ".encode().ljust(BODY_BYTES, b".")
        fields = {"X-Attempt-Id": arrival.id, "X-Server-Seal": arrival.seal, "Content-Type": "text/plain"}
        whole = self.head(200, fields, len(body)) + body
        arrival.ended_at = self.time.now()
        if wrong is Mischief.CUT:
            arrival.broke_off, arrival.answer = True, body[: BODY_BYTES // 2]
            send(stream, whole[: -BODY_BYTES // 2])
            stream.close()
            return
        arrival.answer, arrival.whole = body, True
        send(stream, whole)
        if wrong is Mischief.SURPLUS:
            self.surplus(stream)
        self.repeat(stream, whole)

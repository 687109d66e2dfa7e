"""Send: makes an attempt of what the module chose, over what the box speaks."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from ...interface import WorkerId
from ..counters import Counters
from ..deadlines import Deadlines
from ..requests import Attempt, Request, Transport


class Send:
    def __init__(self, counters: Counters, deadlines: Deadlines,
                 expire: Callable[[Attempt], None]) -> None:
        self.transports: list[Transport] = []
        self._counters, self._deadlines, self._expire = counters, deadlines, expire

    def run(self, now: float, request: Request, worker: WorkerId, timeout: float) -> Attempt:
        transport = speaking(self.transports, worker)
        attempt = Attempt(request, len(request.attempts), worker, transport, now)
        request.attempts.append(attempt)
        if request.over():
            return attempt  # nobody waits for it: nothing is sent
        until = min(now + timeout, request.give_up_at) if timeout > 0 else request.give_up_at
        attempt.deadline = self._deadlines.add(until, lambda: self._expire(attempt))
        self._counters.sent.labels(transport.name).inc()
        transport.send(attempt)
        return attempt


def speaking(transports: Sequence[Transport], worker: WorkerId) -> Transport:
    """The first transport that the box speaks; the last one tells of a box that cannot be reached."""
    return next((t for t in transports if t.speaks(worker)), transports[-1])

"""Send: starts the attempt that the scheduler chose, over a transport that reaches the worker."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from ....net.counters import Counters
from ....net.timers import Deadlines
from ...scheduling.interface import WorkerId
from ..requests import Attempt, Reach, Request, Transport


class Send:
    def __init__(self, counters: Counters, deadlines: Deadlines, expire: Callable[[Attempt], None]) -> None:
        self.transports: list[Transport] = []
        self._counters, self._deadlines, self._expire = counters, deadlines, expire

    def run(self, now: float, request: Request, worker: WorkerId, timeout: float) -> Attempt:
        transport = reaching(self.transports, worker, request.job_class)
        attempt = Attempt(request, len(request.attempts), worker, transport, now)
        request.attempts.append(attempt)
        if request.is_closed():
            return attempt  # no client awaits the result, so nothing is sent
        until = min(now + timeout, request.give_up_at) if timeout > 0 else request.give_up_at
        self._await(attempt, until)
        self._counters.sent.labels(transport.name).inc()
        transport.send(attempt)
        return attempt

    def resume(self, attempt: Attempt) -> None:
        """Restores the timeout of an attempt that another process sent."""
        self._await(attempt, attempt.request.give_up_at)

    def _await(self, attempt: Attempt, until: float) -> None:
        attempt.deadline = self._deadlines.add(until, lambda: self._expire(attempt))


def reaching(transports: Sequence[Transport], worker: WorkerId, job_class: int) -> Transport:
    """The transport with the best reach to the worker; the first one among equals.

    If no transport reaches the worker, the last one is used: it reports that the worker is unreachable.
    """
    reaches = [t.reach(worker, job_class) for t in transports]
    best = max(reaches)
    return transports[reaches.index(best)] if best > Reach.NO else transports[-1]

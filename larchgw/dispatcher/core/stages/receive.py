"""Receive: assigns a request its id and times, and registers it as open."""

from __future__ import annotations

from collections.abc import Callable
from itertools import count

from ....net.counters import Counters
from ..requests import Request

# The client's deadline counts from its send, which is not observable here. The margin covers that delay and
# the way of the answer back.
MARGIN, MARGIN_SHARE = 0.1, 0.2


class Receive:
    def __init__(self, counters: Counters, classes: list[str]) -> None:
        self.open: dict[int, Request] = {}
        self.names: dict[bytes, Request] = {}  # client's id to the first open request with that id
        # Upper limit of every request's deadline; finite once the process is stopping.
        self.until = float("inf")
        self.last = 0.0  # arrival time of the latest request
        self.body_bytes = 0
        # Called when a request id opens or closes.
        self.watch: Callable[[bytes, bool], None] = lambda name, opened: None
        self._ids = count(1)
        self._counters, self._classes = counters, classes

    def run(self, now: float, request: Request) -> None:
        until = min(now + request.wait - min(MARGIN, MARGIN_SHARE * request.wait), self.until)
        self.last = now
        self.enter(request, now, until)
        self._counters.taken.labels(request.front.name, self._classes[request.job_class]).inc()

    def enter(self, request: Request, taken_at: float, give_up_at: float) -> None:
        """Registers a request as open, whether it is new or taken over from another process."""
        request.id = next(self._ids)
        request.taken_at, request.give_up_at = taken_at, give_up_at
        self.open[request.id] = request
        if self.names.setdefault(request.name, request) is request:
            self.watch(request.name, True)
        self.body_bytes += len(request.body)
        self._counters.open.set(len(self.open))

    def release(self, request: Request) -> None:
        """Removes a request that is closed and has no running attempt."""
        if self.open.pop(request.id, None) is not None:
            self.body_bytes -= len(request.body)
            if self.names.get(request.name) is request:
                del self.names[request.name]
                self.watch(request.name, False)
            self._counters.open.set(len(self.open))

"""Receive: a request gets its number, its times and its place among the open ones."""

from __future__ import annotations

from collections.abc import Callable
from itertools import count

from ....net.counters import Counters
from ..requests import Request

# A deadline counts from the client's send, which we do not see, and the answer has a way to go as well.
MARGIN, MARGIN_SHARE = 0.1, 0.2


class Receive:
    def __init__(self, counters: Counters, classes: list[str]) -> None:
        self.open: dict[int, Request] = {}
        self.names: dict[bytes, Request] = {}  # by its client's id, the first of the open ones
        self.until = float("inf")  # no request's time goes beyond this: we are about to end
        self.last = 0.0  # when the last one came
        self.body_bytes = 0
        self.watch: Callable[[bytes, bool], None] = lambda name, opened: None  # told of ids that open and end
        self._ids = count(1)
        self._counters, self._classes = counters, classes

    def run(self, now: float, request: Request) -> None:
        until = min(now + request.wait - min(MARGIN, MARGIN_SHARE * request.wait), self.until)
        self.last = now
        self.enter(request, now, until)
        self._counters.taken.labels(request.front.name, self._classes[request.job_class]).inc()

    def enter(self, request: Request, taken_at: float, give_up_at: float) -> None:
        """The request is ours, perhaps after it was another process's."""
        request.id = next(self._ids)
        request.taken_at, request.give_up_at = taken_at, give_up_at
        self.open[request.id] = request
        if self.names.setdefault(request.name, request) is request:
            self.watch(request.name, True)
        self.body_bytes += len(request.body)
        self._counters.open.set(len(self.open))

    def release(self, request: Request) -> None:
        """The request has its answer and no attempt is out."""
        if self.open.pop(request.id, None) is not None:
            self.body_bytes -= len(request.body)
            if self.names.get(request.name) is request:
                del self.names[request.name]
                self.watch(request.name, False)
            self._counters.open.set(len(self.open))

"""Relay: carries the one final answer to the front that took the request."""

from __future__ import annotations

from ..counters import Counters
from ..deadlines import Deadlines
from ..outcomes import Answer
from ..requests import News, Request


class Relay:
    def __init__(self, counters: Counters, deadlines: Deadlines) -> None:
        self._counters, self._deadlines = counters, deadlines

    def run(self, request: Request, answer: Answer) -> bool:
        """Whether this was the final answer; a second one, or one to a client that left, goes nowhere."""
        if request.over():
            self._counters.late.labels("answer").inc()
            return False
        request.answer = answer
        self._deadlines.drop(request.deadline)
        self._counters.answered.labels(request.front.name, answer.kind.value).inc()
        request.front.answer(request, answer)
        return True

    def news(self, request: Request, kind: News, data: bytes) -> None:
        if not request.over():
            request.front.news(request, kind, data)

"""Admit: rejects requests before the scheduler sees them.

Rejected are requests beyond the memory limits, those with the id of an open request, and those that arrive
while this process is stopping.
"""

from __future__ import annotations

from collections.abc import Callable

import structlog

from ....net.counters import Counters
from ..outcomes import Answer, AnswerKind
from ..requests import Request
from .receive import Receive

RETRY_AFTER = 0.5
log = structlog.get_logger()


class Admit:
    def __init__(self, counters: Counters, receive: Receive, max_open: int, max_body_bytes: int) -> None:
        self._counters, self._receive = counters, receive
        self.max_open, self.max_body_bytes = max_open, max_body_bytes
        self._full = False
        self.stopping = False  # whether this process is shutting down
        # Whether another process has an open request with this id.
        self.elsewhere: Callable[[bytes], bool] = lambda name: False

    def run(self, request: Request) -> Answer | None:
        """Returns the rejection, or None to admit. Beyond a limit, REFUSED is correct: nothing ran."""
        if self._receive.names.get(request.name) is not request or self.elsewhere(request.name):
            # Sending it would duplicate an open request. REFUSED would claim that the request never ran.
            return Answer(AnswerKind.FAILED, reason="a request with this id is open")
        if self.stopping:
            # It came on a connection that awaits an earlier answer.
            # The process may be killed before it could answer this request.
            return Answer(AnswerKind.REFUSED, retry_after=RETRY_AFTER, reason="we are about to end")
        full = len(self._receive.open) > self.max_open or self._receive.body_bytes > self.max_body_bytes
        if full != self._full:
            self._full = full
            log.warning(
                "cap.open" if full else "cap.open.over",
                open=len(self._receive.open),
                body_bytes=self._receive.body_bytes,
            )
        if not full:
            return None
        self._counters.caps.labels("open").inc()
        return Answer(AnswerKind.REFUSED, retry_after=RETRY_AFTER, reason="open requests at their limit")

"""Admit: what memory cannot hold, what bears an open request's id and what comes when we are about to end is
turned away before the module sees it."""

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
        self.stopping = False  # whether we are about to end
        self.elsewhere: Callable[[bytes], bool] = lambda name: False  # whether our other process has this id

    def run(self, request: Request) -> Answer | None:
        """The answer that keeps a request out, or None to let it pass. Past a limit a refusal is true."""
        if self._receive.names.get(request.name) is not request or self.elsewhere(request.name):
            # Sent on, it would be a second copy of a request that is out. A refusal would say it never ran.
            return Answer(AnswerKind.FAILED, reason="a request with this id is open")
        if self.stopping:
            # On connections that are still owed an earlier answer. We may be killed before this one's.
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

"""Relay: passes the only final answer to the front that accepted the request."""

from __future__ import annotations

import structlog

from ....net.counters import Counters
from ....net.timers import Deadlines
from ..outcomes import Answer, AnswerKind
from ..requests import Attempt, JobMessage, Request

log = structlog.get_logger()


def _told(attempt: Attempt) -> str:
    """Summary of an attempt's outcome for the log."""
    end = attempt.status.name if attempt.status is not None else "out"
    where = "started" if attempt.started else "not started"
    return f"{attempt.worker.decode('latin-1')} {end} ({where}) {attempt.why}".strip()


class Relay:
    def __init__(self, counters: Counters, deadlines: Deadlines, classes: list[str]) -> None:
        self._counters, self._deadlines, self._classes = counters, deadlines, classes

    def run(self, request: Request, answer: Answer) -> bool:
        """Delivers the answer; returns False if the request was already answered or its client has gone."""
        if request.is_closed():
            self._counters.late.labels("answer").inc()
            return False
        request.answer = answer
        self._deadlines.cancel(request.deadline)
        self._counters.answered.labels(
            request.front.name, answer.kind.value, self._classes[request.job_class]
        ).inc()
        if answer.kind is AnswerKind.FAILED:
            log.warning(
                "answer.failed",
                request=request.name.decode("latin-1"),
                reason=answer.reason,
                attempts="; ".join(_told(a) for a in request.attempts),
            )
        request.front.answer(request, answer)
        return True

    def relay_message(self, request: Request, kind: JobMessage, data: bytes) -> None:
        if not request.is_closed():
            request.front.news(request, kind, data)

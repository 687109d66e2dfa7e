"""Classifies a runner's response by its head."""

from __future__ import annotations

from enum import Enum, auto

from .answer_parser import AnswerHead

SEAL = b"x-server-seal"
NOT_RUN = b"x-not-run"
LOAD = b"x-runner-load"
# A client takes these as a promise that its request never ran and never will; an edge takes them so from a
# runner only with X-Not-Run.
PROMISE_STATUSES = (408, 429, 503)


class Verdict(Enum):
    """How a runner's response is handled."""

    ANSWER = auto()  # forwarded to the client
    EVENTS = auto()  # an event stream, forwarded event by event
    FULL = auto()  # rejected: the request did not run at this runner and never will
    NOT_HELD = auto()  # not run: wrong runner, or one without the model or with other weights
    MAY_HAVE_RUN = auto()  # rejected without X-Not-Run: the request may have run
    UNSEALED = auto()  # a success status without X-Server-Seal


def classify(head: AnswerHead) -> Verdict:
    """Classifies a response that carries the request's attempt id."""
    if head.status == 421:
        return Verdict.NOT_HELD
    if head.status in PROMISE_STATUSES:
        return Verdict.FULL if NOT_RUN in head.headers else Verdict.MAY_HAVE_RUN
    if 200 <= head.status < 300:
        if not head.headers.get(SEAL):
            return Verdict.UNSEALED
        if head.headers.get(b"content-type", b"").lower().startswith(b"text/event-stream"):
            return Verdict.EVENTS
    return Verdict.ANSWER


def reported_load(head: AnswerHead) -> tuple[int, int, int] | None:
    """Returns running requests, waiting requests and slots from `X-Runner-Load`; None if invalid."""
    items = [item.strip() for item in head.headers.get(LOAD, b"").split(b",")]
    if len(items) != 3 or not all(item.isdigit() for item in items):
        return None
    running, waiting, slots = (int(item) for item in items)
    return running, waiting, slots

"""What the head of a runner's answer means for the request."""

from __future__ import annotations

from enum import Enum, auto

from .answer_parser import AnswerHead

SEAL = b"x-server-seal"
NOT_RUN = b"x-not-run"
LOAD = b"x-runner-load"
NEVER_RAN_STATUSES = (408, 429, 503)  # they tell a client that its request never ran and never will


class Verdict(Enum):
    """What is done with a runner's answer."""

    ANSWER = auto()  # passed on
    EVENTS = auto()  # a stream of events: passed on event by event
    FULL = auto()  # rejected: the runner did not run it and never will
    NOT_HELD = auto()  # it did not run it: it lacks the model, or is another runner, or other weights
    UNPROVEN = auto()  # rejected without X-Not-Run: it may have run
    NO_ANSWER = auto()  # a success without the runner's seal


def classify(head: AnswerHead) -> Verdict:
    """Returns the verdict on an answer that carries this request's id."""
    if head.status == 421:
        return Verdict.NOT_HELD
    if head.status in NEVER_RAN_STATUSES:
        return Verdict.FULL if NOT_RUN in head.headers else Verdict.UNPROVEN
    if 200 <= head.status < 300:
        if not head.headers.get(SEAL):
            return Verdict.NO_ANSWER
        if head.headers.get(b"content-type", b"").lower().startswith(b"text/event-stream"):
            return Verdict.EVENTS
    return Verdict.ANSWER


def reported_load(head: AnswerHead) -> tuple[int, int, int] | None:
    """Returns requests running, requests waiting and slots from `X-Runner-Load`; None without a valid one."""
    items = [item.strip() for item in head.headers.get(LOAD, b"").split(b",")]
    if len(items) != 3 or not all(item.isdigit() for item in items):
        return None
    running, waiting, slots = (int(item) for item in items)
    return running, waiting, slots

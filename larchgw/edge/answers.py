"""What the head of a runner's answer means."""

from __future__ import annotations

from enum import Enum, auto

from .runner_link import AnswerHead

SEAL = b"x-server-seal"
NOT_RUN = b"x-not-run"
LOAD = b"x-runner-load"
PROMISES = (408, 429, 503)  # statuses that tell a client that its request never ran and never will


class Verdict(Enum):
    """What is done with an answer."""

    ANSWER = auto()  # passed on
    EVENTS = auto()  # a stream of events: passed on event by event
    FULL = auto()  # the runner did not run it and never will
    NOT_HELD = auto()  # it did not run it: it lacks the model, or is another runner, or other weights
    UNPROVEN = auto()  # it refuses without saying that it did not run it
    NO_ANSWER = auto()  # a success without the runner's seal


def judge(head: AnswerHead) -> Verdict:
    """The verdict on an answer that carries this request's id."""
    if head.status == 421:
        return Verdict.NOT_HELD
    if head.status in PROMISES:
        return Verdict.FULL if NOT_RUN in head.headers else Verdict.UNPROVEN
    if 200 <= head.status < 300:
        if not head.headers.get(SEAL):
            return Verdict.NO_ANSWER
        if head.headers.get(b"content-type", b"").lower().startswith(b"text/event-stream"):
            return Verdict.EVENTS
    return Verdict.ANSWER


def runner_load(head: AnswerHead) -> tuple[int, int, int] | None:
    """Requests running, requests waiting and slots, where the answer tells them."""
    told = [item.strip() for item in head.headers.get(LOAD, b"").split(b",")]
    if len(told) != 3 or not all(item.isdigit() for item in told):
        return None
    running, waiting, slots = (int(item) for item in told)
    return running, waiting, slots

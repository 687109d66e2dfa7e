"""Errors of the edge."""

from __future__ import annotations


class EdgeError(Exception):
    """Base class of the edge's errors."""


class BadRequestError(EdgeError):
    """An invalid client request, answered with 400.

    Attributes:
        problem: What is wrong with the request.
        remedy: What the client should change.
    """

    def __init__(self, problem: str, remedy: str) -> None:
        """Builds the error message from both parts."""
        super().__init__(f"{problem}: {remedy}")
        self.problem, self.remedy = problem, remedy


class StreamError(EdgeError):
    """An event stream of a runner that cannot be forwarded to the client."""


class EventTooLongError(StreamError):
    """An event longer than `events.MAX_EVENT_BYTES`."""


class StreamMismatchError(StreamError):
    """A run that does not continue where the previous one ended, or that is incomplete."""

"""Errors of the edge."""

from __future__ import annotations


class EdgeError(Exception):
    """The base of the edge's errors."""


class BadRequestError(EdgeError):
    """A client's request that cannot be understood; it is answered 400.

    Attributes:
        problem: What is wrong with it.
        remedy: What its sender should change.
    """

    def __init__(self, problem: str, remedy: str) -> None:
        """Makes the message of both."""
        super().__init__(f"{problem}: {remedy}")
        self.problem, self.remedy = problem, remedy


class StreamError(EdgeError):
    """A runner's event stream that cannot be passed on to the client."""


class EventTooLongError(StreamError):
    """An event that has not ended after `events.MAX_EVENT_BYTES`."""


class StreamMismatchError(StreamError):
    """A run that does not go on where the one before it ended, or that is incomplete."""

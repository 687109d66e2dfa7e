"""Errors of the command line and of the operator client behind it."""

from __future__ import annotations


class CommandLineError(Exception):
    """Base of what a command can end with instead of its result."""


class UsageError(CommandLineError):
    """The command line was called wrongly. The message is one line."""


class NoAnswerError(CommandLineError):
    """A process could not be reached, or gave no answer in time; whether it accepted the call is not known.

    Attributes:
        address: The process, "host:port".
        problem: What went wrong.
    """

    def __init__(self, address: str, problem: str) -> None:
        """The message is `address: problem`."""
        super().__init__(f"{address}: {problem}")
        self.address, self.problem = address, problem


class UnclearOutcomeError(CommandLineError):
    """No process gave a clear answer in time: the call may or may not have been accepted.

    Attributes:
        tried_s: How long the call was tried, seconds.
        last_problem: What went wrong at the last attempt.
    """

    def __init__(self, tried_s: float, last_problem: str) -> None:
        """The message names both."""
        super().__init__(f"no clear answer in {tried_s:g} s; the last one: {last_problem}")
        self.tried_s, self.last_problem = tried_s, last_problem

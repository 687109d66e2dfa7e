"""Errors of the command line and of its operator client."""

from __future__ import annotations


class CommandLineError(Exception):
    """Base class of the errors with which a command can fail."""


class UsageError(CommandLineError):
    """The command line has invalid arguments. The message is one line."""


class NoAnswerError(CommandLineError):
    """A process was unreachable or did not respond in time; it may have accepted the call.

    Attributes:
        address: Address of the process, "host:port".
        problem: What went wrong.
    """

    def __init__(self, address: str, problem: str) -> None:
        """Builds the message `address: problem`."""
        super().__init__(f"{address}: {problem}")
        self.address, self.problem = address, problem


class UnclearOutcomeError(CommandLineError):
    """No process gave a definite response in time: the call may or may not have been accepted.

    Attributes:
        tried_s: Time spent on attempts, in seconds.
        last_problem: Why the last attempt failed.
    """

    def __init__(self, tried_s: float, last_problem: str) -> None:
        """Builds the message from the time and the problem."""
        super().__init__(f"no definite response within {tried_s:g} s; last attempt: {last_problem}")
        self.tried_s, self.last_problem = tried_s, last_problem

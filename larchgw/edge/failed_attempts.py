"""The attempts of a request that its runners did not run: what a further attempt and a 503 rest on."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from ..routing.interface import AttemptOutcome

REJECTIONS = (AttemptOutcome.FULL, AttemptOutcome.NOT_HELD)
NO_CONNECTION = 0  # the number of the connection of an attempt that got none


@dataclass(frozen=True, slots=True)
class FailedAttempt:
    """An attempt that certainly did not run: the runner rejected it, or no byte of it was sent.

    Attributes:
        runner: The runner's id.
        outcome: One for which `never_ran` holds.
        connection: Number of the connection that carried the attempt, or was to carry it; NO_CONNECTION
            without one.
    """

    runner: str
    outcome: AttemptOutcome
    connection: int

    @property
    def is_rejection(self) -> bool:
        """Whether the runner answered that it did not run the request."""
        return self.outcome in REJECTIONS

    def __str__(self) -> str:
        """Returns the form in log lines: runner, outcome and connection, separated by colons."""
        return f"{self.runner}:{self.outcome.name}:{self.connection}"


def listed(attempts: Sequence[FailedAttempt]) -> str:
    """Returns the attempts in order, as log lines show them."""
    return ",".join(str(attempt) for attempt in attempts)

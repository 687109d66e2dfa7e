"""The rejections by runners that a 503 to a client rests on."""

from __future__ import annotations

from dataclasses import dataclass

from ..routing.interface import AttemptOutcome

REJECTIONS = (AttemptOutcome.FULL, AttemptOutcome.NOT_HELD)


@dataclass(frozen=True, slots=True)
class Rejection:
    """A runner's answer that it did not run a request.

    Attributes:
        runner: The runner's id.
        outcome: One of REJECTIONS.
        connection: Number of the connection that carried the answer.
    """

    runner: str
    outcome: AttemptOutcome
    connection: int

    def __str__(self) -> str:
        """Returns the form in log lines: runner, outcome and connection, separated by colons."""
        return f"{self.runner}:{self.outcome.name}:{self.connection}"

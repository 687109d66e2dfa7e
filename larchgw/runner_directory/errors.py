"""Errors of the runner directory."""

from __future__ import annotations


class RunnerDirectoryError(Exception):
    """Base of the errors of this package."""


class CheckInError(RunnerDirectoryError):
    """A check-in that cannot be used.

    Attributes:
        field: The JSON field that is wrong, `body` or `id`; inside lists as in `models[0].adapters`.
        problem: What is wrong with it.
        remedy: What to send instead.
        status: HTTP status of the answer.
    """

    status = 400

    def __init__(self, field: str, problem: str, remedy: str) -> None:
        """Makes the text of the answer out of the three."""
        super().__init__(f"{field}: {problem}; {remedy}")
        self.field, self.problem, self.remedy = field, problem, remedy

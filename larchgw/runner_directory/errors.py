"""Errors of the runner directory."""

from __future__ import annotations


class RunnerDirectoryError(Exception):
    """Base class of the errors of this package."""


class CheckInError(RunnerDirectoryError):
    """An invalid check-in.

    Attributes:
        field: The invalid JSON field, such as `models[0].adapters`; or `body` or `id`.
        problem: Why it is invalid.
        remedy: What to send instead.
        status: HTTP status of the response.
    """

    status = 400

    def __init__(self, field: str, problem: str, remedy: str) -> None:
        """Builds the text of the response from the three parts."""
        super().__init__(f"{field}: {problem}; {remedy}")
        self.field, self.problem, self.remedy = field, problem, remedy

"""Errors of the control role."""

from __future__ import annotations

from pathlib import Path

from ..configuration.errors import ConfigurationError


class ControlError(Exception):
    """Base of the control role's errors, except those in the operator's configuration."""


class ReplicationUnavailableError(ControlError):
    """This process is not the primary, or could not confirm it in time. A proposal may still be committed.

    The caller repeats the same call.

    Attributes:
        reason: Human-readable reason why no answer can be given.
    """

    def __init__(self, reason: str) -> None:
        """Creates the error with `reason` as its message."""
        super().__init__(reason)
        self.reason = reason


class RestoreError(ControlError):
    """A restore is impossible; nothing was written.

    Attributes:
        path: The file or folder concerned.
        problem: What is wrong with it.
        remedy: What the operator can do about it.
    """

    def __init__(self, path: Path, problem: str, remedy: str) -> None:
        """Creates the error; its message contains all three."""
        super().__init__(f"{path}: {problem}; {remedy}")
        self.path, self.problem, self.remedy = path, problem, remedy


class ConfigurationTooLargeError(ConfigurationError):
    """The order is valid, but the resulting configuration is too large to be stored and replicated.

    Attributes:
        size_bytes: Size of that configuration as JSON.
        max_bytes: The limit.
    """

    status = 413

    def __init__(self, size_bytes: int, max_bytes: int) -> None:
        """Creates the error; its message includes the remedy for the operator."""
        super().__init__(
            "configuration",
            f"{size_bytes} bytes as JSON exceed the limit of {max_bytes}",
            "remove unused routes and services, in the same order or in an earlier one",
        )
        self.size_bytes, self.max_bytes = size_bytes, max_bytes

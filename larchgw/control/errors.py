"""Why the control role cannot do what was asked."""

from __future__ import annotations

from pathlib import Path

from ..configuration.errors import ConfigurationError


class ControlError(Exception):
    """Any failure of the control role that is not the operator's to mend."""


class ReplicationUnavailableError(ControlError):
    """This process is not the primary, or cannot tell in time. What was proposed may still be committed.

    The caller sends the same call again.

    Attributes:
        reason: Why no answer can be given, for people.
    """

    def __init__(self, reason: str) -> None:
        """Makes the error; its text is `reason`."""
        super().__init__(reason)
        self.reason = reason


class RestoreError(ControlError):
    """A restore cannot be done; nothing was written.

    Attributes:
        path: The file or folder concerned.
        problem: What is wrong with it.
        remedy: What to do.
    """

    def __init__(self, path: Path, problem: str, remedy: str) -> None:
        """Makes the error; its text names all three."""
        super().__init__(f"{path}: {problem}; {remedy}")
        self.path, self.problem, self.remedy = path, problem, remedy


class ConfigurationTooLargeError(ConfigurationError):
    """The order is proper, but the configuration that it makes is too large to be kept and passed on.

    Attributes:
        size_bytes: Size of that configuration as JSON.
        max_bytes: The limit.
    """

    status = 413

    def __init__(self, size_bytes: int, max_bytes: int) -> None:
        """Makes the error, which names the operator's remedy."""
        super().__init__(
            "configuration",
            f"{size_bytes} bytes as JSON are over {max_bytes}",
            "remove routes and services that are not used, in the same order or in one before",
        )
        self.size_bytes, self.max_bytes = size_bytes, max_bytes

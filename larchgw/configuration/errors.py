"""What can be wrong with a configuration or a settings file. Every message names the field and the remedy."""

from __future__ import annotations

HTTP_BAD_REQUEST = 400
HTTP_PRECONDITION_FAILED = 412


class ConfigurationError(Exception):
    """Something that the operator must correct.

    Attributes:
        status: The HTTP status that the operator is answered with.
        field: Path of the field, such as "routes[2].deadline_ms".
        problem: What is wrong with it.
        remedy: What to give instead.
    """

    status = HTTP_BAD_REQUEST

    def __init__(self, field: str, problem: str, remedy: str) -> None:
        """Makes the message from the three fields."""
        super().__init__(f"{field}: {problem}; {remedy}")
        self.field = field
        self.problem = problem
        self.remedy = remedy


class MalformedConfigurationError(ConfigurationError):
    """It cannot be read: not JSON, a field missing or of another type."""


class InvalidConfigurationError(ConfigurationError):
    """It can be read, but contradicts itself or the rules for configurations."""


class StaleConfigurationError(ConfigurationError):
    """It builds on another version than the current one."""

    status = HTTP_PRECONDITION_FAILED


class SettingsError(ConfigurationError):
    """The settings file of this process cannot be used."""

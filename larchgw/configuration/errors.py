"""Errors in a configuration or a settings file. Every message names the field and the remedy."""

from __future__ import annotations

HTTP_BAD_REQUEST = 400
HTTP_PRECONDITION_FAILED = 412


class ConfigurationError(Exception):
    """Base class of errors in input that the operator must correct.

    Attributes:
        status: The HTTP status of the response to the operator.
        field: Path of the field, such as "routes[2].deadline_ms".
        problem: What is wrong with it.
        remedy: How to correct it.
    """

    status = HTTP_BAD_REQUEST

    def __init__(self, field: str, problem: str, remedy: str) -> None:
        """Builds the message from the three fields."""
        super().__init__(f"{field}: {problem}; {remedy}")
        self.field = field
        self.problem = problem
        self.remedy = remedy


class MalformedConfigurationError(ConfigurationError):
    """The input cannot be parsed: not JSON, or a field is missing or has the wrong type."""


class InvalidConfigurationError(ConfigurationError):
    """The input can be parsed, but contradicts itself or violates a rule for configurations."""


class StaleConfigurationError(ConfigurationError):
    """The request is based on a version other than the current one."""

    status = HTTP_PRECONDITION_FAILED


class SettingsError(ConfigurationError):
    """The settings file of this process cannot be used."""

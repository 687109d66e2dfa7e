"""What can be wrong with a configuration or a settings file. Every message names the field and the remedy."""

from __future__ import annotations


class ConfigurationError(Exception):
    """Something the operator must mend. `field` is a path such as "routes[2].deadline_ms"."""

    status = 400

    def __init__(self, field: str, problem: str, remedy: str) -> None:
        super().__init__(f"{field}: {problem}; {remedy}")
        self.field, self.problem, self.remedy = field, problem, remedy


class MalformedConfigurationError(ConfigurationError):
    """It cannot be read whole: not JSON, a field missing or of another type."""


class InvalidConfigurationError(ConfigurationError):
    """It can be read, but contradicts itself or the rules for configurations."""


class StaleConfigurationError(ConfigurationError):
    """It builds on another version than the current one."""

    status = 412


class SettingsError(ConfigurationError):
    """The settings file of this process cannot be used."""

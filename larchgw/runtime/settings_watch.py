"""The settings file, read again while a role runs."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import structlog

from ..configuration.errors import SettingsError
from ..configuration.settings import NodeSettings, load_settings

log = structlog.get_logger()


class Reloadable(Protocol):
    """What can go on with other settings."""

    def reload(self, settings: NodeSettings) -> None:
        """Goes on with these settings."""


class SettingsWatch:
    """Hands changed settings to a role."""

    def __init__(
        self, role: Reloadable, settings: NodeSettings, read: Callable[[], NodeSettings] = load_settings
    ) -> None:
        """Reads nothing yet.

        Args:
            role: Is given the settings when they change.
            settings: Those that it began with.
            read: Reads the file; may raise `SettingsError`.
        """
        self._role = role
        self._settings = settings
        self._read = read

    def check(self) -> None:
        """Reads the file again. One that cannot be used changes nothing."""
        try:
            settings = self._read()
        except SettingsError as error:
            log.warning("settings.rejected", error=str(error))
            return
        if settings != self._settings:
            self._settings = settings
            self._role.reload(settings)

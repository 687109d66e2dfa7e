"""Reloads the settings file while a role runs."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import structlog

from ..configuration.errors import SettingsError
from ..configuration.settings import NodeSettings, load_settings

log = structlog.get_logger()


class Reloadable(Protocol):
    """A component that can apply new settings at run time."""

    def reload(self, settings: NodeSettings) -> None:
        """Applies these settings."""


class SettingsWatch:
    """Passes changed settings to a role."""

    def __init__(
        self, role: Reloadable, settings: NodeSettings, read: Callable[[], NodeSettings] = load_settings
    ) -> None:
        """Does not read the file yet.

        Args:
            role: Receives the settings when they change.
            settings: The settings with which the role was started.
            read: Reads the file; may raise `SettingsError`.
        """
        self._role = role
        self._settings = settings
        self._read = read

    def check(self) -> None:
        """Reads the file again. An unusable file is logged and otherwise ignored."""
        try:
            settings = self._read()
        except SettingsError as error:
            log.warning("settings.rejected", error=str(error))
            return
        if settings != self._settings:
            self._settings = settings
            self._role.reload(settings)

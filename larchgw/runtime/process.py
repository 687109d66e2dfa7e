"""Runs one role from its start to SIGTERM."""

from __future__ import annotations

import asyncio
import signal
import sys
from collections.abc import Callable
from typing import Protocol

import structlog

from ..configuration.errors import SettingsError
from ..configuration.settings import NodeSettings, load
from ..storage.errors import StorageError
from . import logs
from .background_tasks import BackgroundTasks

log = structlog.get_logger()
EXIT_USAGE = 2
SETTINGS_CHECK_S = 5.0  # the file may change without a signal; only seeds do, and are needed seldom


class Role(Protocol):
    """What a role does at each of its turns."""

    async def start(self) -> None:
        """Listens and begins its work. Raises OSError if an address cannot be used."""

    def reload(self, settings: NodeSettings) -> None:
        """The settings file has changed."""

    async def stop(self) -> None:
        """Ends in good order; returns when the process may exit."""


class SettingsWatch:
    """Hands changed settings to the role; `settings` are those that it began with."""

    def __init__(self, role: Role, settings: NodeSettings, read: Callable[[], NodeSettings] = load) -> None:
        self._role, self._settings, self._read = role, settings, read

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


async def _serve(role: Role, settings: NodeSettings) -> None:
    loop = asyncio.get_running_loop()
    ending = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, ending.set)
    loop.add_signal_handler(signal.SIGINT, ending.set)
    watch = SettingsWatch(role, settings)
    loop.add_signal_handler(signal.SIGHUP, watch.check)
    await role.start()
    tasks = BackgroundTasks()
    tasks.every("settings", SETTINGS_CHECK_S, watch.check)
    await ending.wait()
    log.info("process.stopping")
    tasks.stop()
    await role.stop()


def run(make: Callable[[NodeSettings], Role]) -> int:
    """The exit status: 0 after SIGTERM, 2 for settings that cannot be used, 1 for an address in use or a data
    folder that cannot be read.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until the loop listens to it, it would end the process
    try:
        settings = load()
    except SettingsError as error:
        print(f"larchgw: {error}", file=sys.stderr)
        return EXIT_USAGE
    logs.configure(settings.node_name)
    try:
        asyncio.run(_serve(make(settings), settings))
    except SettingsError as error:
        print(f"larchgw: {error}", file=sys.stderr)
        return EXIT_USAGE
    except StorageError as error:
        log.error("process.start_failed", cause="data_folder", error=str(error))
        return 1
    except OSError as error:
        log.error(
            "process.address_unusable", error=str(error), remedy="free the address or change the settings"
        )
        return 1
    return 0

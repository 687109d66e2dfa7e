"""Runs one role from its start to SIGTERM."""

from __future__ import annotations

import asyncio
import logging
import signal
import sys
from collections.abc import Callable
from typing import Protocol

from ..configuration.errors import SettingsError
from ..configuration.settings import NodeSettings, load
from ..storage.errors import StorageError
from . import logs

log = logging.getLogger(__name__)
EXIT_USAGE = 2


class Role(Protocol):
    """What a role does at each of its turns."""

    async def start(self) -> None:
        """Listens and begins its work. Raises OSError if an address cannot be used."""

    def reload(self, settings: NodeSettings) -> None:
        """The settings file has changed."""

    async def stop(self) -> None:
        """Ends in good order; returns when the process may exit."""


async def _serve(role: Role) -> None:
    loop = asyncio.get_running_loop()
    ending = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, ending.set)
    loop.add_signal_handler(signal.SIGINT, ending.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: _reload(role))
    await role.start()
    await ending.wait()
    log.info("stopping")
    await role.stop()


def _reload(role: Role) -> None:
    try:
        role.reload(load())
    except SettingsError as error:
        log.warning("settings stay as they were: %s", error)


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
        asyncio.run(_serve(make(settings)))
    except SettingsError as error:
        print(f"larchgw: {error}", file=sys.stderr)
        return EXIT_USAGE
    except StorageError as error:
        log.error("cannot start: %s", error)
        return 1
    except OSError as error:
        log.error("cannot start: %s; free the address or change the settings", error)
        return 1
    return 0

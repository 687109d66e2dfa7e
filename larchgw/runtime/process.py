"""Runs one role from its start to SIGTERM."""

from __future__ import annotations

import asyncio
import signal
import sys
from collections.abc import Callable
from typing import Protocol

import structlog

from ..configuration.errors import SettingsError
from ..configuration.settings import NodeSettings, load_settings
from ..storage.errors import StorageError
from . import logs
from .background_tasks import BackgroundTasks
from .settings_watch import Reloadable, SettingsWatch

log = structlog.get_logger()

EXIT_OK = 0
EXIT_FAILURE = 1
EXIT_USAGE = 2
SETTINGS_CHECK_PERIOD_S = 5.0  # the file may change without a signal; only seeds do, and are needed seldom


class RoleProcess(Reloadable, Protocol):
    """One role of the system, edge or control, as `run` drives it."""

    async def start(self) -> None:
        """Listens and begins its work.

        Raises:
            OSError: If an address cannot be used.
            StorageError: If the data folder cannot be used.
        """

    async def stop(self) -> None:
        """Stops gracefully; returns when the process may exit."""


def run(new_role: Callable[[NodeSettings], RoleProcess]) -> int:
    """Runs a role until SIGTERM or SIGINT. SIGHUP reads the settings file again.

    Args:
        new_role: Makes the role from the process's settings.

    Returns:
        The exit status: 0 after a signal, 2 for settings that cannot be used, 1 for an address in use or a
        data folder that cannot be read.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until the loop listens to it, it would end the process
    try:
        settings = load_settings()
    except SettingsError as error:
        return _report_settings(error)
    logs.configure(settings.node_name)
    try:
        asyncio.run(_run_until_signal(new_role(settings), settings))
    except SettingsError as error:
        return _report_settings(error)
    except StorageError as error:
        return _report_data_folder(error)
    except OSError as error:
        return _report_address(error)
    return EXIT_OK


async def _run_until_signal(role: RoleProcess, settings: NodeSettings) -> None:
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
    loop.add_signal_handler(signal.SIGINT, stop_requested.set)
    watch = SettingsWatch(role, settings)
    loop.add_signal_handler(signal.SIGHUP, watch.check)
    await role.start()
    tasks = BackgroundTasks()
    tasks.every("settings", SETTINGS_CHECK_PERIOD_S, watch.check)
    await stop_requested.wait()
    log.info("process.stopping")
    tasks.stop()
    await role.stop()


def _report_settings(error: SettingsError) -> int:
    print(f"larchgw: {error}", file=sys.stderr)
    return EXIT_USAGE


def _report_data_folder(error: StorageError) -> int:
    log.error("process.start_failed", cause="data_folder", error=str(error))
    return EXIT_FAILURE


def _report_address(error: OSError) -> int:
    log.error("process.address_unusable", error=str(error), remedy="free the address or change the settings")
    return EXIT_FAILURE

"""Runs one role until it receives SIGTERM."""

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
from .build_identity import read_build_identity
from .settings_watch import Reloadable, SettingsWatch

log = structlog.get_logger()

EXIT_OK = 0
EXIT_FAILURE = 1
EXIT_USAGE = 2
SETTINGS_CHECK_PERIOD_S = 5.0  # only seeds change without SIGHUP, and they are rarely needed


class RoleProcess(Reloadable, Protocol):
    """Interface through which `run` controls a role, edge or control."""

    async def start(self) -> None:
        """Opens the listening sockets and starts serving.

        Raises:
            OSError: If an address cannot be used.
            StorageError: If the data directory cannot be used.
        """

    async def stop(self) -> None:
        """Stops gracefully; returns when the process may exit."""


def run(new_role: Callable[[NodeSettings], RoleProcess]) -> int:
    """Runs a role until SIGTERM or SIGINT. SIGHUP reloads the settings file.

    Args:
        new_role: Creates the role from the settings of the process.

    Returns:
        The exit status: 0 after a signal, 2 for unusable settings, 1 for an address in use or an
        unreadable data directory.
    """
    signal.signal(
        signal.SIGHUP, signal.SIG_IGN
    )  # its default action would terminate the process before the loop handles it
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
    build = asyncio.create_task(_log_build())
    tasks.every("settings", SETTINGS_CHECK_PERIOD_S, watch.check)
    await stop_requested.wait()
    log.info("process.stopping")
    build.cancel()
    tasks.stop()
    await role.stop()


async def _log_build() -> None:
    """Logs which program this is, read between other tasks so that they aren't delayed."""
    try:
        build = await read_build_identity()
    except OSError as error:
        log.warning("process.build_unreadable", error=str(error))
        return
    log.info("process.build", version=build.version, source=build.source)


def _report_settings(error: SettingsError) -> int:
    print(f"larchgw: {error}", file=sys.stderr)
    return EXIT_USAGE


def _report_data_folder(error: StorageError) -> int:
    log.error("process.start_failed", cause="data_folder", error=str(error))
    return EXIT_FAILURE


def _report_address(error: OSError) -> int:
    log.error("process.address_unusable", error=str(error), remedy="free the address or change the settings")
    return EXIT_FAILURE

"""`larchgw system log verify|dump` and `larchgw system restore`: data folders of control processes."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Sequence
from pathlib import Path

from ..configuration import settings as process_settings
from ..configuration.errors import SettingsError
from ..configuration.settings import NodeSettings
from ..rpc.errors import RpcError
from ..runtime.addresses import rpc_address, seed_rpc_addresses
from ..storage.errors import StorageError
from .command import Command, flag, textual
from .errors import UsageError
from .system_common import ExitStatus, fail
from .system_status import status_of


@textual
def verify(folder: str) -> Command:
    """Reads the whole log of a control process; status 1 if what was synced cannot be read back.

    Args:
        folder: The folder `log` in a data_dir. It is only read; the process may run.
    """
    path = _folder(folder)
    return Command(lambda: _verify(path))


@textual
def dump(folder: str) -> Command:
    """Prints a line for the snapshot and one for each record of a log.

    Args:
        folder: As for verify.
    """
    path = _folder(folder)
    return Command(lambda: _dump(path))


@textual
def restore(
    source: str, *, data_dir: str | None = None, settings: str | None = None, yes: str = "False"
) -> Command:
    """Writes a data folder with which one control process begins anew, after more was lost than is survived.

    Every control process must be stopped, and the data folders of the others empty; see
    docs/operators-system.md. Without --yes it only tells what it would do.

    Args:
        source: What is left: a data_dir, its log, a snapshot's file, or a configuration that
            `larchgw system config read` printed (.json).
        data_dir: The folder to write, empty or not there: the data_dir of the process that begins anew.
        settings: The settings file of that process; the one in LARCHGW_NODE_FILE if left out.
        yes: Writes it.
    """
    if data_dir is None:
        raise UsageError("--data-dir: name the empty data_dir of the process that begins anew")
    try:
        terms = process_settings.load_settings(settings)
    except SettingsError as error:
        raise UsageError(f"--settings: {error}") from None
    if terms.first_boot:
        raise UsageError(
            "first_boot is true in the settings: set it to false on every machine, or the "
            "others begin a system of their own"
        )
    sure = flag("yes", yes)
    return Command(lambda: _restore(Path(source), Path(data_dir), terms, sure))


def _folder(name: str) -> Path:
    path = Path(name)
    if not path.is_dir():
        raise UsageError(f"folder: {name!r} is no folder")
    return path


def _verify(folder: Path) -> int:
    from ..storage.log_inspection import verify_log

    found = verify_log(str(folder))
    print(found)
    return ExitStatus.DONE if found.is_ok else ExitStatus.REFUSED


def _dump(folder: Path) -> int:
    from ..storage.log_inspection import dump_log

    try:
        for line in dump_log(str(folder)):
            print(line)
    except StorageError as error:
        return fail(str(error), ExitStatus.REFUSED)
    return ExitStatus.DONE


def _restore(source: Path, folder: Path, terms: NodeSettings, sure: bool) -> int:
    from ..control import restore as restoring
    from ..control.errors import RestoreError
    from ..replication.forced_new_view import plan_forced_view

    address = rpc_address(terms)
    try:
        restoring.check_empty(folder)
        found = restoring.read_source(source)
    except RestoreError as error:
        return fail(str(error), ExitStatus.REFUSED)
    running = asyncio.run(_answering([address, *seed_rpc_addresses(terms)]))
    if running:
        return fail(f"a control process answers at {running[0]}: stop all of them first", ExitStatus.REFUSED)
    print(f"found {restoring.describe(found)}")
    if not sure:
        return fail(
            "nothing was written; add --yes once every control process is stopped for good",
            ExitStatus.REFUSED,
        )
    begin = plan_forced_view(
        restoring.fresh_identity(address), address, time.time(), found.last_epoch, found.last_index
    )
    try:
        restoring.write_folder(folder, found, begin)
    except StorageError as error:
        return fail(f"{error}. Remove {folder} before the next try", ExitStatus.REFUSED)
    print(f"wrote {folder}: {begin.identity} begins epoch {begin.epoch} with record {begin.index}")
    print("start this control process, then the others with empty data folders")
    return ExitStatus.DONE


async def _answering(candidates: Sequence[str]) -> list[str]:
    """The addresses at which a control process runs."""
    found = []
    for address in dict.fromkeys(candidates):
        try:
            await status_of(address)
        except RpcError as error:
            if not error.was_sent:
                continue
        found.append(address)
    return found

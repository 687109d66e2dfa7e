"""`larchgw system log verify|dump` and `larchgw system restore`: for control processes' data directories."""

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
from .command import Command, flag, string_arguments
from .errors import UsageError
from .system_common import ExitStatus, fail
from .system_status import status_of


@string_arguments
def verify(folder: str) -> Command:
    """Reads the whole log of a control process; exits with status 1 if synced data cannot be read back.

    Args:
        folder: The folder `log` in a data_dir. It is not modified; the process may be running.
    """
    path = _folder(folder)
    return Command(lambda: _verify(path))


@string_arguments
def dump(folder: str) -> Command:
    """Prints one line for the snapshot and one for each record of a log.

    Args:
        folder: As for verify.
    """
    path = _folder(folder)
    return Command(lambda: _dump(path))


@string_arguments
def restore(
    source: str, *, data_dir: str | None = None, settings: str | None = None, yes: str = "False"
) -> Command:
    """Restores one control process after the loss of more control processes than `survive` tolerates.

    Writes a data folder from which that process bootstraps the system again. All control processes must
    be stopped, and the data folders of the others must be empty; see docs/operators-system.md. Without
    --yes, only reports what was found in the source.

    Args:
        source: Remaining copy of the data: a data_dir, its log, a snapshot file, or a configuration that
            `larchgw system config read` printed (.json).
        data_dir: Folder to write, which must be empty or absent: the data_dir of the process to restore.
        settings: Settings file of that process; by default, the one that LARCHGW_NODE_FILE names.
        yes: Writes the folder.
    """
    if data_dir is None:
        raise UsageError("--data-dir: give the empty data_dir of the process to restore")
    try:
        node_settings = process_settings.load_settings(settings)
    except SettingsError as error:
        raise UsageError(f"--settings: {error}") from None
    if node_settings.first_boot:
        raise UsageError(
            "first_boot is true in the settings: set it to false on every machine; otherwise, the "
            "other processes would start a separate system"
        )
    is_confirmed = flag("yes", yes)
    return Command(lambda: _restore(Path(source), Path(data_dir), node_settings, is_confirmed))


def _folder(name: str) -> Path:
    path = Path(name)
    if not path.is_dir():
        raise UsageError(f"folder: {name!r} is not a folder")
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


def _restore(source: Path, folder: Path, node_settings: NodeSettings, is_confirmed: bool) -> int:
    from ..control import restore as restore_module
    from ..control.errors import RestoreError
    from ..replication.forced_new_view import plan_forced_view

    address = rpc_address(node_settings)
    try:
        restore_module.check_empty(folder)
        found = restore_module.read_source(source)
    except RestoreError as error:
        return fail(str(error), ExitStatus.REFUSED)
    running = asyncio.run(_answering([address, *seed_rpc_addresses(node_settings)]))
    if running:
        return fail(
            f"a control process may be running at {running[0]}: stop all control processes first",
            ExitStatus.REFUSED,
        )
    print(f"found {restore_module.describe(found)}")
    if not is_confirmed:
        return fail(
            "nothing was written; add --yes once all control processes are stopped permanently",
            ExitStatus.REFUSED,
        )
    new_view = plan_forced_view(
        restore_module.fresh_identity(address), address, time.time(), found.last_epoch, found.last_index
    )
    try:
        restore_module.write_folder(folder, found, new_view)
    except StorageError as error:
        return fail(f"{error}. Remove {folder} before trying again", ExitStatus.REFUSED)
    print(f"wrote {folder}: {new_view.identity} begins epoch {new_view.epoch} with record {new_view.index}")
    print("start this control process, then the others with empty data folders")
    return ExitStatus.DONE


async def _answering(candidates: Sequence[str]) -> list[str]:
    """Returns the addresses at which a control process may be running."""
    found = []
    for address in dict.fromkeys(candidates):
        try:
            await status_of(address)
        except RpcError as error:
            if not error.was_sent:
                continue
        found.append(address)
    return found

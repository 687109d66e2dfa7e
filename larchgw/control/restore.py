"""Restores the configuration after the loss of more control processes than the setting `survive` tolerates.

The state is read from any remaining copy: a data folder, its log, a snapshot file, or a configuration in
JSON. It is written to a new data folder, from which one control process bootstraps the system again; see
replication/forced_new_view.py. docs/operators-system.md describes the procedure.
"""

from __future__ import annotations

import json
import os
from dataclasses import dataclass
from pathlib import Path

from ..configuration.errors import ConfigurationError
from ..configuration.json_decoding import decode_object
from ..configuration.model import Configuration
from ..configuration.validation import parse_configuration
from ..replication.forced_new_view import ForcedView, write_forced_view
from ..replication.replica import split_frame
from ..storage.errors import StorageError
from ..storage.files import DiskFiles, FilePort
from ..storage.log_inspection import LogContents, read_log, read_snapshot_file
from .configuration_state import ConfigurationState
from .disk import LOG_FOLDER, ControlDisk
from .errors import RestoreError


@dataclass(frozen=True, slots=True)
class RestorableState:
    """The state read from a source. The newest copy is that with the highest (last_epoch, last_index).

    Attributes:
        state: The replicated state.
        configuration: The configuration in the state.
        last_epoch: Highest view epoch in the source's log; 0 for none.
        last_index: Highest record index in that log; 0 for none.
    """

    state: ConfigurationState
    configuration: Configuration
    last_epoch: int
    last_index: int


def read_source(source: Path) -> RestorableState:
    """Reads the state from a data folder, a log folder, a snapshot file or a JSON configuration.

    All records of a log are applied, including those that may not have been committed: an operator who got no
    definite response must expect either outcome.

    Raises:
        RestoreError: The source cannot be read or contains no configuration.
    """
    try:
        if source.is_dir():
            return _from_log(source, read_log(str(_log_folder(source))))
        if source.suffix == ".json":
            return _from_json(source)
        return _from_log(source, read_snapshot_file(str(source)))
    except StorageError as error:
        raise RestoreError(
            source, f"cannot be read: {error.path}: {error.problem}", "restore from another copy"
        ) from error


def check_empty(folder: Path) -> None:
    """Checks that a folder is empty or does not exist.

    Raises:
        RestoreError: The folder is not empty, or is not a folder.
    """
    if folder.exists() and (not folder.is_dir() or any(folder.iterdir())):
        raise RestoreError(folder, "is not empty", "move its contents elsewhere; they may still be needed")


def write_folder(
    folder: Path, restorable: RestorableState, forced_view: ForcedView, files: FilePort | None = None
) -> None:
    """Writes the data folder of the process that bootstraps the system again.

    Args:
        folder: The folder to write; empty or nonexistent.
        restorable: The state to start with.
        forced_view: Identity, view epoch and record index to start with.
        files: Where to write; defaults to the local disk.

    Raises:
        StorageError: The folder is incomplete and must be removed.
    """
    state = ConfigurationState()
    state.restore(restorable.state.snapshot())
    state.record_index = forced_view.index
    disk = ControlDisk.open(files or DiskFiles(), str(folder))
    write_forced_view(disk.ports, forced_view, state.snapshot())
    disk.refill_reserve()


def _log_folder(source: Path) -> Path:
    subfolder = source / LOG_FOLDER
    return subfolder if subfolder.is_dir() else source


def _from_log(source: Path, log_contents: LogContents) -> RestorableState:
    state, epoch, index = ConfigurationState(), 0, log_contents.snapshot_index
    if log_contents.snapshot is not None:
        epoch, snapshot = split_frame(log_contents.snapshot)
        state.restore(snapshot)
    for index, framed in log_contents.records:
        epoch, record = split_frame(framed)
        state.apply(index, record)
    if state.current is None:
        raise RestoreError(source, "holds no configuration", "restore from another copy")
    return RestorableState(state, state.current, epoch, index)


def _from_json(source: Path) -> RestorableState:
    state = ConfigurationState()
    try:
        state.current = parse_configuration(decode_object(source.read_bytes()))
    except (OSError, ConfigurationError) as error:
        raise RestoreError(
            source, f"is not a valid configuration: {error}", "correct it or restore from another copy"
        ) from error
    return RestorableState(state, state.current, 0, 0)


def describe(restorable: RestorableState) -> str:
    """Describes the state that would be restored, in one line."""
    configuration = restorable.configuration
    size = len(json.dumps(configuration.raw))
    return (
        f"configuration {configuration.config_version}: {len(configuration.routes)} routes, "
        f"{len(configuration.services)} services, {size} bytes; last epoch {restorable.last_epoch}, "
        f"last record {restorable.last_index}"
    )


def fresh_identity(address: str) -> str:
    """Generates a unique member identity for the process at this RPC address."""
    return f"{address}#{os.urandom(8).hex()}"

"""Restoring the configuration after more was lost than `survive` allows.

docs/operators-system.md has the steps.
From what is left (a data folder, its log, a snapshot's file, or a configuration as JSON) the state is read,
and a data folder is written with which one control process begins anew; see replication/forced_new_view.py.
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
    """What a source holds. Of several copies the one with the highest (last_epoch, last_index) is the newest.

    Attributes:
        state: The replicated state.
        configuration: The configuration in it.
        last_epoch: Highest view epoch in the log that it came from; 0 for none.
        last_index: Highest record index in that log; 0 for none.
    """

    state: ConfigurationState
    configuration: Configuration
    last_epoch: int
    last_index: int


def read_source(source: Path) -> RestorableState:
    """Reads the state in a data folder, a log's folder, a snapshot's file or a JSON configuration.

    All records of a log are applied, also those whose acknowledgement is not known: an operator who got no
    clear answer expects either.

    Raises:
        RestoreError: The source cannot be read or holds no configuration.
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
    """Checks that a folder may be written to.

    Raises:
        RestoreError: It holds something.
    """
    if folder.exists() and (not folder.is_dir() or any(folder.iterdir())):
        raise RestoreError(folder, "is not empty", "move what it holds aside; it may still be needed")


def write_folder(
    folder: Path, found: RestorableState, begin: ForcedView, files: FilePort | None = None
) -> None:
    """Writes the data folder of the process that begins anew.

    Args:
        folder: Empty, or not there.
        found: The state to begin with.
        begin: Identity, view epoch and record index to begin with.
        files: Where to write; the machine's disk if left out.

    Raises:
        StorageError: The folder is not whole; remove it.
    """
    state = ConfigurationState()
    state.restore(found.state.snapshot())
    state.record_index = begin.index
    disk = ControlDisk.open(files or DiskFiles(), str(folder))
    write_forced_view(disk.ports, begin, state.snapshot())
    disk.refill_reserve()


def _log_folder(source: Path) -> Path:
    inner = source / LOG_FOLDER
    return inner if inner.is_dir() else source


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
            source, f"is no valid configuration: {error}", "mend it or restore from another copy"
        ) from error
    return RestorableState(state, state.current, 0, 0)


def describe(found: RestorableState) -> str:
    """Describes in one line what would be restored."""
    configuration = found.configuration
    size = len(json.dumps(configuration.raw))
    return (
        f"configuration {configuration.config_version}: {len(configuration.routes)} routes, "
        f"{len(configuration.services)} services, {size} bytes; last epoch {found.last_epoch}, "
        f"last record {found.last_index}"
    )


def fresh_identity(address: str) -> str:
    """Makes an identity that no process has had, for the process at this rpc address."""
    return f"{address}#{os.urandom(8).hex()}"

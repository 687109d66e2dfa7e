"""Read-only access to the folder of a log, for the command line and for a restore.

Nothing is changed, so this is safe while a process uses the folder.
"""

from __future__ import annotations

import os
from collections.abc import Iterator
from dataclasses import dataclass

from .errors import CorruptLogError, StorageError
from .files import DiskFiles, FilePort
from .recovery import RecoveredLog, recover
from .segments import Record, decode_record
from .snapshots import NO_SNAPSHOT, parse_snapshot_name, read_snapshot

PREVIEW_BYTES = 60
"""Number of bytes of a payload that a line shows."""


@dataclass(frozen=True)
class LogVerification:
    """Whether a log can be opened. `str()` of it is a line for the command line.

    Attributes:
        problem: Why it cannot be opened; empty if it can.
        snapshot_index: The last record that the snapshot includes; 0 if there is none.
        first_index: The first record after the snapshot.
        last_index: The newest record, or the index of the snapshot if no record follows it.
        segments: Number of segment files in use.
        torn_bytes: Number of bytes at the end that were never synced and would be cut off.
        obsolete_files: Number of files that are no longer used.
    """

    problem: str
    snapshot_index: int = 0
    first_index: int = 0
    last_index: int = 0
    segments: int = 0
    torn_bytes: int = 0
    obsolete_files: int = 0

    @property
    def is_ok(self) -> bool:
        """Whether all synced data can be read back."""
        return not self.problem

    def __str__(self) -> str:
        """Returns one line, without a newline."""
        if self.problem:
            return f"DAMAGED: {self.problem}"
        return (
            f"ok: records {self.first_index} to {self.last_index} in {self.segments} segments, "
            f"snapshot up to {self.snapshot_index}, {self.torn_bytes} bytes of torn tail, "
            f"{self.obsolete_files} obsolete files"
        )


@dataclass(frozen=True)
class LogContents:
    """The contents of a log.

    Attributes:
        snapshot_index: The last record that the snapshot includes; 0 if there is none.
        snapshot: Payload of the snapshot.
        records: Index and payload of each record after it.
    """

    snapshot_index: int
    snapshot: bytes | None
    records: list[tuple[int, bytes]]


def verify_log(folder: str, port: FilePort | None = None) -> LogVerification:
    """Reads every record and the snapshot of a log."""
    try:
        recovered = recover(port or DiskFiles(), folder)
    except StorageError as error:
        return LogVerification(str(error))
    return LogVerification(
        problem="",
        snapshot_index=recovered.snapshot.index,
        first_index=recovered.snapshot.index + 1,
        last_index=recovered.last_index,
        segments=len(recovered.segments),
        torn_bytes=recovered.torn_bytes,
        obsolete_files=len(recovered.obsolete_paths),
    )


def dump_log(folder: str, port: FilePort | None = None) -> Iterator[str]:
    """Yields a line for the snapshot and one for each record.

    Raises:
        CorruptLogError: Synced data is damaged or missing.
        DiskFailedError: The folder cannot be read now.
    """
    port = port or DiskFiles()
    recovered = recover(port, folder)
    if recovered.snapshot != NO_SNAPSHOT:
        payload = read_snapshot(port, folder, recovered.snapshot)
        yield f"snapshot up to {recovered.snapshot.index}: {_preview(payload)}"
    for index, record in _read_records(port, recovered):
        yield f"record {index} (durable up to {record.durable_index}): {_preview(record.payload)}"


def read_log(folder: str, port: FilePort | None = None) -> LogContents:
    """Returns the contents of the log in a folder; raises the same errors as `dump_log`."""
    port = port or DiskFiles()
    recovered = recover(port, folder)
    snapshot_index = recovered.snapshot.index
    snapshot = None if recovered.snapshot == NO_SNAPSHOT else read_snapshot(port, folder, recovered.snapshot)
    records = [
        (index, record.payload) for index, record in _read_records(port, recovered) if index > snapshot_index
    ]
    return LogContents(snapshot_index, snapshot, records)


def read_snapshot_file(path: str, port: FilePort | None = None) -> LogContents:
    """Returns the contents of a single snapshot file; raises the same errors as `dump_log`."""
    folder, name = os.path.split(path)
    snapshot = parse_snapshot_name(name)
    if snapshot is None:
        raise CorruptLogError(
            path, 0, "its name is not that of a snapshot", "restore the original name of the file"
        )
    return LogContents(snapshot.index, read_snapshot(port or DiskFiles(), folder, snapshot), [])


def _read_records(port: FilePort, recovered: RecoveredLog) -> Iterator[tuple[int, Record]]:
    """Yields each recovered record with its index."""
    for segment in recovered.segments:
        for index in range(segment.first_index, segment.last_index + 1):
            span = segment.locate(index)
            data = port.read(segment.path, span.offset, span.size_bytes)
            record = decode_record(segment.first_index, data, 0, span.offset)
            if record is None:
                raise CorruptLogError(segment.path, span.offset, f"record {index} is damaged")
            yield index, record


def _preview(payload: bytes) -> str:
    shown = payload[:PREVIEW_BYTES].decode("utf-8", "backslashreplace")
    more = "..." if len(payload) > PREVIEW_BYTES else ""
    return f"{len(payload)} bytes {shown!r}{more}"

"""What a command line can show of a log's folder. Nothing is changed, so it is safe beside a running
process.
"""

from __future__ import annotations

import os
from collections.abc import Iterator
from dataclasses import dataclass

from . import segments
from .errors import CorruptLogError, StorageError
from .files import DiskFiles, FilePort
from .recovery import NO_SNAPSHOT, Recovery, read_snapshot, recover
from .snapshots import parse_snapshot_name

PREVIEW_BYTES = 60


@dataclass(frozen=True)
class LogVerification:
    """Whether a log can be opened. `problem` is empty if so; `tail_bytes` would be cut, never having been
    synced.
    """

    problem: str
    snapshot_index: int
    first_index: int
    last_index: int
    segments: int
    tail_bytes: int
    obsolete_files: int

    @property
    def is_ok(self) -> bool:
        """True if all that was synced can be read back."""
        return not self.problem

    def __str__(self) -> str:
        if self.problem:
            return f"DAMAGED: {self.problem}"
        return (
            f"ok: records {self.first_index} to {self.last_index} in {self.segments} segments, "
            f"snapshot up to {self.snapshot_index}, {self.tail_bytes} bytes of torn tail, "
            f"{self.obsolete_files} obsolete files"
        )


@dataclass(frozen=True)
class LogContents:
    """A snapshot, which stands for the records up to its index, and the records after it."""

    snapshot_index: int
    snapshot: bytes | None
    records: list[tuple[int, bytes]]


def verify_log(folder: str, port: FilePort | None = None) -> LogVerification:
    """Reads every record and the snapshot."""
    try:
        found = recover(port or DiskFiles(), folder)
    except StorageError as error:
        return LogVerification(str(error), 0, 0, 0, 0, 0, 0)
    snapshot_index = found.snapshot.index
    last = found.live[-1].last_index if found.live else snapshot_index
    return LogVerification(
        "", snapshot_index, snapshot_index + 1, last, len(found.live), found.tail, len(found.obsolete)
    )


def dump_log(folder: str, port: FilePort | None = None) -> Iterator[str]:
    """A line for the snapshot and one for each record. Raises CorruptLogError, DiskFailedError."""
    port = port or DiskFiles()
    found = recover(port, folder)
    if found.snapshot != NO_SNAPSHOT:
        payload = read_snapshot(port, folder, found.snapshot)
        yield f"snapshot up to {found.snapshot.index}: {_describe(payload)}"
    for index, record in _records(port, found):
        yield f"record {index} (durable up to {record.durable}): {_describe(record.payload)}"


def read_log(folder: str, port: FilePort | None = None) -> LogContents:
    """All that the log of a folder holds. Raises CorruptLogError, DiskFailedError."""
    port = port or DiskFiles()
    found = recover(port, folder)
    snapshot = None if found.snapshot == NO_SNAPSHOT else read_snapshot(port, folder, found.snapshot)
    records = [
        (index, record.payload) for index, record in _records(port, found) if index > found.snapshot.index
    ]
    return LogContents(found.snapshot.index, snapshot, records)


def read_snapshot_file(path: str, port: FilePort | None = None) -> LogContents:
    """What a snapshot's file alone holds. Raises CorruptLogError, DiskFailedError."""
    folder, name = os.path.split(path)
    identity = parse_snapshot_name(name)
    if identity is None:
        raise CorruptLogError(path, 0, "its name is not that of a snapshot", "give the file its name back")
    return LogContents(identity.index, read_snapshot(port or DiskFiles(), folder, identity), [])


def _records(port: FilePort, found: Recovery) -> Iterator[tuple[int, segments.Record]]:
    for segment in found.live:
        for index in range(segment.first_index, segment.last_index + 1):
            start, size = segment.place(index)
            record = segments.decode_record(
                segment.first_index, port.read(segment.path, start, size), 0, start
            )
            if record is None:
                raise CorruptLogError(segment.path, start, f"record {index} is damaged")
            yield index, record


def _describe(payload: bytes) -> str:
    shown = payload[:PREVIEW_BYTES].decode("utf-8", "backslashreplace")
    more = "..." if len(payload) > PREVIEW_BYTES else ""
    return f"{len(payload)} bytes {shown!r}{more}"

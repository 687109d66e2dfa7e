"""Snapshot files of the log: their names, their codec, and the store that writes and reads them.

A snapshot replaces all records up to its index. A snapshot that is installed from another replica begins a
new generation: segments and snapshots of earlier generations are obsolete. So one rename replaces everything.
"""

from __future__ import annotations

import os
import re
import struct
import zlib
from dataclasses import dataclass

from .cleanup import LogCleanup
from .errors import CorruptLogError, StorageError
from .files import FilePort

MAGIC = b"LGS1"
HEADER = struct.Struct(">4sQIQ")
"""Magic, index, generation, payload length."""
CRC_BYTES = 4
NAME_PATTERN = re.compile(r"snapshot-(\d{6,})-(\d{20})\.snap")
NAME_PREFIX = "snapshot-"
TEMPORARY_SUFFIX = ".tmp"


@dataclass(frozen=True, order=True)
class SnapshotId:
    """Identifies a snapshot; a greater one replaces a smaller one.

    Attributes:
        generation: Number of snapshots of other replicas installed so far, including this one.
        index: The last record that it includes.
    """

    generation: int
    index: int

    @property
    def file_name(self) -> str:
        """Name of its file."""
        return f"{NAME_PREFIX}{self.generation:06d}-{self.index:020d}.snap"


NO_SNAPSHOT = SnapshotId(0, 0)


def parse_snapshot_name(name: str) -> SnapshotId | None:
    """Parses the name of a snapshot file; returns None for any other file."""
    match = NAME_PATTERN.fullmatch(name)
    return SnapshotId(int(match[1]), int(match[2])) if match else None


def is_temporary_snapshot(name: str) -> bool:
    """Whether this is the name of a snapshot that was not written completely."""
    return name.startswith(NAME_PREFIX) and name.endswith(TEMPORARY_SUFFIX)


def encode_snapshot(snapshot: SnapshotId, payload: bytes) -> bytes:
    """Returns the content of the snapshot's file."""
    start = HEADER.pack(MAGIC, snapshot.index, snapshot.generation, len(payload))
    return start + zlib.crc32(payload, zlib.crc32(start)).to_bytes(CRC_BYTES, "big") + payload


def decode_snapshot(snapshot: SnapshotId, data: bytes) -> bytes | None:
    """Returns the payload; None if `data` is not the valid content of that snapshot."""
    body = HEADER.size + CRC_BYTES
    if len(data) < body:
        return None
    start, crc, payload = data[: HEADER.size], data[HEADER.size : body], data[body:]
    if start != HEADER.pack(MAGIC, snapshot.index, snapshot.generation, len(payload)):
        return None
    return payload if zlib.crc32(payload, zlib.crc32(start)).to_bytes(CRC_BYTES, "big") == crc else None


def read_snapshot(port: FilePort, folder: str, snapshot: SnapshotId) -> bytes:
    """Returns the payload of a snapshot that was synced.

    Raises:
        CorruptLogError: The file is damaged or missing.
        DiskFailedError: The file cannot be read.
    """
    path = os.path.join(folder, snapshot.file_name)
    payload = decode_snapshot(snapshot, port.read(path, 0, port.size(path) or 0))
    if payload is None:
        raise CorruptLogError(path, 0, "the snapshot is damaged or missing")
    return payload


class SnapshotStore:
    """The current snapshot of one log. Only the log's owner thread may use it.

    Attributes:
        current: The current snapshot; NO_SNAPSHOT if there is none.
        size_bytes: Length of its payload.
    """

    def __init__(self, port: FilePort, folder: str, cleanup: LogCleanup) -> None:
        """Creates a store without a snapshot; the log sets `current` to the recovered one."""
        self._port = port
        self._folder = folder
        self._cleanup = cleanup
        self.current = NO_SNAPSHOT
        self.size_bytes = 0

    def read(self) -> bytes:
        """Returns the payload of the current snapshot; see `read_snapshot`."""
        return read_snapshot(self._port, self._folder, self.current)

    def replace(self, snapshot: SnapshotId, payload: bytes) -> None:
        """Stores a new current snapshot, durably, and removes the file of the former one.

        Raises:
            DiskFullError, DiskFailedError: The former snapshot stays current.
        """
        path = os.path.join(self._folder, snapshot.file_name)
        self._write_durably(path, encode_snapshot(snapshot, payload))
        replaced = self.current
        self.current, self.size_bytes = snapshot, len(payload)
        if replaced != NO_SNAPSHOT:
            self._cleanup.remove_obsolete([os.path.join(self._folder, replaced.file_name)])

    def _write_durably(self, path: str, data: bytes) -> None:
        """Writes a file under a temporary name, then renames it."""
        temporary_path = path + TEMPORARY_SUFFIX
        try:
            self._port.remove(temporary_path)
            self._port.write(temporary_path, 0, data)
            self._port.sync_file(temporary_path)
        except StorageError:
            self._cleanup.remove_obsolete([temporary_path])
            raise
        try:
            self._port.rename(temporary_path, path)
            self._port.sync_folder(self._folder)
        except StorageError:
            self._cleanup.add_invalid_files(temporary_path, path)
            raise

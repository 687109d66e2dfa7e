"""A small value that is replaced atomically.

It is stored in two files that are written in turn, each with a sequence number and a checksum. An incomplete
write damages only the older file, so the newest valid file holds the value.
"""

from __future__ import annotations

import os
import struct
import zlib
from dataclasses import dataclass

from .errors import CorruptCellError, DiskFullError
from .files import FilePort
from .reserve import Reserve

MAGIC = b"LGC1"
HEADER = struct.Struct(">4sQI")
"""Magic, sequence number, length of the value."""
CRC_BYTES = 4
MAX_VALUE_BYTES = 64 * 1024
"""Epochs and views take a few hundred bytes; larger values belong in the log."""
FILE_SUFFIXES = ("-a", "-b")


@dataclass(frozen=True, order=True, slots=True)
class CellSlot:
    """The content of one of the two files; the greater slot is the newer one.

    Attributes:
        sequence: Number of the stored value, counted from 1.
        value: The value.
    """

    sequence: int
    value: bytes


class Cell:
    """One value, stored under `name` in a folder. Not thread safe."""

    def __init__(self, port: FilePort, folder: str, name: str, reserve: Reserve | None = None) -> None:
        """Recovers the value.

        Args:
            port: The disk.
            folder: The folder of the two files; created if it does not exist.
            name: The prefix of their names.
            reserve: Disk space that is released when the disk is full.

        Raises:
            CorruptCellError: Neither file can be read.
            DiskFullError, DiskFailedError: The call may be repeated.
        """
        self._port = port
        self._folder = folder
        self._paths = [os.path.join(folder, name + suffix) for suffix in FILE_SUFFIXES]
        self._reserve = reserve
        self._value: bytes | None = None
        self._sequence = 0
        self._next_file = 0
        port.make_folder(folder)
        self._recover()

    def load(self) -> bytes | None:
        """Returns the value; None if none was ever stored.

        The value is durable: after a crash, `load` returns it or a later one.
        """
        return self._value

    def store(self, value: bytes) -> None:
        """Replaces the value; durable once it returns.

        Raises:
            DiskFullError, DiskFailedError: `load` still returns the former value. After a crash it returns
                the former or the new one. The call may be repeated.
            ValueError: The value is longer than MAX_VALUE_BYTES.
        """
        if len(value) > MAX_VALUE_BYTES:
            raise ValueError(
                f"value of {len(value)} bytes exceeds the limit of {MAX_VALUE_BYTES}; use the log"
            )
        try:
            self._write(value)
        except DiskFullError:
            if self._reserve is None or not self._reserve.release():
                raise
            self._write(value)
        self._value = value
        self._sequence += 1
        self._next_file = 1 - self._next_file

    def _write(self, value: bytes) -> None:
        path = self._paths[self._next_file]
        is_new_file = self._sequence < len(self._paths)
        self._port.write(path, 0, _encode(CellSlot(self._sequence + 1, value)))
        self._port.sync_file(path)
        if is_new_file:
            self._port.sync_folder(self._folder)

    def _recover(self) -> None:
        contents = [self._read(path) for path in self._paths]
        slots = [None if data is None else _decode(data) for data in contents]
        valid_slots = [slot for slot in slots if slot is not None]
        if not valid_slots:
            self._check_never_stored(contents)
            return
        newest = max(valid_slots)
        self._sequence, self._value = newest.sequence, newest.value
        newest_file = slots.index(newest)
        self._next_file = 1 - newest_file
        self._port.sync_file(self._paths[newest_file])
        self._port.sync_folder(self._folder)

    def _check_never_stored(self, contents: list[bytes | None]) -> None:
        """Raises if the second file exists: it is created only once the first is valid.

        So a first file that is torn by an incomplete write is the only file.
        """
        if contents[1] is not None:
            raise CorruptCellError(self._paths[0], 0, "neither copy of the value can be read")

    def _read(self, path: str) -> bytes | None:
        size = self._port.size(path)
        return None if size is None else self._port.read(path, 0, size)


def _encode(slot: CellSlot) -> bytes:
    start = HEADER.pack(MAGIC, slot.sequence, len(slot.value))
    return start + zlib.crc32(slot.value, zlib.crc32(start)).to_bytes(CRC_BYTES, "big") + slot.value


def _decode(data: bytes) -> CellSlot | None:
    """Decodes the content of a file; returns None if it is not valid.

    Bytes of an earlier, longer value may follow the value.
    """
    body = HEADER.size + CRC_BYTES
    if len(data) < body:
        return None
    magic, sequence, length = HEADER.unpack_from(data)
    value = data[body : body + length]
    if magic != MAGIC or length > MAX_VALUE_BYTES or len(value) != length:
        return None
    crc = zlib.crc32(value, zlib.crc32(data[: HEADER.size]))
    return CellSlot(sequence, value) if data[HEADER.size : body] == crc.to_bytes(CRC_BYTES, "big") else None

"""A small value that is replaced atomically.

It is kept in two files that are written in turn, each with a sequence number and a checksum. A write that is
cut short damages only the older of the two, so the newest valid one is the value.
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
"""Epochs and views take a few hundred bytes; what is larger belongs in the log."""
FILE_SUFFIXES = ("-a", "-b")


@dataclass(frozen=True, order=True, slots=True)
class CellSlot:
    """What one of the two files holds; the greater one is the newer.

    Attributes:
        sequence: Counts the values stored, from 1.
        value: The value.
    """

    sequence: int
    value: bytes


class Cell:
    """One value under `name` in a folder. Not to be shared between threads."""

    def __init__(self, port: FilePort, folder: str, name: str, reserve: Reserve | None = None) -> None:
        """Recovers the value.

        Args:
            port: The disk.
            folder: Where the two files lie; made if it is not there.
            name: What their names begin with.
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

        It is durable: after a crash it is this or a later one.
        """
        return self._value

    def store(self, value: bytes) -> None:
        """Replaces the value; durable once it returns.

        Raises:
            DiskFullError, DiskFailedError: `load` returns the former value, a crash leaves the former or the
                new one, and the call may be repeated.
            ValueError: The value is longer than MAX_VALUE_BYTES.
        """
        if len(value) > MAX_VALUE_BYTES:
            raise ValueError(f"a value of {len(value)} bytes; the most is {MAX_VALUE_BYTES}: use the log")
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
        """The second file is begun only once the first is valid, so a torn first one stands alone."""
        if contents[1] is not None:
            raise CorruptCellError(self._paths[0], 0, "neither copy of the value can be read")

    def _read(self, path: str) -> bytes | None:
        size = self._port.size(path)
        return None if size is None else self._port.read(path, 0, size)


def _encode(slot: CellSlot) -> bytes:
    start = HEADER.pack(MAGIC, slot.sequence, len(slot.value))
    return start + zlib.crc32(slot.value, zlib.crc32(start)).to_bytes(CRC_BYTES, "big") + slot.value


def _decode(data: bytes) -> CellSlot | None:
    """Returns what the bytes of a file hold; None if they are not valid.

    Bytes of an earlier, longer value may follow.
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

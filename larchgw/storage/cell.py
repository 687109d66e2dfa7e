"""A small value that is replaced atomically.

It is kept in two files that are written in turn, each with a sequence number and a checksum. A write that
is cut short harms only the older of the two, so the newest whole one is the value.
"""

from __future__ import annotations

import os
import struct
import zlib

from .errors import CorruptCellError, DiskFullError
from .files import FilePort
from .reserve import Reserve

MAGIC = b"LGC1"
HEADER = struct.Struct(">4sQI")
CRC_BYTES = 4
MAX_VALUE_BYTES = 64 * 1024
"""Epochs and views take a few hundred bytes; what is larger belongs in the log."""


class Cell:
    """One value under `name` in a folder. Not to be shared between threads."""

    def __init__(self, port: FilePort, folder: str, name: str, reserve: Reserve | None = None) -> None:
        """Recovers the value. `reserve` is released when the disk is full.

        Raises CorruptCellError, DiskFullError or DiskFailedError; it may be tried again.
        """
        self._port = port
        self._folder = folder
        self._paths = [os.path.join(folder, f"{name}-{letter}") for letter in "ab"]
        self._reserve = reserve
        self._value: bytes | None = None
        self._sequence = 0
        self._target = 0
        port.make_folder(folder)
        self._recover()

    def load(self) -> bytes | None:
        """The value; None if none was ever stored. It is durable, and after a crash it is this or a later
        one.
        """
        return self._value

    def store(self, value: bytes) -> None:
        """Replaces the value; durable once it returns.

        Raises DiskFullError or DiskFailedError: `load` gives the old value, a crash leaves the old or the new
        one, and the call may be repeated. ValueError if the value is longer than MAX_VALUE_BYTES.
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
        self._target = 1 - self._target

    def _write(self, value: bytes) -> None:
        path = self._paths[self._target]
        is_new = self._sequence < len(self._paths)
        self._port.write(path, 0, _encode(self._sequence + 1, value))
        self._port.sync_file(path)
        if is_new:
            self._port.sync_folder(self._folder)

    def _recover(self) -> None:
        contents = [self._read(path) for path in self._paths]
        found = [None if data is None else _decode(data) for data in contents]
        whole = [slot for slot in found if slot is not None]
        if not whole:
            self._check_never_stored(contents)
            return
        newest = max(whole)
        self._sequence, self._value = newest
        slot = found.index(newest)
        self._target = 1 - slot
        self._port.sync_file(self._paths[slot])
        self._port.sync_folder(self._folder)

    def _check_never_stored(self, contents: list[bytes | None]) -> None:
        """The second file is begun only when the first is whole, so it cannot stand beside a torn first."""
        if contents[1] is not None:
            raise CorruptCellError(self._paths[0], 0, "neither copy of the value can be read")

    def _read(self, path: str) -> bytes | None:
        size = self._port.size(path)
        return None if size is None else self._port.read(path, 0, size)


def _encode(sequence: int, value: bytes) -> bytes:
    start = HEADER.pack(MAGIC, sequence, len(value))
    return start + zlib.crc32(value, zlib.crc32(start)).to_bytes(CRC_BYTES, "big") + value


def _decode(data: bytes) -> tuple[int, bytes] | None:
    """Sequence number and value; None if the data is not whole.

    Bytes of an older, longer value may follow.
    """
    body = HEADER.size + CRC_BYTES
    if len(data) < body:
        return None
    magic, sequence, length = HEADER.unpack_from(data)
    value = data[body : body + length]
    if magic != MAGIC or length > MAX_VALUE_BYTES or len(value) != length:
        return None
    crc = zlib.crc32(value, zlib.crc32(data[: HEADER.size]))
    return (sequence, value) if data[HEADER.size : body] == crc.to_bytes(CRC_BYTES, "big") else None

"""Reserved disk space, released when the disk is full so that small values can still be stored."""

from __future__ import annotations

import os

from .errors import StorageError
from .files import FilePort

RESERVE_BYTES = 256 * 1024
"""Enough for some dozens of stored epochs, including the blocks that a file system uses for each."""
RESERVE_FILE_NAME = "reserve"


class Reserve:
    """A file of zeros next to the log that reserves disk space."""

    def __init__(self, port: FilePort, folder: str, size_bytes: int = RESERVE_BYTES) -> None:
        """Does not access the disk; call `refill` at the start and regularly afterwards."""
        self._port = port
        self._folder = folder
        self._path = os.path.join(folder, RESERVE_FILE_NAME)
        self._size_bytes = size_bytes

    def refill(self) -> bool:
        """Reserves the space unless it is reserved already; returns False if the file cannot be written."""
        try:
            if self._port.size(self._path) == self._size_bytes:
                return True
            self._port.make_folder(self._folder)
            self._port.write(self._path, 0, bytes(self._size_bytes))
            self._port.sync_file(self._path)
        except StorageError:
            return False
        return True

    def is_allocated(self) -> bool:
        """Whether the space is reserved now."""
        try:
            return self._port.size(self._path) == self._size_bytes
        except StorageError:
            return False

    def release(self) -> bool:
        """Frees the reserved space; returns False if none is reserved or the file cannot be removed."""
        try:
            if not self._port.size(self._path):
                return False
            self._port.remove(self._path)
            self._port.sync_folder(self._folder)
        except StorageError:
            return False
        return True

"""The port to the disk, and its implementation by system calls.

After a loss of power a file holds everything that its last `sync_file` covered. Each write or truncation
after that may be complete, missing or torn, independently of the others. The creation, renaming or removal of
a name is durable only after `sync_folder`.
"""

from __future__ import annotations

import os
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Protocol

from .errors import DiskFailedError, StorageError, from_os_error

FOLDER_MODE = 0o750
FILE_MODE = 0o640


class FilePort(Protocol):
    """File operations by path; sizes and offsets are bytes.

    Each method raises DiskFullError or DiskFailedError.
    """

    def make_folder(self, folder: str) -> None:
        """Creates a folder and its parents if they do not exist; durable once it returns."""

    def list(self, folder: str) -> list[str]:
        """Returns the names of the files in a folder, sorted."""

    def size(self, path: str) -> int | None:
        """Returns the length of a file; None if there is no such file."""

    def read(self, path: str, offset: int, size: int) -> bytes:
        """Returns up to `size` bytes from `offset`; fewer only at the end of the file."""

    def write(self, path: str, offset: int, data: bytes) -> None:
        """Writes all bytes at `offset`; creates the file if needed. An error may leave a partial write."""

    def truncate(self, path: str, size: int) -> None:
        """Shortens a file to `size` bytes."""

    def rename(self, path: str, target: str) -> None:
        """Renames a file within a folder, and replaces `target` if it exists."""

    def remove(self, path: str) -> None:
        """Removes a file; does nothing if it does not exist."""

    def close(self, path: str) -> None:
        """Closes the descriptor of a file that will not be written again."""

    def sync_file(self, path: str) -> None:
        """Makes all data written to the file so far durable."""

    def sync_folder(self, folder: str) -> None:
        """Makes the current names in the folder durable."""


@contextmanager
def _raise_storage_errors(path: str) -> Iterator[None]:
    """Converts each OSError of the block to an error of this package."""
    try:
        yield
    except StorageError:
        raise
    except OSError as error:
        raise from_os_error(path, error) from error


class DiskFiles:
    """FilePort on the operating system. Calls on different files may come from different threads.

    A written file is kept open until it is closed, renamed or removed: a later fdatasync is sure to report a
    failed write-back only on a descriptor that was open when it failed.

    Source: fsync(2), "EIO".
    """

    def __init__(self) -> None:
        """Creates the port without open files."""
        self._descriptors: dict[str, int] = {}
        self._lock = threading.Lock()

    def make_folder(self, folder: str) -> None:
        """See FilePort."""
        if os.path.isdir(folder):
            return
        parent = os.path.dirname(os.path.abspath(folder))
        self.make_folder(parent)
        with _raise_storage_errors(folder):
            os.mkdir(folder, FOLDER_MODE)
        self.sync_folder(parent)

    def list(self, folder: str) -> list[str]:
        """See FilePort."""
        with _raise_storage_errors(folder):
            return sorted(os.listdir(folder))

    def size(self, path: str) -> int | None:
        """See FilePort."""
        with _raise_storage_errors(path):
            try:
                return os.stat(path).st_size
            except FileNotFoundError:
                return None

    def read(self, path: str, offset: int, size: int) -> bytes:
        """See FilePort."""
        with _raise_storage_errors(path):
            descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
            try:
                return _read_all(descriptor, offset, size)
            finally:
                os.close(descriptor)

    def write(self, path: str, offset: int, data: bytes) -> None:
        """See FilePort."""
        with _raise_storage_errors(path):
            descriptor = self._open(path, os.O_CREAT)
            remaining = memoryview(data)
            while remaining:
                written = os.pwrite(descriptor, remaining, offset)
                if written == 0:
                    raise DiskFailedError(
                        path, "write returned 0 bytes", "check the disk, then repeat the call"
                    )
                remaining = remaining[written:]
                offset += written

    def truncate(self, path: str, size: int) -> None:
        """See FilePort."""
        with _raise_storage_errors(path):
            os.ftruncate(self._open(path), size)

    def rename(self, path: str, target: str) -> None:
        """See FilePort."""
        self.close(path)
        self.close(target)
        with _raise_storage_errors(path):
            os.rename(path, target)

    def remove(self, path: str) -> None:
        """See FilePort."""
        self.close(path)
        with _raise_storage_errors(path):
            try:
                os.unlink(path)
            except FileNotFoundError:
                return

    def close(self, path: str) -> None:
        """See FilePort."""
        with self._lock:
            descriptor = self._descriptors.pop(path, None)
        if descriptor is not None:
            with _raise_storage_errors(path):
                os.close(descriptor)

    def sync_file(self, path: str) -> None:
        """See FilePort."""
        with _raise_storage_errors(path):
            os.fdatasync(self._open(path))

    def sync_folder(self, folder: str) -> None:
        """See FilePort."""
        with _raise_storage_errors(folder):
            descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
            try:
                os.fsync(descriptor)
            finally:
                os.close(descriptor)

    def _open(self, path: str, flags: int = 0) -> int:
        with self._lock:
            descriptor = self._descriptors.get(path)
            if descriptor is None:
                descriptor = os.open(path, os.O_RDWR | os.O_CLOEXEC | flags, FILE_MODE)
                self._descriptors[path] = descriptor
            return descriptor


def _read_all(descriptor: int, offset: int, size: int) -> bytes:
    chunks: list[bytes] = []
    while size > 0:
        chunk = os.pread(descriptor, size, offset)
        if not chunk:
            break
        chunks.append(chunk)
        offset += len(chunk)
        size -= len(chunk)
    return b"".join(chunks)

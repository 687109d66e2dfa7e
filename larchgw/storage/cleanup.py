"""Cleanup of a log's folder after failed calls, done before the next write."""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum, auto

import structlog

from .errors import StorageError
from .files import FilePort
from .segments import Segment

log = structlog.get_logger()


class TailState(Enum):
    """The state of the end of the last segment, after its last record."""

    CLEAN = auto()
    """Nothing follows the last record."""
    TORN = auto()
    """Bytes of a failed or incomplete write follow; they must be cut off."""
    TRUNCATED = auto()
    """The bytes were cut off, and the file must be synced."""


class LogCleanup:
    """The pending repairs and removals in a log's folder.

    A failed call may leave a torn record, a segment or snapshot whose name may or may not be durable, or a
    truncation that is not durable. A recovery could consider some of this valid, so `finish` runs before any
    other write and before any guarantee is given. Obsolete files are harmless and are removed when possible.

    The owner thread of the log and the thread that syncs may both use it, but may call `finish` only under
    the log's sync lock.
    """

    def __init__(self, port: FilePort, folder: str) -> None:
        """Creates a cleanup without pending work."""
        self._port = port
        self._folder = folder
        self._invalid_paths: list[str] = []
        self._obsolete_paths: list[str] = []
        self._is_folder_unsynced = False
        self._tail_state = TailState.CLEAN

    @property
    def is_pending(self) -> bool:
        """Whether `finish` has work to do."""
        return (
            bool(self._invalid_paths) or self._is_folder_unsynced or self._tail_state is not TailState.CLEAN
        )

    def add_invalid_files(self, *paths: str) -> None:
        """Adds files to be removed, last one first, because a recovery would consider them valid."""
        self._invalid_paths += paths

    def set_tail_state(self, state: TailState) -> None:
        """Sets the state of the end of the last segment."""
        self._tail_state = state

    def set_folder_unsynced(self) -> None:
        """Records that a file was removed, so that the folder must be synced."""
        self._is_folder_unsynced = True

    def finish(self, segments: Sequence[Segment]) -> None:
        """Completes all pending work except the removal of obsolete files.

        Args:
            segments: The segments of the log; not empty unless the tail is clean.

        Raises:
            DiskFullError, DiskFailedError: The remaining work stays pending.
        """
        self._remove_invalid_files()
        if self._is_folder_unsynced:
            self._port.sync_folder(self._folder)
            self._is_folder_unsynced = False
        if self._tail_state is TailState.TORN:
            self._port.truncate(segments[-1].path, segments[-1].end_offset)
            self._tail_state = TailState.TRUNCATED
        if self._tail_state is TailState.TRUNCATED:
            self._port.sync_file(segments[-1].path)
            self._tail_state = TailState.CLEAN

    def remove_obsolete(self, paths: Sequence[str]) -> None:
        """Removes files that are no longer used; retries those that cannot be removed at the next call."""
        pending, self._obsolete_paths = [*self._obsolete_paths, *paths], []
        for path in pending:
            try:
                self._port.remove(path)
            except StorageError as error:
                log.warning("log.remove_failed", path=path, error=str(error))
                self._obsolete_paths.append(path)

    def _remove_invalid_files(self) -> None:
        while self._invalid_paths:
            self._is_folder_unsynced = True
            self._port.remove(self._invalid_paths[-1])
            self._invalid_paths.pop()

"""What failed calls left in a log's folder, to be put right before the next write."""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum, auto

import structlog

from .errors import StorageError
from .files import FilePort
from .segments import Segment

log = structlog.get_logger()


class TailState(Enum):
    """What follows the last record in the last segment."""

    CLEAN = auto()
    """Nothing."""
    TORN = auto()
    """Bytes of a write that failed or was cut short; they must be cut off."""
    TRUNCATED = auto()
    """Bytes were cut off, and the file has to be synced."""


class LogCleanup:
    """Repairs and removals that a log's folder still needs.

    A call that fails may leave a torn record, a segment or a snapshot whose name may or may not be durable,
    or a cut that is not durable. A recovery could take some of it for valid, so `finish` runs before anything
    else is written or guaranteed. Obsolete files do no harm and are removed when the disk allows it.

    The owner thread of the log and the thread that syncs may both call it: `finish` under the log's sync lock
    only.
    """

    def __init__(self, port: FilePort, folder: str) -> None:
        """Nothing is pending at first."""
        self._port = port
        self._folder = folder
        self._invalid_paths: list[str] = []
        self._obsolete_paths: list[str] = []
        self._is_folder_unsynced = False
        self._tail_state = TailState.CLEAN

    @property
    def is_pending(self) -> bool:
        """Whether `finish` has something to do."""
        return (
            bool(self._invalid_paths) or self._is_folder_unsynced or self._tail_state is not TailState.CLEAN
        )

    def add_invalid_files(self, *paths: str) -> None:
        """Has files removed that a recovery would take for valid; the last one goes first."""
        self._invalid_paths += paths

    def set_tail_state(self, state: TailState) -> None:
        """Says what has become of the end of the last segment."""
        self._tail_state = state

    def set_folder_unsynced(self) -> None:
        """Says that a file was removed and the folder has to be synced."""
        self._is_folder_unsynced = True

    def finish(self, segments: Sequence[Segment]) -> None:
        """Does all that is pending, but for the removal of obsolete files.

        Args:
            segments: Those of the log; the last one is there if its tail is not clean.

        Raises:
            DiskFullError, DiskFailedError: The rest stays pending.
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
        """Removes files that no longer count; those that cannot be removed now are tried again next time."""
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

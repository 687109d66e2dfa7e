"""Tracks which records of a log are durable, and syncs the others."""

from __future__ import annotations

from dataclasses import dataclass

from .files import FilePort


@dataclass(frozen=True, slots=True)
class UnsyncedWrite:
    """A record written since the last sync.

    Attributes:
        index: Index of the record.
        path: The segment file that holds it.
        offset: Start of the record in the file, in bytes.
        data: The encoded record, kept so that it can be written again after a failed sync.
    """

    index: int
    path: str
    offset: int
    data: bytes


class Durability:
    """Tracks the records that are not durable yet, and syncs them.

    The operating system may drop data whose sync failed and still report success for the next sync. So the
    sync after a failed one writes all unsynced records again.

    `sync` may run in another thread while the owner of the log calls `add`; the log's sync lock excludes it
    from all other calls.

    Attributes:
        durable_index: All records up to this one survive a loss of power.
    """

    def __init__(self, port: FilePort, folder: str) -> None:
        """Creates the state for an empty log."""
        self._port = port
        self._folder = folder
        self._unsynced: list[UnsyncedWrite] = []
        self._must_rewrite = False
        self._last_named_path = ""
        """Path of the last segment whose name was synced."""
        self.durable_index = 0

    @property
    def has_unsynced(self) -> bool:
        """Whether any record is not synced yet."""
        return bool(self._unsynced)

    def set_segment_name_synced(self, segment_path: str) -> None:
        """Records that the name of a recovered segment, the last one, is durable."""
        self._last_named_path = segment_path

    def add(self, write: UnsyncedWrite) -> None:
        """Adds a record that was written."""
        self._unsynced.append(write)

    def sync(self) -> None:
        """Makes the records that were added before the call durable.

        Raises:
            DiskFullError, DiskFailedError: No further record is durable, and all of them stay unsynced.
        """
        batch = self._unsynced[:]
        if not batch:
            return
        path = batch[-1].path
        if self._must_rewrite:
            for write in batch:
                self._port.write(write.path, write.offset, write.data)
        self._must_rewrite = True
        self._port.sync_file(path)
        if path != self._last_named_path:
            self._port.sync_folder(self._folder)
            self._last_named_path = path
        self._must_rewrite = False
        self.durable_index = batch[-1].index
        del self._unsynced[: len(batch)]

    def drop_after(self, index: int) -> None:
        """Removes the records above `index`, which the log has dropped."""
        self._unsynced = [write for write in self._unsynced if write.index <= index]
        self.durable_index = min(self.durable_index, index)

    def forget_segment_name(self) -> None:
        """Records that the last segment was removed, so that a new one of the same name is synced again."""
        self._last_named_path = ""

    def reset(self, durable_index: int) -> None:
        """Clears the state after a snapshot up to `durable_index` has replaced all records."""
        self._unsynced = []
        self._must_rewrite = False
        self.durable_index = durable_index

"""Which records of a log are durable, and the sync that makes the others so."""

from __future__ import annotations

from dataclasses import dataclass

from .files import FilePort


@dataclass(frozen=True, slots=True)
class UnsyncedWrite:
    """A record written since the last sync.

    Attributes:
        index: Index of the record.
        path: Its segment file.
        offset: Its start there, in bytes.
        data: Its bytes, kept so that a sync can write them again after one that failed.
    """

    index: int
    path: str
    offset: int
    data: bytes


class Durability:
    """Tracks the records that are not durable yet, and syncs them.

    The system may drop data whose sync failed and report success at the next one, so a sync after a failed
    one writes all of it again.

    `sync` may run in another thread while the owner of the log calls `add`; every other call excludes it by
    the log's sync lock.

    Attributes:
        durable_index: All records up to this one survive a loss of power.
    """

    def __init__(self, port: FilePort, folder: str) -> None:
        """Starts for an empty log."""
        self._port = port
        self._folder = folder
        self._unsynced: list[UnsyncedWrite] = []
        self._must_rewrite = False
        self._last_named_path = ""
        """The last segment whose name was synced."""
        self.durable_index = 0

    @property
    def has_unsynced(self) -> bool:
        """Whether records wait for a sync."""
        return bool(self._unsynced)

    def set_segment_name_synced(self, segment_path: str) -> None:
        """Says that the name of the last segment, which a recovery found, is durable."""
        self._last_named_path = segment_path

    def add(self, write: UnsyncedWrite) -> None:
        """Counts a record that was written."""
        self._unsynced.append(write)

    def sync(self) -> None:
        """Makes the records durable that were added before the call.

        Raises:
            DiskFullError, DiskFailedError: No more is durable than before, and all of them stay unsynced.
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
        """Forgets the records above `index`, which the log no longer holds."""
        self._unsynced = [write for write in self._unsynced if write.index <= index]
        self.durable_index = min(self.durable_index, index)

    def forget_segment_name(self) -> None:
        """Says that the last segment was removed: one of the same name must be synced anew."""
        self._last_named_path = ""

    def reset(self, durable_index: int) -> None:
        """Begins anew behind a snapshot up to `durable_index` that replaced all records."""
        self._unsynced = []
        self._must_rewrite = False
        self.durable_index = durable_index

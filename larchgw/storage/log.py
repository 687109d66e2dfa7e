"""The log: records appended to segments, and a snapshot that stands for the oldest of them.

One thread owns a log. Only `sync` may run in another one, while the owner goes on with `append` and `read`;
the other calls wait for it. What is promised after which call stands in docs/storage.md.
"""

from __future__ import annotations

import os
import threading
from collections.abc import Iterator
from dataclasses import dataclass

import structlog

from . import segments, snapshots
from .errors import CompactedRecordsError, CorruptLogError, DiskFullError, StorageError
from .files import FilePort
from .recovery import NO_SNAPSHOT, read_snapshot, recover
from .segments import MAX_RECORD_BYTES, Segment
from .snapshots import TEMPORARY_SUFFIX, SnapshotId

log = structlog.get_logger()

DEFAULT_SEGMENT_BYTES = 1024 * 1024
"""A segment of this size is followed by a new one: compaction can free no less than a segment."""
DEFAULT_LIMIT_BYTES = 64 * 1024 * 1024
"""Half of a disk of 128 MB, the smallest in use: a snapshot has to find room before segments go."""


@dataclass(frozen=True)
class _Unsynced:
    """Bytes written since the last sync; kept so that a sync can write them again after one that failed."""

    index: int
    path: str
    offset: int
    data: bytes


class Log:
    """Records with indexes from 1 on. See the module's docstring for threads."""

    def __init__(self, port: FilePort, folder: str, segment_bytes: int, limit_bytes: int) -> None:
        """Use Log.open, which also recovers what the folder holds."""
        self._port = port
        self._folder = folder
        self._segment_bytes = segment_bytes
        self._limit_bytes = limit_bytes
        self._sync_lock = threading.Lock()
        self._snapshot = NO_SNAPSHOT
        self._snapshot_bytes = 0
        self._segments: list[Segment] = []
        self._durable = 0
        self._unsynced: list[_Unsynced] = []
        self._write_again = False
        self._named_path = ""
        """The last segment whose name was synced."""
        self._doubtful: list[str] = []
        """Files of calls that failed. A recovery would take them for valid: they go before all else."""
        self._obsolete: list[str] = []
        """Files that a recovery would pass over; removed when possible."""
        self._folder_unsynced = False
        self._tail_dirty = False
        self._tail_unsynced = False

    @classmethod
    def open(
        cls,
        port: FilePort,
        folder: str,
        segment_bytes: int = DEFAULT_SEGMENT_BYTES,
        limit_bytes: int = DEFAULT_LIMIT_BYTES,
    ) -> Log:
        """Recovers the log, which is empty if the folder is. Everything it then holds is durable.

        Raises CorruptLogError where synced data is damaged, DiskFullError or DiskFailedError; it may be
        called again.
        """
        log = cls(port, folder, segment_bytes, limit_bytes)
        port.make_folder(folder)
        log._recover()
        return log

    @property
    def first_index(self) -> int:
        """The first index that `read` can give."""
        return self._snapshot.index + 1

    @property
    def last_index(self) -> int:
        """Index of the newest record; that of the snapshot (or 0) when there is none."""
        return self._segments[-1].last_index if self._segments else self._snapshot.index

    @property
    def durable_index(self) -> int:
        """All records up to this one survive a loss of power."""
        return self._durable

    @property
    def size_bytes(self) -> int:
        """Length of the segments and of the snapshot."""
        return sum(segment.end for segment in self._segments) + self._snapshot_bytes

    def append(self, record: bytes) -> int:
        """Adds a record and returns its index. It is durable once a `sync` called after this has returned.

        Raises DiskFullError (also at the limit of the log) or DiskFailedError; the record is then not in the
        log and its index is free again. ValueError if the record is longer than MAX_RECORD_BYTES.
        """
        if len(record) > MAX_RECORD_BYTES:
            raise ValueError(f"a record of {len(record)} bytes; the most is {MAX_RECORD_BYTES}: split it")
        if self._is_unsettled():
            with self._sync_lock:
                self._settle()
        self._check_limit(len(record))
        index = self.last_index + 1
        segment = self._writable_segment(index)
        data = segments.encode_record(segment.first_index, segment.end, index, self._durable, record)
        self._write_record(segment, data)
        self._unsynced.append(_Unsynced(index, segment.path, segment.end, data))
        segment.add(len(data))
        return index

    def sync(self) -> None:
        """Makes all records durable that were appended before the call.

        Raises DiskFullError or DiskFailedError: nothing more is durable than before, the records stay
        appended, and a later sync writes them again.
        """
        with self._sync_lock:
            self._sync()

    def truncate_after(self, index: int) -> None:
        """Drops the records above `index`; durable once it returns.

        Raises DiskFullError or DiskFailedError: any number of records above `index` may then remain, none of
        them after a gap, and the call may be repeated. ValueError if the snapshot stands for records above
        `index`.
        """
        with self._sync_lock:
            self._settle()
            if index < self._snapshot.index:
                raise ValueError(f"record {index} is part of the snapshot up to {self._snapshot.index}")
            while self._segments and self._segments[-1].first_index > index:
                self._remove_last_segment()
            if self.last_index > index:
                self._cut_last_segment(index)

    def read(self, first: int, last: int) -> Iterator[tuple[int, bytes]]:
        """The records from `first` to `last`, in order, whether durable or not; none if `first > last`.

        Raises CompactedRecordsError if some are part of the snapshot, ValueError if some do not exist yet;
        while iterating CorruptLogError or DiskFailedError. Records must not be dropped while it iterates.
        """
        if first < self.first_index:
            remedy = f"use the snapshot up to {self._snapshot.index}"
            raise CompactedRecordsError(self._folder, f"record {first} was compacted", remedy)
        if last > self.last_index:
            raise ValueError(f"record {last} does not exist; the last one is {self.last_index}")
        return self._records(first, last)

    def compact(self, up_to: int, snapshot: bytes) -> None:
        """Lets a snapshot stand for the records up to `up_to`; durable once it returns. Segments go after
        that.

        Nothing happens if the present snapshot reaches as far. Raises DiskFullError or DiskFailedError: all
        records stay. ValueError if there is no record `up_to`.
        """
        with self._sync_lock:
            self._settle()
            if up_to > self.last_index:
                raise ValueError(f"record {up_to} does not exist; the last one is {self.last_index}")
            if up_to <= self._snapshot.index:
                return
            if up_to > self._durable:
                self._sync()
            self._write_snapshot(SnapshotId(self._snapshot.generation, up_to), snapshot)
            covered = [segment for segment in self._segments if segment.last_index <= up_to]
            self._segments = self._segments[len(covered) :]
            self._discard([segment.path for segment in covered])

    def snapshot(self) -> tuple[int, bytes] | None:
        """Index and content of the snapshot, if there is one. Raises CorruptLogError, DiskFailedError."""
        if self._snapshot == NO_SNAPSHOT:
            return None
        return self._snapshot.index, read_snapshot(self._port, self._folder, self._snapshot)

    def install(self, index: int, snapshot: bytes) -> None:
        """Replaces everything by a snapshot from another replica; durable, as a whole, once it returns.

        Raises DiskFullError or DiskFailedError: everything is as before.
        """
        with self._sync_lock:
            self._settle()
            self._write_snapshot(SnapshotId(self._snapshot.generation + 1, index), snapshot)
            replaced = [segment.path for segment in self._segments]
            self._segments = []
            self._unsynced = []
            self._write_again = False
            self._durable = index
            self._discard(replaced)

    def _recover(self) -> None:
        found = recover(self._port, self._folder)
        self._port.sync_folder(self._folder)
        self._snapshot, self._snapshot_bytes = found.snapshot, found.snapshot_bytes
        self._segments = found.live
        if self._segments:
            self._recover_tail(self._segments[-1], found.tail)
        self._durable = self.last_index
        self._discard(found.obsolete)

    def _recover_tail(self, segment: Segment, tail: int) -> None:
        """Makes the records durable; the torn tail is cut before the next write: a full disk can be read."""
        if tail:
            last = segment.last_index
            log.warning("log.torn_tail", path=segment.path, size_bytes=tail, record_index=last)
            self._tail_dirty = True
        self._port.sync_file(segment.path)
        self._named_path = segment.path

    def _check_limit(self, size: int) -> None:
        if self.size_bytes + size > self._limit_bytes:
            problem = f"the log has reached its limit of {self._limit_bytes} bytes"
            raise DiskFullError(self._folder, problem, "compact it, then append again")

    def _writable_segment(self, index: int) -> Segment:
        """The last segment, or a new one. A new one is begun only when everything before it is durable."""
        if self._segments:
            last = self._segments[-1]
            if last.end < self._segment_bytes or self._unsynced:
                return last
            self._port.close(last.path)
        generation = self._snapshot.generation
        path = os.path.join(self._folder, segments.segment_name(generation, index))
        return Segment(path, generation, index)

    def _write_record(self, segment: Segment, data: bytes) -> None:
        is_new = not self._segments or self._segments[-1] is not segment
        try:
            self._port.write(segment.path, segment.end, data)
        except StorageError:
            if is_new:
                self._doubtful.append(segment.path)
            else:
                self._tail_dirty = True
            raise
        if is_new:
            self._segments.append(segment)

    def _sync(self) -> None:
        self._settle()
        batch = self._unsynced[:]
        if not batch:
            return
        path = batch[-1].path
        if self._write_again:
            for written in batch:
                self._port.write(written.path, written.offset, written.data)
        self._write_again = True
        self._port.sync_file(path)
        if path != self._named_path:
            self._port.sync_folder(self._folder)
            self._named_path = path
        self._write_again = False
        self._durable = batch[-1].index
        del self._unsynced[: len(batch)]

    def _is_unsettled(self) -> bool:
        return bool(self._doubtful) or self._folder_unsynced or self._tail_dirty or self._tail_unsynced

    def _settle(self) -> None:
        """Finishes what a call that failed left open, before anything else is written or promised."""
        while self._doubtful:
            self._folder_unsynced = True
            self._port.remove(self._doubtful[-1])
            self._doubtful.pop()
        if self._folder_unsynced:
            self._port.sync_folder(self._folder)
            self._folder_unsynced = False
        if self._tail_dirty:
            self._port.truncate(self._segments[-1].path, self._segments[-1].end)
            self._tail_dirty, self._tail_unsynced = False, True
        if self._tail_unsynced:
            self._port.sync_file(self._segments[-1].path)
            self._tail_unsynced = False

    def _remove_last_segment(self) -> None:
        self._port.remove(self._segments[-1].path)
        self._segments.pop()
        self._folder_unsynced = True
        self._named_path = ""
        self._forget_dropped()
        self._settle()

    def _cut_last_segment(self, index: int) -> None:
        segment = self._segments[-1]
        end, _ = segment.place(index + 1)
        self._port.truncate(segment.path, end)
        segment.cut_after(index)
        self._tail_unsynced = True
        self._forget_dropped()
        self._settle()

    def _forget_dropped(self) -> None:
        self._unsynced = [written for written in self._unsynced if written.index <= self.last_index]
        self._durable = min(self._durable, self.last_index)

    def _records(self, first: int, last: int) -> Iterator[tuple[int, bytes]]:
        for segment in self._segments:
            begin = max(first, segment.first_index)
            for index in range(begin, min(last, segment.last_index) + 1):
                yield index, self._read_record(segment, index)

    def _read_record(self, segment: Segment, index: int) -> bytes:
        start, size = segment.place(index)
        data = self._port.read(segment.path, start, size)
        record = segments.decode_record(segment.first_index, data, 0, start)
        if record is None or record.index != index:
            raise CorruptLogError(segment.path, start, f"record {index} is damaged")
        return record.payload

    def _write_snapshot(self, snapshot: SnapshotId, payload: bytes) -> None:
        path = os.path.join(self._folder, snapshot.name)
        temporary = path + TEMPORARY_SUFFIX
        try:
            self._port.remove(temporary)
            self._port.write(temporary, 0, snapshots.encode_snapshot(snapshot, payload))
            self._port.sync_file(temporary)
        except StorageError:
            self._discard([temporary])
            raise
        try:
            self._port.rename(temporary, path)
            self._port.sync_folder(self._folder)
        except StorageError:
            self._doubtful += [temporary, path]
            raise
        replaced = self._snapshot
        self._snapshot, self._snapshot_bytes = snapshot, len(payload)
        if replaced != NO_SNAPSHOT:
            self._discard([os.path.join(self._folder, replaced.name)])

    def _discard(self, paths: list[str]) -> None:
        """Removes files that count no more; those that cannot be removed now are tried again later."""
        waiting, self._obsolete = self._obsolete + paths, []
        for path in waiting:
            try:
                self._port.remove(path)
            except StorageError as error:
                log.warning("log.remove_failed", path=path, error=str(error))
                self._obsolete.append(path)

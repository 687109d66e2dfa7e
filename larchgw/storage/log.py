"""The log of one replica: records in segment files, and a snapshot that replaces the oldest of them."""

from __future__ import annotations

import os
import threading
from collections.abc import Iterator

import structlog

from .cleanup import LogCleanup, TailState
from .durability import Durability, UnsyncedWrite
from .errors import CompactedRecordsError, CorruptLogError, DiskFullError, StorageError
from .files import FilePort
from .recovery import recover
from .segments import MAX_RECORD_BYTES, Segment, decode_record, encode_record, segment_name
from .snapshots import NO_SNAPSHOT, SnapshotId, SnapshotStore

log = structlog.get_logger()

DEFAULT_SEGMENT_BYTES = 1024 * 1024
"""Size at which a new segment is begun. Compaction frees whole segments only."""
DEFAULT_LIMIT_BYTES = 64 * 1024 * 1024
"""Half of the smallest disk in use, 128 MB: a snapshot needs space before segments are removed."""


class Log:
    """An append-only log in one folder. Indices begin at 1; a snapshot replaces the oldest records.

    The records are stored in segment files. Appends go to the last segment; once that has reached its size
    and every record is durable, a new one is begun. A compaction writes a snapshot and then removes the
    segments that it covers; an installed snapshot of another replica replaces everything. `LogCleanup`
    repairs what a failed call left on disk before the next write. `Durability` tracks which records survive a
    loss of power. `recovery` reads the folder at the start.

    One thread owns a log. Only `sync` may run in another thread while the owner calls `append` and `read`;
    all other calls wait for it.

    docs/storage.md lists the guarantees after each call, whether it returned or failed.
    """

    def __init__(self, port: FilePort, folder: str, segment_bytes: int, limit_bytes: int) -> None:
        """Use Log.open instead, which also recovers the log from the folder."""
        self._port = port
        self._folder = folder
        self._segment_bytes = segment_bytes
        self._limit_bytes = limit_bytes
        self._sync_lock = threading.Lock()
        self._segments: list[Segment] = []
        self._cleanup = LogCleanup(port, folder)
        self._durability = Durability(port, folder)
        self._snapshots = SnapshotStore(port, folder, self._cleanup)

    @classmethod
    def open(
        cls,
        port: FilePort,
        folder: str,
        segment_bytes: int = DEFAULT_SEGMENT_BYTES,
        limit_bytes: int = DEFAULT_LIMIT_BYTES,
    ) -> Log:
        """Recovers the log, which is empty if the folder is. All recovered records are durable.

        Args:
            port: The disk.
            folder: The folder of the files; created if it does not exist.
            segment_bytes: Size at which a new segment is begun.
            limit_bytes: Limit of the size of segments and snapshot; `append` fails beyond it.

        Raises:
            CorruptLogError: Synced data is damaged or missing.
            DiskFullError, DiskFailedError: The call may be repeated.
        """
        opened = cls(port, folder, segment_bytes, limit_bytes)
        port.make_folder(folder)
        opened._recover()
        return opened

    @property
    def first_index(self) -> int:
        """The first index that `read` can return."""
        return self._snapshots.current.index + 1

    @property
    def last_index(self) -> int:
        """Index of the newest record; that of the snapshot, or 0, if there is no record."""
        return self._segments[-1].last_index if self._segments else self._snapshots.current.index

    @property
    def durable_index(self) -> int:
        """The index up to which all records survive a loss of power."""
        return self._durability.durable_index

    @property
    def size_bytes(self) -> int:
        """Total size of the segments and the snapshot."""
        return sum(segment.end_offset for segment in self._segments) + self._snapshots.size_bytes

    def append(self, record: bytes) -> int:
        """Appends a record and returns its index. It is durable once a `sync` called after this has returned.

        Raises:
            DiskFullError: The disk is full, or the log has reached its limit.
            DiskFailedError: The record cannot be written.
            ValueError: The record is longer than MAX_RECORD_BYTES.

        After an error the record is not in the log and its index is free again.
        """
        if len(record) > MAX_RECORD_BYTES:
            raise ValueError(
                f"record of {len(record)} bytes exceeds the limit of {MAX_RECORD_BYTES}; split it"
            )
        if self._cleanup.is_pending:
            with self._sync_lock:
                self._cleanup.finish(self._segments)
        self._check_limit(len(record))
        index = self.last_index + 1
        segment = self._writable_segment(index)
        offset = segment.end_offset
        data = encode_record(segment.first_index, offset, index, self.durable_index, record)
        self._write_record(segment, data)
        self._durability.add(UnsyncedWrite(index, segment.path, offset, data))
        segment.add_record(len(data))
        return index

    def sync(self) -> None:
        """Makes all records that were appended before the call durable.

        Raises:
            DiskFullError, DiskFailedError: No further record is durable. The records stay in the log, and a
                later sync writes them again.
        """
        with self._sync_lock:
            self._finish_cleanup_and_sync()

    def truncate_after(self, index: int) -> None:
        """Drops the records above `index`; durable once it returns.

        Raises:
            DiskFullError, DiskFailedError: Any number of records above `index` may remain, without gaps. The
                call may be repeated.
            ValueError: The snapshot includes records above `index`.
        """
        with self._sync_lock:
            self._cleanup.finish(self._segments)
            snapshot_index = self._snapshots.current.index
            if index < snapshot_index:
                raise ValueError(f"record {index} is part of the snapshot up to {snapshot_index}")
            while self._segments and self._segments[-1].first_index > index:
                self._remove_last_segment()
            if self.last_index > index:
                self._truncate_last_segment(index)

    def read(self, first: int, last: int) -> Iterator[tuple[int, bytes]]:
        """Returns the records from `first` to `last`, in order, durable or not; none if `first > last`.

        Records must not be dropped while it iterates.

        Raises:
            CompactedRecordsError: Some of the records are part of the snapshot.
            ValueError: Some of the records do not exist yet.
            CorruptLogError, DiskFailedError: While iterating.
        """
        if first < self.first_index:
            remedy = f"use the snapshot up to {self._snapshots.current.index}"
            raise CompactedRecordsError(self._folder, f"record {first} was compacted", remedy)
        if last > self.last_index:
            raise ValueError(f"record {last} does not exist; the last one is {self.last_index}")
        return self._read_records(first, last)

    def compact(self, up_to: int, snapshot: bytes) -> None:
        """Replaces the records up to `up_to` by a snapshot; durable once it returns.

        Segments that hold only such records are then removed. Does nothing if the current snapshot already
        includes these records.

        Raises:
            DiskFullError, DiskFailedError: No record is removed.
            ValueError: There is no record `up_to`.
        """
        with self._sync_lock:
            self._cleanup.finish(self._segments)
            if up_to > self.last_index:
                raise ValueError(f"record {up_to} does not exist; the last one is {self.last_index}")
            current = self._snapshots.current
            if up_to <= current.index:
                return
            if up_to > self.durable_index:
                self._finish_cleanup_and_sync()
            self._snapshots.replace(SnapshotId(current.generation, up_to), snapshot)
            covered = [segment for segment in self._segments if segment.last_index <= up_to]
            self._segments = self._segments[len(covered) :]
            self._cleanup.remove_obsolete([segment.path for segment in covered])

    def snapshot(self) -> tuple[int, bytes] | None:
        """Returns the index and payload of the snapshot; None if there is none.

        Raises:
            CorruptLogError, DiskFailedError: It cannot be read back.
        """
        if self._snapshots.current == NO_SNAPSHOT:
            return None
        return self._snapshots.current.index, self._snapshots.read()

    def install(self, index: int, snapshot: bytes) -> None:
        """Atomically replaces everything by a snapshot of another replica; durable once it returns.

        Raises:
            DiskFullError, DiskFailedError: The log is unchanged.
        """
        with self._sync_lock:
            self._cleanup.finish(self._segments)
            generation = self._snapshots.current.generation + 1
            self._snapshots.replace(SnapshotId(generation, index), snapshot)
            replaced = [segment.path for segment in self._segments]
            self._segments = []
            self._durability.reset(index)
            self._cleanup.remove_obsolete(replaced)

    # Recovery

    def _recover(self) -> None:
        recovered = recover(self._port, self._folder)
        self._port.sync_folder(self._folder)
        self._snapshots.current = recovered.snapshot
        self._snapshots.size_bytes = recovered.snapshot_bytes
        self._segments = recovered.segments
        if self._segments:
            self._recover_tail(self._segments[-1], recovered.torn_bytes)
        self._durability.durable_index = self.last_index
        self._cleanup.remove_obsolete(recovered.obsolete_paths)

    def _recover_tail(self, segment: Segment, torn_bytes: int) -> None:
        """Makes the records durable. A torn tail is cut off only before the next write.

        So a log on a full disk can still be read.
        """
        if torn_bytes:
            last = segment.last_index
            log.warning("log.torn_tail", path=segment.path, size_bytes=torn_bytes, record_index=last)
            self._cleanup.set_tail_state(TailState.TORN)
        self._port.sync_file(segment.path)
        self._durability.set_segment_name_synced(segment.path)

    # Appending and syncing

    def _check_limit(self, size_bytes: int) -> None:
        if self.size_bytes + size_bytes > self._limit_bytes:
            problem = f"the log has reached its limit of {self._limit_bytes} bytes"
            raise DiskFullError(self._folder, problem, "compact it, then append again")

    def _writable_segment(self, index: int) -> Segment:
        """The last segment, or a new one. A new one is begun only when all records before it are durable."""
        if self._segments:
            last = self._segments[-1]
            if last.end_offset < self._segment_bytes or self._durability.has_unsynced:
                return last
            self._port.close(last.path)
        generation = self._snapshots.current.generation
        path = os.path.join(self._folder, segment_name(generation, index))
        return Segment(path, generation, index)

    def _write_record(self, segment: Segment, data: bytes) -> None:
        is_new = not self._segments or self._segments[-1] is not segment
        try:
            self._port.write(segment.path, segment.end_offset, data)
        except StorageError:
            if is_new:
                self._cleanup.add_invalid_files(segment.path)
            else:
                self._cleanup.set_tail_state(TailState.TORN)
            raise
        if is_new:
            self._segments.append(segment)

    def _finish_cleanup_and_sync(self) -> None:
        self._cleanup.finish(self._segments)
        self._durability.sync()

    # Truncation

    def _remove_last_segment(self) -> None:
        self._port.remove(self._segments[-1].path)
        self._segments.pop()
        self._cleanup.set_folder_unsynced()
        self._durability.forget_segment_name()
        self._durability.drop_after(self.last_index)
        self._cleanup.finish(self._segments)

    def _truncate_last_segment(self, index: int) -> None:
        segment = self._segments[-1]
        self._port.truncate(segment.path, segment.locate(index + 1).offset)
        segment.drop_records_after(index)
        self._cleanup.set_tail_state(TailState.TRUNCATED)
        self._durability.drop_after(self.last_index)
        self._cleanup.finish(self._segments)

    # Reading

    def _read_records(self, first: int, last: int) -> Iterator[tuple[int, bytes]]:
        for segment in self._segments:
            begin = max(first, segment.first_index)
            for index in range(begin, min(last, segment.last_index) + 1):
                yield index, self._read_record(segment, index)

    def _read_record(self, segment: Segment, index: int) -> bytes:
        span = segment.locate(index)
        data = self._port.read(segment.path, span.offset, span.size_bytes)
        record = decode_record(segment.first_index, data, 0, span.offset)
        if record is None or record.index != index:
            raise CorruptLogError(segment.path, span.offset, f"record {index} is damaged")
        return record.payload

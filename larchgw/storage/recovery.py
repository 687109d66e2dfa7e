"""Reads the folder of a log after any kind of termination, without changing it.

Damage is considered a torn write, which was never synced and may be cut off, only if it is at the end of the
last segment, is above the snapshot, and no valid record after it lists the damaged index as durable. All
other damage affects synced data. A segment is begun only when all records before it are durable, so damage in
an earlier segment always affects synced data.
"""

from __future__ import annotations

import os
from dataclasses import dataclass, field

from .errors import CorruptLogError
from .files import FilePort
from .segments import Segment, parse_segment_name, scan_segment
from .snapshots import (
    NO_SNAPSHOT,
    SnapshotId,
    is_temporary_snapshot,
    parse_snapshot_name,
    read_snapshot,
)


@dataclass
class RecoveredLog:
    """The recovered state of a log's folder.

    Attributes:
        snapshot: The newest snapshot; NO_SNAPSHOT if there is none.
        snapshot_bytes: Length of its payload.
        segments: The segments with records above the snapshot, in order.
        obsolete_paths: Files that are no longer used.
        torn_bytes: Number of bytes to be cut off at the end of the last segment.
    """

    snapshot: SnapshotId = NO_SNAPSHOT
    snapshot_bytes: int = 0
    segments: list[Segment] = field(default_factory=list)
    obsolete_paths: list[str] = field(default_factory=list)
    torn_bytes: int = 0

    @property
    def last_index(self) -> int:
        """Index of the newest record; that of the snapshot, or 0, if there is no record."""
        return self.segments[-1].last_index if self.segments else self.snapshot.index


def recover(port: FilePort, folder: str) -> RecoveredLog:
    """Reads the folder of a log.

    Raises:
        CorruptLogError: Synced data is damaged or missing.
        DiskFailedError: The folder cannot be read.
    """
    recovered = RecoveredLog()
    names = port.list(folder)
    _find_snapshot(port, folder, names, recovered)
    candidates = _find_segments(folder, names, recovered)
    for position, segment in enumerate(candidates):
        is_last = position + 1 == len(candidates)
        _read_segment(port, segment, is_last, recovered)
        _check_continuity(segment, recovered)
        recovered.segments.append(segment)
    _drop_covered_segments(recovered)
    return recovered


def _find_snapshot(port: FilePort, folder: str, names: list[str], recovered: RecoveredLog) -> None:
    """Reads the newest snapshot, and lists temporary and earlier ones as obsolete."""
    name_by_snapshot = {snapshot: name for name in names if (snapshot := parse_snapshot_name(name))}
    recovered.obsolete_paths += [os.path.join(folder, name) for name in names if is_temporary_snapshot(name)]
    if not name_by_snapshot:
        return
    newest = max(name_by_snapshot)
    recovered.snapshot, recovered.snapshot_bytes = newest, len(read_snapshot(port, folder, newest))
    recovered.obsolete_paths += [
        os.path.join(folder, name) for snapshot, name in name_by_snapshot.items() if snapshot != newest
    ]


def _find_segments(folder: str, names: list[str], recovered: RecoveredLog) -> list[Segment]:
    """Returns the segments that may hold records above the snapshot, in order; lists others as obsolete."""
    segments = []
    for name in names:
        parsed = parse_segment_name(name)
        if parsed is None:
            continue
        path = os.path.join(folder, name)
        if parsed.generation > recovered.snapshot.generation:
            raise CorruptLogError(path, 0, "the snapshot that precedes this segment is missing")
        if parsed.generation < recovered.snapshot.generation:
            recovered.obsolete_paths.append(path)
        else:
            segments.append(Segment(path, parsed.generation, parsed.first_index))
    segments.sort(key=lambda segment: segment.first_index)
    next_index = recovered.snapshot.index + 1
    begin = max((at for at, segment in enumerate(segments) if segment.first_index <= next_index), default=0)
    recovered.obsolete_paths += [segment.path for segment in segments[:begin]]
    return segments[begin:]


def _read_segment(port: FilePort, segment: Segment, is_last: bool, recovered: RecoveredLog) -> None:
    """Finds the records of a segment, and distinguishes a torn write from damage to synced data."""
    data = port.read(segment.path, 0, port.size(segment.path) or 0)
    scan = scan_segment(segment.first_index, data)
    segment.record_offsets, segment.end_offset = scan.record_offsets, scan.end_offset
    if not scan.is_damaged:
        return
    damaged_index = segment.last_index + 1
    synced_index = max(recovered.snapshot.index, scan.durable_index_after_damage)
    if not is_last or damaged_index <= synced_index:
        problem = f"record {damaged_index} was synced and is damaged"
        raise CorruptLogError(segment.path, segment.end_offset, problem)
    recovered.torn_bytes = len(data) - scan.end_offset


def _check_continuity(segment: Segment, recovered: RecoveredLog) -> None:
    """Checks that no record is missing between the earlier segments and this one."""
    next_index = recovered.last_index + 1
    is_first = not recovered.segments
    if segment.first_index > next_index or (not is_first and segment.first_index != next_index):
        problem = f"the records from {next_index} on are missing before this segment"
        raise CorruptLogError(segment.path, 0, problem)


def _drop_covered_segments(recovered: RecoveredLog) -> None:
    """Drops segments left by an interrupted compaction, all of whose records the snapshot includes."""
    if recovered.last_index < recovered.snapshot.index:
        recovered.obsolete_paths += [segment.path for segment in recovered.segments]
        recovered.segments = []

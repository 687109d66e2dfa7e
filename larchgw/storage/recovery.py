"""What a folder of the log holds, without a change to it, and what the log has to put right.

Damage is taken for a torn tail, and may be cut, only where it may never have been synced: at the end of the
last segment, above the snapshot, with no whole record behind it that calls the damaged index durable. A
segment is begun only when everything before is durable, so damage in an earlier segment is always damage of
synced data.
"""

from __future__ import annotations

import os
from dataclasses import dataclass, field

from . import segments, snapshots
from .errors import CorruptLogError
from .files import FilePort
from .segments import Segment
from .snapshots import SnapshotId

NO_SNAPSHOT = SnapshotId(0, 0)


@dataclass
class Recovery:
    """State of a folder. `tail` is how many bytes at the end of the last segment are to be cut."""

    snapshot: SnapshotId = NO_SNAPSHOT
    snapshot_bytes: int = 0
    live: list[Segment] = field(default_factory=list)
    obsolete: list[str] = field(default_factory=list)
    tail: int = 0


def recover(port: FilePort, folder: str) -> Recovery:
    """Reads the folder. Raises CorruptLogError, DiskFailedError."""
    found = Recovery()
    names = port.list(folder)
    _choose_snapshot(port, folder, names, found)
    candidates = _live_segments(folder, names, found)
    for position, segment in enumerate(candidates):
        is_last = position + 1 == len(candidates)
        _read_segment(port, segment, is_last, found)
        _check_order(segment, found)
        found.live.append(segment)
    _drop_covered(found)
    return found


def read_snapshot(port: FilePort, folder: str, snapshot: SnapshotId) -> bytes:
    """The payload of a snapshot that was synced. Raises CorruptLogError, DiskFailedError."""
    path = os.path.join(folder, snapshot.name)
    payload = snapshots.decode_snapshot(snapshot, port.read(path, 0, port.size(path) or 0))
    if payload is None:
        raise CorruptLogError(path, 0, "the snapshot is damaged or missing")
    return payload


def _choose_snapshot(port: FilePort, folder: str, names: list[str], found: Recovery) -> None:
    known = {identity: name for name in names if (identity := snapshots.parse_snapshot_name(name))}
    found.obsolete += [
        os.path.join(folder, name)
        for name in names
        if name.startswith("snapshot-") and name.endswith(snapshots.TEMPORARY_SUFFIX)
    ]
    if not known:
        return
    newest = max(known)
    found.snapshot, found.snapshot_bytes = newest, len(read_snapshot(port, folder, newest))
    found.obsolete += [os.path.join(folder, known[identity]) for identity in known if identity != newest]


def _live_segments(folder: str, names: list[str], found: Recovery) -> list[Segment]:
    """Segments that may hold records above the snapshot, in order; the others are obsolete."""
    ordered = []
    for name in names:
        parsed = segments.parse_segment_name(name)
        if parsed is None:
            continue
        path = os.path.join(folder, name)
        if parsed[0] > found.snapshot.generation:
            raise CorruptLogError(path, 0, "the snapshot that this segment builds on is missing")
        if parsed[0] < found.snapshot.generation:
            found.obsolete.append(path)
        else:
            ordered.append(Segment(path, *parsed))
    ordered.sort(key=lambda segment: segment.first_index)
    wanted = found.snapshot.index + 1
    begin = max((at for at, segment in enumerate(ordered) if segment.first_index <= wanted), default=0)
    found.obsolete += [segment.path for segment in ordered[:begin]]
    return ordered[begin:]


def _read_segment(port: FilePort, segment: Segment, is_last: bool, found: Recovery) -> None:
    data = port.read(segment.path, 0, port.size(segment.path) or 0)
    scanned = segments.scan_segment(segment.first_index, data)
    segment.starts, segment.end = scanned.starts, scanned.end
    if not scanned.damaged:
        return
    damaged_index = segment.last_index + 1
    if not is_last or damaged_index <= max(found.snapshot.index, scanned.proof):
        raise CorruptLogError(segment.path, segment.end, f"record {damaged_index} was synced and is damaged")
    found.tail = len(data) - scanned.end


def _check_order(segment: Segment, found: Recovery) -> None:
    expected = found.live[-1].last_index + 1 if found.live else found.snapshot.index + 1
    missing = segment.first_index > expected or (found.live and segment.first_index != expected)
    if missing:
        raise CorruptLogError(
            segment.path, 0, f"the records from {expected} on are missing before this segment"
        )


def _drop_covered(found: Recovery) -> None:
    """A segment left over from a compaction that was cut short holds nothing above the snapshot."""
    if found.live and found.live[-1].last_index < found.snapshot.index:
        found.obsolete += [segment.path for segment in found.live]
        found.live = []

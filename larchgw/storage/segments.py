"""Segment files of the log: their names, the codec of a record, and the scan of a whole segment.

A record is a header and a payload. The header holds a magic number (which is also the version of the format),
the length of the payload, the index of the record, the highest index that was durable when the record was
written, and a CRC-32. The CRC covers the header, the payload and the position of the record (first index of
its segment, offset in the file). So the bytes of a record at another position, such as inside the payload of
another record, are never read as a record.
"""

from __future__ import annotations

import re
import struct
import zlib
from dataclasses import dataclass, field

MAGIC = b"LGR1"
HEADER = struct.Struct(">4sIQQI")
"""Magic, payload length, record index, durable index, CRC."""
POSITION = struct.Struct(">QQ")
"""First index of the segment and offset of the record; covered by the CRC but not stored."""
CRC_BYTES = 4
MAX_RECORD_BYTES = 8 * 1024 * 1024
"""Enough for the largest configuration, 4 MiB, and the data that the caller adds to it."""

NAME_PATTERN = re.compile(r"log-(\d{6,})-(\d{20})\.seg")


@dataclass(frozen=True, slots=True)
class SegmentName:
    """The parsed name of a segment file.

    Attributes:
        generation: Number of snapshots of other replicas installed before the segment was begun.
        first_index: Index of its first record.
    """

    generation: int
    first_index: int


@dataclass(frozen=True, slots=True)
class RecordSpan:
    """The position and size of a record in its segment file, in bytes."""

    offset: int
    size_bytes: int


@dataclass
class Segment:
    """One file of the log, with records from `first_index` on.

    Attributes:
        path: The file.
        generation: See SegmentName.
        first_index: Index of the first record.
        record_offsets: Start of each record, in bytes.
        end_offset: End of the last record, in bytes.
    """

    path: str
    generation: int
    first_index: int
    record_offsets: list[int] = field(default_factory=list)
    end_offset: int = 0

    @property
    def last_index(self) -> int:
        """Index of its last record; `first_index - 1` if it is empty."""
        return self.first_index + len(self.record_offsets) - 1

    def locate(self, index: int) -> RecordSpan:
        """Returns the position of record `index`, which the segment must hold."""
        position = index - self.first_index
        offset = self.record_offsets[position]
        is_last = position + 1 == len(self.record_offsets)
        end = self.end_offset if is_last else self.record_offsets[position + 1]
        return RecordSpan(offset, end - offset)

    def add_record(self, size_bytes: int) -> None:
        """Adds a record of this size that was written at the end."""
        self.record_offsets.append(self.end_offset)
        self.end_offset += size_bytes

    def drop_records_after(self, index: int) -> None:
        """Removes the records above `index` from the list of records."""
        remaining = max(0, index - self.first_index + 1)
        if remaining < len(self.record_offsets):
            self.end_offset = self.record_offsets[remaining]
            del self.record_offsets[remaining:]


@dataclass(frozen=True, slots=True)
class Record:
    """A record as read from a segment.

    Attributes:
        index: Its index in the log, from 1.
        durable_index: The highest index that was durable when it was written.
        payload: The data that the caller appended.
        size_bytes: Length of header and payload.
    """

    index: int
    durable_index: int
    payload: bytes
    size_bytes: int


@dataclass(frozen=True, slots=True)
class SegmentScan:
    """The valid records from the start of a segment, and the state of the bytes after them.

    Attributes:
        record_offsets: Start of each valid record, in bytes.
        end_offset: End of the last valid record, in bytes.
        is_damaged: Whether bytes follow that are not the next record.
        durable_index_after_damage: The highest durable index in any valid record after the damage; 0 if there
            is no such record.
    """

    record_offsets: list[int]
    end_offset: int
    is_damaged: bool
    durable_index_after_damage: int


def segment_name(generation: int, first_index: int) -> str:
    """Returns the file name of a segment."""
    return f"log-{generation:06d}-{first_index:020d}.seg"


def parse_segment_name(name: str) -> SegmentName | None:
    """Parses the name of a segment file; returns None for any other file."""
    match = NAME_PATTERN.fullmatch(name)
    return SegmentName(int(match[1]), int(match[2])) if match else None


def encode_record(first_index: int, offset: int, index: int, durable_index: int, payload: bytes) -> bytes:
    """Returns the bytes of a record.

    Args:
        first_index: First index of its segment.
        offset: Its start in the segment, in bytes.
        index: Index of the record.
        durable_index: The highest index that is durable now.
        payload: The data of the record.
    """
    start = HEADER.pack(MAGIC, len(payload), index, durable_index, 0)[:-CRC_BYTES]
    return start + _crc(first_index, offset, start, payload).to_bytes(CRC_BYTES, "big") + payload


def decode_record(first_index: int, data: bytes, offset: int, base: int = 0) -> Record | None:
    """Decodes the record at `offset` of `data`; returns None if there is no valid record.

    Args:
        first_index: First index of its segment.
        data: The content of the segment, or a part of it.
        offset: Start of the record in `data`, in bytes.
        base: Start of `data` in the segment, in bytes.
    """
    if len(data) - offset < HEADER.size:
        return None
    magic, length, index, durable_index, crc = HEADER.unpack_from(data, offset)
    body = offset + HEADER.size
    if magic != MAGIC or length > MAX_RECORD_BYTES or body + length > len(data):
        return None
    payload = data[body : body + length]
    if _crc(first_index, base + offset, data[offset : body - CRC_BYTES], payload) != crc:
        return None
    return Record(index, durable_index, payload, HEADER.size + length)


def scan_segment(first_index: int, data: bytes) -> SegmentScan:
    """Reads a whole segment from its start up to the first byte that is not part of the next record."""
    record_offsets: list[int] = []
    offset = 0
    while True:
        record = decode_record(first_index, data, offset)
        if record is None or record.index != first_index + len(record_offsets):
            break
        record_offsets.append(offset)
        offset += record.size_bytes
    is_damaged = offset < len(data)
    durable_index = _highest_durable_index(first_index, data, offset) if is_damaged else 0
    return SegmentScan(record_offsets, offset, is_damaged, durable_index)


def _highest_durable_index(first_index: int, data: bytes, offset: int) -> int:
    """The highest durable index in any valid record from `offset` on, at any position; 0 if there is none."""
    highest = 0
    offset = data.find(MAGIC, offset)
    while offset >= 0:
        record = decode_record(first_index, data, offset)
        if record is not None:
            highest = max(highest, record.durable_index)
        offset = data.find(MAGIC, offset + 1)
    return highest


def _crc(first_index: int, offset: int, start: bytes, payload: bytes) -> int:
    seed = zlib.crc32(POSITION.pack(first_index, offset))
    return zlib.crc32(payload, zlib.crc32(start, seed))

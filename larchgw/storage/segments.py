"""Records on disk: names of segments, the codec of a record, and the scan of a segment.

A record is a header and its payload. The header holds a magic number (also the version of the format), the
length of the payload, the index of the record, the highest index that was durable when it was written, and a
CRC-32 over all of this and the record's place. As the place counts, bytes of a record that lie elsewhere,
such as inside the payload of another one, are never taken for a record.
"""

from __future__ import annotations

import re
import struct
import zlib
from dataclasses import dataclass, field

MAGIC = b"LGR1"
HEADER = struct.Struct(">4sIQQI")
PLACE = struct.Struct(">QQ")
CRC_BYTES = 4
MAX_RECORD_BYTES = 8 * 1024 * 1024
"""A record holds at most a whole configuration of 4 MiB and what the caller wraps it in."""

NAME = re.compile(r"log-(\d{6,})-(\d{20})\.seg")


@dataclass
class Segment:
    """One file of the log: records from `first_index` on. `generation` counts the installed snapshots."""

    path: str
    generation: int
    first_index: int
    starts: list[int] = field(default_factory=list)
    end: int = 0

    @property
    def last_index(self) -> int:
        """Index of its last record; `first_index - 1` when it is empty."""
        return self.first_index + len(self.starts) - 1

    def place(self, index: int) -> tuple[int, int]:
        """Start and size in bytes of a record that it holds."""
        position = index - self.first_index
        start = self.starts[position]
        is_last = position + 1 == len(self.starts)
        stop = self.end if is_last else self.starts[position + 1]
        return start, stop - start

    def add(self, size: int) -> None:
        """Takes in a record of `size` bytes that was written at the end."""
        self.starts.append(self.end)
        self.end += size

    def cut_after(self, index: int) -> None:
        """Forgets the records above `index`."""
        kept = max(0, index - self.first_index + 1)
        if kept < len(self.starts):
            self.end = self.starts[kept]
            del self.starts[kept:]


@dataclass(frozen=True)
class Record:
    """A record as read: `durable` is the highest index that was durable when it was written."""

    index: int
    durable: int
    payload: bytes
    size: int


@dataclass(frozen=True)
class Scan:
    """What a segment holds: whole records from its start, and what stands behind them.

    `damaged` is True if bytes follow that are not the next record; `proof` is the highest index that some
    whole record behind the damage calls durable (0 if there is none).
    """

    starts: list[int]
    end: int
    damaged: bool
    proof: int


def segment_name(generation: int, first_index: int) -> str:
    """Name of the file of a segment."""
    return f"log-{generation:06d}-{first_index:020d}.seg"


def parse_segment_name(name: str) -> tuple[int, int] | None:
    """Generation and first index; None for another file."""
    match = NAME.fullmatch(name)
    return (int(match[1]), int(match[2])) if match else None


def encode_record(first_index: int, offset: int, index: int, durable: int, payload: bytes) -> bytes:
    """The bytes of a record at `offset` of the segment that starts with `first_index`."""
    start = HEADER.pack(MAGIC, len(payload), index, durable, 0)[:-CRC_BYTES]
    return start + _crc(first_index, offset, start, payload).to_bytes(CRC_BYTES, "big") + payload


def decode_record(first_index: int, data: bytes, offset: int, base: int = 0) -> Record | None:
    """The record at `offset` of `data`, which starts at byte `base` of the segment; None if there is none."""
    if len(data) - offset < HEADER.size:
        return None
    magic, length, index, durable, crc = HEADER.unpack_from(data, offset)
    body = offset + HEADER.size
    if magic != MAGIC or length > MAX_RECORD_BYTES or body + length > len(data):
        return None
    payload = data[body : body + length]
    if _crc(first_index, base + offset, data[offset : body - CRC_BYTES], payload) != crc:
        return None
    return Record(index, durable, payload, HEADER.size + length)


def scan_segment(first_index: int, data: bytes) -> Scan:
    """Reads a segment from its start up to the first byte that is not part of the next record."""
    starts: list[int] = []
    offset = 0
    while True:
        record = decode_record(first_index, data, offset)
        if record is None or record.index != first_index + len(starts):
            break
        starts.append(offset)
        offset += record.size
    damaged = offset < len(data)
    return Scan(starts, offset, damaged, _proof_behind(first_index, data, offset) if damaged else 0)


def _proof_behind(first_index: int, data: bytes, offset: int) -> int:
    proof = 0
    offset = data.find(MAGIC, offset)
    while offset >= 0:
        record = decode_record(first_index, data, offset)
        if record is not None:
            proof = max(proof, record.durable)
        offset = data.find(MAGIC, offset + 1)
    return proof


def _crc(first_index: int, offset: int, start: bytes, payload: bytes) -> int:
    seed = zlib.crc32(PLACE.pack(first_index, offset))
    return zlib.crc32(payload, zlib.crc32(start, seed))

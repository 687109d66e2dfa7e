"""Snapshots on disk: their names and their codec.

A snapshot stands for all records up to its index. One that is installed from another replica begins a new
generation: segments and snapshots of earlier generations count no more.
"""

from __future__ import annotations

import re
import struct
import zlib
from dataclasses import dataclass

MAGIC = b"LGS1"
HEADER = struct.Struct(">4sQIQ")
CRC_BYTES = 4
NAME = re.compile(r"snapshot-(\d{6,})-(\d{20})\.snap")
TEMPORARY_SUFFIX = ".tmp"


@dataclass(frozen=True, order=True)
class SnapshotId:
    """Which snapshot; a greater one replaces a smaller one."""

    generation: int
    index: int

    @property
    def name(self) -> str:
        """Name of its file."""
        return f"snapshot-{self.generation:06d}-{self.index:020d}.snap"


def parse_snapshot_name(name: str) -> SnapshotId | None:
    """The snapshot that a file holds by its name; None for another file."""
    match = NAME.fullmatch(name)
    return SnapshotId(int(match[1]), int(match[2])) if match else None


def encode_snapshot(snapshot: SnapshotId, payload: bytes) -> bytes:
    """The bytes of its file."""
    start = HEADER.pack(MAGIC, snapshot.index, snapshot.generation, len(payload))
    return start + zlib.crc32(payload, zlib.crc32(start)).to_bytes(CRC_BYTES, "big") + payload


def decode_snapshot(snapshot: SnapshotId, data: bytes) -> bytes | None:
    """The payload; None if these are not the bytes of that snapshot."""
    body = HEADER.size + CRC_BYTES
    if len(data) < body:
        return None
    start, crc, payload = data[: HEADER.size], data[HEADER.size : body], data[body:]
    if start != HEADER.pack(MAGIC, snapshot.index, snapshot.generation, len(payload)):
        return None
    return payload if zlib.crc32(payload, zlib.crc32(start)).to_bytes(CRC_BYTES, "big") == crc else None

"""Reads from an ELF shared object which others it loads, and where it looks for them."""

from __future__ import annotations

import struct
from dataclasses import dataclass
from pathlib import Path
from typing import NamedTuple

MAGIC = b"\x7fELF"
CLASS_64 = 2
LITTLE_ENDIAN = 1
PT_LOAD = 1
PT_DYNAMIC = 2
DT_NULL = 0
DT_NEEDED = 1
DT_STRTAB = 5
DT_RPATH = 15
DT_RUNPATH = 29
FILE_HEADER = struct.Struct("<16xHHIQQQIHHHHHH")
PROGRAM_HEADER = struct.Struct("<IIQQQQQQ")
DYNAMIC_ENTRY = struct.Struct("<qQ")


class Segment(NamedTuple):
    """A program header: where a piece of the file goes in memory."""

    kind: int
    flags: int
    offset: int
    address: int
    physical_address: int
    file_size: int
    memory_size: int
    align: int


@dataclass(frozen=True)
class SharedObject:
    """What the dynamic linker reads of one file."""

    path: Path
    needed: tuple[str, ...]
    search_folders: tuple[Path, ...]  # of RPATH and RUNPATH, $ORIGIN filled in

    def bundled(self, name: str) -> bool:
        """Whether the library is found where the file itself says to look."""
        return any((folder / name).is_file() for folder in self.search_folders)


def is_shared_object(path: Path) -> bool:
    with path.open("rb") as file:
        return file.read(len(MAGIC)) == MAGIC


def read_shared_object(path: Path) -> SharedObject:
    """The file's dynamic section; ValueError where it is not 64-bit little-endian ELF."""
    data = path.read_bytes()
    if data[:6] != MAGIC + bytes((CLASS_64, LITTLE_ENDIAN)):
        raise ValueError(f"{path}: not a 64-bit little-endian ELF file")
    segments = _segments(data)
    entries = _dynamic_entries(data, segments)
    strings = _file_offset(segments, dict(entries)[DT_STRTAB])
    texts = [
        (tag, _text(data, strings + value))
        for tag, value in entries
        if tag in (DT_NEEDED, DT_RPATH, DT_RUNPATH)
    ]
    searched = ":".join(text for tag, text in texts if tag != DT_NEEDED)
    folders = [
        folder.replace("${ORIGIN}", "$ORIGIN").replace("$ORIGIN", str(path.parent.resolve()))
        for folder in searched.split(":")
        if folder
    ]
    return SharedObject(
        path,
        tuple(text for tag, text in texts if tag == DT_NEEDED),
        tuple(Path(folder) for folder in folders),
    )


def _segments(data: bytes) -> list[Segment]:
    header = FILE_HEADER.unpack_from(data)
    start, size, count = header[4], header[8], header[9]
    return [Segment(*PROGRAM_HEADER.unpack_from(data, start + size * number)) for number in range(count)]


def _dynamic_entries(data: bytes, segments: list[Segment]) -> list[tuple[int, int]]:
    dynamic = next(segment for segment in segments if segment.kind == PT_DYNAMIC)
    section = data[dynamic.offset : dynamic.offset + dynamic.file_size]
    entries = []
    for tag, value in DYNAMIC_ENTRY.iter_unpack(section):
        if tag == DT_NULL:
            break
        entries.append((tag, value))
    return entries


def _file_offset(segments: list[Segment], address: int) -> int:
    loaded = next(
        segment
        for segment in segments
        if segment.kind == PT_LOAD and segment.address <= address < segment.address + segment.file_size
    )
    return address - loaded.address + loaded.offset


def _text(data: bytes, offset: int) -> str:
    return data[offset : data.index(b"\0", offset)].decode()

"""Folders of an earlier release yield the recorded values, and the same calls write the recorded bytes.

`tests/fixtures/storage` holds one folder per case; `expected.json` holds the values that the release read.
`control_process` is the data folder of a control process that ran alone. The functions in `WRITERS` wrote the
folders of the same name. The other folders are the same kind after a power loss during a write or compaction.
"""

from __future__ import annotations

import json
import shutil
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from larchgw.storage.cell import Cell
from larchgw.storage.files import DiskFiles
from larchgw.storage.log import Log
from larchgw.storage.reserve import Reserve

FIXTURES = Path(__file__).parents[1] / "fixtures" / "storage"
EXPECTED: dict[str, Any] = json.loads((FIXTURES / "expected.json").read_text())
LOG_FOLDER = "log"
CELL_NAMES = ("identity", "witness", "leases")
SEGMENT_BYTES = 256


def open_log(folder: Path) -> Log:
    return Log.open(DiskFiles(), str(folder / LOG_FOLDER), segment_bytes=SEGMENT_BYTES)


def append_and_sync(log: Log, first: int, last: int) -> None:
    for number in range(first, last + 1):
        log.append(f"record {number} ".encode() * (1 + number % 4))
        if number % 2:
            log.sync()
    log.sync()


def write_several_segments(folder: Path) -> None:
    append_and_sync(open_log(folder), 1, 24)


def write_snapshot_and_records(folder: Path) -> None:
    log = open_log(folder)
    append_and_sync(log, 1, 20)
    log.compact(11, b"snapshot up to 11" * 9)
    log.truncate_after(17)
    append_and_sync(log, 30, 34)


def write_installed_snapshot(folder: Path) -> None:
    log = open_log(folder)
    append_and_sync(log, 1, 8)
    log.install(40, bytes(range(256)))
    append_and_sync(log, 41, 43)


def write_cells(folder: Path) -> None:
    for name, count in zip(CELL_NAMES, (1, 2, 5), strict=True):
        cell = Cell(DiskFiles(), str(folder), name)
        for number in range(count):
            cell.store(f"{name} {number} ".encode() * (count - number))


WRITERS: dict[str, Callable[[Path], None]] = {
    "several_segments": write_several_segments,
    "snapshot_and_records": write_snapshot_and_records,
    "installed_snapshot": write_installed_snapshot,
    "cells": write_cells,
}


def file_contents(folder: Path) -> dict[str, bytes]:
    return {
        str(path.relative_to(folder)): path.read_bytes()
        for path in sorted(folder.rglob("*"))
        if path.is_file()
    }


def stored_values(folder: Path) -> dict[str, Any]:
    """Reads a data folder, with bytes as hexadecimal text; opening it repairs it as a process start does."""
    cells = {name: Cell(DiskFiles(), str(folder), name).load() for name in CELL_NAMES}
    log = open_log(folder)
    snapshot = log.snapshot()
    records = log.read(log.first_index, log.last_index)
    return {
        "cells": {name: None if value is None else value.hex() for name, value in cells.items()},
        "snapshot": None if snapshot is None else [snapshot[0], snapshot[1].hex()],
        "records": [[index, payload.hex()] for index, payload in records],
        "durable_index": log.durable_index,
        "size_bytes": log.size_bytes,
    }


@pytest.mark.parametrize("case", sorted(EXPECTED))
def test_folder_of_an_earlier_release_yields_the_recorded_values(case: str, tmp_path: Path) -> None:
    folder = tmp_path / case
    shutil.copytree(FIXTURES / case, folder)
    assert stored_values(folder) == EXPECTED[case]["values"]


@pytest.mark.parametrize("case", sorted(EXPECTED))
def test_folder_of_an_earlier_release_is_repaired_to_the_recorded_files(case: str, tmp_path: Path) -> None:
    folder = tmp_path / case
    shutil.copytree(FIXTURES / case, folder)
    stored_values(folder)
    log = open_log(folder)
    assert log.append(b"appended after the repair") == EXPECTED[case]["next_index"]
    log.sync()
    written = {name: content.hex() for name, content in file_contents(folder).items()}
    assert written == EXPECTED[case]["files_after_append"]


@pytest.mark.parametrize("case", sorted(WRITERS))
def test_same_calls_write_the_recorded_bytes(case: str, tmp_path: Path) -> None:
    WRITERS[case](tmp_path)
    assert file_contents(tmp_path) == file_contents(FIXTURES / case)


def test_reserve_is_the_recorded_file_of_zeros(tmp_path: Path) -> None:
    assert Reserve(DiskFiles(), str(tmp_path)).refill()
    assert file_contents(tmp_path) == {"reserve": bytes(256 * 1024)}

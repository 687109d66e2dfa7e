"""The storage package on a real disk."""

from __future__ import annotations

from pathlib import Path

import pytest

from larchgw.storage.cell import Cell
from larchgw.storage.errors import DiskFailedError, DiskFullError
from larchgw.storage.files import DiskFiles
from larchgw.storage.log import Log
from larchgw.storage.log_inspection import dump_log, verify_log
from larchgw.storage.reserve import Reserve
from tests.support.storage_model import SEGMENT_BYTES, make_record, read_state


def test_log_and_cell_on_a_real_disk_can_be_reopened(tmp_path: Path) -> None:
    port, folder = DiskFiles(), f"{tmp_path}/a/b"
    log = Log.open(port, folder, segment_bytes=SEGMENT_BYTES)
    for number in range(30):
        log.append(make_record(number))
    log.sync()
    log.truncate_after(25)
    log.compact(20, b"twenty")
    for number in range(30, 40):
        log.append(make_record(number))
        log.sync()
    Cell(port, folder, "vote").store(b"7")
    assert Reserve(port, folder).refill()
    assert Reserve(port, folder).release()
    expected = read_state(log)
    assert read_state(Log.open(DiskFiles(), folder)) == expected
    assert Cell(DiskFiles(), folder, "vote").load() == b"7"
    verification = verify_log(folder)
    assert verification.is_ok
    assert verification.last_index == 35
    lines = list(dump_log(folder))
    assert lines[0].startswith("snapshot up to 20: 6 bytes 'twenty'")
    assert lines[-1].startswith("record 35 ")


def test_missing_folder_or_file_is_reported_as_a_failed_disk(tmp_path: Path) -> None:
    assert "check the disk" in verify_log(f"{tmp_path}/none").problem
    with pytest.raises(DiskFailedError):
        DiskFiles().sync_file(f"{tmp_path}/none")


def test_full_device_is_reported_as_a_full_disk() -> None:
    with pytest.raises(DiskFullError):
        DiskFiles().write("/dev/full", 0, b"x")

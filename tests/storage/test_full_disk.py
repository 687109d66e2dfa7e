"""The log and the cells on a full disk."""

from __future__ import annotations

import pytest

from larchgw.storage.cell import Cell
from larchgw.storage.errors import DiskFailedError, DiskFullError
from larchgw.storage.log import Log
from larchgw.storage.reserve import Reserve
from tests.support.faulty_files import FaultyFiles
from tests.support.storage_model import FOLDER, SEGMENT_BYTES, read_state


def append_records(log: Log, count: int) -> None:
    for _ in range(count):
        log.append(b"r" * 100)


def test_append_on_full_disk_is_rejected_and_log_continues_once_there_is_space(
    port: FaultyFiles, log: Log
) -> None:
    log.append(b"one")
    log.sync()
    port.refuses_writes = True
    with pytest.raises(DiskFullError):
        log.append(b"two")
    assert list(log.read(1, 1)) == [(1, b"one")]
    port.refuses_writes = False
    assert log.append(b"deux") == 2
    log.sync()
    port.lose_power()
    assert read_state(Log.open(port, FOLDER)).records == (b"one", b"deux")


def test_partial_write_does_not_corrupt_the_segment_that_follows(port: FaultyFiles, log: Log) -> None:
    log.append(b"x" * SEGMENT_BYTES)
    port.capacity = port.used() + 40
    with pytest.raises(DiskFullError):
        log.append(b"y" * 100)
    port.capacity *= 100
    log.sync()
    log.append(b"in the next segment")
    log.sync()
    port.lose_power()
    assert Log.open(port, FOLDER).last_index == 2


def test_log_with_torn_tail_can_be_read_on_full_disk(port: FaultyFiles, log: Log) -> None:
    log.append(b"one")
    log.sync()
    path = port.paths()[0]
    port.set_content(path, port.read(path, 0, 1000) + b"torn")
    port.refuses_writes = True
    reopened = Log.open(port, FOLDER)
    assert read_state(reopened).records == (b"one",)
    with pytest.raises(DiskFullError):
        reopened.append(b"two")
    port.refuses_writes = False
    reopened.append(b"two")
    reopened.sync()
    assert read_state(Log.open(port, FOLDER)).records == (b"one", b"two")


def test_segment_whose_first_write_failed_does_not_come_back_after_truncation(
    port: FaultyFiles, log: Log
) -> None:
    for _ in range(6):
        log.append(b"x" * 60)
    log.sync()
    port.capacity = port.used() + 40
    with pytest.raises(DiskFullError):
        log.append(b"y" * 100)
    port.capacity *= 100
    log.truncate_after(1)
    for _ in range(2):
        log.append(b"z")
    log.sync()
    port.lose_power()
    assert Log.open(port, FOLDER).last_index == 3


def test_remaining_bytes_of_a_longer_snapshot_do_not_corrupt_the_next_one(
    port: FaultyFiles, log: Log
) -> None:
    log.append(b"one")
    log.sync()
    port.failures_left.update(sync_file=1, remove=1)
    with pytest.raises(DiskFailedError):
        log.compact(1, b"long" * 50)
    log.compact(1, b"short")
    assert Log.open(port, FOLDER).snapshot() == (1, b"short")


def test_append_beyond_the_limit_is_rejected_until_compaction(port: FaultyFiles) -> None:
    log = Log.open(port, "small", segment_bytes=SEGMENT_BYTES, limit_bytes=1000)
    with pytest.raises(DiskFullError) as caught:
        append_records(log, 20)
    assert "compact" in caught.value.remedy
    log.compact(log.last_index, b"all")
    assert log.size_bytes < 100
    log.append(b"r" * 100)


def test_snapshot_without_space_leaves_no_file(port: FaultyFiles, log: Log) -> None:
    log.append(b"one")
    log.sync()
    before = port.paths()
    port.capacity = port.used() + 50
    with pytest.raises(DiskFullError):
        log.compact(1, b"s" * 500)
    assert port.paths() == before
    assert log.snapshot() is None


def test_reserve_lets_a_small_value_be_stored_on_full_disk(port: FaultyFiles, log: Log) -> None:
    reserve = Reserve(port, FOLDER)
    assert reserve.refill()
    cell = Cell(port, FOLDER, "epoch", reserve)
    port.capacity = port.used()
    with pytest.raises(DiskFullError):
        log.append(b"refused")
    cell.store(b"stepped down")
    port.lose_power()
    assert Cell(port, FOLDER, "epoch").load() == b"stepped down"
    port.capacity = port.used()
    assert not reserve.refill()
    without_reserve = Cell(port, FOLDER, "other", Reserve(port, "none"))
    with pytest.raises(DiskFullError):
        without_reserve.store(b"x")

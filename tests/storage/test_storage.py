"""The log and the small values on a disk that is full, fails, or gives back damaged data."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from larchgw.storage.cell import Cell
from larchgw.storage.errors import (
    CompactedRecordsError,
    CorruptCellError,
    CorruptLogError,
    DiskFailedError,
    DiskFullError,
)
from larchgw.storage.files import DiskFiles
from larchgw.storage.log import Log
from larchgw.storage.log_inspection import dump_log, verify_log
from larchgw.storage.reserve import Reserve
from larchgw.storage.segments import MAX_RECORD_BYTES, encode_record, segment_name
from tests.support.faulty_files import FaultyFiles, PowerLossError
from tests.support.storage_model import FOLDER, SEGMENT_BYTES, contents, record


class TestFullDisk(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.port = FaultyFiles()
        self.log = Log.open(self.port, FOLDER, segment_bytes=SEGMENT_BYTES)

    def test_a_full_disk_refuses_the_append_and_the_log_goes_on_once_there_is_room(self) -> None:
        self.log.append(b"one")
        self.log.sync()
        self.port.refuses_writes = True
        self.assertRaises(DiskFullError, self.log.append, b"two")
        self.assertEqual([(1, b"one")], list(self.log.read(1, 1)))
        self.port.refuses_writes = False
        self.assertEqual(2, self.log.append(b"deux"))
        self.log.sync()
        self.port.lose_power()
        self.assertEqual((b"one", b"deux"), contents(Log.open(self.port, FOLDER)).records)

    def test_a_record_written_in_part_does_not_spoil_the_segment_that_follows(self) -> None:
        self.log.append(b"x" * SEGMENT_BYTES)
        self.port.capacity = self.port.used() + 40
        self.assertRaises(DiskFullError, self.log.append, b"y" * 100)
        self.port.capacity *= 100
        self.log.sync()
        self.log.append(b"in the next segment")
        self.log.sync()
        self.port.lose_power()
        self.assertEqual(2, Log.open(self.port, FOLDER).last_index)

    def test_a_log_with_a_torn_tail_can_be_read_though_the_disk_is_full(self) -> None:
        self.log.append(b"one")
        self.log.sync()
        path = self.port.paths()[0]
        self.port.set_content(path, self.port.read(path, 0, 1000) + b"torn")
        self.port.refuses_writes = True
        log = Log.open(self.port, FOLDER)
        self.assertEqual((b"one",), contents(log).records)
        self.assertRaises(DiskFullError, log.append, b"two")
        self.port.refuses_writes = False
        log.append(b"two")
        log.sync()
        self.assertEqual((b"one", b"two"), contents(Log.open(self.port, FOLDER)).records)

    def test_a_segment_begun_in_vain_does_not_come_back_after_a_truncation(self) -> None:
        for _ in range(6):
            self.log.append(b"x" * 60)
        self.log.sync()
        self.port.capacity = self.port.used() + 40
        self.assertRaises(DiskFullError, self.log.append, b"y" * 100)
        self.port.capacity *= 100
        self.log.truncate_after(1)
        for _ in range(2):
            self.log.append(b"z")
        self.log.sync()
        self.port.lose_power()
        self.assertEqual(3, Log.open(self.port, FOLDER).last_index)

    def test_the_remains_of_a_longer_snapshot_do_not_spoil_the_next_one(self) -> None:
        self.log.append(b"one")
        self.log.sync()
        self.port.failures_left.update(sync_file=1, remove=1)
        self.assertRaises(DiskFailedError, self.log.compact, 1, b"long" * 50)
        self.log.compact(1, b"short")
        self.assertEqual((1, b"short"), Log.open(self.port, FOLDER).snapshot())

    def test_the_limit_refuses_appends_until_the_log_is_compacted(self) -> None:
        log = Log.open(self.port, "small", segment_bytes=SEGMENT_BYTES, limit_bytes=1000)
        error = self.assertRaises(DiskFullError, lambda: [log.append(b"r" * 100) for _ in range(20)])
        self.assertIn("compact", error.remedy)
        log.compact(log.last_index, b"all")
        self.assertTrue(log.size_bytes < 100)
        log.append(b"r" * 100)

    def test_a_snapshot_that_finds_no_room_leaves_no_file_behind(self) -> None:
        self.log.append(b"one")
        self.log.sync()
        before = self.port.paths()
        self.port.capacity = self.port.used() + 50
        self.assertRaises(DiskFullError, self.log.compact, 1, b"s" * 500)
        self.assertEqual(before, self.port.paths())
        self.assertIs(None, self.log.snapshot())

    def test_the_reserve_lets_a_small_value_be_stored_on_a_full_disk(self) -> None:
        reserve = Reserve(self.port, FOLDER)
        self.assertTrue(reserve.refill())
        cell = Cell(self.port, FOLDER, "epoch", reserve)
        self.port.capacity = self.port.used()
        self.assertRaises(DiskFullError, self.log.append, b"refused")
        cell.store(b"stepped down")
        self.port.lose_power()
        self.assertEqual(b"stepped down", Cell(self.port, FOLDER, "epoch").load())
        self.port.capacity = self.port.used()
        self.assertFalse(reserve.refill())
        self.assertRaises(
            DiskFullError, Cell(self.port, FOLDER, "other", Reserve(self.port, "none")).store, b"x"
        )


class TestSyncs(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.port = FaultyFiles()
        self.log = Log.open(self.port, FOLDER, segment_bytes=SEGMENT_BYTES)

    def test_appends_do_not_sync_and_share_one(self) -> None:
        self.log.append(b"first")
        self.log.sync()
        self.port.call_log.clear()
        for number in range(20):
            self.log.append(record(number))
        self.log.sync()
        self.assertEqual(1, sum(call.startswith("sync") for call in self.port.call_log))

    def test_a_record_appended_while_a_sync_runs_is_not_called_durable(self) -> None:
        self.log.append(b"one")
        sync_file = self.port.sync_file

        def sync_with_append(path: str) -> None:
            sync_file(path)
            self.log.append(b"two")

        self.port.sync_file = sync_with_append  # type: ignore[method-assign]
        self.log.sync()
        self.assertEqual((1, 2), (self.log.durable_index, self.log.last_index))

    def test_records_of_a_sync_that_failed_are_written_again(self) -> None:
        self.log.append(b"one")
        self.port.failures_left["sync_file"] = 1
        self.assertRaises(DiskFailedError, self.log.sync)
        self.assertEqual(0, self.log.durable_index)
        self.port.call_log.clear()
        self.log.sync()
        self.assertEqual("write", self.port.call_log[0].split()[0])
        self.port.lose_power()
        self.assertEqual((b"one",), contents(Log.open(self.port, FOLDER)).records)


class TestDamage(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.port = FaultyFiles()
        self.log = Log.open(self.port, FOLDER, segment_bytes=SEGMENT_BYTES)

    def fill(self, count: int) -> None:
        for number in range(count):
            self.log.append(record(number))
            self.log.sync()

    def first_segment(self) -> str:
        return next(path for path in self.port.paths() if path.endswith(".seg"))

    def test_damage_in_an_earlier_segment_is_told_with_file_offset_and_remedy(self) -> None:
        self.fill(20)
        path = self.first_segment()
        self.port.flip_bit(path, 30)
        error = self.assertRaises(CorruptLogError, Log.open, self.port, FOLDER)
        self.assertEqual((path, 0), (error.path, error.offset))
        self.assertIn("new replica", str(error))
        self.assertFalse(verify_log(FOLDER, self.port).is_ok)

    def test_damage_before_a_record_that_proves_it_synced_is_told(self) -> None:
        self.fill(3)
        self.port.flip_bit(self.first_segment(), 5)
        self.assertRaises(CorruptLogError, Log.open, self.port, FOLDER)

    def test_damage_below_the_snapshot_in_the_segment_that_reaches_above_it_is_told(self) -> None:
        for number in range(3):
            self.log.append(record(number))
        self.log.sync()
        self.log.compact(2, b"two")
        self.port.flip_bit(self.first_segment(), 5)
        self.assertRaises(CorruptLogError, Log.open, self.port, FOLDER)

    def test_bytes_behind_the_last_record_of_an_earlier_segment_are_told(self) -> None:
        self.fill(20)
        path = self.first_segment()
        self.port.set_content(path, self.port.read(path, 0, 10_000) + b"noise")
        self.assertRaises(CorruptLogError, Log.open, self.port, FOLDER)

    def test_a_missing_segment_is_told(self) -> None:
        self.fill(30)
        segments = [path for path in self.port.paths() if path.endswith(".seg")]
        self.port.remove(segments[1])
        self.assertRaises(CorruptLogError, Log.open, self.port, FOLDER)

    def test_a_damaged_snapshot_is_told(self) -> None:
        self.fill(5)
        self.log.compact(5, b"five")
        path = next(path for path in self.port.paths() if path.endswith(".snap"))
        self.port.flip_bit(path, 30)
        self.assertRaises(CorruptLogError, Log.open, self.port, FOLDER)
        self.assertRaises(CorruptLogError, self.log.snapshot)

    def test_a_lost_snapshot_is_told(self) -> None:
        self.fill(5)
        self.log.install(9, b"nine")
        self.log.append(b"ten")
        self.log.sync()
        self.port.remove(next(path for path in self.port.paths() if path.endswith(".snap")))
        self.assertRaises(CorruptLogError, Log.open, self.port, FOLDER)

    def test_damage_found_while_reading_is_told(self) -> None:
        self.fill(2)
        self.port.flip_bit(self.first_segment(), 30)
        self.assertRaises(CorruptLogError, list, self.log.read(1, 2))

    def test_a_record_inside_a_torn_payload_does_not_pass_for_a_later_one(self) -> None:
        self.fill(3)
        inner = encode_record(first_index=1, offset=0, index=99, durable_index=98, payload=b"not of this log")
        self.log.append(inner)
        path = self.first_segment()
        last_byte_of_the_header = (self.port.size(path) or 0) - len(inner) - 1
        self.port.flip_bit(path, last_byte_of_the_header)
        self.assertEqual(3, Log.open(self.port, FOLDER, segment_bytes=SEGMENT_BYTES).last_index)

    def test_compacted_and_future_records_are_refused_with_the_remedy(self) -> None:
        self.fill(5)
        self.log.compact(3, b"three")
        error = self.assertRaises(CompactedRecordsError, self.log.read, 3, 5)
        self.assertIn("snapshot up to 3", error.remedy)
        self.assertRaises(ValueError, self.log.read, 4, 6)
        self.assertRaises(ValueError, self.log.truncate_after, 2)
        self.assertRaises(ValueError, self.log.compact, 6, b"")
        self.assertRaises(ValueError, self.log.append, bytes(MAX_RECORD_BYTES + 1))


@settings(max_examples=300)
@given(st.binary(max_size=200), st.integers(0, 700), st.integers(0, 2), st.booleans())
def test_random_bytes_in_a_file_are_told_or_cut_but_never_crash_recovery(
    noise: bytes, offset: int, which: int, replaced: bool
) -> None:
    port = FaultyFiles()
    log = Log.open(port, FOLDER, segment_bytes=SEGMENT_BYTES)
    for number in range(12):
        log.append(record(number))
        log.sync()
    log.compact(2, b"snapshot")
    path = port.paths()[which]
    content = port.read(path, 0, 10_000)
    spoiled = noise if replaced else content[:offset] + noise + content[offset + len(noise) :]
    port.set_content(path, spoiled)
    try:
        found = contents(Log.open(port, FOLDER, segment_bytes=SEGMENT_BYTES))
    except CorruptLogError:
        return
    assert found.records == tuple(record(number) for number in range(2, 2 + len(found.records)))


@given(st.binary(max_size=400))
def test_random_bytes_as_the_only_segment_never_crash_recovery(noise: bytes) -> None:
    port = FaultyFiles()
    path = f"{FOLDER}/{segment_name(0, 1)}"
    port.set_content(path, noise)
    assert Log.open(port, FOLDER).last_index == 0
    port.set_content(f"{FOLDER}/{segment_name(0, 7)}", noise)
    with pytest.raises(CorruptLogError):
        Log.open(port, FOLDER)


VALUES = [b"one", b"two" * 30, b"", b"four", b"five" * 9]


def stored_until_cut(port: FaultyFiles) -> int:
    """How many values were stored before power was lost."""
    done = 0
    try:
        cell = Cell(port, FOLDER, "vote")
        for value in VALUES:
            cell.store(value)
            done += 1
            if done % 2:
                cell = Cell(port, FOLDER, "vote")
    except PowerLossError:
        pass
    return done


def test_a_cell_gives_the_last_stored_value_or_the_next_after_any_loss_of_power() -> None:
    whole = FaultyFiles()
    stored_until_cut(whole)
    for cut_at in range(1, whole.call_count + 1):
        for seed in range(30):
            port = FaultyFiles(seed, strict=seed % 2 == 1)
            port.power_loss_at = cut_at
            done = stored_until_cut(port)
            kill_first = seed % 3 == 0
            if kill_first:
                port.kill_process()
                loaded = Cell(port, FOLDER, "vote").load()
            port.lose_power()
            found = Cell(port, FOLDER, "vote").load()
            allowed = [None, *VALUES][done : done + 2]
            assert found in ([loaded] if kill_first else allowed)
            assert not kill_first or loaded in allowed


class TestCell(TestCase):
    def test_a_store_that_failed_keeps_the_old_value_and_can_be_repeated(self) -> None:
        port = FaultyFiles()
        cell = Cell(port, FOLDER, "vote")
        cell.store(b"one")
        port.failures_left["sync_file"] = 1
        self.assertRaises(DiskFailedError, cell.store, b"two")
        self.assertEqual(b"one", cell.load())
        cell.store(b"three")
        port.lose_power()
        self.assertEqual(b"three", Cell(port, FOLDER, "vote").load())

    def test_two_damaged_copies_are_told(self) -> None:
        port = FaultyFiles()
        cell = Cell(port, FOLDER, "vote")
        cell.store(b"one")
        cell.store(b"two")
        for path in port.paths():
            port.flip_bit(path, 10)
        error = self.assertRaises(CorruptCellError, Cell, port, FOLDER, "vote")
        self.assertIn("new replica", str(error))

    def test_a_value_that_belongs_in_the_log_is_refused(self) -> None:
        self.assertRaises(ValueError, Cell(FaultyFiles(), FOLDER, "vote").store, bytes(70_000))


def test_the_real_disk_keeps_log_and_cell_over_a_reopening(tmp_path: object) -> None:
    port, folder = DiskFiles(), f"{tmp_path}/a/b"
    log = Log.open(port, folder, segment_bytes=SEGMENT_BYTES)
    for number in range(30):
        log.append(record(number))
    log.sync()
    log.truncate_after(25)
    log.compact(20, b"twenty")
    for number in range(30, 40):
        log.append(record(number))
        log.sync()
    Cell(port, folder, "vote").store(b"7")
    assert Reserve(port, folder).refill() and Reserve(port, folder).release()
    expected = contents(log)
    again = Log.open(DiskFiles(), folder)
    assert contents(again) == expected
    assert Cell(DiskFiles(), folder, "vote").load() == b"7"
    assert verify_log(folder).is_ok and verify_log(folder).last_index == 35
    lines = list(dump_log(folder))
    assert lines[0].startswith("snapshot up to 20: 6 bytes 'twenty'")
    assert lines[-1].startswith("record 35 ")


def test_a_missing_folder_or_file_is_told_as_a_disk_that_failed(tmp_path: object) -> None:
    assert "check the disk" in verify_log(f"{tmp_path}/none").problem
    with pytest.raises(DiskFailedError):
        DiskFiles().sync_file(f"{tmp_path}/none")


def test_a_full_device_is_told_as_a_full_disk() -> None:
    with pytest.raises(DiskFullError):
        DiskFiles().write("/dev/full", 0, b"x")

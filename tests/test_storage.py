"""The log, its snapshots and the small values, over a disk that loses, tears and refuses."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest
from faulty_files import FaultyFiles, PowerLost
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule
from storage_model import FOLDER, SEGMENT_BYTES, CheckedLog, contents
from testtools import TestCase

from larchgw.storage import inspect
from larchgw.storage.cell import Cell
from larchgw.storage.errors import CorruptCell, CorruptLog, DiskFailed, DiskFull, RecordsGone, StorageError
from larchgw.storage.files import DiskFiles
from larchgw.storage.log import Log
from larchgw.storage.reserve import Reserve
from larchgw.storage.segments import MAX_RECORD_BYTES, segment_name

SEEDS = range(6)
"""Losses drawn for each place of a cut."""


def record(number: int) -> bytes:
    return f"record {number} ".encode() * (1 + number % 4)


def append_all(log: CheckedLog, numbers: range) -> None:
    for number in numbers:
        log.append(record(number))


def many_segments(log: CheckedLog) -> None:
    for start in range(0, 24, 3):
        append_all(log, range(start, start + 3))
        log.sync()


def truncations(log: CheckedLog) -> None:
    many_segments(log)
    log.truncate_after(20)
    append_all(log, range(100, 102))
    log.truncate_after(5)
    append_all(log, range(200, 206))
    log.sync()
    log.truncate_after(0)
    append_all(log, range(300, 303))
    log.sync()


def compactions(log: CheckedLog) -> None:
    many_segments(log)
    log.compact(10, b"ten")
    append_all(log, range(100, 103))
    log.compact(27, b"all")
    append_all(log, range(200, 210))
    log.sync()
    log.truncate_after(30)
    log.compact(28, b"most" * 50)
    append_all(log, range(300, 303))
    log.sync()


def installs(log: CheckedLog) -> None:
    many_segments(log)
    log.install(10, b"ten")
    append_all(log, range(100, 104))
    log.sync()
    log.compact(12, b"twelve")
    append_all(log, range(200, 202))
    log.install(50, b"fifty")
    append_all(log, range(300, 303))
    log.sync()


SCRIPTS = [many_segments, truncations, compactions, installs]


def calls_of(script: Callable[[CheckedLog], None]) -> int:
    port = FaultyFiles()
    script(CheckedLog(port))
    return port.calls


def interrupted(script: Callable[[CheckedLog], None], cut_at: int, seed: int) -> CheckedLog:
    """A log whose script met the end of power at a call; nothing is recovered yet."""
    port = FaultyFiles(seed)
    port.cut_at = cut_at
    log = CheckedLog.__new__(CheckedLog)
    try:
        log.__init__(port)  # type: ignore[misc]
        script(log)
    except PowerLost:
        pass
    return log


@pytest.mark.parametrize("script", SCRIPTS)
def test_power_lost_at_any_call_keeps_what_was_promised(script: Callable[[CheckedLog], None]) -> None:
    for cut_at in range(2, calls_of(script) + 1):
        for seed in SEEDS:
            log = interrupted(script, cut_at, seed)
            log.lose_power()
            log.append(b"after the loss")
            log.sync()
            log.lose_power()
            assert log.world.records[-1] == b"after the loss"


@pytest.mark.parametrize("script", SCRIPTS)
def test_power_lost_again_while_recovering_keeps_what_was_promised(
    script: Callable[[CheckedLog], None],
) -> None:
    for cut_at in range(2, calls_of(script) + 1, 2):
        for second_cut in range(1, 6):
            log = interrupted(script, cut_at, cut_at)
            log.port.lose_power()
            log.port.cut_at = log.port.calls + second_cut
            try:
                log.reopen()
            except PowerLost:
                log.lose_power()


@pytest.mark.parametrize("script", SCRIPTS)
def test_process_killed_and_then_power_lost_keeps_what_was_recovered(
    script: Callable[[CheckedLog], None],
) -> None:
    for cut_at in range(2, calls_of(script) + 1):
        for seed in SEEDS:
            log = interrupted(script, cut_at, seed)
            log.kill_process()
            log.lose_power()


@pytest.mark.parametrize("script", SCRIPTS)
@pytest.mark.parametrize("call", ["write", "truncate", "rename", "remove", "sync_file", "sync_folder"])
def test_a_call_that_fails_promises_nothing_and_can_be_repeated(
    script: Callable[[CheckedLog], None], call: str
) -> None:
    for seed in range(40):
        port = FaultyFiles(seed)
        log = CheckedLog(port)
        chance = random.Random(seed)
        for _ in range(4):
            port.failing[call] = chance.randrange(3)
            try:
                script(log)
            except StorageError:
                pass
            except ValueError:
                break
        port.failing.clear()
        if chance.random() < 0.5:
            log.append(b"after the failures")
            log.sync()
        log.lose_power()


class LogMachine(RuleBasedStateMachine):
    """Any order of calls, failures, losses of power and kills."""

    def __init__(self) -> None:
        super().__init__()
        self.port = FaultyFiles(1)
        self.log = CheckedLog(self.port)
        self.count = 0

    def attempt(self, call: Callable[[], None]) -> None:
        try:
            call()
        except PowerLost:
            self.lose_power()
        except StorageError:
            pass

    @rule(size=st.integers(0, 120))
    def append(self, size: int) -> None:
        self.count += 1
        self.attempt(lambda: self.log.append(f"{self.count}:".encode() + b"x" * size))

    @rule()
    def sync(self) -> None:
        self.attempt(self.log.sync)

    @rule(share=st.floats(0, 1))
    def truncate(self, share: float) -> None:
        world = self.log.world
        self.attempt(lambda: self.log.truncate_after(world.base + int(share * len(world.records))))

    @rule(share=st.floats(0, 1))
    def compact(self, share: float) -> None:
        world = self.log.world
        up_to = world.base + int(share * len(world.records))
        self.attempt(lambda: self.log.compact(up_to, f"snapshot {up_to}".encode() * 5))

    @rule(index=st.integers(1, 60))
    def install(self, index: int) -> None:
        self.count += 1
        self.attempt(lambda: self.log.install(index, f"installed {self.count}".encode()))

    @rule()
    def lose_power(self) -> None:
        self.port.refuses_writes = False
        self.port.failing.clear()
        self.log.lose_power()

    @rule()
    def kill(self) -> None:
        self.port.refuses_writes = False
        self.port.failing.clear()
        self.log.kill_process()

    @rule(ahead=st.integers(1, 8))
    def cut_power_soon(self, ahead: int) -> None:
        self.port.cut_at = self.port.calls + ahead

    @rule(call=st.sampled_from(["write", "truncate", "rename", "remove", "sync_file", "sync_folder"]))
    def fail_next(self, call: str) -> None:
        self.port.failing[call] = 1

    @rule()
    def fill_disk(self) -> None:
        self.port.refuses_writes = True

    @precondition(lambda self: self.port.refuses_writes)
    @rule()
    def free_disk(self) -> None:
        self.port.refuses_writes = False


LogMachine.TestCase.settings = settings(max_examples=40, stateful_step_count=30)
TestLogMachine = LogMachine.TestCase


class TestFullDisk(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.port = FaultyFiles()
        self.log = Log.open(self.port, FOLDER, segment_bytes=SEGMENT_BYTES)

    def test_a_full_disk_refuses_the_append_and_the_log_goes_on_once_there_is_room(self) -> None:
        self.log.append(b"one")
        self.log.sync()
        self.port.refuses_writes = True
        self.assertRaises(DiskFull, self.log.append, b"two")
        self.assertEqual([(1, b"one")], list(self.log.read(1, 1)))
        self.port.refuses_writes = False
        self.assertEqual(2, self.log.append(b"deux"))
        self.log.sync()
        self.port.lose_power()
        self.assertEqual((b"one", b"deux"), contents(Log.open(self.port, FOLDER)).records)

    def test_a_record_written_in_part_does_not_spoil_the_segment_that_follows(self) -> None:
        self.log.append(b"x" * SEGMENT_BYTES)
        self.port.capacity = self.port.used() + 40
        self.assertRaises(DiskFull, self.log.append, b"y" * 100)
        self.port.capacity *= 100
        self.log.sync()
        self.log.append(b"in the next segment")
        self.log.sync()
        self.port.lose_power()
        self.assertEqual(2, Log.open(self.port, FOLDER).last_index)

    def test_the_limit_refuses_appends_until_the_log_is_compacted(self) -> None:
        log = Log.open(self.port, "small", segment_bytes=SEGMENT_BYTES, limit_bytes=1000)
        error = self.assertRaises(DiskFull, lambda: [log.append(b"r" * 100) for _ in range(20)])
        self.assertIn("compact", error.remedy)
        log.compact(log.last_index, b"all")
        self.assertTrue(log.size_bytes < 100)
        log.append(b"r" * 100)

    def test_a_snapshot_that_finds_no_room_leaves_no_file_behind(self) -> None:
        self.log.append(b"one")
        self.log.sync()
        before = self.port.paths()
        self.port.capacity = self.port.used() + 50
        self.assertRaises(DiskFull, self.log.compact, 1, b"s" * 500)
        self.assertEqual(before, self.port.paths())
        self.assertIs(None, self.log.snapshot())

    def test_the_reserve_lets_a_small_value_be_stored_on_a_full_disk(self) -> None:
        reserve = Reserve(self.port, FOLDER)
        self.assertTrue(reserve.refill())
        cell = Cell(self.port, FOLDER, "epoch", reserve)
        self.port.capacity = self.port.used()
        self.assertRaises(DiskFull, self.log.append, b"refused")
        cell.store(b"stepped down")
        self.port.lose_power()
        self.assertEqual(b"stepped down", Cell(self.port, FOLDER, "epoch").load())
        self.port.capacity = self.port.used()
        self.assertFalse(reserve.refill())
        self.assertRaises(DiskFull, Cell(self.port, FOLDER, "other", Reserve(self.port, "none")).store, b"x")


class TestSyncs(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.port = FaultyFiles()
        self.log = Log.open(self.port, FOLDER, segment_bytes=SEGMENT_BYTES)

    def test_appends_do_not_sync_and_share_one(self) -> None:
        self.log.append(b"first")
        self.log.sync()
        self.port.log.clear()
        for number in range(20):
            self.log.append(record(number))
        self.log.sync()
        self.assertEqual(1, sum(call.startswith("sync") for call in self.port.log))

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
        self.port.failing["sync_file"] = 1
        self.assertRaises(DiskFailed, self.log.sync)
        self.assertEqual(0, self.log.durable_index)
        self.port.log.clear()
        self.log.sync()
        self.assertEqual("write", self.port.log[0].split()[0])
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
        error = self.assertRaises(CorruptLog, Log.open, self.port, FOLDER)
        self.assertEqual((path, 0), (error.path, error.offset))
        self.assertIn("new replica", str(error))
        self.assertFalse(inspect.verify(FOLDER, self.port).ok)

    def test_damage_before_a_record_that_proves_it_synced_is_told(self) -> None:
        self.fill(3)
        self.port.flip_bit(self.first_segment(), 5)
        self.assertRaises(CorruptLog, Log.open, self.port, FOLDER)

    def test_a_missing_segment_is_told(self) -> None:
        self.fill(30)
        segments = [path for path in self.port.paths() if path.endswith(".seg")]
        self.port.remove(segments[1])
        self.assertRaises(CorruptLog, Log.open, self.port, FOLDER)

    def test_a_damaged_snapshot_is_told(self) -> None:
        self.fill(5)
        self.log.compact(5, b"five")
        path = next(path for path in self.port.paths() if path.endswith(".snap"))
        self.port.flip_bit(path, 30)
        self.assertRaises(CorruptLog, Log.open, self.port, FOLDER)
        self.assertRaises(CorruptLog, self.log.snapshot)

    def test_a_lost_snapshot_is_told(self) -> None:
        self.fill(5)
        self.log.install(9, b"nine")
        self.log.append(b"ten")
        self.log.sync()
        self.port.remove(next(path for path in self.port.paths() if path.endswith(".snap")))
        self.assertRaises(CorruptLog, Log.open, self.port, FOLDER)

    def test_damage_found_while_reading_is_told(self) -> None:
        self.fill(2)
        self.port.flip_bit(self.first_segment(), 30)
        self.assertRaises(CorruptLog, list, self.log.read(1, 2))

    def test_a_payload_that_holds_records_is_not_taken_for_some(self) -> None:
        self.fill(3)
        inner = self.port.read(self.first_segment(), 0, 10_000)
        self.log.append(inner)
        path = max(path for path in self.port.paths() if path.endswith(".seg"))
        self.port.flip_bit(path, (self.port.size(path) or 0) - 1)
        log = Log.open(self.port, FOLDER, segment_bytes=SEGMENT_BYTES)
        self.assertEqual(3, log.last_index)

    def test_compacted_and_future_records_are_refused_with_the_remedy(self) -> None:
        self.fill(5)
        self.log.compact(3, b"three")
        error = self.assertRaises(RecordsGone, self.log.read, 3, 5)
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
    except CorruptLog:
        return
    assert found.records == tuple(record(number) for number in range(2, 2 + len(found.records)))


@given(st.binary(max_size=400))
def test_random_bytes_as_the_only_segment_never_crash_recovery(noise: bytes) -> None:
    port = FaultyFiles()
    path = f"{FOLDER}/{segment_name(0, 1)}"
    port.set_content(path, noise)
    assert Log.open(port, FOLDER).last_index == 0
    port.set_content(f"{FOLDER}/{segment_name(0, 7)}", noise)
    with pytest.raises(CorruptLog):
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
    except PowerLost:
        pass
    return done


def test_a_cell_gives_the_last_stored_value_or_the_next_after_any_loss_of_power() -> None:
    whole = FaultyFiles()
    stored_until_cut(whole)
    for cut_at in range(1, whole.calls + 1):
        for seed in range(30):
            port = FaultyFiles(seed)
            port.cut_at = cut_at
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
        port.failing["sync_file"] = 1
        self.assertRaises(DiskFailed, cell.store, b"two")
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
        error = self.assertRaises(CorruptCell, Cell, port, FOLDER, "vote")
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
    assert inspect.verify(folder).ok and inspect.verify(folder).last_index == 35
    lines = list(inspect.dump(folder))
    assert lines[0].startswith("snapshot up to 20: 6 bytes 'twenty'")
    assert lines[-1].startswith("record 35 ")


def test_the_real_disk_tells_a_missing_folder_and_a_read_only_one(tmp_path: object) -> None:
    assert "check the disk" in inspect.verify(f"{tmp_path}/none").problem
    with pytest.raises(DiskFailed):
        DiskFiles().sync_file(f"{tmp_path}/none")


def test_a_full_device_is_told_as_a_full_disk() -> None:
    with pytest.raises(DiskFull):
        DiskFiles().write("/dev/full", 0, b"x")

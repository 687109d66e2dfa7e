"""Damaged or missing files of a log: damage to synced data is reported, a torn write is cut off."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from larchgw.storage.errors import CompactedRecordsError, CorruptLogError
from larchgw.storage.log import Log
from larchgw.storage.log_inspection import verify_log
from larchgw.storage.segments import MAX_RECORD_BYTES, encode_record, segment_name
from tests.support.faulty_files import FaultyFiles
from tests.support.storage_model import FOLDER, SEGMENT_BYTES, make_record, read_state


def append_synced_records(log: Log, count: int) -> None:
    for number in range(count):
        log.append(make_record(number))
        log.sync()


def segment_paths(port: FaultyFiles) -> list[str]:
    return [path for path in port.paths() if path.endswith(".seg")]


def snapshot_path(port: FaultyFiles) -> str:
    return next(path for path in port.paths() if path.endswith(".snap"))


def test_damage_in_an_earlier_segment_is_reported_with_file_offset_and_remedy(
    port: FaultyFiles, log: Log
) -> None:
    append_synced_records(log, 20)
    path = segment_paths(port)[0]
    port.flip_bit(path, 30)
    with pytest.raises(CorruptLogError) as caught:
        Log.open(port, FOLDER)
    assert (caught.value.path, caught.value.offset) == (path, 0)
    assert "new replica" in str(caught.value)
    assert not verify_log(FOLDER, port).is_ok


def test_damage_before_a_record_that_proves_it_was_synced_is_reported(port: FaultyFiles, log: Log) -> None:
    append_synced_records(log, 3)
    port.flip_bit(segment_paths(port)[0], 5)
    with pytest.raises(CorruptLogError):
        Log.open(port, FOLDER)


def test_damage_below_the_snapshot_in_a_segment_that_reaches_above_it_is_reported(
    port: FaultyFiles, log: Log
) -> None:
    for number in range(3):
        log.append(make_record(number))
    log.sync()
    log.compact(2, b"two")
    port.flip_bit(segment_paths(port)[0], 5)
    with pytest.raises(CorruptLogError):
        Log.open(port, FOLDER)


def test_bytes_behind_the_last_record_of_an_earlier_segment_are_reported(port: FaultyFiles, log: Log) -> None:
    append_synced_records(log, 20)
    path = segment_paths(port)[0]
    port.set_content(path, port.read(path, 0, 10_000) + b"noise")
    with pytest.raises(CorruptLogError):
        Log.open(port, FOLDER)


def test_missing_segment_is_reported(port: FaultyFiles, log: Log) -> None:
    append_synced_records(log, 30)
    port.remove(segment_paths(port)[1])
    with pytest.raises(CorruptLogError):
        Log.open(port, FOLDER)


def test_damaged_snapshot_is_reported(port: FaultyFiles, log: Log) -> None:
    append_synced_records(log, 5)
    log.compact(5, b"five")
    port.flip_bit(snapshot_path(port), 30)
    with pytest.raises(CorruptLogError):
        Log.open(port, FOLDER)
    with pytest.raises(CorruptLogError):
        log.snapshot()


def test_missing_snapshot_is_reported(port: FaultyFiles, log: Log) -> None:
    append_synced_records(log, 5)
    log.install(9, b"nine")
    log.append(b"ten")
    log.sync()
    port.remove(snapshot_path(port))
    with pytest.raises(CorruptLogError):
        Log.open(port, FOLDER)


def test_damage_found_while_reading_is_reported(port: FaultyFiles, log: Log) -> None:
    append_synced_records(log, 2)
    port.flip_bit(segment_paths(port)[0], 30)
    with pytest.raises(CorruptLogError):
        list(log.read(1, 2))


def test_encoded_record_inside_a_torn_payload_is_not_read_as_a_record(port: FaultyFiles, log: Log) -> None:
    append_synced_records(log, 3)
    inner = encode_record(first_index=1, offset=0, index=99, durable_index=98, payload=b"not of this log")
    log.append(inner)
    path = segment_paths(port)[0]
    last_byte_of_the_header = (port.size(path) or 0) - len(inner) - 1
    port.flip_bit(path, last_byte_of_the_header)
    assert Log.open(port, FOLDER, segment_bytes=SEGMENT_BYTES).last_index == 3


def test_calls_on_records_that_are_compacted_or_do_not_exist_are_rejected(
    port: FaultyFiles, log: Log
) -> None:
    append_synced_records(log, 5)
    log.compact(3, b"three")
    with pytest.raises(CompactedRecordsError) as caught:
        log.read(3, 5)
    assert "snapshot up to 3" in caught.value.remedy
    with pytest.raises(ValueError, match="record 6 does not exist"):
        log.read(4, 6)
    with pytest.raises(ValueError, match="record 2 is part of the snapshot"):
        log.truncate_after(2)
    with pytest.raises(ValueError, match="record 6 does not exist"):
        log.compact(6, b"")
    with pytest.raises(ValueError, match="split it"):
        log.append(bytes(MAX_RECORD_BYTES + 1))


@settings(max_examples=300)
@given(st.binary(max_size=200), st.integers(0, 700), st.integers(0, 2), st.booleans())
def test_random_bytes_in_a_file_are_reported_or_cut_off_and_never_crash_recovery(
    random_bytes: bytes, offset: int, which: int, replaced: bool
) -> None:
    port = FaultyFiles()
    log = Log.open(port, FOLDER, segment_bytes=SEGMENT_BYTES)
    append_synced_records(log, 12)
    log.compact(2, b"snapshot")
    path = port.paths()[which]
    content = port.read(path, 0, 10_000)
    damaged_content = (
        random_bytes if replaced else content[:offset] + random_bytes + content[offset + len(random_bytes) :]
    )
    port.set_content(path, damaged_content)
    try:
        found = read_state(Log.open(port, FOLDER, segment_bytes=SEGMENT_BYTES))
    except CorruptLogError:
        return
    assert found.records == tuple(make_record(number) for number in range(2, 2 + len(found.records)))


@given(st.binary(max_size=400))
def test_random_bytes_as_the_only_segment_never_crash_recovery(random_bytes: bytes) -> None:
    port = FaultyFiles()
    path = f"{FOLDER}/{segment_name(0, 1)}"
    port.set_content(path, random_bytes)
    assert Log.open(port, FOLDER).last_index == 0
    port.set_content(f"{FOLDER}/{segment_name(0, 7)}", random_bytes)
    with pytest.raises(CorruptLogError):
        Log.open(port, FOLDER)

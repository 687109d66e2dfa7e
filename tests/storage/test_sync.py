"""When records are synced, and which of them count as durable."""

from __future__ import annotations

import pytest

from larchgw.storage.errors import DiskFailedError
from larchgw.storage.log import Log
from tests.support.faulty_files import FaultyFiles
from tests.support.storage_model import FOLDER, make_record, read_state


def test_appends_do_not_sync_and_one_sync_covers_all(port: FaultyFiles, log: Log) -> None:
    log.append(b"first")
    log.sync()
    port.call_log.clear()
    for number in range(20):
        log.append(make_record(number))
    log.sync()
    assert sum(call.startswith("sync") for call in port.call_log) == 1


def test_record_appended_while_a_sync_runs_is_not_durable(
    port: FaultyFiles, log: Log, monkeypatch: pytest.MonkeyPatch
) -> None:
    log.append(b"one")
    sync_file = port.sync_file

    def sync_with_append(path: str) -> None:
        sync_file(path)
        log.append(b"two")

    monkeypatch.setattr(port, "sync_file", sync_with_append)
    log.sync()
    assert (log.durable_index, log.last_index) == (1, 2)


def test_records_of_a_failed_sync_are_written_again(port: FaultyFiles, log: Log) -> None:
    log.append(b"one")
    port.failures_left["sync_file"] = 1
    with pytest.raises(DiskFailedError):
        log.sync()
    assert log.durable_index == 0
    port.call_log.clear()
    log.sync()
    assert port.call_log[0].split()[0] == "write"
    port.lose_power()
    assert read_state(Log.open(port, FOLDER)).records == (b"one",)

"""The disk of a control process: a full disk only stops writes, and small values still have space."""

from __future__ import annotations

import asyncio
import json
import random
import signal
from collections.abc import Coroutine, Iterator
from pathlib import Path
from typing import Any

import pytest
from structlog.testing import capture_logs
from testtools import TestCase

from larchgw.control.configuration_state import ConfigurationState
from larchgw.control.disk import ControlDisk
from larchgw.control.errors import ReplicationUnavailableError
from larchgw.control.operator_calls import OperatorCallRouter
from larchgw.control.operator_order import OperatorOrder
from larchgw.control.operator_service import MAX_ORDER_BYTES
from larchgw.control.replicated_log import ReplicatedLog
from larchgw.replication.member import Member
from larchgw.replication.settings import MemberSettings
from larchgw.runtime import process
from larchgw.runtime.rpc_clients import RpcClients
from larchgw.storage.errors import DiskFailedError, DiskFullError
from larchgw.storage.files import DiskFiles
from larchgw.storage.reserve import RESERVE_BYTES, RESERVE_FILE_NAME
from tests.support.faulty_files import FaultyFiles

ADDRESS = "10.0.0.1:7660"
RESERVE = f"data/{RESERVE_FILE_NAME}"


def order(version: int, base_version: int) -> OperatorOrder:
    body = {"config_version": version, "routes": [], "services": []}
    return OperatorOrder("replace", base_version, json.dumps(body).encode())


class ReserveTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.files = FaultyFiles()
        self.disk = ControlDisk.open(self.files, "data")

    def test_epoch_can_be_stored_after_the_disk_became_full(self) -> None:
        self.disk.refill_reserve()
        self.files.capacity = self.files.used()
        self.disk.ports.witness.store(b"epoch 7")
        assert ControlDisk.open(self.files, "data").ports.witness.load() == b"epoch 7"
        assert self.files.size(RESERVE) is None

    def test_reserve_is_not_refilled_before_a_compaction_has_freed_space(self) -> None:
        self.disk.refill_reserve()
        self.files.capacity = self.files.used()
        self.disk.ports.witness.store(b"epoch 7")
        self.disk.refill_reserve()
        assert self.files.size(RESERVE) is None
        self.files.capacity += 4 * RESERVE_BYTES
        self.disk.ports.journal.append(b"record")
        self.disk.ports.journal.compact(1, b"snapshot")
        self.disk.refill_reserve()
        assert self.files.size(RESERVE) == RESERVE_BYTES


class FullDiskTest(TestCase):
    """A single member whose disk becomes full."""

    def setUp(self) -> None:
        super().setUp()
        self.files, self.now = FaultyFiles(), 0.0
        self.state = ConfigurationState()
        settings = MemberSettings(ADDRESS, (ADDRESS,), True, "", 0, 3.0)
        disk = ControlDisk.open(self.files, "data")
        self.member = Member(settings, disk.ports, self.state.snapshot, random.Random(1))
        self.log = ReplicatedLog(self.member, self.state, RpcClients(), lambda: None, lambda: self.now)
        self.log.start()
        self.pass_time(1.0)

    def pass_time(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.02)):
            self.now += 0.02
            self.log.tick()

    def run_call(self, call: Coroutine[Any, Any, int]) -> int:
        return asyncio.run(call)

    def test_full_disk_leaves_a_change_unconfirmed_and_the_process_running(self) -> None:
        self.run_call(self.log.propose(order(1, 0).encode()))
        self.files.refuses_writes = True
        with pytest.raises(ReplicationUnavailableError):
            self.run_call(self.log.propose(order(2, 1).encode()))
        self.pass_time(10.0)
        assert self.state.version == 1
        self.files.refuses_writes = False
        self.pass_time(10.0)
        self.run_call(self.log.propose(order(3, 1).encode()))
        assert self.state.version == 3


def test_largest_accepted_order_fits_into_a_record_of_the_log() -> None:
    log = ControlDisk.open(FaultyFiles(), "data").log
    log.append(bytes(64) + OperatorOrder("replace", 2**62, bytes(MAX_ORDER_BYTES)).encode())
    assert log.last_index == 1


def test_order_that_no_record_can_hold_is_rejected_before_it_is_forwarded() -> None:
    calls = OperatorCallRouter(None, None, None)  # type: ignore[arg-type]
    answer = asyncio.run(calls.operator_call("replace", 1, bytes(MAX_ORDER_BYTES + 1)))
    assert answer.status == 413
    assert b"several changes" in answer.body


@pytest.mark.parametrize("kind", [DiskFullError, DiskFailedError])
def test_disk_error_is_an_os_error_that_names_file_and_remedy(kind: type[Exception]) -> None:
    error = kind("log/segment", "no room", "free some")
    assert isinstance(error, OSError)
    assert str(error) == "log/segment: no room; free some"


def test_failed_write_raises_a_typed_error_with_the_path(tmp_path: Path) -> None:
    with pytest.raises(DiskFailedError) as caught:
        DiskFiles().write(str(tmp_path), 0, b"a folder is no file")
    assert str(tmp_path) in str(caught.value)


@pytest.fixture
def hang_up_handler() -> Iterator[None]:
    """Restores the SIGHUP handler; otherwise processes started by other tests would inherit SIG_IGN."""
    before = signal.getsignal(signal.SIGHUP)
    yield
    signal.signal(signal.SIGHUP, before)


@pytest.mark.usefixtures("hang_up_handler")
def test_damaged_data_folder_fails_the_start_with_one_log_line_that_names_the_remedy(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    settings = tmp_path / "local.json"
    settings.write_text(json.dumps({"node_name": "c", "ip": "127.0.0.1", "zone": "a", "spare_ports": [1, 9]}))
    monkeypatch.setenv("LARCHGW_NODE_FILE", str(settings))
    monkeypatch.setattr(process.logs, "configure", lambda name: None)
    (tmp_path / "data").mkdir()
    (tmp_path / "data" / "witness-a").write_bytes(b"torn")
    (tmp_path / "data" / "witness-b").write_bytes(b"torn")

    def make(_: object) -> ControlDisk:
        return ControlDisk.open(DiskFiles(), str(tmp_path / "data"))

    with capture_logs() as lines:
        assert process.run(make) == 1
    (line,) = [line for line in lines if line["log_level"] == "error"]
    assert line["event"] == "process.start_failed"
    assert line["cause"] == "data_folder"
    assert "witness-a" in line["error"]
    assert "move the data folder" in line["error"]

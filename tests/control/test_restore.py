"""Restoring a lost system: the restored state supersedes all remains, and new processes can join it."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path

import pytest
from testtools import TestCase

from larchgw.configuration.change import canonical_json
from larchgw.control.configuration_state import ConfigurationState
from larchgw.control.disk import ControlDisk
from larchgw.control.errors import RestoreError
from larchgw.control.operator_order import OperatorOrder
from larchgw.control.replicated_log import ReplicatedLog
from larchgw.control.restore import check_empty, fresh_identity, read_source, write_folder
from larchgw.model_checking.replication.cluster import SimulatedCluster
from larchgw.replication.forced_new_view import ForcedView, plan_forced_view, write_forced_view
from larchgw.replication.lease import FENCING_TOKENS_PER_EPOCH
from larchgw.replication.member import Member
from larchgw.replication.settings import MemberSettings
from larchgw.runtime.rpc_clients import RpcClients
from larchgw.storage.files import DiskFiles
from tests.support.configurations import example

ADDRESS = "10.0.0.1:7660"
LATER = 1_800_000_000.0  # time of day


class Process:
    """The replicated state of a single control process in a real folder, in virtual time."""

    def __init__(self, folder: Path, first_boot: bool = False, survive: int = 0) -> None:
        self.now, self.state = 100.0, ConfigurationState()
        disk = ControlDisk.open(DiskFiles(), str(folder))
        settings = MemberSettings(ADDRESS, (ADDRESS,), first_boot, fresh_identity(ADDRESS), survive, 3.0)
        self.member = Member(settings, disk.ports, self.state.snapshot, random.Random(1))
        self.log = ReplicatedLog(self.member, self.state, RpcClients(), lambda: None, lambda: self.now)
        self.log.start()
        self.pass_time(2.0)

    def pass_time(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.02)):
            self.now += 0.02
            self.log.tick()

    def replace(self, version: int, base_version: int) -> None:
        body = canonical_json(example() | {"config_version": version})
        asyncio.run(self.log.propose(OperatorOrder("replace", base_version, body).encode()))


def restore_to(source: Path, target: Path) -> ForcedView:
    restorable = read_source(source)
    forced_view = plan_forced_view(
        fresh_identity(ADDRESS), ADDRESS, LATER, restorable.last_epoch, restorable.last_index
    )
    write_folder(target, restorable, forced_view)
    return forced_view


def test_process_starts_with_the_restored_configuration_and_accepts_the_next_change(tmp_path: Path) -> None:
    lost = Process(tmp_path / "lost", first_boot=True)
    lost.replace(4, 0)
    lost.replace(6, 4)
    forced_view = restore_to(tmp_path / "lost", tmp_path / "new")
    process = Process(tmp_path / "new")
    assert process.member.is_primary
    assert process.member.id == forced_view.identity
    assert process.state.version == 6
    process.replace(9, 6)
    assert (process.state.version, Process(tmp_path / "new").state.version) == (9, 9)


def test_restored_state_is_newer_than_that_of_running_dispatchers(tmp_path: Path) -> None:
    lost = Process(tmp_path / "lost", first_boot=True)
    lost.replace(4, 0)
    forced_view = restore_to(tmp_path / "lost", tmp_path / "new")
    process = Process(tmp_path / "new")
    assert process.state.record_index == forced_view.index > lost.state.record_index
    assert process.member.view is not None
    assert lost.member.view is not None
    assert process.member.view.epoch * FENCING_TOKENS_PER_EPOCH < 1 << 53  # JSON numbers are exact up to this
    assert process.member.view.epoch >= forced_view.epoch > lost.member.view.epoch


def test_order_accepted_before_the_loss_is_acknowledged_again_after_the_restore(tmp_path: Path) -> None:
    lost = Process(tmp_path / "lost", first_boot=True)
    lost.replace(4, 0)
    restore_to(tmp_path / "lost", tmp_path / "new")
    process = Process(tmp_path / "new")
    body = canonical_json(example() | {"config_version": 4})
    assert process.state.is_accepted(OperatorOrder("replace", 0, body))


def test_all_forms_of_a_source_restore_the_same_configuration(tmp_path: Path) -> None:
    lost = Process(tmp_path / "lost", first_boot=True)
    lost.replace(4, 0)
    restore_to(tmp_path / "lost", tmp_path / "new")  # its log contains a snapshot and no records
    (tmp_path / "read.json").write_bytes(canonical_json(example() | {"config_version": 4}))
    (snapshot,) = (tmp_path / "new" / "log").glob("snapshot-*")
    for source in (
        tmp_path / "lost",
        tmp_path / "lost" / "log",
        tmp_path / "new",
        snapshot,
        tmp_path / "read.json",
    ):
        assert read_source(source).configuration.config_version == 4


def test_second_restore_has_higher_epoch_and_index_even_if_the_clock_went_back(tmp_path: Path) -> None:
    (tmp_path / "read.json").write_bytes(canonical_json(example()))
    first = restore_to(tmp_path / "read.json", tmp_path / "first")
    restorable = read_source(tmp_path / "first")
    second = plan_forced_view("x", ADDRESS, 1000.0, restorable.last_epoch, restorable.last_index)
    assert second.epoch > first.epoch
    assert second.index > first.index


@pytest.mark.parametrize(("content", "word"), [(b"{", "valid"), (b"{}", "config_version")])
def test_file_that_is_not_a_configuration_is_rejected(content: bytes, word: str, tmp_path: Path) -> None:
    (tmp_path / "x.json").write_bytes(content)
    with pytest.raises(RestoreError, match=word):
        read_source(tmp_path / "x.json")


def test_empty_and_damaged_sources_are_rejected(tmp_path: Path) -> None:
    (tmp_path / "empty").mkdir()
    with pytest.raises(RestoreError, match="no configuration"):
        read_source(tmp_path / "empty")
    (tmp_path / "snapshot-000001-00000000000000000007.snap").write_bytes(b"torn")
    with pytest.raises(RestoreError, match="cannot be read"):
        read_source(tmp_path / "snapshot-000001-00000000000000000007.snap")
    with pytest.raises(RestoreError, match="not that of a snapshot"):
        read_source(tmp_path / "other-file")


def test_folder_that_is_not_empty_is_not_written_to(tmp_path: Path) -> None:
    check_empty(tmp_path / "none")
    check_empty(tmp_path)
    (tmp_path / "reserve").write_bytes(b"")
    with pytest.raises(RestoreError, match="move its contents elsewhere"):
        check_empty(tmp_path)


class JoiningTest(TestCase):
    """Other members join a restored one, in virtual time."""

    def setUp(self) -> None:
        super().setUp()
        self.cluster = SimulatedCluster(1, 3, 3, 1)
        for address in self.cluster.machines:
            self.cluster.start(address, first_boot=True)
        self.acknowledge_changes(2.0)
        self.stale = self.cluster.machines["m2:1"].disk
        for address in list(self.cluster.machines):
            self.cluster.wipe(address)
        self.newest_acknowledged = self.cluster.checks.newest_acknowledged
        forced_view = ForcedView("m0:1#anew", "m0:1", 1_800_000_000, self.newest_acknowledged)
        write_forced_view(
            self.cluster.machines["m0:1"].disk.ports(), forced_view, str(self.newest_acknowledged).encode()
        )
        self.cluster.checks.made_snapshot(self.newest_acknowledged, str(self.newest_acknowledged).encode())
        self.cluster.start("m0:1")

    def acknowledge_changes(self, seconds: float) -> int:
        before, end = self.cluster.acknowledged, self.cluster.now + seconds
        while self.cluster.now < end:
            self.cluster.run(0.05)
            for machine in self.cluster.primaries():
                self.cluster.change(machine)
        return self.cluster.acknowledged - before

    def test_nothing_is_acknowledged_before_enough_copies_exist(self) -> None:
        assert self.acknowledge_changes(3.0) == 0

    def test_processes_with_empty_disks_join_and_the_loss_of_one_is_tolerated_again(self) -> None:
        for address in ("m1:1", "m2:1"):
            self.cluster.start(address)
        assert self.acknowledge_changes(4.0) > 10
        (primary,) = self.cluster.primaries()
        self.cluster.wipe(primary.address)
        self.cluster.run(2.0)
        assert self.acknowledge_changes(2.0) > 10

    def test_process_with_a_disk_from_before_the_loss_does_not_affect_the_others(self) -> None:
        self.cluster.machines["m2:1"].disk = self.stale
        self.cluster.start("m2:1")
        self.cluster.start("m1:1")
        assert self.acknowledge_changes(4.0) > 10
        (primary,) = self.cluster.primaries()
        member = primary.member
        assert member is not None
        assert member.view is not None
        assert member.view.epoch >= 1800000000
        assert "m2:1" not in member.view.members

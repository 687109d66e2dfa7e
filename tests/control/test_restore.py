"""A restore: nothing of the lost system counts more than what was restored, and the rest joins it."""

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
    """One control process's replicated state on a real folder, alone, in virtual time."""

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


def restored(source: Path, target: Path) -> ForcedView:
    found = read_source(source)
    begin = plan_forced_view(fresh_identity(ADDRESS), ADDRESS, LATER, found.last_epoch, found.last_index)
    write_folder(target, found, begin)
    return begin


def test_a_process_begins_anew_with_the_configuration_and_takes_the_next_change(tmp_path: Path) -> None:
    lost = Process(tmp_path / "lost", first_boot=True)
    lost.replace(4, 0)
    lost.replace(6, 4)
    begin = restored(tmp_path / "lost", tmp_path / "new")
    process = Process(tmp_path / "new")
    assert process.member.is_primary
    assert process.member.id == begin.identity
    assert process.state.version == 6
    process.replace(9, 6)
    assert (process.state.version, Process(tmp_path / "new").state.version) == (9, 9)


def test_restored_state_is_newer_than_that_of_running_dispatchers(tmp_path: Path) -> None:
    lost = Process(tmp_path / "lost", first_boot=True)
    lost.replace(4, 0)
    begin = restored(tmp_path / "lost", tmp_path / "new")
    process = Process(tmp_path / "new")
    assert process.state.record_index == begin.index > lost.state.record_index
    assert process.member.view is not None
    assert lost.member.view is not None
    assert process.member.view.epoch * FENCING_TOKENS_PER_EPOCH < 1 << 53  # JSON keeps it whole
    assert process.member.view.epoch >= begin.epoch > lost.member.view.epoch


def test_order_accepted_before_the_loss_is_acknowledged_again_after_the_restore(tmp_path: Path) -> None:
    lost = Process(tmp_path / "lost", first_boot=True)
    lost.replace(4, 0)
    restored(tmp_path / "lost", tmp_path / "new")
    process = Process(tmp_path / "new")
    body = canonical_json(example() | {"config_version": 4})
    assert process.state.is_accepted(OperatorOrder("replace", 0, body))


def test_all_forms_of_a_source_restore_the_same_configuration(tmp_path: Path) -> None:
    lost = Process(tmp_path / "lost", first_boot=True)
    lost.replace(4, 0)
    restored(tmp_path / "lost", tmp_path / "new")  # holds a snapshot and no records
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


def test_a_second_restore_is_above_the_first_even_if_the_clock_went_back(tmp_path: Path) -> None:
    (tmp_path / "read.json").write_bytes(canonical_json(example()))
    first = restored(tmp_path / "read.json", tmp_path / "first")
    found = read_source(tmp_path / "first")
    second = plan_forced_view("x", ADDRESS, 1000.0, found.last_epoch, found.last_index)
    assert second.epoch > first.epoch
    assert second.index > first.index


@pytest.mark.parametrize(("content", "word"), [(b"{", "valid"), (b"{}", "config_version")])
def test_a_file_that_is_no_configuration_is_refused(content: bytes, word: str, tmp_path: Path) -> None:
    (tmp_path / "x.json").write_bytes(content)
    with pytest.raises(RestoreError, match=word):
        read_source(tmp_path / "x.json")


def test_sources_that_hold_nothing_or_are_damaged_are_refused(tmp_path: Path) -> None:
    (tmp_path / "empty").mkdir()
    with pytest.raises(RestoreError, match="no configuration"):
        read_source(tmp_path / "empty")
    (tmp_path / "snapshot-000001-00000000000000000007.snap").write_bytes(b"torn")
    with pytest.raises(RestoreError, match="cannot be read"):
        read_source(tmp_path / "snapshot-000001-00000000000000000007.snap")
    with pytest.raises(RestoreError, match="not that of a snapshot"):
        read_source(tmp_path / "other-file")


def test_a_folder_that_holds_something_is_not_written_to(tmp_path: Path) -> None:
    check_empty(tmp_path / "none")
    check_empty(tmp_path)
    (tmp_path / "reserve").write_bytes(b"")
    with pytest.raises(RestoreError, match="move what it holds aside"):
        check_empty(tmp_path)


class JoiningTest(TestCase):
    """Members around a restored one, in virtual time."""

    def setUp(self) -> None:
        super().setUp()
        self.world = SimulatedCluster(1, 3, 3, 1)
        for address in self.world.machines:
            self.world.start(address, first_boot=True)
        self.changes(2.0)
        self.stale = self.world.machines["m2:1"].disk
        for address in list(self.world.machines):
            self.world.wipe(address)
        self.known = self.world.checks.newest_acknowledged
        begin = ForcedView("m0:1#anew", "m0:1", 1_800_000_000, self.known)
        write_forced_view(self.world.machines["m0:1"].disk.ports(), begin, str(self.known).encode())
        self.world.checks.made_snapshot(self.known, str(self.known).encode())
        self.world.start("m0:1")

    def changes(self, seconds: float) -> int:
        before, end = self.world.acknowledged, self.world.now + seconds
        while self.world.now < end:
            self.world.run(0.05)
            for machine in self.world.primaries():
                self.world.change(machine)
        return self.world.acknowledged - before

    def test_nothing_is_acknowledged_before_as_many_copies_exist_as_must_be_survived(self) -> None:
        assert self.changes(3.0) == 0

    def test_empty_disks_join_and_the_loss_of_one_is_survived_again(self) -> None:
        for address in ("m1:1", "m2:1"):
            self.world.start(address)
        assert self.changes(4.0) > 10
        (primary,) = self.world.primaries()
        self.world.wipe(primary.address)
        self.world.run(2.0)
        assert self.changes(2.0) > 10

    def test_a_process_with_an_old_disk_changes_nothing(self) -> None:
        self.world.machines["m2:1"].disk = self.stale
        self.world.start("m2:1")
        self.world.start("m1:1")
        assert self.changes(4.0) > 10
        (primary,) = self.world.primaries()
        member = primary.member
        assert member is not None
        assert member.view is not None
        assert member.view.epoch >= 1800000000
        assert "m2:1" not in member.view.members

"""A complete member on simulated files that lose power at each call that changes the disk.

After a restart the member must keep every commitment that its messages made before. The member is the backup
b. Scripted primaries send it records, a divergent tail, a snapshot in chunks, promises, views and lease
requests, and it compacts its log.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from random import Random

import pytest

from larchgw.model_checking.errors import SimulatedCrashError
from larchgw.model_checking.simulated_disk import SimulatedDisk
from larchgw.replication.effects import Effects
from larchgw.replication.lease_acceptor import LeaseAcceptor
from larchgw.replication.member import Member
from larchgw.replication.message_codec import decode, encode
from larchgw.replication.messages import (
    Accept,
    Accepted,
    Append,
    AppendReply,
    Heartbeat,
    InstallSnapshot,
    LeaseRelease,
    LeaseReply,
    LeaseRequest,
    Message,
    Prepare,
    Promise,
)
from larchgw.replication.ports import Ports
from larchgw.replication.settings import MemberSettings
from larchgw.replication.snapshot_transfer import checksum_of
from larchgw.replication.view import View, first_view
from larchgw.replication.witness import Witness
from larchgw.rpc.generated.ttypes import PeerMessage
from larchgw.storage.cell import Cell
from larchgw.storage.log import Log
from larchgw.storage.reserve import Reserve
from tests.support.faulty_files import FaultyFiles, PowerLossError

SEEDS = ("a", "b", "c")
FIRST = first_view(SEEDS)
SECOND = View(2, "c", ("a", "b"), SEEDS, SEEDS, {member: member for member in SEEDS})
THIRD = View(5, "c", ("a", "b"), SEEDS, SEEDS, {member: member for member in SEEDS})
SNAPSHOT = b"the state after record 30"
CHUNK_BYTES = 10
TERM = 3.0
ACKNOWLEDGED_IN_FIRST = 7  # the last record of the first view that all of its members had stored


def record(epoch: int, index: int) -> bytes:
    return f"record {index} of epoch {epoch} ".encode() * 4


def append(epoch: int, previous: tuple[int, int], epochs: tuple[int, ...], commit: int) -> Append:
    index = previous[0]
    records = tuple(record(of, index + 1 + number) for number, of in enumerate(epochs))
    return Append(epoch, index, previous[1], commit, epochs, records)


def chunks(epoch: int) -> Iterator[InstallSnapshot]:
    for offset in range(0, len(SNAPSHOT), CHUNK_BYTES):
        yield InstallSnapshot(
            epoch,
            30,
            2,
            offset,
            len(SNAPSHOT),
            checksum_of(SNAPSHOT),
            SNAPSHOT[offset : offset + CHUNK_BYTES],
        )


def lease_request(fencing_token: int, is_renewal: bool) -> LeaseRequest:
    return LeaseRequest("placer", fencing_token, is_renewal, 9, attempt=fencing_token, is_acting=True)


SCRIPT: tuple[tuple[str, Message], ...] = (
    ("a", Heartbeat(1, 1, 0)),
    ("a", append(1, (0, 0), (1, 1, 1), 0)),
    ("a", append(1, (3, 1), (1, 1, 1, 1), 5)),
    ("a", append(1, (7, 1), (1, 1), 7)),  # records 8 and 9 are never acknowledged
    ("a", lease_request(70_000, is_renewal=False)),
    ("c", Prepare(2)),
    ("c", Accept(SECOND)),
    ("c", Heartbeat(2, 1, 7)),
    ("c", append(2, (7, 1), (2, 2), 7)),  # different records 8 and 9
    ("a", append(1, (9, 1), (1,), 9)),  # from the old primary
    ("a", next(chunks(1))),
    *(("c", chunk) for chunk in chunks(2)),
    ("c", append(2, (30, 2), (2, 2, 2), 31)),
    ("a", LeaseRelease("placer", 70_000)),
    ("c", lease_request(140_000, is_renewal=False)),
    ("c", append(2, (33, 2), (2, 2, 2), 36)),
    ("a", Prepare(4)),
    ("c", Prepare(5)),
    ("c", Accept(THIRD)),
    ("c", append(5, (36, 2), (5, 5), 38)),
)


@dataclass
class Commitments:
    """The commitments of a member to other members, collected from its messages."""

    promised: int = 0
    accepted: int = 0
    matched: tuple[int, int, bytes | None] = (0, 0, None)  # epoch of the view, index, record if not compacted
    fencing_token: int = 0
    records: dict[int, bytes] = field(default_factory=dict)  # index -> the record that a primary last sent

    def observe(self, message: Message) -> None:
        match message:
            case Promise() if message.granted:
                self.promised = max(self.promised, message.epoch)
            case Accepted() if message.granted:
                self.accepted = max(self.accepted, message.epoch)
            case AppendReply() if message.matched:
                self.matched = (message.epoch, message.index, self.records.get(message.index))
            case LeaseReply() if message.granted:
                self.fencing_token = max(self.fencing_token, message.attempt)
            case _:
                pass


class Backup:
    """Member b on its files, over several restarts."""

    def __init__(self, files: FaultyFiles) -> None:
        self.files = files
        self.commitments = Commitments()
        self.member: Member | None = None
        self.version = 0

    def start(self) -> None:
        reserve = Reserve(self.files, "data")
        log = Log.open(self.files, "data/log", segment_bytes=256)
        cells = [Cell(self.files, "data", name, reserve) for name in ("identity", "witness", "leases")]
        settings = MemberSettings("b", SEEDS, True, "b#new", 1, TERM, compact_records=6)
        self.version = 0
        self.member = Member(settings, Ports(cells[0], cells[1], cells[2], log), self.snapshot, Random(1))
        self.carry_out(self.member.start(100.0))

    def snapshot(self) -> bytes:
        return SNAPSHOT if self.version == 30 else f"the state after record {self.version}".encode()

    def run_script(self, before_step: Callable[[int], None] = lambda step: None) -> None:
        """Sends the whole script; after a restart the member gets a part of it again."""
        for number, (sender, message) in enumerate(SCRIPT):
            before_step(number)
            now = 100.0 + 0.01 * number
            if isinstance(message, Append):
                first = message.previous_index + 1
                self.commitments.records.update(enumerate(message.records, first))
            kind, body = encode(message, sender)
            self.carry_out(self.member.receive(now, PeerMessage(sender, "b", kind, body)))
            self.carry_out(self.member.tick(now + 0.005))

    def carry_out(self, effects: Effects) -> None:
        if effects.installed is not None:
            self.version = effects.installed.index
            assert effects.installed.content == self.snapshot()
        for committed in effects.committed:
            index = committed.index
            assert index == self.version + 1
            assert committed.record == (
                record(2, index) if 8 <= index < 37 else record(5 if index >= 37 else 1, index)
            )
            self.version = index
        for outgoing in effects.messages:
            message, _ = decode(outgoing.message.kind, outgoing.message.body)
            self.commitments.observe(message)

    def check_commitments(self) -> None:
        """Checks that the member keeps all commitments and claims no role."""
        member, commitments = self.member, self.commitments
        assert member is not None
        assert not member.is_primary
        assert member.acting_epoch is None
        assert member._parts.witness.promised >= max(commitments.promised, commitments.accepted)
        if commitments.accepted:
            assert member.view is not None
            assert member.view.epoch >= commitments.accepted
        epoch, index, matched = commitments.matched
        is_of_this_view = member.view is not None and member.view.epoch == epoch
        assert member.last_index >= (index if is_of_this_view else min(index, ACKNOWLEDGED_IN_FIRST))
        if matched is not None and is_of_this_view and index >= member._parts.replica.first_index:
            assert list(member._parts.replica.read(index, index)) == [(index, matched)]
        stored = member._parts.lease_acceptor._leases.get("placer")
        assert (
            commitments.fencing_token == 0
            or stored is not None
            and stored.fencing_token >= commitments.fencing_token
        )


def count_script_calls() -> int:
    backup = Backup(FaultyFiles())
    backup.start()
    backup.run_script()
    assert backup.version == 38
    return backup.files.call_count


def test_the_script_includes_a_snapshot_and_a_compaction() -> None:
    backup = Backup(FaultyFiles())
    backup.start()
    backup.run_script()
    assert backup.member._parts.replica.first_index > 31
    assert backup.commitments.promised == 5
    assert backup.commitments.accepted == 5
    assert backup.commitments.fencing_token == 140_000


@pytest.mark.parametrize("stop", [FaultyFiles.lose_power, FaultyFiles.kill_process])
def test_a_member_stopped_at_any_write_keeps_its_commitments(stop: Callable[[FaultyFiles], None]) -> None:
    for power_loss_at_call in range(1, count_script_calls() + 1):
        for seed in range(4):
            backup = Backup(FaultyFiles(seed, strict=seed % 2 == 1))
            backup.files.power_loss_at = power_loss_at_call
            try:
                backup.start()
                backup.run_script()
            except PowerLossError:
                pass
            stop(backup.files)
            backup.files.power_loss_at = 0
            backup.start()
            backup.check_commitments()
            backup.run_script()
            backup.check_commitments()
            assert backup.version == 38


@pytest.mark.parametrize("call", ["write", "rename", "remove", "sync_file", "sync_folder", "truncate"])
def test_a_member_with_a_temporary_disk_failure_keeps_its_commitments(call: str) -> None:
    for fails_at in range(len(SCRIPT)):
        for seed in range(4):
            backup = Backup(FaultyFiles(seed, strict=seed % 2 == 1))
            backup.start()
            backup.run_script(
                lambda step,
                backup=backup,
                at=fails_at,
                times=1 + seed // 2: backup.files.failures_left.update({call: times if step == at else 0})
            )
            backup.files.failures_left.clear()
            backup.files.lose_power()
            backup.start()
            backup.check_commitments()


def test_a_member_that_crashes_while_it_becomes_a_witness_again_does_not_rely_on_old_grants() -> None:
    """Other witnesses may have granted the lease in the meantime, so its own stored holder is outdated."""
    for crash_after in range(6):
        disk = SimulatedDisk()
        acceptor = LeaseAcceptor(disk.ports().leases, TERM)
        acceptor.reset(from_first_boot=True)
        acceptor.handle_request(0.0, "x", LeaseRequest("placer", 70_000, False, 1, 1, is_acting=True), None)
        view_without_member = View(
            3, "a", ("c",), ("a", "c", "d"), ("a", "c", "d"), {each: each for each in "abcd"}
        )
        Witness(disk.ports().witness).reset(view_without_member)
        disk.cells["identity"] = b'{"id": "b"}'
        view_with_member = View(
            4, "a", ("b", "c"), ("a", "b", "c"), ("a", "c", "d"), {each: each for each in "abcd"}
        )
        disk.writes_until_crash = crash_after
        settings = MemberSettings("b", SEEDS, False, "b#new", 1, TERM)
        try:
            member = Member(settings, disk.ports(), lambda: b"", Random(1))
            member.start(100.0)
            kind, body = encode(Accept(view_with_member), "a")
            member.receive(100.0, PeerMessage("a", "b", kind, body))
        except SimulatedCrashError:
            pass
        disk.writes_until_crash = None
        member = Member(settings, disk.ports(), lambda: b"", Random(1))
        member.start(101.0)
        kind, body = encode(Accept(view_with_member), "a")
        member.receive(101.0, PeerMessage("a", "b", kind, body))
        kind, body = encode(LeaseRequest("placer", 300_000, False, 4, 1, is_acting=False), "x")
        effects = member.receive(101.1, PeerMessage("x", "b", kind, body))
        (answer,) = [decode(sent.message.kind, sent.message.body)[0] for sent in effects.messages]
        assert isinstance(answer, LeaseReply)
        assert not answer.granted

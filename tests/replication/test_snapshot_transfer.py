"""Transfer of snapshots: chunks may be lost, duplicated, reordered, corrupted or sent by an old primary."""

from __future__ import annotations

import json
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from larchgw.model_checking.simulated_disk import SimulatedDisk
from larchgw.replication.compaction import POSTPONED_FACTOR, Compaction
from larchgw.replication.effects import InstalledSnapshot
from larchgw.replication.errors import MessageDecodeError
from larchgw.replication.follower import Follower
from larchgw.replication.leadership import Leadership
from larchgw.replication.message_codec import decode
from larchgw.replication.messages import AppendReply, InstallSnapshot, InstallSnapshotReply
from larchgw.replication.outbound_messages import OutboundMessages
from larchgw.replication.replica import Replica
from larchgw.replication.settings import MemberSettings, Timing
from larchgw.replication.snapshot_transfer import (
    MAX_SNAPSHOT_BYTES,
    IncomingSnapshot,
    OutgoingSnapshot,
    Snapshot,
)
from larchgw.replication.view import View, first_view
from larchgw.replication.witness import Witness

VIEW = first_view(["a", "b", "c"])
CONTENT = b"0123456789"


def outgoing(
    content: bytes = CONTENT, epoch: int = 1, index: int = 9, chunk_bytes: int = 4
) -> OutgoingSnapshot:
    return OutgoingSnapshot(epoch, Snapshot.of(index, 1, content), chunk_bytes)


def chunks(content: bytes = CONTENT, epoch: int = 1, index: int = 9) -> list[InstallSnapshot]:
    sent = outgoing(content, epoch, index)
    found = []
    for sent.offset in range(0, len(content), 4):
        found.append(sent.chunk())
    return found


def receive(incoming: IncomingSnapshot, install: InstallSnapshot) -> bytes | None:
    return incoming.receive(install) if incoming.begin(install) else None


# ---- the receiver ----


def test_chunks_in_order_make_the_snapshot() -> None:
    incoming = IncomingSnapshot()
    assert [receive(incoming, chunk) for chunk in chunks()] == [None, None, CONTENT]


@given(st.integers(0, 1 << 30), st.binary(max_size=60))
def test_the_snapshot_completes_correctly_despite_lost_duplicated_or_reordered_chunks(
    seed: int, content: bytes
) -> None:
    random = Random(seed)
    sent, incoming = outgoing(content), IncomingSnapshot()
    in_flight = [sent.chunk()]
    for _ in range(2000):
        if random.random() < 0.2 or not in_flight:
            in_flight.append(sent.chunk())  # resent after a time-out
        complete = receive(incoming, chunk := in_flight.pop(random.randrange(len(in_flight))))
        if complete is not None:
            assert complete == content
            assert incoming.discarded == 0
            return
        if random.random() < 0.2:
            in_flight.append(chunk)
        if random.random() < 0.8 and sent.acknowledge(9, incoming.offset):
            in_flight.append(sent.chunk())
    raise AssertionError("the snapshot was never completed")


def test_a_corrupted_chunk_discards_the_snapshot_and_it_is_fetched_again() -> None:
    incoming = IncomingSnapshot()
    first, second, last = chunks()
    altered = InstallSnapshot(1, 9, 1, 4, 10, first.checksum, b"XXXX")
    assert [receive(incoming, chunk) for chunk in (first, altered, last)] == [None, None, None]
    assert (incoming.discarded, incoming.offset) == (1, 0)
    assert [receive(incoming, chunk) for chunk in (first, second, last)] == [None, None, CONTENT]


def test_a_transfer_of_a_higher_epoch_replaces_a_partial_one() -> None:
    incoming = IncomingSnapshot()
    old, new = chunks(b"a" * 10, epoch=1), chunks(b"b" * 10, epoch=2)
    receive(incoming, old[0])
    assert receive(incoming, new[1]) is None
    assert incoming.offset == 0
    assert [receive(incoming, chunk) for chunk in new] == [None, None, b"b" * 10]


def test_a_newer_snapshot_replaces_a_partial_one_whose_late_chunks_are_dropped() -> None:
    incoming = IncomingSnapshot()
    old, new = chunks(b"a" * 10, index=9), chunks(b"b" * 10, index=12)
    receive(incoming, old[0])
    receive(incoming, new[0])
    assert not incoming.begin(old[1])
    assert incoming.offset == 4
    assert [receive(incoming, chunk) for chunk in new[1:]] == [None, b"b" * 10]


def test_the_last_chunk_can_be_received_again_until_the_snapshot_is_durable() -> None:
    incoming = IncomingSnapshot()
    *first, last = chunks()
    for chunk in first:
        receive(incoming, chunk)
    assert receive(incoming, last) == receive(incoming, last) == CONTENT


@pytest.mark.parametrize("size", [-1, MAX_SNAPSHOT_BYTES + 1])
def test_a_snapshot_of_an_invalid_size_is_rejected(size: int) -> None:
    assert not IncomingSnapshot().begin(InstallSnapshot(1, 9, 1, 0, size, "", b"x"))


def test_a_chunk_beyond_the_end_is_dropped() -> None:
    incoming = IncomingSnapshot()
    assert receive(incoming, InstallSnapshot(1, 9, 1, 0, 4, "", b"12345")) is None
    assert incoming.offset == 0


# ---- the follower ----


class FollowerFixture:
    """Member b of the initial view, without any data."""

    def __init__(self) -> None:
        self.disk = SimulatedDisk()
        self.witness = Witness(self.disk.ports().witness)
        self.witness.reset(VIEW)
        self.replica = Replica(self.disk.ports().journal)
        self.outbound = OutboundMessages("b", "b")
        for member in "abc":
            self.outbound.set_address(member, member)
        self.follower = Follower("b", "b", self.witness, self.replica, self.outbound, Timing())

    def install(self, install: InstallSnapshot, sender: str = "a") -> InstalledSnapshot | None:
        return self.follower.install(0.0, sender, install)

    def replies(self) -> list[object]:
        return [decode(sent.message.kind, sent.message.body)[0] for sent in self.outbound.drain()]


def test_each_chunk_is_answered_with_the_next_offset_and_the_last_one_as_matched() -> None:
    member = FollowerFixture()
    installed = [member.install(chunk) for chunk in chunks()]
    assert installed == [None, None, InstalledSnapshot(9, CONTENT)]
    assert member.replies() == [
        InstallSnapshotReply(1, 9, 4),
        InstallSnapshotReply(1, 9, 8),
        AppendReply(1, True, 9),
    ]
    assert Replica(member.disk.ports().journal).snapshot() == (9, 1, CONTENT)


def test_chunks_of_an_old_primary_are_not_answered() -> None:
    member = FollowerFixture()
    member.witness.promise(2, "c")
    assert [member.install(chunk) for chunk in chunks()] == [None, None, None]
    assert [member.install(chunk, "c") for chunk in chunks()] == [None, None, None]
    assert member.replies() == []
    assert member.replica.last_index == 0


def test_an_installed_snapshot_is_not_fetched_again() -> None:
    member = FollowerFixture()
    for chunk in chunks():
        member.install(chunk)
    member.replies()
    assert member.install(chunks()[0]) is None
    assert member.replies() == [AppendReply(1, True, 9)]


def test_after_a_full_disk_the_last_chunk_completes_the_snapshot_once_there_is_space() -> None:
    member = FollowerFixture()
    *first, last = chunks()
    for chunk in first:
        member.install(chunk)
    member.disk.is_full = True
    with pytest.raises(OSError, match="the simulated disk is full"):
        member.install(last)
    assert member.replica.last_index == 0
    member.disk.is_full = False
    assert member.install(last) == InstalledSnapshot(9, CONTENT)


def test_an_unchunked_snapshot_of_an_earlier_version_is_rejected() -> None:
    header = json.dumps({"from": "a", "epoch": 1, "index": 9, "index_epoch": 1}).encode()
    with pytest.raises(MessageDecodeError):
        decode("install", len(header).to_bytes(4, "big") + header + CONTENT)


# ---- the primary ----


class PrimaryFixture:
    """Member a, whose log begins after record 9; b lacks all records."""

    def __init__(self, view: View = VIEW) -> None:
        self.replica = Replica(SimulatedDisk().ports().journal)
        for number in range(12):
            self.replica.append(1, b"%d" % number)
        self.replica.compact(9, CONTENT)
        self.outbound = OutboundMessages("a", "a")
        self.outbound.set_address("b", "b")
        settings = MemberSettings("a", ("a", "b", "c"), True, "", 1, 3.0, chunk_bytes=4)
        self.leadership = Leadership("a", view, self.replica, self.outbound, settings, 0.0, None)

    def sent(self) -> list[object]:
        return [decode(sent.message.kind, sent.message.body)[0] for sent in self.outbound.drain()]

    def reply_from_b(self, now: float, reply: AppendReply | InstallSnapshotReply) -> list[object]:
        if isinstance(reply, AppendReply):
            self.leadership.append_reply(now, "b", reply)
        else:
            self.leadership.install_reply(now, "b", reply)
        return self.sent()

    def begin(self) -> None:
        self.reply_from_b(0.0, AppendReply(1, False, 0))


def test_each_reply_triggers_the_next_chunk_and_the_last_one_the_records_after_it() -> None:
    leading = PrimaryFixture()
    leading.begin()
    assert leading.reply_from_b(0.1, InstallSnapshotReply(1, 9, 4)) == [chunks()[1]]
    assert leading.reply_from_b(0.2, InstallSnapshotReply(1, 9, 8)) == [chunks()[2]]
    assert leading.leadership.is_sending_snapshot
    (append,) = leading.reply_from_b(0.3, AppendReply(1, True, 9))
    assert (append.previous_index, len(append.records)) == (9, 3)
    assert not leading.leadership.is_sending_snapshot


def test_a_duplicate_or_late_reply_puts_no_second_chunk_in_flight() -> None:
    leading = PrimaryFixture()
    leading.begin()
    leading.reply_from_b(0.1, InstallSnapshotReply(1, 9, 4))
    assert leading.reply_from_b(0.1, InstallSnapshotReply(1, 9, 4)) == []
    assert leading.reply_from_b(0.1, InstallSnapshotReply(1, 9, 0)) == []
    assert leading.reply_from_b(0.1, InstallSnapshotReply(1, 8, 8)) == []
    assert leading.reply_from_b(0.1, AppendReply(1, False, 0)) == []


def test_a_receiver_that_restarts_is_sent_the_snapshot_from_its_start() -> None:
    leading = PrimaryFixture()
    leading.begin()
    leading.reply_from_b(0.1, InstallSnapshotReply(1, 9, 4))
    leading.reply_from_b(0.2, InstallSnapshotReply(1, 9, 0))
    leading.leadership.replicate(0.2 + Timing().retransmit_timeout_s + 0.1)
    assert chunks()[0] in leading.sent()


def test_a_compaction_during_a_transfer_does_not_interrupt_it() -> None:
    leading = PrimaryFixture()
    leading.begin()
    leading.reply_from_b(0.1, InstallSnapshotReply(1, 9, 4))
    leading.replica.compact(12, b"newer")
    assert leading.reply_from_b(0.2, InstallSnapshotReply(1, 9, 8)) == [chunks()[2]]


def test_compactions_are_postponed_during_a_transfer_but_not_indefinitely() -> None:
    settings = MemberSettings("a", ("a",), True, "", 1, 3.0, compact_records=5)
    replica = Replica(SimulatedDisk().ports().journal)
    compaction = Compaction(replica, settings, lambda: b"state")
    for number in range(5 * POSTPONED_FACTOR):
        assert replica.size.records == number
        compaction.tick(1.0, replica.last_index, is_sending_snapshot=True)
        replica.append(1, b"record")
    compaction.tick(1.0, replica.last_index, is_sending_snapshot=True)
    assert replica.size.records == 0


def test_a_larger_state_leaves_fewer_records_to_apply_after_a_restart() -> None:
    settings = MemberSettings("a", ("a",), True, "", 1, 3.0, compact_replay_bytes=1000)
    replica = Replica(SimulatedDisk().ports().journal)
    compaction = Compaction(replica, settings, lambda: b"x" * 200)
    replica.append(1, b"record")
    replica.compact(1, b"x" * 200)
    for number in range(5):
        assert replica.size.records == number
        compaction.tick(1.0, replica.last_index, is_sending_snapshot=False)
        replica.append(1, b"record")
    compaction.tick(1.0, replica.last_index, is_sending_snapshot=False)
    assert replica.size.records == 0


def test_one_snapshot_is_read_for_all_members_that_need_it() -> None:
    leading = PrimaryFixture()
    leading.outbound.set_address("c", "c")
    leading.begin()
    leading.leadership.append_reply(0.0, "c", AppendReply(1, False, 0))
    snapshots = [peer.snapshot.snapshot for peer in leading.leadership._peers.values() if peer.snapshot]
    assert len(snapshots) == 2
    assert snapshots[0] is snapshots[1]

"""The parts of replication one by one: messages, witness, log, quorums and the next view."""

from __future__ import annotations

import json
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from larchgw.model_checking.errors import SimulatedCrashError
from larchgw.model_checking.simulated_disk import SimulatedDisk
from larchgw.replication.errors import MessageDecodeError
from larchgw.replication.leadership import Leadership
from larchgw.replication.message_codec import decode, encode
from larchgw.replication.messages import (
    Accept,
    Append,
    AppendReply,
    InstallSnapshot,
    InstallSnapshotReply,
    Promise,
)
from larchgw.replication.outbound_messages import OutboundMessages
from larchgw.replication.planning import ObservedMembers, failover_view, next_view
from larchgw.replication.replica import Replica
from larchgw.replication.settings import MemberSettings
from larchgw.replication.view import View, first_view
from larchgw.replication.witness import Witness

VIEW = first_view(["a", "b", "c"])


def view(epoch: int, primary: str, backups: str, witnesses: str = "abc", former: str = "") -> View:
    members = {*primary, *backups, *witnesses, *former}
    return View(
        epoch,
        primary,
        tuple(backups),
        tuple(witnesses),
        tuple(former or witnesses),
        {member: member for member in members},
    )


def observed(healthy: str = "", ready: str = "", lost: str = "", leaving: str = "") -> ObservedMembers:
    addresses = {member: member for member in "abcdef"}
    return ObservedMembers(frozenset(healthy), tuple(ready), frozenset(lost), frozenset(leaving), addresses)


# ---- messages ----


@given(st.lists(st.binary(max_size=20), max_size=5))
def test_records_of_any_bytes_are_decoded_as_sent(records: list[bytes]) -> None:
    append = Append(7, 3, 2, 1, tuple(range(len(records))), tuple(records))
    assert decode(*encode(append, "x:1")) == (append, "x:1")


def test_views_and_snapshots_are_decoded_as_sent() -> None:
    promises = Promise(1, True, 1, None), Promise(1, True, 1, VIEW)
    for message in (
        Accept(VIEW),
        InstallSnapshot(1, 2, 3, 4, 6, "sum", b"\0{"),
        InstallSnapshotReply(1, 2, 3),
        *promises,
    ):
        assert decode(*encode(message, "x:1"))[0] == message


@given(st.sampled_from(["append", "accept", "promise", "unheard of"]), st.binary(max_size=60))
def test_invalid_bodies_are_rejected(kind: str, body: bytes) -> None:
    with pytest.raises(MessageDecodeError):
        decode(kind, body)


def test_a_truncated_append_is_rejected() -> None:
    kind, body = encode(Append(1, 0, 0, 0, (1, 1), (b"one", b"two")), "x:1")
    with pytest.raises(MessageDecodeError):
        decode(kind, body[:-1])


# ---- quorums ----


def test_a_change_of_witnesses_needs_majorities_of_both_sets() -> None:
    joint = view(2, "a", "b", "abd", "abc")
    assert joint.has_quorum("ab")
    assert not joint.has_quorum("ad")
    assert not joint.has_quorum("ac")
    assert joint.has_quorum("acd")


# ---- witness ----


def witness(disk: SimulatedDisk) -> Witness:
    return Witness(disk.ports().witness)


def test_a_witness_promises_an_epoch_to_one_candidate_only() -> None:
    disk = SimulatedDisk()
    assert witness(disk).promise(3, "a")
    assert witness(disk).promise(3, "a")
    assert not witness(disk).promise(3, "b")
    assert not witness(disk).promise(2, "b")


def test_a_witness_accepts_no_view_below_its_promise_even_after_a_restart() -> None:
    disk = SimulatedDisk()
    witness(disk).promise(3, "a")
    assert not witness(disk).accept(view(2, "b", "a"))
    assert witness(disk).accept(view(3, "a", "b"))
    assert witness(disk).view == view(3, "a", "b")


def test_a_witness_accepts_the_view_of_an_epoch_that_it_promised_to_another_candidate() -> None:
    disk = SimulatedDisk()
    witness(disk).promise(3, "c")
    assert witness(disk).accept(view(3, "a", "b"))


def test_a_witness_whose_disk_is_full_has_promised_nothing() -> None:
    disk = SimulatedDisk()
    full = witness(disk)
    disk.is_full = True
    with pytest.raises(OSError, match="the simulated disk is full"):
        full.promise(3, "a")
    assert full.promised == 0


# ---- log ----


def replica(disk: SimulatedDisk) -> Replica:
    return Replica(disk.ports().journal)


def test_a_divergent_tail_is_replaced_by_the_records_of_the_primary() -> None:
    disk = SimulatedDisk()
    local_replica = replica(disk)
    for record in (b"1", b"2", b"lost"):
        local_replica.append(1, record)
    assert local_replica.append_from_primary(3, 2, (2,), (b"4",)) == (False, 0)
    assert local_replica.append_from_primary(2, 1, (2, 2), (b"3", b"4")) == (True, 4)
    assert [record for _, record in local_replica.read(1, 4)] == [b"1", b"2", b"3", b"4"]


def test_records_after_a_gap_are_rejected() -> None:
    assert replica(SimulatedDisk()).append_from_primary(5, 1, (1,), (b"6",)) == (False, 0)


def test_duplicate_or_late_records_change_nothing() -> None:
    local_replica = replica(SimulatedDisk())
    local_replica.append_from_primary(0, 0, (1, 1), (b"1", b"2"))
    assert local_replica.append_from_primary(0, 0, (1,), (b"1",)) == (True, 1)
    assert local_replica.last_index == 2


def test_records_that_a_killed_process_left_unsynced_are_synced_before_they_are_reported_as_matched() -> None:
    disk = SimulatedDisk()
    journal = disk.ports().journal
    journal.append(b"\0" * 7 + b"\1" + b"one")
    assert replica(disk).append_from_primary(0, 0, (1,), (b"one",)) == (True, 1)
    disk.lose_power(Random(1))
    assert replica(disk).last_index == 1


def test_a_record_that_could_not_be_synced_is_not_in_the_log() -> None:
    disk = SimulatedDisk()
    local_replica = replica(disk)
    disk.writes_until_crash = 1
    with pytest.raises(SimulatedCrashError):
        local_replica.append(1, b"one")
    disk.lose_power(Random(1))
    assert disk.synced_count == len(disk.records)


def test_compaction_keeps_later_records_and_a_snapshot_replaces_an_older_log() -> None:
    disk = SimulatedDisk()
    local_replica = replica(disk)
    for number in range(1, 6):
        local_replica.append(1, str(number).encode())
    local_replica.compact(3, b"state of 3")
    assert local_replica.snapshot() == (3, 1, b"state of 3")
    assert replica(disk).read(4, 5) == [(4, b"4"), (5, b"5")]
    behind = replica(SimulatedDisk())
    assert behind.install(*local_replica.snapshot())
    assert not behind.install(*local_replica.snapshot())
    assert behind.append_from_primary(3, 1, (1,), (b"4",)) == (True, 4)


# ---- planning of the next view ----


def test_a_candidate_keeps_members_that_answered_and_fills_up_to_the_copies_needed() -> None:
    assert set(failover_view(2, "b", VIEW, {"b", "c"}, (), 2).in_sync) == {"b", "c"}
    assert len(failover_view(2, "b", VIEW, {"b"}, (), 2).in_sync) == 2
    assert set(failover_view(2, "b", VIEW, {"a", "b", "c"}, (), 2).in_sync) == {"a", "b", "c"}


def test_a_silent_backup_is_left_out_only_while_enough_copies_remain() -> None:
    changed = next_view(2, VIEW, observed(healthy="b"), 2, 3)
    assert changed is not None
    assert changed.backups == ("b",)
    assert next_view(2, VIEW, observed(healthy="b"), 3, 5) is None


def test_a_silent_backup_is_replaced_by_a_ready_member() -> None:
    changed = next_view(3, view(2, "a", "b"), observed(healthy="d", ready="d"), 2, 3)
    assert changed is not None
    assert changed.backups == ("d",)
    assert changed.addresses["d"] == "d"


def test_witnesses_change_one_by_one_and_only_for_members_in_sync() -> None:
    assert next_view(3, view(2, "a", "b"), observed(healthy="b", lost="c"), 2, 3) is None
    joint = next_view(3, view(2, "a", "bd"), observed(healthy="bd", lost="c"), 2, 3)
    assert joint is not None
    assert set(joint.witnesses) == set("abd")
    assert joint.is_joint
    settled = next_view(4, joint, observed(healthy="bd"), 2, 3)
    assert settled is not None
    assert not settled.is_joint
    assert settled.witnesses == joint.witnesses


def test_the_number_of_witnesses_stays_odd() -> None:
    assert next_view(3, view(2, "a", "bcd"), observed(healthy="bcd"), 2, 5) is None
    grown = next_view(3, view(2, "a", "bcde"), observed(healthy="bcde"), 2, 5)
    assert grown is not None
    assert len(grown.witnesses) == 5


def test_the_number_of_witnesses_is_limited() -> None:
    assert next_view(3, view(2, "a", "bcde"), observed(healthy="bcde"), 2, 3) is None
    exchanged = next_view(3, view(2, "a", "bcde"), observed(healthy="bcde", lost="c"), 2, 3)
    assert exchanged is not None
    assert len(exchanged.witnesses) == 3


def test_a_view_reads_back_as_it_was_stored() -> None:
    assert View.from_json(json.loads(json.dumps(VIEW.to_json()))) == VIEW


# ---- acknowledgement ----


def leadership(local_replica: Replica, predecessor: Leadership | None = None) -> Leadership:
    settings = MemberSettings("a", ("a", "b", "c"), True, "", 1, 3.0)
    return Leadership("a", VIEW, local_replica, OutboundMessages("a", "a"), settings, 0.0, predecessor)


def test_a_record_is_acknowledged_only_once_every_backup_has_it() -> None:
    local_replica = replica(SimulatedDisk())
    local_replica.append(1, b"one")
    leading = leadership(local_replica)
    leading.append_reply(0.0, "b", AppendReply(1, True, 1))
    assert leading.commit_index() == 0
    leading.append_reply(0.0, "c", AppendReply(1, True, 1))
    assert leading.commit_index() == 1


def test_the_backups_of_an_undecided_view_must_have_a_record_too() -> None:
    local_replica = replica(SimulatedDisk())
    local_replica.append(1, b"one")
    leading = leadership(local_replica)
    leading.propose(view(2, "a", "bcd"))
    for backup in "bc":
        leading.append_reply(0.0, backup, AppendReply(1, True, 1))
    assert leading.commit_index() == 0


def test_a_member_that_lacks_records_of_earlier_views_is_not_ready_to_join() -> None:
    local_replica = replica(SimulatedDisk())
    local_replica.append(1, b"one")
    leading = leadership(local_replica)
    leading.join(0.0, "d")
    leading.append_reply(0.0, "d", AppendReply(1, True, 0))
    assert leading.observe_members(0.0, frozenset(), frozenset()).ready == ()
    leading.append_reply(0.0, "d", AppendReply(1, True, 1))
    assert leading.observe_members(0.0, frozenset(), frozenset()).ready == ("d",)


def test_a_member_that_is_about_to_join_must_have_a_record_too() -> None:
    local_replica = replica(SimulatedDisk())
    local_replica.append(1, b"one")
    leading = leadership(local_replica)
    leading.join(0.0, "d")
    leading.set_joining_backups(frozenset("d"))
    for backup in "bc":
        leading.append_reply(0.0, backup, AppendReply(1, True, 1))
    assert leading.commit_index() == 0
    leading.set_joining_backups(frozenset())
    assert leading.commit_index() == 1

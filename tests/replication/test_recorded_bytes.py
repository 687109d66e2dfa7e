"""Compatibility of replication with recorded bytes: every kind of message, stored cell and log record.

The files in `tests/fixtures/replication` were written by running the code of commit 0d35ed7. A message or a
stored value that is encoded differently is incompatible with members of earlier versions.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any, get_args

import pytest

from larchgw.model_checking.simulated_disk import SimulatedDisk
from larchgw.replication import identity
from larchgw.replication.forced_new_view import plan_forced_view, write_forced_view
from larchgw.replication.lease_acceptor import LeaseAcceptor
from larchgw.replication.lease_actions import ActionAnnouncement, KnownActions
from larchgw.replication.message_codec import decode, encode
from larchgw.replication.messages import (
    Accept,
    Accepted,
    Append,
    AppendReply,
    Heartbeat,
    HeartbeatReply,
    InstallSnapshot,
    InstallSnapshotReply,
    JoinRequest,
    LeaseRelease,
    LeaseReply,
    LeaseRequest,
    LeaveGranted,
    LeaveRequest,
    Message,
    Prepare,
    PreVoteReply,
    PreVoteRequest,
    Promise,
    TakeOver,
)
from larchgw.replication.replica import Replica, split_frame
from larchgw.replication.settings import MemberSettings
from larchgw.replication.snapshot_transfer import OutgoingSnapshot, Snapshot
from larchgw.replication.view import View, first_view
from larchgw.replication.witness import Witness

FIXTURES = Path(__file__).parents[1] / "fixtures" / "replication"
SENDER_ADDRESS = "b:1"
LEASE_TERM_S = 3.0
FIRST_VIEW = first_view(["a:1", "b:1", "c:1"])
JOINT_VIEW = View(
    7,
    "b:1",
    ("a:1", "d:1#3"),
    ("a:1", "b:1", "d:1#3"),
    ("a:1", "b:1", "c:1"),
    {"a:1": "a:1", "b:1": "b:1", "c:1": "c:1", "d:1#3": "d:1"},
)
SNAPSHOT_CONTENT = bytes(range(10))
SNAPSHOT_CHECKSUM = "1f825aa2f0020ef7cf91dfa30da4668d791c5d4824fc8e41354b89ec05795ab3"
EMPTY_CHECKSUM = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"


def recorded(name: str) -> dict[str, Any]:
    content: dict[str, Any] = json.loads((FIXTURES / f"{name}.json").read_text())
    return content


# Arguments are positional: the fields may be renamed, but their order and meaning must not change.
MESSAGES: dict[str, Message] = {
    "probe": PreVoteRequest(3),
    "probe_reply without a view": PreVoteReply(3, False, 4, None),
    "probe_reply with a view": PreVoteReply(3, True, 4, FIRST_VIEW),
    "prepare": Prepare(8),
    "promise without a view": Promise(8, False, 9, None),
    "promise with a view": Promise(8, True, 8, JOINT_VIEW),
    "accept": Accept(JOINT_VIEW),
    "accepted": Accepted(7, True, 7),
    "accepted refused": Accepted(7, False, 9),
    "heartbeat": Heartbeat(7, 12, 40),
    "heartbeat_reply without a view": HeartbeatReply(7, 12, True, 7, 7, None),
    "heartbeat_reply with a view": HeartbeatReply(6, 11, False, 7, 7, JOINT_VIEW),
    "append without records": Append(7, 40, 6, 39, (), ()),
    "append with records": Append(7, 40, 6, 39, (6, 7, 7), (b"one", b"", b"\x00{\xff")),
    "install first piece": InstallSnapshot(6, 9, 5, 0, 10, SNAPSHOT_CHECKSUM, SNAPSHOT_CONTENT[:4]),
    "install middle piece": InstallSnapshot(6, 9, 5, 4, 10, SNAPSHOT_CHECKSUM, SNAPSHOT_CONTENT[4:8]),
    "install last piece": InstallSnapshot(6, 9, 5, 8, 10, SNAPSHOT_CHECKSUM, SNAPSHOT_CONTENT[8:]),
    "install of an empty snapshot": InstallSnapshot(6, 9, 5, 0, 0, EMPTY_CHECKSUM, b""),
    "install_reply": InstallSnapshotReply(6, 9, 4),
    "append_reply matched": AppendReply(7, True, 43),
    "append_reply not matched": AppendReply(7, False, 12),
    "join": JoinRequest("d:1#3", "d:1"),
    "leave": LeaveRequest("a:1"),
    "left": LeaveGranted(7),
    "take_over": TakeOver(7),
    "lease_ask new": LeaseRequest("planner", 458753, False, 7, 2, False),
    "lease_ask renewal": LeaseRequest("planner", 458753, True, 7, 3, True),
    "lease_answer without a view": LeaseReply("planner", 2, True, 0, "", 0, 0.0, None),
    "lease_answer with a view": LeaseReply("planner", 2, False, 458752, "c:1", 458752, 1.25, JOINT_VIEW),
    "lease_answer of a later witness": LeaseReply("planner", 2, True, 458752, "?", 0, 0.0, None),
    "lease_ask with announced acts": LeaseRequest(
        "planner", 458753, True, 7, 3, True, ActionAnnouncement(("i-7", "store-load/458753/1"), True)
    ),
    "lease_answer with known acts": LeaseReply(
        "planner",
        2,
        True,
        458752,
        "c:1",
        458752,
        0.0,
        None,
        KnownActions(6.0, {"i-7": 1.5}, -2.5, {"i-8": 0.25}),
    ),
    "lease_release": LeaseRelease("planner", 458753),
}


def test_every_kind_of_message_is_recorded() -> None:
    assert set(recorded("messages")) == set(MESSAGES)
    assert {type(message) for message in MESSAGES.values()} == set(get_args(Message))


@pytest.mark.parametrize("name", MESSAGES)
def test_message_encodes_to_recorded_bytes(name: str) -> None:
    kind, body = encode(MESSAGES[name], SENDER_ADDRESS)
    assert {"kind": kind, "body": body.hex()} == recorded("messages")[name]


@pytest.mark.parametrize("name", MESSAGES)
def test_recorded_bytes_decode_to_message(name: str) -> None:
    record = recorded("messages")[name]
    decoded = decode(record["kind"], bytes.fromhex(record["body"]))
    assert decoded == (MESSAGES[name], SENDER_ADDRESS)


def test_snapshot_chunks_are_sent_as_recorded() -> None:
    outgoing = OutgoingSnapshot(6, Snapshot.of(9, 5, SNAPSHOT_CONTENT), 4)
    bodies = []
    for outgoing.offset in (0, 4, 8):
        bodies.append(encode(outgoing.chunk(), SENDER_ADDRESS)[1].hex())
    names = ("install first piece", "install middle piece", "install last piece")
    assert bodies == [recorded("messages")[name]["body"] for name in names]


class MemoryCell:
    def __init__(self, value: str | None = None) -> None:
        self.value = None if value is None else value.encode()

    def load(self) -> bytes | None:
        return self.value

    def store(self, value: bytes) -> None:
        self.value = value

    def matches(self, name: str) -> bool:
        assert self.value is not None
        return self.value.decode() == recorded("cells")[name]


def test_witness_writes_recorded_cells() -> None:
    cell = MemoryCell()
    witness = Witness(cell)
    witness.reset(None)
    assert cell.matches("witness of a new identity")
    witness.promise(5, "c:1")
    assert cell.matches("witness with a promise and no view")
    witness.reset(FIRST_VIEW)
    assert cell.matches("witness with the first view")
    witness.accept(JOINT_VIEW)
    assert cell.matches("witness with a joint view")
    witness.promise(9, "d:1#3")
    assert cell.matches("witness with a view and a later promise")


@pytest.mark.parametrize(
    ("name", "promised", "promised_to", "view"),
    [
        ("witness of a new identity", 0, "", None),
        ("witness with a promise and no view", 5, "c:1", None),
        ("witness with the first view", 1, "a:1", FIRST_VIEW),
        ("witness with a joint view", 7, "b:1", JOINT_VIEW),
        ("witness with a view and a later promise", 9, "d:1#3", JOINT_VIEW),
    ],
)
def test_recorded_witness_cell_is_read(name: str, promised: int, promised_to: str, view: View | None) -> None:
    witness = Witness(MemoryCell(recorded("cells")[name]))
    assert (witness.promised, witness.view) == (promised, view)
    assert promised == 0 or witness.promise(promised, promised_to)
    assert not witness.promise(promised, "another")


def test_lease_acceptor_writes_recorded_cells() -> None:
    cell = MemoryCell()
    acceptor = LeaseAcceptor(cell, LEASE_TERM_S)
    acceptor.reset(from_first_boot=True)
    assert cell.matches("leases of a seed")
    acceptor.handle_request(1.0, "a:1", LeaseRequest("planner", 65537, False, 1, 1, False), FIRST_VIEW)
    assert cell.matches("leases with a grant")
    acceptor.handle_request(1.1, "a:1", LeaseRequest("planner", 65537, True, 1, 2, True), FIRST_VIEW)
    acceptor.handle_request(1.2, "b:1", LeaseRequest("registry", 65538, False, 1, 1, True), FIRST_VIEW)
    assert cell.matches("leases with two holders that act")
    acceptor.join_as_witness(2.0)
    assert cell.matches("leases after becoming a witness again")


def test_lease_acceptor_writes_recorded_cells_of_a_holder_that_announces_its_actions() -> None:
    cell = MemoryCell()
    acceptor = LeaseAcceptor(cell, LEASE_TERM_S)
    acceptor.reset(from_first_boot=True)
    for announcement in (ActionAnnouncement(("i-7",)), ActionAnnouncement((), is_sole_actor=True)):
        acceptor.handle_request(
            1.0, "a:1", LeaseRequest("planner", 65537, True, 1, 1, True, announcement), FIRST_VIEW
        )
    assert cell.matches("leases with a holder that announces its acts")
    again = LeaseAcceptor(MemoryCell(recorded("cells")["leases with a holder that announces its acts"]), 3.0)
    again.observe_restart(9.0)
    request = LeaseRequest("planner", 65538, False, 1, 1, False, ActionAnnouncement())
    known = again.handle_request(9.5, "a:1", request, FIRST_VIEW).known_actions
    assert known is not None
    assert known.known_s > known.remembered_s == 0.5


def test_lease_acceptor_of_a_new_identity_writes_recorded_cells() -> None:
    cell = MemoryCell()
    acceptor = LeaseAcceptor(cell, LEASE_TERM_S)
    acceptor.reset(from_first_boot=False)
    assert cell.matches("leases of a new identity")
    acceptor.handle_request(1.0, "a:1", LeaseRequest("planner", 65537, False, 1, 1, False), FIRST_VIEW)
    assert cell.matches("leases of a new identity with a grant")


@pytest.mark.parametrize(
    ("name", "stored"),
    [
        ("leases of a seed", (0, "", 0)),
        ("leases with a grant", (65537, "", 0)),
        ("leases with two holders that act", (65537, "a:1", 65537)),
        ("leases after becoming a witness again", (65537, "a:1", 65537)),
        ("leases of a new identity", (0, "?", 0)),
        ("leases of a new identity with a grant", (65537, "?", 0)),
    ],
)
def test_recorded_lease_cell_is_read(name: str, stored: tuple[int, str, int]) -> None:
    acceptor = LeaseAcceptor(MemoryCell(recorded("cells")[name]), LEASE_TERM_S)
    answer = acceptor.handle_request(
        1.0, "c:1", LeaseRequest("planner", 1 << 20, False, 1, 1, False), FIRST_VIEW
    )
    expected = LeaseReply("planner", 1, True, *stored, 0.0, None)
    assert answer == expected


@pytest.mark.parametrize(
    ("name", "holder", "granted"),
    [
        ("leases with two holders that act", "a:1", True),
        ("leases with two holders that act", "b:1", False),
        ("leases after becoming a witness again", "a:1", False),
    ],
)
def test_recorded_lease_cell_names_the_holder_that_may_renew(name: str, holder: str, granted: bool) -> None:
    acceptor = LeaseAcceptor(MemoryCell(recorded("cells")[name]), LEASE_TERM_S)
    acceptor.observe_restart(0.0)
    answer = acceptor.handle_request(
        1.0, holder, LeaseRequest("planner", 65537, True, 1, 1, True), FIRST_VIEW
    )
    assert (answer.granted, answer.remaining_s) == (granted, 0.0 if granted else 2.0)


@pytest.mark.parametrize(
    ("name", "first_boot", "address"),
    [("a seed at first boot", True, "a:1"), ("an empty disk", False, "d:1")],
)
def test_established_identity_writes_recorded_cells(name: str, first_boot: bool, address: str) -> None:
    settings = MemberSettings(address, ("a:1", "b:1", "c:1"), first_boot, "d:1#3", 1, LEASE_TERM_S)
    disk = SimulatedDisk()
    ports = disk.ports()
    acceptor = LeaseAcceptor(ports.leases, LEASE_TERM_S)
    made = identity.load_or_create_identity(ports.identity, settings, Witness(ports.witness), acceptor)
    written = {part: content.decode() for part, content in disk.cells.items()}
    assert made.is_new
    assert written == {part: recorded("cells")[f"{part} cell of {name}"] for part in written}
    assert set(written) == {"identity", "witness", "leases"}


@pytest.mark.parametrize(
    ("name", "member"),
    [("a seed at first boot", "a:1"), ("an empty disk", "d:1#3"), ("a forced new view", "a:1#x")],
)
def test_recorded_identity_is_read(name: str, member: str) -> None:
    settings = MemberSettings("z:1", ("z:1",), True, "unused", 1, LEASE_TERM_S)
    disk = SimulatedDisk()
    disk.cells = {
        part: recorded("cells")[f"{part} cell of {name}"].encode()
        for part in ("identity", "witness", "leases")
    }
    ports = disk.ports()
    acceptor = LeaseAcceptor(ports.leases, LEASE_TERM_S)
    read = identity.load_or_create_identity(ports.identity, settings, Witness(ports.witness), acceptor)
    assert (read.id, read.is_new) == (member, False)


def test_forced_new_view_writes_recorded_cells_and_snapshot() -> None:
    disk = SimulatedDisk()
    write_forced_view(disk.ports(), plan_forced_view("a:1#x", "a:1", 1700000000.5, 12, 40), b"state")
    written = {f"{part} cell of a forced new view": content.decode() for part, content in disk.cells.items()}
    assert written == {name: recorded("cells")[name] for name in written}
    assert len(written) == 3
    assert held_snapshot(disk) == recorded("journal")["snapshot of a forced new view"]


def held_snapshot(disk: SimulatedDisk) -> list[object]:
    held = disk.ports().journal.snapshot()
    assert held is not None
    return [held[0], held[1].hex()]


def test_replica_writes_recorded_records_and_snapshots() -> None:
    disk = SimulatedDisk()
    replica = Replica(disk.ports().journal)
    replica.append(1, b"one")
    replica.append(258, b"")
    replica.append_from_primary(2, 258, (259,), (b"\x00\xff",))
    records = [[index, record.hex()] for index, record in disk.ports().journal.read(1, 3)]
    assert records == recorded("journal")["records"]
    replica.compact(2, b"state of 2")
    assert held_snapshot(disk) == recorded("journal")["snapshot of a compaction"]
    replica.install(9, 5, SNAPSHOT_CONTENT)
    assert held_snapshot(disk) == recorded("journal")["snapshot of an install"]


def test_recorded_records_are_read() -> None:
    disk = SimulatedDisk()
    disk.records = [bytes.fromhex(record) for _, record in recorded("journal")["records"]]
    replica = Replica(disk.ports().journal)
    assert replica.read(1, 3) == [(1, b"one"), (2, b""), (3, b"\x00\xff")]
    assert [replica.epoch_at(index) for index in (1, 2, 3)] == [1, 258, 259]


@pytest.mark.parametrize(
    ("name", "snapshot"),
    [
        ("snapshot of a compaction", (2, 258, b"state of 2")),
        ("snapshot of an install", (9, 5, SNAPSHOT_CONTENT)),
        ("snapshot of a forced new view", (1700000000, 1700000000, b"state")),
    ],
)
def test_recorded_snapshot_is_read(name: str, snapshot: tuple[int, int, bytes]) -> None:
    index, framed = recorded("journal")[name]
    disk = SimulatedDisk()
    disk.stored_snapshot = (index, bytes.fromhex(framed))
    assert Replica(disk.ports().journal).snapshot() == snapshot
    assert split_frame(bytes.fromhex(framed)) == snapshot[1:]

"""The messages that members of the replicated control state exchange.

`message_codec` holds the names on the wire, so classes and fields may be renamed here.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from .lease_actions import ActionAnnouncement, KnownActions
from .view import View


class Envelope(Protocol):
    """The unit that the transport carries: Thrift's PeerMessage.

    Attributes:
        sender: Identity of the sending member.
        receiver: Identity of the receiver; empty where only an address is known.
        kind: The type of the message, as named by `message_codec`.
        body: The message as encoded by `message_codec`.
    """

    sender: str
    receiver: str
    kind: str
    body: bytes


@dataclass(frozen=True, slots=True)
class PreVoteRequest:
    """Asks whether the receiver would let the sender try to become primary; not binding.

    Attributes:
        round: Number of the sender's round of pre-votes.
    """

    round: int


@dataclass(frozen=True, slots=True)
class PreVoteReply:
    """Answers a pre-vote.

    Attributes:
        round: The round that was asked.
        granted: Whether the sender of this reply has not heard the primary recently either.
        promised: The highest epoch that it has promised.
        view: The last view that it has accepted.
    """

    round: int
    granted: bool
    promised: int
    view: View | None


@dataclass(frozen=True, slots=True)
class Prepare:
    """Asks for the promise to accept nothing below `epoch`.

    Attributes:
        epoch: The candidate's epoch.
    """

    epoch: int


@dataclass(frozen=True, slots=True)
class Promise:
    """Answers a prepare.

    Attributes:
        epoch: The epoch that was asked for.
        granted: Whether it is promised.
        promised: The highest epoch promised; a refused epoch is below it, or promised to another candidate.
        view: The last view accepted.
    """

    epoch: int
    granted: bool
    promised: int
    view: View | None


@dataclass(frozen=True, slots=True)
class Accept:
    """Asks the receiver to accept a view; also sent to a member that has not received it.

    Attributes:
        view: The view.
    """

    view: View


@dataclass(frozen=True, slots=True)
class Accepted:
    """Answers an accept.

    Attributes:
        epoch: The epoch of the view.
        granted: Whether the view is accepted.
        promised: The highest epoch promised.
    """

    epoch: int
    granted: bool
    promised: int


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Shows that the primary is alive.

    Attributes:
        epoch: The epoch of its view.
        round: Number of the heartbeat, which increases by one each time.
        committed_index: The newest acknowledged record.
    """

    epoch: int
    round: int
    committed_index: int


@dataclass(frozen=True, slots=True)
class HeartbeatReply:
    """Answers a heartbeat.

    Attributes:
        epoch: The epoch of the heartbeat.
        round: Its round.
        granted: Whether nothing above `epoch` is promised.
        promised: The highest epoch promised.
        view_epoch: The epoch of the last view accepted; 0 if none is.
        view: A newer view, which the primary does not know.
    """

    epoch: int
    round: int
    granted: bool
    promised: int
    view_epoch: int
    view: View | None


@dataclass(frozen=True, slots=True)
class Append:
    """Records for a replica.

    Attributes:
        epoch: The epoch of the primary's view.
        previous_index: The record before the first of them.
        previous_epoch: The epoch in which that one was proposed.
        committed_index: The newest acknowledged record.
        epochs: For each record, the epoch in which it was first proposed.
        records: The records.
    """

    epoch: int
    previous_index: int
    previous_epoch: int
    committed_index: int
    epochs: tuple[int, ...]
    records: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """One chunk of a snapshot.

    Attributes:
        epoch: The epoch of the primary's view.
        index: The snapshot replaces all records up to this one.
        index_epoch: The epoch in which that one was proposed.
        offset: Where the chunk begins.
        size_bytes: Bytes of the complete snapshot.
        checksum: SHA-256 of the complete snapshot, in hex.
        chunk: Bytes of the snapshot that begin at `offset`.
    """

    epoch: int
    index: int
    index_epoch: int
    offset: int
    size_bytes: int
    checksum: str
    chunk: bytes


@dataclass(frozen=True, slots=True)
class InstallSnapshotReply:
    """Reports how much of a snapshot has been received.

    Attributes:
        epoch: The epoch of the primary's view.
        index: The last record that the snapshot replaces.
        offset: Number of bytes received; the sender continues from there.
    """

    epoch: int
    index: int
    offset: int


@dataclass(frozen=True, slots=True)
class AppendReply:
    """Answers an append, or the last chunk of a snapshot.

    Attributes:
        epoch: The epoch of the primary's view.
        matched: Whether the log up to `index` is durable and equal to the primary's.
        index: That index; if not matched, the index from which the primary should try again.
    """

    epoch: int
    matched: bool
    index: int


@dataclass(frozen=True, slots=True)
class JoinRequest:
    """A member that is not in sync asks to be brought up to date and added to the in-sync set.

    Attributes:
        member: Its identity.
        address: Its RPC address.
    """

    member: str
    address: str


@dataclass(frozen=True, slots=True)
class LeaveRequest:
    """A member is about to shut down and asks that no acknowledgement wait for its copy.

    Attributes:
        member: Its identity.
    """

    member: str


@dataclass(frozen=True, slots=True)
class LeaveGranted:
    """The primary needs neither the copy nor the vote of the receiver, which may shut down.

    Attributes:
        epoch: The epoch of the primary's view.
    """

    epoch: int


@dataclass(frozen=True, slots=True)
class TakeOver:
    """The primary asks a backup to become primary at once.

    Attributes:
        epoch: The epoch of the primary's view.
    """

    epoch: int


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """Asks a witness for one term of a lease.

    Attributes:
        name: The lease.
        fencing_token: The token to be granted.
        is_renewal: Whether the sender already holds the lease under this token; otherwise the token is new.
        view_epoch: The epoch of the view whose witnesses are asked.
        attempt: Number of the sender's attempt.
        is_acting: Whether the sender acts under the token, or is about to.
        announcement: The actions that the sender is about to start; None from members of earlier versions,
            which announce none.
    """

    name: str
    fencing_token: int
    is_renewal: bool
    view_epoch: int
    attempt: int
    is_acting: bool
    announcement: ActionAnnouncement | None = None


@dataclass(frozen=True, slots=True)
class LeaseReply:
    """Answers a lease request with the state that the witness had stored before it.

    Attributes:
        name: The lease.
        attempt: The attempt that asked.
        granted: Whether the token is granted for one term.
        fencing_token: The highest token granted before.
        actor: The last holder known to have acted; see `lease_acceptor`.
        acting_token: The token under which that holder acted.
        remaining_s: Seconds until the witness can grant the lease.
        view: A newer view, which the sender of the request does not know.
        known_actions: What the witness knows of actions under earlier tokens; None if the lease is not
            granted, this token was granted before, or the request had no announcement.
    """

    name: str
    attempt: int
    granted: bool
    fencing_token: int
    actor: str
    acting_token: int
    remaining_s: float
    view: View | None
    known_actions: KnownActions | None = None


@dataclass(frozen=True, slots=True)
class LeaseRelease:
    """The holder gives up a lease.

    Attributes:
        name: The lease.
        fencing_token: The sender no longer uses this token or a lower one.
    """

    name: str
    fencing_token: int


Message = (
    PreVoteRequest
    | PreVoteReply
    | Prepare
    | Promise
    | Accept
    | Accepted
    | Heartbeat
    | HeartbeatReply
    | Append
    | InstallSnapshot
    | InstallSnapshotReply
    | AppendReply
    | JoinRequest
    | LeaveRequest
    | LeaveGranted
    | TakeOver
    | LeaseRequest
    | LeaseReply
    | LeaseRelease
)

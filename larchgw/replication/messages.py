"""The messages that members of the replicated control state exchange.

Their names and the names of their fields are free to change: `message_codec` holds the names on the wire.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from .view import View


class Envelope(Protocol):
    """What the transport carries: thrift's PeerMessage. `receiver` is empty where only an address is
    known."""

    sender: str
    receiver: str
    kind: str
    body: bytes


@dataclass(frozen=True, slots=True)
class PreVoteRequest:
    """Would the receiver let the sender try to become primary? Binds nobody."""

    round: int


@dataclass(frozen=True, slots=True)
class PreVoteReply:
    """Whether the sender would let the prober try, and the highest epoch and last view that it knows."""

    round: int
    granted: bool
    promised: int
    view: View | None


@dataclass(frozen=True, slots=True)
class Prepare:
    """Asks for the promise to accept nothing below `epoch`."""

    epoch: int


@dataclass(frozen=True, slots=True)
class Promise:
    """`view` is the last view accepted; `promised` the epoch that stands in the way of a refused one."""

    epoch: int
    granted: bool
    promised: int
    view: View | None


@dataclass(frozen=True, slots=True)
class Accept:
    """Asks to accept a view; also tells a member that missed it."""

    view: View


@dataclass(frozen=True, slots=True)
class Accepted:
    """Whether the sender has accepted the view of `epoch`; `promised` is the highest epoch it promised."""

    epoch: int
    granted: bool
    promised: int


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """The primary is there. `round` rises with each; `commit` is the newest acknowledged index."""

    epoch: int
    round: int
    committed_index: int


@dataclass(frozen=True, slots=True)
class HeartbeatReply:
    """`granted`: the receiver has promised nothing above `epoch`. `view`: a newer one that the primary
    lacks."""

    epoch: int
    round: int
    granted: bool
    promised: int
    view_epoch: int
    view: View | None


@dataclass(frozen=True, slots=True)
class Append:
    """Records that follow `previous_index`; `epochs` says in which epoch each was first proposed."""

    epoch: int
    previous_index: int
    previous_epoch: int
    committed_index: int
    epochs: tuple[int, ...]
    records: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """The piece at `offset` of a snapshot that stands for all records up to `index`; the whole has `size`
    bytes and this checksum."""

    epoch: int
    index: int
    index_epoch: int
    offset: int
    size_bytes: int
    checksum: str
    chunk: bytes


@dataclass(frozen=True, slots=True)
class InstallSnapshotReply:
    """Of the snapshot up to `index` the sender holds the first `offset` bytes: go on from there."""

    epoch: int
    index: int
    offset: int


@dataclass(frozen=True, slots=True)
class AppendReply:
    """`matched`: everything up to `index` is durable and the primary's; otherwise go back to `index`."""

    epoch: int
    matched: bool
    index: int


@dataclass(frozen=True, slots=True)
class JoinRequest:
    """A member that is not in sync asks to be brought up to date and taken in."""

    member: str
    address: str


@dataclass(frozen=True, slots=True)
class LeaveRequest:
    """A member is about to end: no acknowledgement shall wait for its copy."""

    member: str


@dataclass(frozen=True, slots=True)
class LeaveGranted:
    """The primary of `epoch` needs neither the copy nor the vote of the receiver: it may end."""

    epoch: int


@dataclass(frozen=True, slots=True)
class TakeOver:
    """The primary of `epoch` asks a backup to become primary at once."""

    epoch: int


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """Asks a witness for one term. `renewal`: the sender was elected under this fence, otherwise it is a new
    one. `acting`: the sender is about to act, or acts, under it."""

    name: str
    fencing_token: int
    is_renewal: bool
    view_epoch: int
    attempt: int
    is_acting: bool


@dataclass(frozen=True, slots=True)
class LeaseReply:
    """What the witness had stored before: the highest fence, and who was last known to act under which fence.
    `remaining`: seconds until it is free to grant. `view`: a newer one that the asker lacks."""

    name: str
    attempt: int
    granted: bool
    fencing_token: int
    actor: str
    acting_token: int
    remaining_s: float
    view: View | None


@dataclass(frozen=True, slots=True)
class LeaseRelease:
    """The holder of `fence` will not use it any more."""

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

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
class Probe:
    """Would the receiver let the sender try to become primary? Binds nobody."""

    round: int


@dataclass(frozen=True, slots=True)
class ProbeReply:
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
    commit: int


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
    commit: int
    epochs: tuple[int, ...]
    records: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class Install:
    """The piece at `offset` of a snapshot that stands for all records up to `index`; the whole has `size`
    bytes and this checksum."""

    epoch: int
    index: int
    index_epoch: int
    offset: int
    size: int
    checksum: str
    piece: bytes


@dataclass(frozen=True, slots=True)
class InstallReply:
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
class Join:
    """A member that is not in sync asks to be brought up to date and taken in."""

    member: str
    address: str


@dataclass(frozen=True, slots=True)
class Leave:
    """A member is about to end: no acknowledgement shall wait for its copy."""

    member: str


@dataclass(frozen=True, slots=True)
class Left:
    """The primary of `epoch` needs neither the copy nor the vote of the receiver: it may end."""

    epoch: int


@dataclass(frozen=True, slots=True)
class TakeOver:
    """The primary of `epoch` asks a backup to become primary at once."""

    epoch: int


@dataclass(frozen=True, slots=True)
class LeaseAsk:
    """Asks a witness for one term. `renewal`: the sender was elected under this fence, otherwise it is a new
    one. `acting`: the sender is about to act, or acts, under it."""

    name: str
    fence: int
    renewal: bool
    view_epoch: int
    attempt: int
    acting: bool


@dataclass(frozen=True, slots=True)
class LeaseAnswer:
    """What the witness had stored before: the highest fence, and who was last known to act under which fence.
    `remaining`: seconds until it is free to grant. `view`: a newer one that the asker lacks."""

    name: str
    attempt: int
    granted: bool
    fence: int
    actor: str
    acting_fence: int
    remaining: float
    view: View | None


@dataclass(frozen=True, slots=True)
class LeaseRelease:
    """The holder of `fence` will not use it any more."""

    name: str
    fence: int


Message = (
    Probe
    | ProbeReply
    | Prepare
    | Promise
    | Accept
    | Accepted
    | Heartbeat
    | HeartbeatReply
    | Append
    | Install
    | InstallReply
    | AppendReply
    | Join
    | Leave
    | Left
    | TakeOver
    | LeaseAsk
    | LeaseAnswer
    | LeaseRelease
)

"""What members say to each other, and its encoding: a JSON header followed by the records as they are.

Every body carries the sender's address, so that a member can answer a newcomer that no view names.
"""

from __future__ import annotations

import json
import struct
from dataclasses import dataclass, fields
from typing import Any, Protocol

from .view import View

_HEADER_LENGTH = struct.Struct(">I")


class DecodeError(Exception):
    """A body that is no message of this protocol; it is dropped. Check that all members run one version."""


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

_KINDS: dict[str, type[Any]] = {
    "probe": Probe,
    "probe_reply": ProbeReply,
    "prepare": Prepare,
    "promise": Promise,
    "accept": Accept,
    "accepted": Accepted,
    "heartbeat": Heartbeat,
    "heartbeat_reply": HeartbeatReply,
    "append": Append,
    "install": Install,
    "install_reply": InstallReply,
    "append_reply": AppendReply,
    "join": Join,
    "leave": Leave,
    "left": Left,
    "take_over": TakeOver,
    "lease_ask": LeaseAsk,
    "lease_answer": LeaseAnswer,
    "lease_release": LeaseRelease,
}
_KIND_OF = {cls: kind for kind, cls in _KINDS.items()}


def encode(message: Message, address: str) -> tuple[str, bytes]:
    """The kind and the body of a message from the member at `address`."""
    header: dict[str, Any] = {"from": address}
    blobs: list[bytes] = []
    for field in fields(message):
        value = getattr(message, field.name)
        if field.name == "records":
            header["lengths"] = [len(record) for record in value]
            blobs.extend(value)
        elif field.name == "piece":
            blobs.append(value)
        elif isinstance(value, View):
            header[field.name] = value.to_json()
        else:
            header[field.name] = value
    head = json.dumps(header, separators=(",", ":")).encode()
    return _KIND_OF[type(message)], b"".join((_HEADER_LENGTH.pack(len(head)), head, *blobs))


def decode(kind: str, body: bytes) -> tuple[Message, str]:
    """The message and its sender's address; raises DecodeError."""
    try:
        cls = _KINDS[kind]
        (length,) = _HEADER_LENGTH.unpack_from(body)
        start = _HEADER_LENGTH.size + length
        header = json.loads(body[_HEADER_LENGTH.size : start])
        address = str(header.pop("from"))
        return cls(**_arguments(header, body, start, kind)), address
    except (KeyError, TypeError, ValueError, AttributeError, struct.error) as error:
        reason = f"a {kind!r} message cannot be read: {error}; do all members run one version?"
        raise DecodeError(reason) from error


def _arguments(header: dict[str, Any], body: bytes, start: int, kind: str) -> dict[str, Any]:
    if kind == "append":
        header["epochs"] = tuple(header["epochs"])
        header["records"] = _records(header.pop("lengths"), body, start)
    elif kind == "install":
        header["piece"] = bytes(body[start:])
    if header.get("view") is not None:
        header["view"] = View.from_json(header["view"])
    return header


def _records(lengths: list[int], body: bytes, start: int) -> tuple[bytes, ...]:
    records = []
    for length in lengths:
        records.append(bytes(body[start : start + length]))
        start += length
    if start != len(body):
        raise ValueError("the lengths of its records are wrong")
    return tuple(records)

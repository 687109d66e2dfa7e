"""What a member asks of its caller after each call, and the errors it raises."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto

from .messages import Envelope


class Role(Enum):
    """What a member is to the log. Votes as a witness are independent of it."""

    LEARNER = auto()  # not in sync: no data, or behind
    BACKUP = auto()
    PRIMARY = auto()


@dataclass(frozen=True, slots=True)
class PendingCall:
    """Stands for one `propose` or `confirm` until an Effects lists it as done or failed."""

    number: int


@dataclass(frozen=True, slots=True)
class CallDone:
    """A record is acknowledged at `index`, or a read is confirmed as of `index`."""

    call: PendingCall
    index: int


@dataclass(frozen=True, slots=True)
class CallFailed:
    """A call has failed.

    `may_be_committed`: the record may still be acknowledged by another primary; never answer it as refused.
    """

    call: PendingCall
    reason: str
    may_be_committed: bool


@dataclass(frozen=True, slots=True)
class Outgoing:
    """One message and the rpc address it goes to. It may be lost, doubled or late."""

    address: str
    message: Envelope


@dataclass(slots=True)
class Effects:
    """To be carried out in this order: `installed`, `committed`, `done` and `failed`, `messages`. `committed`
    records come once each, in order of their index, on every replica."""

    messages: list[Outgoing] = field(default_factory=list)
    installed: tuple[int, bytes] | None = None
    committed: list[tuple[int, bytes]] = field(default_factory=list)
    done: list[CallDone] = field(default_factory=list)
    failed: list[CallFailed] = field(default_factory=list)
    role: Role | None = None  # set where the role has changed

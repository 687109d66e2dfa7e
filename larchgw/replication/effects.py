"""What a member asks of its caller after each call."""

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
    """Stands for one `propose`, `confirm` or `announce` until an Effects lists it as done or failed.

    Attributes:
        number: Unique within one member.
    """

    number: int


@dataclass(frozen=True, slots=True)
class CallDone:
    """A call has ended well.

    Attributes:
        call: The call.
        index: Where the proposed record is, or as of which record the read is confirmed; 0 for `announce`.
    """

    call: PendingCall
    index: int


@dataclass(frozen=True, slots=True)
class CallFailed:
    """A call has failed.

    Attributes: call: The call. reason: Why. may_be_committed: Whether the record may still be acknowledged by
    another primary: never answer the call as rejected.
    """

    call: PendingCall
    reason: str
    may_be_committed: bool


@dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """One message to send; it may be lost, doubled or late.

    Attributes:
        address: The rpc address it goes to.
        message: The message.
    """

    address: str
    message: Envelope


@dataclass(frozen=True, slots=True)
class CommittedRecord:
    """An acknowledged record.

    Attributes:
        index: Its place in the log.
        record: Its bytes.
    """

    index: int
    record: bytes


@dataclass(frozen=True, slots=True)
class InstalledSnapshot:
    """A snapshot that takes the place of the caller's state.

    Attributes:
        index: The record as of which it was taken.
        content: The bytes that the caller of some member gave.
    """

    index: int
    content: bytes


@dataclass(slots=True)
class Effects:
    """What a call asks of the caller, in this order: `installed`, `committed`, `done`, `failed`, `messages`.

    Attributes:
        messages: Messages to send.
        installed: A snapshot that replaces the caller's state.
        committed: Acknowledged records, each once and in order of index, on every member.
        done: Calls that have ended well.
        failed: Calls that have failed.
        role: The new role; None where it has not changed.
    """

    messages: list[OutgoingMessage] = field(default_factory=list)
    installed: InstalledSnapshot | None = None
    committed: list[CommittedRecord] = field(default_factory=list)
    done: list[CallDone] = field(default_factory=list)
    failed: list[CallFailed] = field(default_factory=list)
    role: Role | None = None

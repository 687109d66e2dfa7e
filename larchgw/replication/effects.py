"""What the caller of a member has to do after each call."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto

from .messages import Envelope


class Role(Enum):
    """The role of a member for the log. Its votes as a witness are independent of it."""

    LEARNER = auto()  # not in sync: has no data, or lags behind
    BACKUP = auto()
    PRIMARY = auto()


@dataclass(frozen=True, slots=True)
class PendingCall:
    """Identifies a `propose`, `confirm` or `announce` call until an Effects lists it as done or failed.

    Attributes:
        number: Unique within one member.
    """

    number: int


@dataclass(frozen=True, slots=True)
class CallDone:
    """A call has succeeded.

    Attributes:
        call: The call.
        index: The index of the proposed record, or the record as of which the read is confirmed; 0 for
            `announce`.
    """

    call: PendingCall
    index: int


@dataclass(frozen=True, slots=True)
class CallFailed:
    """A call has failed.

    Attributes:
        call: The call.
        reason: Why it failed.
        may_be_committed: Whether another primary may still acknowledge the record. The caller must then not
            report the call as rejected.
    """

    call: PendingCall
    reason: str
    may_be_committed: bool


@dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """A message to send; it may be lost, duplicated or delayed.

    Attributes:
        address: The RPC address of the receiver.
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
    """A snapshot that replaces the caller's state.

    Attributes:
        index: The last record whose effect it includes.
        content: The bytes that the caller of some member provided as its state.
    """

    index: int
    content: bytes


@dataclass(slots=True)
class Effects:
    """What the caller has to handle after a call.

    The order is `installed`, `committed`, `done`, `failed`, `messages`.

    Attributes:
        messages: Messages to send.
        installed: A snapshot that replaces the caller's state.
        committed: Acknowledged records, each once and in order of index, on every member.
        done: Calls that have succeeded.
        failed: Calls that have failed.
        role: The new role; None if it has not changed.
    """

    messages: list[OutgoingMessage] = field(default_factory=list)
    installed: InstalledSnapshot | None = None
    committed: list[CommittedRecord] = field(default_factory=list)
    done: list[CallDone] = field(default_factory=list)
    failed: list[CallFailed] = field(default_factory=list)
    role: Role | None = None

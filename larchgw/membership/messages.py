"""The messages of the membership protocol, one a datagram.

Source: Das, Gupta, Motivala, "SWIM" (2002), for ping, ping-req and ack; Dadgar, Phillips, Currey, "Lifeguard"
(2018), for nack. Gossip, pull and page are this project's.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import ClassVar

from .member import Member


class MessageKind(IntEnum):
    """What a datagram is for, as its fourth byte says."""

    PING = 1
    ACK = 2
    PING_REQUEST = 3
    NACK = 4
    GOSSIP = 5
    PULL = 6
    PAGE = 7


@dataclass(frozen=True, slots=True)
class Update:
    """What its author holds a member to be.

    Attributes:
        member: The member's record.
        accuser: Address of the member that suspects it; empty where its state is no suspicion.
    """

    member: Member
    accuser: str = ""


@dataclass(frozen=True, slots=True)
class Cursor:
    """A position in a member table, which is ordered by bucket and address.

    Attributes:
        bucket: Number of the bucket.
        address: Address within it; an empty one stands before all of the bucket.
    """

    bucket: int = 0
    address: str = ""


@dataclass(frozen=True, slots=True)
class Message:
    """What every message carries. Subclasses without fields of their own need no dataclass of their own.

    Attributes:
        sequence: Number of a request; what answers it carries the same.
        sender: The sender's record of itself.
        digest: Digest of the sender's member table.
        updates: Updates that ride on the message.
    """

    kind: ClassVar[MessageKind]

    sequence: int
    sender: Member
    digest: int = 0
    updates: tuple[Update, ...] = ()


class Ping(Message):
    """Asks the receiver for an `Ack`."""

    __slots__ = ()
    kind: ClassVar[MessageKind] = MessageKind.PING


class Ack(Message):
    """Answers a `Ping`, or reports to the author of a `PingRequest` that its target answered."""

    __slots__ = ()
    kind: ClassVar[MessageKind] = MessageKind.ACK


@dataclass(frozen=True, slots=True)
class PingRequest(Message):
    """Asks the receiver to ping `target` in the sender's place (SWIM's ping-req)."""

    kind: ClassVar[MessageKind] = MessageKind.PING_REQUEST

    target: str = ""


class Nack(Message):
    """Reports to the author of a `PingRequest` that its target has not answered yet."""

    __slots__ = ()
    kind: ClassVar[MessageKind] = MessageKind.NACK


class Gossip(Message):
    """Carries updates alone."""

    __slots__ = ()
    kind: ClassVar[MessageKind] = MessageKind.GOSSIP


@dataclass(frozen=True, slots=True)
class Pull(Message):
    """Asks for the records in which the receiver's member table differs from the sender's.

    Attributes:
        buckets: Digests of the buckets of the sender's table.
        cursor: The position behind which the page is to begin.
    """

    kind: ClassVar[MessageKind] = MessageKind.PULL

    buckets: tuple[int, ...] = ()
    cursor: Cursor = Cursor()


@dataclass(frozen=True, slots=True)
class Page(Message):
    """Answers a `Pull` with records as its updates.

    Attributes:
        next_cursor: Where the next page begins; None after the last page.
    """

    kind: ClassVar[MessageKind] = MessageKind.PAGE

    next_cursor: Cursor | None = None

"""The messages of the membership protocol, one per datagram.

Source: Das, Gupta, Motivala, "SWIM" (2002), for ping, ping-req and ack; Dadgar, Phillips, Currey, "Lifeguard"
(2018), for nack. Gossip, pull and page are extensions of this project.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import ClassVar

from .member import Member


class MessageKind(IntEnum):
    """Kind of a message, the fourth byte of a datagram."""

    PING = 1
    ACK = 2
    PING_REQUEST = 3
    NACK = 4
    GOSSIP = 5
    PULL = 6
    PAGE = 7


@dataclass(frozen=True, slots=True)
class Update:
    """A report on the state of a member.

    Attributes:
        member: The member's record.
        accuser: Address of the member that suspects it; empty unless the state is a suspicion.
    """

    member: Member
    accuser: str = ""


@dataclass(frozen=True, slots=True)
class Cursor:
    """A position in a member table, which is ordered by bucket and address.

    Attributes:
        bucket: Number of the bucket.
        address: Address in the bucket; an empty one precedes all addresses of the bucket.
    """

    bucket: int = 0
    address: str = ""


@dataclass(frozen=True, slots=True)
class Message:
    """Fields common to all messages. Subclasses without further fields are not decorated as dataclasses.

    Attributes:
        sequence: Number of a request; the answer has the same number.
        sender: The sender's record of itself.
        digest: Digest of the sender's member table.
        updates: Updates piggybacked on the message.
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
    """Answers a `Ping`, or reports to the sender of a `PingRequest` that its target has answered."""

    __slots__ = ()
    kind: ClassVar[MessageKind] = MessageKind.ACK


@dataclass(frozen=True, slots=True)
class PingRequest(Message):
    """Asks the receiver to ping `target` on the sender's behalf (SWIM's ping-req)."""

    kind: ClassVar[MessageKind] = MessageKind.PING_REQUEST

    target: str = ""


class Nack(Message):
    """Reports to the sender of a `PingRequest` that its target has not answered yet."""

    __slots__ = ()
    kind: ClassVar[MessageKind] = MessageKind.NACK


class Gossip(Message):
    """Carries only updates."""

    __slots__ = ()
    kind: ClassVar[MessageKind] = MessageKind.GOSSIP


@dataclass(frozen=True, slots=True)
class Pull(Message):
    """Requests the records of the receiver's member table in buckets that differ from the sender's.

    Attributes:
        buckets: Bucket digests of the sender's table.
        cursor: The position after which the page starts.
    """

    kind: ClassVar[MessageKind] = MessageKind.PULL

    buckets: tuple[int, ...] = ()
    cursor: Cursor = Cursor()


@dataclass(frozen=True, slots=True)
class Page(Message):
    """Answers a `Pull`; its updates are records of the member table.

    Attributes:
        next_cursor: The position after which the next page starts; None on the last page.
    """

    kind: ClassVar[MessageKind] = MessageKind.PAGE

    next_cursor: Cursor | None = None

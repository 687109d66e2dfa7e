"""The datagrams of the protocol as bytes.

A datagram is: magic (2 bytes), version, kind, CRC-32 of what follows (4 bytes), sequence (4), digest (4), the
sender's record, the fields of its kind, and records until its end. A record is: state and flags, role,
address (6), incarnation (8), refutations (4), [rpc address (6)], [accuser (6)], name, zone; a text is its
length and UTF-8. Integers are big-endian.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field
from enum import IntEnum
from zlib import crc32

from .member import InvalidMemberError, Member, MemberState, Role, pack_address, unpack_address

MAX_DATAGRAM_BYTES = 1200  # below every usual MTU, so that nothing is fragmented
MAGIC = b"lM"
VERSION = 1
BUCKETS = 32  # into which addresses are divided when tables are compared

ROLES: tuple[Role, ...] = ("edge", "control")
HAS_RPC = 0x10
HAS_ACCUSER = 0x20
STATE_MASK = 0x0F

_FRONT = struct.Struct(">2sBBI")
_BODY = struct.Struct(">II")
_RECORD = struct.Struct(">BB6sQI")
_BUCKET_DIGESTS = struct.Struct(f">{BUCKETS}I")
_CURSOR = struct.Struct(">B6s")
_NO_ADDRESS = bytes(6)


class DecodeError(Exception):
    """Bytes that are no datagram of this protocol. They are to be ignored."""


class Kind(IntEnum):
    """What a datagram is for, as its fourth byte says."""

    PING = 1
    ACK = 2
    PING_REQUEST = 3
    NACK = 4
    GOSSIP = 5
    PULL = 6
    PAGE = 7


_FIELD_BYTES = {
    Kind.PING_REQUEST: 6,
    Kind.PULL: _BUCKET_DIGESTS.size + _CURSOR.size,
    Kind.PAGE: 1 + _CURSOR.size,
}


@dataclass(frozen=True, slots=True)
class Update:
    """A report on a member. `accuser` is the address of who suspects it."""

    member: Member
    accuser: str = ""


@dataclass(frozen=True, slots=True)
class Cursor:
    """A place in a table ordered by bucket and address; an empty address stands before all of its bucket."""

    bucket: int = 0
    address: str = ""


@dataclass(slots=True)
class Message:
    """One datagram. `target` belongs to PING_REQUEST, `buckets` to PULL, `cursor` to PULL and PAGE.

    `digest` is that of the sender's table. A PAGE without cursor is the last one.
    """

    kind: Kind
    sequence: int
    sender: Member
    digest: int = 0
    target: str = ""
    buckets: tuple[int, ...] = ()
    cursor: Cursor | None = None
    updates: list[Update] = field(default_factory=list)


def encode_update(update: Update) -> bytes:
    """One record."""
    member = update.member
    flags = member.state | (HAS_RPC if member.address_rpc else 0) | (HAS_ACCUSER if update.accuser else 0)
    name, zone = member.name.encode(), member.zone.encode()
    return b"".join(
        (
            _RECORD.pack(
                flags,
                ROLES.index(member.role),
                pack_address(member.address),
                member.incarnation,
                member.refutations,
            ),
            pack_address(member.address_rpc) if member.address_rpc else b"",
            pack_address(update.accuser) if update.accuser else b"",
            bytes((len(name),)),
            name,
            bytes((len(zone),)),
            zone,
        )
    )


class Draft:
    """A datagram being filled with encoded updates, those of `message` first."""

    def __init__(self, message: Message) -> None:
        self.message = message
        self._sender = encode_update(Update(message.sender))
        self._records: list[bytes] = []
        head = _FRONT.size + _BODY.size + len(self._sender) + _FIELD_BYTES.get(message.kind, 0)
        self.room = MAX_DATAGRAM_BYTES - head  # bytes left for records
        for update in message.updates:
            self.add(encode_update(update))

    def add(self, record: bytes) -> bool:
        """Takes an encoded update, if it fits."""
        if len(record) > self.room:
            return False
        self.room -= len(record)
        self._records.append(record)
        return True

    def finish(self) -> bytes:
        """The datagram."""
        message = self.message
        body = b"".join(
            (
                _BODY.pack(message.sequence, message.digest),
                self._sender,
                _encode_fields(message),
                *self._records,
            )
        )
        return _FRONT.pack(MAGIC, VERSION, message.kind, crc32(body)) + body


def decode(data: bytes) -> Message:
    """What a datagram says. Raises DecodeError."""
    try:
        return _decode(data)
    except (struct.error, IndexError, ValueError) as error:
        raise DecodeError(f"not a datagram of this protocol: {error}") from error


def _encode_fields(message: Message) -> bytes:
    if message.kind is Kind.PING_REQUEST:
        return pack_address(message.target)
    if message.kind is Kind.PULL:
        return _BUCKET_DIGESTS.pack(*message.buckets) + _encode_cursor(message.cursor or Cursor())
    if message.kind is Kind.PAGE:
        return bytes((message.cursor is not None,)) + _encode_cursor(message.cursor or Cursor())
    return b""


def _encode_cursor(cursor: Cursor) -> bytes:
    return _CURSOR.pack(cursor.bucket, pack_address(cursor.address) if cursor.address else _NO_ADDRESS)


def _decode(data: bytes) -> Message:
    if len(data) > MAX_DATAGRAM_BYTES:
        raise DecodeError(f"{len(data)} bytes are over {MAX_DATAGRAM_BYTES}")
    magic, version, kind, checksum = _FRONT.unpack_from(data)
    if magic != MAGIC or version != VERSION or checksum != crc32(data[_FRONT.size :]):
        raise DecodeError("its magic, version or checksum is another")
    reader = _Reader(data, _FRONT.size)
    sequence, digest = reader.take(_BODY)
    message = Message(Kind(kind), sequence, reader.update().member, digest)
    if message.kind is Kind.PING_REQUEST:
        message.target = unpack_address(reader.bytes(6))
    elif message.kind is Kind.PULL:
        message.buckets = reader.take(_BUCKET_DIGESTS)
        message.cursor = reader.cursor()
    elif message.kind is Kind.PAGE:
        unfinished = reader.bytes(1) != b"\0"
        following = reader.cursor()
        message.cursor = following if unfinished else None
    while reader.at < len(data):
        message.updates.append(reader.update())
    return message


class _Reader:
    """Takes fields from a datagram in turn."""

    __slots__ = ("at", "data")

    def __init__(self, data: bytes, at: int) -> None:
        self.data = data
        self.at = at

    def take(self, fields: struct.Struct) -> tuple[int, ...]:
        values = fields.unpack_from(self.data, self.at)
        self.at += fields.size
        return values

    def bytes(self, length: int) -> bytes:
        end = self.at + length
        if end > len(self.data):
            raise DecodeError("it ends early")
        taken = self.data[self.at : end]
        self.at = end
        return taken

    def text(self) -> str:
        return self.bytes(self.bytes(1)[0]).decode()

    def cursor(self) -> Cursor:
        bucket, packed = _CURSOR.unpack(self.bytes(_CURSOR.size))
        return Cursor(bucket, "" if packed == _NO_ADDRESS else unpack_address(packed))

    def update(self) -> Update:
        flags, role, packed, incarnation, refutations = _RECORD.unpack(self.bytes(_RECORD.size))
        rpc = unpack_address(self.bytes(6)) if flags & HAS_RPC else ""
        accuser = unpack_address(self.bytes(6)) if flags & HAS_ACCUSER else ""
        name, zone = self.text(), self.text()
        member = Member(
            name,
            unpack_address(packed),
            ROLES[role],
            incarnation,
            zone,
            rpc,
            refutations,
            MemberState(flags & STATE_MASK),
        )
        return Update(member, accuser)


def valid_address(address: str) -> bool:
    """Whether a datagram can be sent there."""
    try:
        pack_address(address)
    except InvalidMemberError:
        return False
    return True

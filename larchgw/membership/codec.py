"""Encoding of membership protocol messages as datagrams.

A datagram consists of: magic (2 bytes), version (1), kind (1), CRC-32 of the rest (4), sequence (4), digest
(4), the sender's record, the fields of its kind, and records up to its end. A record consists of: state and
flags (1), role (1), address (6), incarnation (8), refutations (4), [RPC address (6)], [accuser (6)], name,
zone. Names and zones are a length byte followed by UTF-8. Integers are big-endian.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from zlib import crc32

from ..identifiers import RpcAddress
from .addresses import ADDRESS_BYTES, pack_address, unpack_address
from .errors import DatagramDecodeError
from .member import NO_RPC_ADDRESS, Member, MemberState, Role
from .messages import (
    Ack,
    Cursor,
    Gossip,
    Message,
    MessageKind,
    Nack,
    Page,
    Ping,
    PingRequest,
    Pull,
    Update,
)

MAX_DATAGRAM_BYTES = 1200  # below all common MTUs, so that datagrams are not fragmented
MAGIC = b"lM"
VERSION = 1
BUCKETS = 32  # number of buckets of addresses with a digest each, for comparing member tables

ROLES: tuple[Role, ...] = ("edge", "control")  # a role's index is its number on the wire
HAS_RPC = 0x10
HAS_ACCUSER = 0x20
STATE_MASK = 0x0F

_FRONT = struct.Struct(">2sBBI")
_BODY = struct.Struct(">II")
_RECORD = struct.Struct(">BB6sQI")
_BUCKET_DIGESTS = struct.Struct(f">{BUCKETS}I")
_CURSOR = struct.Struct(">B6s")
_NO_ADDRESS = bytes(ADDRESS_BYTES)

_FIELD_BYTES = {
    MessageKind.PING_REQUEST: ADDRESS_BYTES,
    MessageKind.PULL: _BUCKET_DIGESTS.size + _CURSOR.size,
    MessageKind.PAGE: 1 + _CURSOR.size,
}


def encode_update(update: Update) -> bytes:
    """Encodes an update as a record."""
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


class DatagramBuilder:
    """Builds a datagram from a message and as many records as fit.

    Attributes:
        message: The message to send; its fields, but not its updates, may be replaced until `build`.
        free_bytes: Bytes left for records.
    """

    def __init__(self, message: Message) -> None:
        """Starts with those updates of `message` that fit."""
        self.message = message
        self._sender = encode_update(Update(message.sender))
        self._records: list[bytes] = []
        head = _FRONT.size + _BODY.size + len(self._sender) + _FIELD_BYTES.get(message.kind, 0)
        self.free_bytes = MAX_DATAGRAM_BYTES - head
        for update in message.updates:
            self.add(encode_update(update))

    def add(self, record: bytes) -> bool:
        """Adds an encoded update if it fits; returns whether it was added."""
        if len(record) > self.free_bytes:
            return False
        self.free_bytes -= len(record)
        self._records.append(record)
        return True

    def build(self) -> bytes:
        """Returns the bytes of the datagram."""
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


def _encode_fields(message: Message) -> bytes:
    if isinstance(message, PingRequest):
        return pack_address(message.target)
    if isinstance(message, Pull):
        return _BUCKET_DIGESTS.pack(*message.buckets) + _encode_cursor(message.cursor)
    if isinstance(message, Page):
        has_next = message.next_cursor is not None
        return bytes((has_next,)) + _encode_cursor(message.next_cursor or Cursor())
    return b""


def _encode_cursor(cursor: Cursor) -> bytes:
    return _CURSOR.pack(cursor.bucket, pack_address(cursor.address) if cursor.address else _NO_ADDRESS)


def decode(data: bytes) -> Message:
    """Decodes the message in a datagram.

    Raises:
        DatagramDecodeError: If the bytes are not a datagram of this protocol.
    """
    try:
        return _decode(data)
    except (struct.error, IndexError, ValueError) as error:
        raise DatagramDecodeError(f"not a datagram of this protocol: {error}") from error


def _decode(data: bytes) -> Message:
    if len(data) > MAX_DATAGRAM_BYTES:
        raise DatagramDecodeError(f"{len(data)} bytes exceed the datagram limit of {MAX_DATAGRAM_BYTES}")
    magic, version, kind, checksum = _FRONT.unpack_from(data)
    if magic != MAGIC or version != VERSION or checksum != crc32(data[_FRONT.size :]):
        raise DatagramDecodeError("wrong magic, version or checksum")
    reader = _Reader(data, _FRONT.size)
    sequence, digest = reader.unpack(_BODY)
    read_message = _MESSAGE_READERS[MessageKind(kind)]
    return read_message(reader, Message(sequence, reader.update().member, digest))


class _Reader:
    """Reads the fields of a datagram in sequence."""

    __slots__ = ("data", "offset")

    def __init__(self, data: bytes, offset: int) -> None:
        self.data = data
        self.offset = offset

    def unpack(self, fields: struct.Struct) -> tuple[int, ...]:
        values = fields.unpack_from(self.data, self.offset)
        self.offset += fields.size
        return values

    def raw(self, length: int) -> bytes:
        end = self.offset + length
        if end > len(self.data):
            raise DatagramDecodeError("datagram is truncated")
        field = self.data[self.offset : end]
        self.offset = end
        return field

    def address(self) -> str:
        return unpack_address(self.raw(ADDRESS_BYTES))

    def text(self) -> str:
        return self.raw(self.raw(1)[0]).decode()

    def cursor(self) -> Cursor:
        bucket, packed = _CURSOR.unpack(self.raw(_CURSOR.size))
        return Cursor(bucket, "" if packed == _NO_ADDRESS else unpack_address(packed))

    def update(self) -> Update:
        flags, role, packed, incarnation, refutations = _RECORD.unpack(self.raw(_RECORD.size))
        address_rpc = RpcAddress(self.address()) if flags & HAS_RPC else NO_RPC_ADDRESS
        accuser = self.address() if flags & HAS_ACCUSER else ""
        name, zone = self.text(), self.text()
        member = Member(
            name,
            unpack_address(packed),
            ROLES[role],
            incarnation,
            zone,
            address_rpc,
            refutations,
            MemberState(flags & STATE_MASK),
        )
        return Update(member, accuser)

    def updates(self) -> tuple[Update, ...]:
        """Reads the records up to the end of the datagram."""
        updates: list[Update] = []
        while self.offset < len(self.data):
            updates.append(self.update())
        return tuple(updates)


def _reader_without_fields(message_type: type[Message]) -> Callable[[_Reader, Message], Message]:
    """Returns a reader for a message type without fields of its own."""

    def read(reader: _Reader, header: Message) -> Message:
        return message_type(header.sequence, header.sender, header.digest, reader.updates())

    return read


def _read_ping_request(reader: _Reader, header: Message) -> Message:
    target = reader.address()
    return PingRequest(header.sequence, header.sender, header.digest, reader.updates(), target)


def _read_pull(reader: _Reader, header: Message) -> Message:
    buckets = reader.unpack(_BUCKET_DIGESTS)
    cursor = reader.cursor()
    return Pull(header.sequence, header.sender, header.digest, reader.updates(), buckets, cursor)


def _read_page(reader: _Reader, header: Message) -> Message:
    has_next = reader.raw(1) != b"\0"
    cursor = reader.cursor()
    next_cursor = cursor if has_next else None
    return Page(header.sequence, header.sender, header.digest, reader.updates(), next_cursor)


_MESSAGE_READERS: dict[MessageKind, Callable[[_Reader, Message], Message]] = {
    MessageKind.PING: _reader_without_fields(Ping),
    MessageKind.ACK: _reader_without_fields(Ack),
    MessageKind.PING_REQUEST: _read_ping_request,
    MessageKind.NACK: _reader_without_fields(Nack),
    MessageKind.GOSSIP: _reader_without_fields(Gossip),
    MessageKind.PULL: _read_pull,
    MessageKind.PAGE: _read_page,
}

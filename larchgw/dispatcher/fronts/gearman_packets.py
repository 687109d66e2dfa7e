"""Codec for Gearman packets and admin lines."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from enum import IntEnum

HEAD = struct.Struct(">4sII")
REQ, RES = b"\0REQ", b"\0RES"
MAX_PACKET = (256 << 10) + 4096  # bounds the data buffered per connection
MAX_LINE = 1024


class Type(IntEnum):
    """Packet types by their numbers in the public protocol."""

    CAN_DO = 1
    CANT_DO = 2
    RESET_ABILITIES = 3
    PRE_SLEEP = 4
    NOOP = 6
    SUBMIT_JOB = 7
    JOB_CREATED = 8
    GRAB_JOB = 9
    NO_JOB = 10
    JOB_ASSIGN = 11
    WORK_STATUS = 12
    WORK_COMPLETE = 13
    WORK_FAIL = 14
    GET_STATUS = 15
    ECHO_REQ = 16
    ECHO_RES = 17
    SUBMIT_JOB_BG = 18
    ERROR = 19
    STATUS_RES = 20
    SUBMIT_JOB_HIGH = 21
    SET_CLIENT_ID = 22
    CAN_DO_TIMEOUT = 23
    ALL_YOURS = 24
    WORK_EXCEPTION = 25
    OPTION_REQ = 26
    OPTION_RES = 27
    WORK_DATA = 28
    WORK_WARNING = 29
    GRAB_JOB_UNIQ = 30
    JOB_ASSIGN_UNIQ = 31
    SUBMIT_JOB_HIGH_BG = 32
    SUBMIT_JOB_LOW = 33
    SUBMIT_JOB_LOW_BG = 34
    GRAB_JOB_ALL = 39
    JOB_ASSIGN_ALL = 40
    GET_STATUS_UNIQUE = 41
    STATUS_RES_UNIQUE = 42


# Accepted packet types and their numbers of arguments; the last argument may contain NUL bytes.
ARGUMENTS = {
    Type.CAN_DO: 1,
    Type.CANT_DO: 1,
    Type.RESET_ABILITIES: 0,
    Type.PRE_SLEEP: 0,
    Type.SUBMIT_JOB: 3,
    Type.GRAB_JOB: 0,
    Type.WORK_STATUS: 3,
    Type.WORK_COMPLETE: 2,
    Type.WORK_FAIL: 1,
    Type.GET_STATUS: 1,
    Type.ECHO_REQ: 1,
    Type.SUBMIT_JOB_BG: 3,
    Type.SUBMIT_JOB_HIGH: 3,
    Type.SET_CLIENT_ID: 1,
    Type.CAN_DO_TIMEOUT: 2,
    Type.ALL_YOURS: 0,
    Type.WORK_EXCEPTION: 2,
    Type.OPTION_REQ: 1,
    Type.WORK_DATA: 2,
    Type.WORK_WARNING: 2,
    Type.GRAB_JOB_UNIQ: 0,
    Type.SUBMIT_JOB_HIGH_BG: 3,
    Type.SUBMIT_JOB_LOW: 3,
    Type.SUBMIT_JOB_LOW_BG: 3,
    Type.GRAB_JOB_ALL: 0,
    Type.GET_STATUS_UNIQUE: 1,
}


class BadPacket(ValueError):
    """An invalid packet. It is answered with ERROR and the connection is closed, as the framing is lost."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(text)
        self.code, self.text = code, text


@dataclass(frozen=True, slots=True)
class Packet:
    type: Type
    args: list[bytes]


def encode(kind: Type, *args: bytes) -> bytes:
    """Encodes a packet from the job server."""
    data = b"\0".join(args)
    return HEAD.pack(RES, kind, len(data)) + data


class PacketReader:
    """Splits a byte stream into packets and admin lines, which may alternate on one connection."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def partial(self) -> bool:
        """Whether an incomplete message is buffered."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> Iterator[Packet | bytes]:
        self._buffer += data
        while self._buffer:
            found = self._packet() if self._buffer[0] == 0 else self._line()
            if found is None:
                return
            yield found

    def _line(self) -> bytes | None:
        line, end, rest = self._buffer.partition(b"\n")
        if not end:
            if len(self._buffer) > MAX_LINE:
                raise BadPacket("LINE_TOO_LONG", "an admin line is too long")
            return None
        self._buffer = rest
        return bytes(line.strip())

    def _packet(self) -> Packet | None:
        buffer = self._buffer
        if bytes(buffer[:4]) != REQ[: len(buffer)]:
            raise BadPacket("BAD_MAGIC", "the magic is not that of a request")
        if len(buffer) < HEAD.size:
            return None
        _, number, size = HEAD.unpack_from(buffer)
        if size > MAX_PACKET:
            raise BadPacket("PACKET_TOO_LARGE", f"a packet of {size} bytes is too large")
        try:
            kind = Type(number)
            count = ARGUMENTS[kind]
        except (ValueError, KeyError):
            raise BadPacket("INVALID_COMMAND", f"packet type {number} is not taken here") from None
        if len(buffer) < HEAD.size + size:
            return None
        content = bytes(buffer[HEAD.size : HEAD.size + size])
        del buffer[: HEAD.size + size]
        args = content.split(b"\0", count - 1) if count > 0 else []
        if len(args) != count or (count == 0 and content):
            raise BadPacket("INVALID_ARGUMENTS", f"{kind.name} takes {count} arguments")
        return Packet(kind, args)

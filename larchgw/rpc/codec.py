"""Encodes and decodes thrift messages and structs; knows no socket."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.Thrift import TApplicationException, TException, TMessageType
from thrift.transport.TTransport import TMemoryBuffer, TTransportException

from .generated import Control

MAX_FRAME_BYTES = 16 << 20


class DecodeError(Exception):
    """Bytes that are no message of this protocol. The connection they came on must be closed."""


@dataclass(slots=True)
class Message:
    """One decoded message. `body` is the struct of arguments or of the result."""

    method: str
    kind: int
    sequence: int
    body: Any


def _protocol(data: bytes = b"") -> tuple[TMemoryBuffer, TBinaryProtocolAccelerated]:
    buffer = TMemoryBuffer(data) if data else TMemoryBuffer()
    return buffer, TBinaryProtocolAccelerated(buffer)


def encode_struct(struct: Any) -> bytes:
    """The bytes of one thrift struct."""
    buffer, protocol = _protocol()
    struct.write(protocol)
    return bytes(buffer.getvalue())


def decode_struct(kind: type[Any], data: bytes) -> Any:
    """The struct of this kind in `data`. Raises DecodeError."""
    _, protocol = _protocol(data)
    struct = kind()
    try:
        struct.read(protocol)
    except (TException, EOFError, ValueError, TypeError) as error:
        raise DecodeError(f"not a {kind.__name__}: {error}") from error
    return struct


def encode_message(method: str, kind: int, sequence: int, body: Any) -> bytes:
    """One frame, its length in front."""
    buffer, protocol = _protocol()
    protocol.writeMessageBegin(method, kind, sequence)
    body.write(protocol)
    protocol.writeMessageEnd()
    data = bytes(buffer.getvalue())
    return len(data).to_bytes(4, "big") + data


def decode_message(data: bytes) -> Message:
    """What one frame, without its length, holds. Raises DecodeError."""
    _, protocol = _protocol(data)
    try:
        method, kind, sequence = protocol.readMessageBegin()
        if kind == TMessageType.EXCEPTION:
            body: Any = TApplicationException()
        else:
            suffix = "_result" if kind == TMessageType.REPLY else "_args"
            body = getattr(Control, method + suffix)()
        body.read(protocol)
    except (TException, TTransportException, AttributeError, EOFError, ValueError, TypeError) as error:
        raise DecodeError(f"not a message of this protocol: {error}") from error
    return Message(method, kind, sequence, body)


class FrameReader:
    """Cuts a stream of bytes into frames."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """The frames that are complete now. Raises DecodeError on a length over MAX_FRAME_BYTES."""
        self._buffer += data
        frames: list[bytes] = []
        while len(self._buffer) >= 4:
            length = int.from_bytes(self._buffer[:4], "big")
            if length > MAX_FRAME_BYTES:
                raise DecodeError(f"a frame of {length} bytes is over {MAX_FRAME_BYTES}")
            if len(self._buffer) < 4 + length:
                break
            frames.append(bytes(self._buffer[4 : 4 + length]))
            del self._buffer[: 4 + length]
        return frames

"""Encodes and decodes Thrift messages and structs, and the frames that carry them; performs no I/O.

A frame is the length of its message (four bytes, big-endian) and the message in Thrift's binary protocol.

Source: Apache Thrift, "Thrift Binary protocol encoding" and "Framed transport".
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, TypeVar

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.Thrift import TApplicationException, TException, TMessageType
from thrift.transport.TTransport import TMemoryBuffer, TTransportException

from .errors import FrameDecodeError
from .structs import ThriftStruct, new_arguments, new_result

MAX_FRAME_BYTES = 16 << 20
LENGTH_BYTES = 4

Struct = TypeVar("Struct", bound=ThriftStruct)


@dataclass(slots=True)
class Message:
    """One decoded message.

    Attributes:
        method: Name of the service method.
        kind: Message type, one of Thrift's `TMessageType`.
        sequence: Sequence number of the call.
        body: The generated struct of arguments or result, or Thrift's `TApplicationException`.
    """

    method: str
    kind: int
    sequence: int
    body: Any


def _new_protocol(data: bytes = b"") -> tuple[TMemoryBuffer, TBinaryProtocolAccelerated]:
    buffer = TMemoryBuffer(data) if data else TMemoryBuffer()
    return buffer, TBinaryProtocolAccelerated(buffer)


def encode_struct(struct: ThriftStruct) -> bytes:
    """Returns the encoded form of one Thrift struct."""
    buffer, protocol = _new_protocol()
    struct.write(protocol)
    return bytes(buffer.getvalue())


def decode_struct(struct_type: type[Struct], data: bytes) -> Struct:
    """Returns the struct of this type that is encoded in `data`.

    Raises:
        FrameDecodeError: If `data` does not hold such a struct.
    """
    _, protocol = _new_protocol(data)
    struct = struct_type()
    try:
        struct.read(protocol)
    except (TException, EOFError, ValueError, TypeError) as error:
        raise FrameDecodeError(f"not a {struct_type.__name__}: {error}") from error
    return struct


def encode_message(method: str, kind: int, sequence: int, body: ThriftStruct) -> bytes:
    """Returns the frame of one message; for the arguments, see the attributes of `Message`."""
    buffer, protocol = _new_protocol()
    protocol.writeMessageBegin(method, kind, sequence)
    body.write(protocol)
    protocol.writeMessageEnd()
    data = bytes(buffer.getvalue())
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


def decode_message(data: bytes) -> Message:
    """Returns the message in one frame, which is passed without the length prefix.

    Raises:
        FrameDecodeError: If the frame does not hold a message of the service.
    """
    _, protocol = _new_protocol(data)
    try:
        method, kind, sequence = protocol.readMessageBegin()
        body = _new_body(method, kind)
        body.read(protocol)
    except (TException, TTransportException, AttributeError, EOFError, ValueError, TypeError) as error:
        raise FrameDecodeError(f"not a message of this protocol: {error}") from error
    return Message(method, kind, sequence, body)


def _new_body(method: str, kind: int) -> ThriftStruct:
    if kind == TMessageType.EXCEPTION:
        exception: ThriftStruct = TApplicationException()
        return exception
    return new_result(method) if kind == TMessageType.REPLY else new_arguments(method)


class FrameReader:
    """Splits a byte stream into frames."""

    def __init__(self) -> None:
        """Starts with an empty buffer."""
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the frames that `data` completes, without their length prefixes.

        Raises:
            FrameDecodeError: If a frame is longer than `MAX_FRAME_BYTES`.
        """
        self._buffer += data
        frames: list[bytes] = []
        while len(self._buffer) >= LENGTH_BYTES:
            length = int.from_bytes(self._buffer[:LENGTH_BYTES], "big")
            if length > MAX_FRAME_BYTES:
                raise FrameDecodeError(f"frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES}")
            end = LENGTH_BYTES + length
            if len(self._buffer) < end:
                break
            frames.append(bytes(self._buffer[LENGTH_BYTES:end]))
            del self._buffer[:end]
        return frames

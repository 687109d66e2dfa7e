"""Thrift messages and structs as bytes, and the frames that carry them; knows no socket.

A frame is the length of its message (four bytes, big-endian) and the message in thrift's binary protocol.

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
        method: Name of the method of the service.
        kind: One of thrift's `TMessageType`.
        sequence: Number of the call.
        body: The generated struct of its arguments or result, or thrift's `TApplicationException`.
    """

    method: str
    kind: int
    sequence: int
    body: Any


def _new_protocol(data: bytes = b"") -> tuple[TMemoryBuffer, TBinaryProtocolAccelerated]:
    buffer = TMemoryBuffer(data) if data else TMemoryBuffer()
    return buffer, TBinaryProtocolAccelerated(buffer)


def encode_struct(struct: ThriftStruct) -> bytes:
    """Returns the bytes of one thrift struct."""
    buffer, protocol = _new_protocol()
    struct.write(protocol)
    return bytes(buffer.getvalue())


def decode_struct(struct_type: type[Struct], data: bytes) -> Struct:
    """Returns the struct of this type in `data`.

    Raises:
        FrameDecodeError: If there is none.
    """
    _, protocol = _new_protocol(data)
    struct = struct_type()
    try:
        struct.read(protocol)
    except (TException, EOFError, ValueError, TypeError) as error:
        raise FrameDecodeError(f"not a {struct_type.__name__}: {error}") from error
    return struct


def encode_message(method: str, kind: int, sequence: int, body: ThriftStruct) -> bytes:
    """Returns the frame of one message; the arguments are as the attributes of `Message`."""
    buffer, protocol = _new_protocol()
    protocol.writeMessageBegin(method, kind, sequence)
    body.write(protocol)
    protocol.writeMessageEnd()
    data = bytes(buffer.getvalue())
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


def decode_message(data: bytes) -> Message:
    """Returns the message in one frame, given without its length.

    Raises:
        FrameDecodeError: If it is no message of the service.
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
    """Cuts a stream of bytes into frames."""

    def __init__(self) -> None:
        """Begins with an empty buffer."""
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the frames, without their lengths, that `data` completes.

        Raises:
            FrameDecodeError: If a frame is longer than `MAX_FRAME_BYTES`.
        """
        self._buffer += data
        frames: list[bytes] = []
        while len(self._buffer) >= LENGTH_BYTES:
            length = int.from_bytes(self._buffer[:LENGTH_BYTES], "big")
            if length > MAX_FRAME_BYTES:
                raise FrameDecodeError(f"a frame of {length} bytes is over {MAX_FRAME_BYTES}")
            end = LENGTH_BYTES + length
            if len(self._buffer) < end:
                break
            frames.append(bytes(self._buffer[LENGTH_BYTES:end]))
            del self._buffer[:end]
        return frames

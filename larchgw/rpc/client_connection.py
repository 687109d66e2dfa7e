"""The calling side of one connection: which reply belongs to which call."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any

import structlog
from thrift.Thrift import TMessageType

from .codec import FrameReader, Message, decode_message
from .errors import FrameDecodeError, RpcConnectionError
from .socket_options import set_socket_options

log = structlog.get_logger()

REPLY_KINDS = (TMessageType.REPLY, TMessageType.EXCEPTION)


@dataclass(slots=True)
class Traffic:
    """Bytes of the messages of one client since its start.

    Attributes:
        sent: Bytes of the frames that it made.
        received: Bytes that came.
    """

    sent: int = 0
    received: int = 0


@dataclass(slots=True)
class _PendingCall:
    """A call without its reply."""

    method: str
    body: asyncio.Future[Any]


class ClientConnection(asyncio.Protocol):
    """A connection and the calls that wait on it, by their sequence numbers.

    A client uses each number once: a reply that comes after its call was given up finds no other.

    Attributes:
        transport: None before the connection is up and after it ended.
    """

    def __init__(self, traffic: Traffic) -> None:
        """Counts received bytes in `traffic`."""
        self.transport: asyncio.Transport | None = None
        self._traffic = traffic
        self._pending: dict[int, _PendingCall] = {}
        self._frames = FrameReader()

    def add_call(self, sequence: int, method: str) -> asyncio.Future[Any]:
        """Registers a call; returns the future of the body of its reply."""
        body: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._pending[sequence] = _PendingCall(method, body)
        return body

    def remove_call(self, sequence: int) -> None:
        """Forgets a call that has ended or was given up."""
        self._pending.pop(sequence, None)

    def close(self) -> None:
        """Ends the connection; calls that wait on it fail."""
        if self.transport is not None:
            self.transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport (asyncio's callback)."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        set_socket_options(transport)

    def data_received(self, data: bytes) -> None:
        """Receives replies; what is none ends the connection (asyncio's callback)."""
        self._traffic.received += len(data)
        try:
            for frame in self._frames.feed(data):
                self._receive_reply(decode_message(frame))
        except FrameDecodeError as error:
            log.warning("rpc.answer_undecodable", error=str(error))
            self.close()

    def connection_lost(self, error: Exception | None) -> None:
        """Fails the calls that wait (asyncio's callback)."""
        self.transport = None
        pending, self._pending = self._pending, {}
        for call in pending.values():
            if not call.body.done():
                message = f"the connection ended: {error or 'closed'}"
                call.body.set_exception(RpcConnectionError(message))

    def _receive_reply(self, message: Message) -> None:
        """Ends the call of the message's number.

        An address may belong to another program by now, or the connection lead back to this process.

        Raises:
            FrameDecodeError: If the message is no reply, or one of another method.
        """
        if message.kind not in REPLY_KINDS:
            raise FrameDecodeError(f"a call of {message.method} where an answer is due")
        call = self._pending.get(message.sequence)
        if call is None:
            return
        if message.method != call.method:
            raise FrameDecodeError(f"an answer of {message.method} to a call of {call.method}")
        if not call.body.done():
            call.body.set_result(message.body)

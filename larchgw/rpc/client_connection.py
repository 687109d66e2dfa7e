"""Client side of one connection: matches replies to pending calls."""

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
    """Byte counters of one client.

    Attributes:
        sent: Size of all frames that were encoded for sending.
        received: Number of bytes received.
    """

    sent: int = 0
    received: int = 0


@dataclass(slots=True)
class _PendingCall:
    """A call that waits for its reply."""

    method: str
    body: asyncio.Future[Any]


class ClientConnection(asyncio.Protocol):
    """A connection and its pending calls, by sequence number.

    Sequence numbers are not reused, so a reply to an abandoned call cannot be matched to another call.

    Attributes:
        transport: None before the connection is established and after it was lost.
    """

    def __init__(self, traffic: Traffic) -> None:
        """Adds the number of received bytes to `traffic`."""
        self.transport: asyncio.Transport | None = None
        self._traffic = traffic
        self._pending: dict[int, _PendingCall] = {}
        self._frames = FrameReader()

    def add_call(self, sequence: int, method: str) -> asyncio.Future[Any]:
        """Registers a pending call; returns the future for the body of the reply."""
        body: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._pending[sequence] = _PendingCall(method, body)
        return body

    def remove_call(self, sequence: int) -> None:
        """Removes a call that has completed or was abandoned."""
        self._pending.pop(sequence, None)

    def close(self) -> None:
        """Closes the connection; pending calls fail."""
        if self.transport is not None:
            self.transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport (asyncio callback)."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        set_socket_options(transport)

    def data_received(self, data: bytes) -> None:
        """Receives replies; closes the connection on invalid data (asyncio callback)."""
        self._traffic.received += len(data)
        try:
            for frame in self._frames.feed(data):
                self._receive_reply(decode_message(frame))
        except FrameDecodeError as error:
            log.warning("rpc.answer_undecodable", error=str(error))
            self.close()

    def connection_lost(self, error: Exception | None) -> None:
        """Fails all pending calls (asyncio callback)."""
        self.transport = None
        pending, self._pending = self._pending, {}
        for call in pending.values():
            if not call.body.done():
                message = f"the connection was lost: {error or 'closed'}"
                call.body.set_exception(RpcConnectionError(message))

    def _receive_reply(self, message: Message) -> None:
        """Completes the pending call with the sequence number of the message.

        The message is checked, because the address may now belong to another program, or TCP may have
        connected the port to itself.

        Raises:
            FrameDecodeError: If the message is not a reply, or is a reply to another method.
        """
        if message.kind not in REPLY_KINDS:
            raise FrameDecodeError(f"got a call of {message.method} where a reply was expected")
        call = self._pending.get(message.sequence)
        if call is None:
            return
        if message.method != call.method:
            raise FrameDecodeError(f"got a reply of {message.method} to a call of {call.method}")
        if not call.body.done():
            call.body.set_result(message.body)

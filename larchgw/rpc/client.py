"""The calling side: one kept connection to one process, many calls at once."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass
from typing import Any

import structlog
from thrift.Thrift import TApplicationException, TMessageType

from .codec import DecodeError, FrameReader, Message, decode_message, encode_message
from .errors import RpcConnectionError, RpcError, RpcTimeoutError, RpcUnavailableError
from .generated import Control

log = structlog.get_logger()
CONNECT_TIMEOUT = 0.5  # seconds
ANSWERS = (TMessageType.REPLY, TMessageType.EXCEPTION)
MOST_UNSENT_BYTES = 24 << 20  # of calls without an answer that wait to be sent to one peer
USER_TIMEOUT_MS = 1500  # unacknowledged bytes end a connection after this


@dataclass(slots=True)
class Traffic:
    """Bytes of the messages of one client, since its start."""

    sent: int = 0
    received: int = 0


@dataclass(slots=True)
class _Waiting:
    """A call without its answer."""

    method: str
    answer: asyncio.Future[Any]


class _Connection(asyncio.Protocol):
    """A connection and the calls that wait on it, by their sequence numbers.

    A client uses each number once: an answer that comes after its call was given up finds no other.
    """

    def __init__(self, traffic: Traffic) -> None:
        self.transport: asyncio.Transport | None = None
        self._traffic = traffic
        self.waiting: dict[int, _Waiting] = {}
        self._frames = FrameReader()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        tune(transport)

    def data_received(self, data: bytes) -> None:
        self._traffic.received += len(data)
        try:
            for frame in self._frames.feed(data):
                self._answered(decode_message(frame))
        except DecodeError as error:
            log.warning("rpc.answer_undecodable", error=str(error))
            self.close()

    def _answered(self, message: Message) -> None:
        """Raises DecodeError for what is no answer to the call that has its number.

        An address may belong to another program by now, or the connection lead back to ourselves.
        """
        if message.kind not in ANSWERS:
            raise DecodeError(f"a call of {message.method} where an answer is due")
        call = self.waiting.get(message.sequence)
        if call is None:
            return
        if message.method != call.method:
            raise DecodeError(f"an answer of {message.method} to a call of {call.method}")
        if not call.answer.done():
            call.answer.set_result(message.body)

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        waiting, self.waiting = self.waiting, {}
        for call in waiting.values():
            if not call.answer.done():
                call.answer.set_exception(RpcConnectionError(f"the connection ended: {error or 'closed'}"))

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()


def tune(transport: asyncio.Transport) -> None:
    """Sends at once, and notices a peer that has gone silent."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


class RpcClient:
    """Calls one address ("host:port"). Opens its connection when needed, and anew after it broke."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.traffic = Traffic()
        self._connection: _Connection | None = None
        self._opening: asyncio.Task[_Connection] | None = None
        self._sequence = 0
        self._posted: list[bytes] = []  # until the connection is up

    async def call(self, method: str, argument: Any, timeout_s: float) -> Any:
        """What `method` returned. `timeout_s` is in seconds. Raises RpcError."""
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self._connect()
                return await self._exchange(connection, method, argument)
        except TimeoutError:
            raise RpcTimeoutError(f"{method} at {self.address}: no answer in {timeout_s:.2f} s") from None

    async def send(self, method: str, argument: Any) -> None:
        """A call that has no answer. Raises RpcError if it could not be sent."""
        connection = await self._connect()
        if connection.transport is None:
            raise RpcConnectionError(f"{self.address}: the connection ended", sent=False)
        connection.transport.write(self._frame(method, TMessageType.ONEWAY, 0, argument))

    def post(self, method: str, argument: Any) -> None:
        """A call that has no answer, sent as soon as there is a connection; dropped if none comes up.

        For protocols that bear losses: it never waits, and a peer that does not read costs bounded memory.
        """
        frame = self._frame(method, TMessageType.ONEWAY, 0, argument)
        connection = self._connection
        if connection is not None and connection.transport is not None:
            if connection.transport.get_write_buffer_size() <= MOST_UNSENT_BYTES:
                connection.transport.write(frame)
            return
        if sum(map(len, self._posted)) <= MOST_UNSENT_BYTES:
            self._posted.append(frame)
        if self._opening is None or self._opening.done():
            self._opening = asyncio.ensure_future(self._open())
            self._opening.add_done_callback(self._opened)

    def _opened(self, opening: asyncio.Task[_Connection]) -> None:
        posted, self._posted = self._posted, []
        if opening.cancelled() or opening.exception() is not None:
            return
        transport = opening.result().transport
        if transport is not None:
            transport.writelines(posted)

    def close(self) -> None:
        """Ends the connection; calls that wait on it fail."""
        if self._opening is not None:
            self._opening.cancel()
            self._opening = None
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    async def _exchange(self, connection: _Connection, method: str, argument: Any) -> Any:
        if connection.transport is None:
            raise RpcConnectionError(f"{self.address}: the connection ended", sent=False)
        self._sequence = (self._sequence + 1) & 0x7FFFFFFF
        sequence = self._sequence
        future = asyncio.get_running_loop().create_future()
        connection.waiting[sequence] = _Waiting(method, future)
        connection.transport.write(self._frame(method, TMessageType.CALL, sequence, argument))
        try:
            result = await future
        finally:
            connection.waiting.pop(sequence, None)
        if isinstance(result, TApplicationException):
            raise RpcError(f"{method} at {self.address}: {result.message}")
        unavailable = getattr(result, "unavailable", None)
        if unavailable is not None:
            raise RpcUnavailableError(
                f"{method} at {self.address}: {unavailable.reason}; {unavailable.remedy}"
            )
        success = getattr(result, "success", None)
        if success is None and hasattr(result, "success"):
            raise RpcError(f"{method} at {self.address}: an answer without a result")
        return success

    def _frame(self, method: str, kind: int, sequence: int, argument: Any) -> bytes:
        arguments = getattr(Control, method + "_args")
        frame = encode_message(method, kind, sequence, arguments(argument))
        self.traffic.sent += len(frame)
        return frame

    async def _connect(self) -> _Connection:
        if self._connection is not None and self._connection.transport is not None:
            return self._connection
        if self._opening is None or self._opening.done():
            self._opening = asyncio.ensure_future(self._open())
            self._opening.add_done_callback(self._opened)
        opening = self._opening
        try:
            return await asyncio.shield(opening)
        except asyncio.CancelledError:
            caller = asyncio.current_task()
            if opening.cancelled() and caller is not None and not caller.cancelling():
                raise RpcConnectionError(f"{self.address}: the client was closed", sent=False) from None
            raise

    async def _open(self) -> _Connection:
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                _, connection = await loop.create_connection(
                    lambda: _Connection(self.traffic), host, int(port)
                )
        except (OSError, TimeoutError) as error:
            raise RpcConnectionError(f"{self.address}: {error or 'no answer'}", sent=False) from error
        self._connection = connection
        return connection

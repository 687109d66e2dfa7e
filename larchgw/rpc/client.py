"""The calling side: one kept connection to one process, many calls at once."""

from __future__ import annotations

import asyncio

from thrift.Thrift import TApplicationException, TMessageType

from .client_connection import ClientConnection, Traffic
from .codec import encode_message
from .errors import RpcConnectionError, RpcError, RpcTimeoutError, RpcUnavailableError
from .structs import Argument, Reply, ThriftStruct, new_arguments

CONNECT_TIMEOUT_S = 0.5
MAX_SEQUENCE = 0x7FFFFFFF
MAX_UNSENT_BYTES = 24 << 20  # of calls without a reply that wait to be sent to one peer


class RpcClient:
    """Calls one process. Opens its connection when needed, and anew after it ended.

    Belongs to the running asyncio loop. Nothing is sent twice: a caller that repeats a call must know that it
    may be executed twice, unless `RpcError.was_sent` is False.

    Attributes:
        address: Where the process serves rpc, "host:port".
        traffic: Bytes sent and received.
    """

    def __init__(self, address: str) -> None:
        """Opens nothing yet."""
        self.address = address
        self.traffic = Traffic()
        self._connection: ClientConnection | None = None
        self._opening: asyncio.Task[ClientConnection] | None = None
        self._sequence = 0
        self._posted_frames: list[bytes] = []  # until the connection is up

    async def call(self, method: str, argument: Argument, timeout_s: float) -> Reply:
        """Calls a method and waits for its reply.

        Args:
            method: A method of the thrift service, not a oneway one.
            argument: Its argument.
            timeout_s: Time for the connection, if one must be opened, and the reply together.

        Returns:
            The reply; None where the method returns nothing.

        Raises:
            RpcTimeoutError: No reply in time.
            RpcConnectionError: No connection, or it ended before the reply.
            RpcUnavailableError: The process cannot serve the call now.
            RpcError: The process failed in the call, or its reply is empty.
        """
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self._connect()
                return await self._exchange(connection, method, argument)
        except TimeoutError:
            message = f"{method} at {self.address}: no answer in {timeout_s:.2f} s"
            raise RpcTimeoutError(message, address=self.address, method=method) from None

    def post(self, method: str, argument: Argument) -> None:
        """Sends a oneway call as soon as there is a connection; drops it if none comes up.

        For protocols that bear losses: it never waits, and a peer that does not read costs bounded memory.
        """
        frame = self._encode(method, TMessageType.ONEWAY, 0, argument)
        connection = self._connection
        if connection is not None and connection.transport is not None:
            if connection.transport.get_write_buffer_size() <= MAX_UNSENT_BYTES:
                connection.transport.write(frame)
            return
        if sum(map(len, self._posted_frames)) <= MAX_UNSENT_BYTES:
            self._posted_frames.append(frame)
        self._begin_opening()

    def close(self) -> None:
        """Ends the connection; calls that wait on it fail."""
        if self._opening is not None:
            self._opening.cancel()
            self._opening = None
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    async def _exchange(self, connection: ClientConnection, method: str, argument: Argument) -> Reply:
        if connection.transport is None:
            message = f"{self.address}: the connection ended"
            raise RpcConnectionError(message, was_sent=False, address=self.address, method=method)
        self._sequence = (self._sequence + 1) & MAX_SEQUENCE
        sequence = self._sequence
        body = connection.add_call(sequence, method)
        connection.transport.write(self._encode(method, TMessageType.CALL, sequence, argument))
        try:
            result = await body
        finally:
            connection.remove_call(sequence)
        return self._reply_of(method, result)

    def _reply_of(self, method: str, result: ThriftStruct) -> Reply:
        """Returns the reply in a method's result, or raises the error that stands there."""
        if isinstance(result, TApplicationException):
            raise self._call_error(method, result.message)
        unavailable = getattr(result, "unavailable", None)
        if unavailable is not None:
            raise RpcUnavailableError(self.address, method, unavailable.reason, unavailable.remedy)
        reply = getattr(result, "success", None)
        if reply is None and hasattr(result, "success"):
            raise self._call_error(method, "an answer without a result")
        return reply

    def _call_error(self, method: str, reason: str) -> RpcError:
        return RpcError(f"{method} at {self.address}: {reason}", address=self.address, method=method)

    def _encode(self, method: str, kind: int, sequence: int, argument: Argument) -> bytes:
        frame = encode_message(method, kind, sequence, new_arguments(method, argument))
        self.traffic.sent += len(frame)
        return frame

    async def _connect(self) -> ClientConnection:
        if self._connection is not None and self._connection.transport is not None:
            return self._connection
        opening = self._begin_opening()
        try:
            return await asyncio.shield(opening)
        except asyncio.CancelledError:
            caller = asyncio.current_task()
            if opening.cancelled() and caller is not None and not caller.cancelling():
                message = f"{self.address}: the client was closed"
                raise RpcConnectionError(message, was_sent=False, address=self.address) from None
            raise

    def _begin_opening(self) -> asyncio.Task[ClientConnection]:
        """Returns the task that opens the connection, which all callers share."""
        if self._opening is None or self._opening.done():
            self._opening = asyncio.ensure_future(self._open())
            self._opening.add_done_callback(self._send_posted)
        return self._opening

    async def _open(self) -> ClientConnection:
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: ClientConnection(self.traffic), host, int(port)
                )
        except (OSError, TimeoutError) as error:
            message = f"{self.address}: {error or 'no answer'}"
            raise RpcConnectionError(message, was_sent=False, address=self.address) from error
        self._connection = connection
        return connection

    def _send_posted(self, opening: asyncio.Task[ClientConnection]) -> None:
        """Sends what was posted while the connection was opened, or drops it if that failed."""
        frames, self._posted_frames = self._posted_frames, []
        if opening.cancelled() or opening.exception() is not None:
            return
        transport = opening.result().transport
        if transport is not None:
            transport.writelines(frames)

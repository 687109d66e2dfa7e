"""RPC client: one persistent connection to one process, shared by concurrent calls."""

from __future__ import annotations

import asyncio

from thrift.Thrift import TApplicationException, TMessageType

from .client_connection import ClientConnection, Traffic
from .codec import encode_message
from .errors import RpcConnectionError, RpcError, RpcTimeoutError, RpcUnavailableError
from .structs import Argument, Reply, ThriftStruct, new_arguments

CONNECT_TIMEOUT_S = 0.5
MAX_SEQUENCE = 0x7FFFFFFF
MAX_UNSENT_BYTES = 24 << 20  # limit of buffered oneway calls to one peer


class RpcClient:
    """Calls one process. Connects on first use, and reconnects when needed after the connection was lost.

    Must be used on the running asyncio loop. The client never retries: a call that a caller repeats may be
    executed twice, unless `RpcError.was_sent` is False.

    Attributes:
        address: RPC address of the process, "host:port".
        traffic: Bytes sent and received.
    """

    def __init__(self, address: str) -> None:
        """Does not connect yet."""
        self.address = address
        self.traffic = Traffic()
        self._connection: ClientConnection | None = None
        self._connect_task: asyncio.Task[ClientConnection] | None = None
        self._sequence = 0
        self._posted_frames: list[bytes] = []  # oneway calls made before the connection is established

    async def call(self, method: str, argument: Argument, timeout_s: float) -> Reply:
        """Calls a method and waits for its reply.

        Args:
            method: A method of the Thrift service that is not oneway.
            argument: Its argument.
            timeout_s: Time limit for connecting, if necessary, and receiving the reply.

        Returns:
            The reply; None if the method returns nothing.

        Raises:
            RpcTimeoutError: No reply within the time limit.
            RpcConnectionError: The connection could not be opened or was lost before the reply.
            RpcUnavailableError: The process is currently unable to serve the call.
            RpcError: The method raised an exception, or the reply is empty.
        """
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self._connect()
                return await self._exchange(connection, method, argument)
        except TimeoutError:
            message = f"{method} at {self.address}: no reply within {timeout_s:.2f} s"
            raise RpcTimeoutError(message, address=self.address, method=method) from None

    def post(self, method: str, argument: Argument) -> None:
        """Sends a oneway call once connected; drops it if the connection cannot be opened.

        For protocols that tolerate message loss: it never blocks, and a peer that does not read can only
        cause a bounded amount of buffered data.
        """
        frame = self._encode(method, TMessageType.ONEWAY, 0, argument)
        connection = self._connection
        if connection is not None and connection.transport is not None:
            if connection.transport.get_write_buffer_size() <= MAX_UNSENT_BYTES:
                connection.transport.write(frame)
            return
        if sum(map(len, self._posted_frames)) <= MAX_UNSENT_BYTES:
            self._posted_frames.append(frame)
        self._start_connecting()

    def close(self) -> None:
        """Closes the connection; pending calls fail."""
        if self._connect_task is not None:
            self._connect_task.cancel()
            self._connect_task = None
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    async def _exchange(self, connection: ClientConnection, method: str, argument: Argument) -> Reply:
        if connection.transport is None:
            message = f"{self.address}: the connection was closed"
            raise RpcConnectionError(message, was_sent=False, address=self.address, method=method)
        self._sequence = (self._sequence + 1) & MAX_SEQUENCE
        sequence = self._sequence
        body = connection.add_call(sequence, method)
        connection.transport.write(self._encode(method, TMessageType.CALL, sequence, argument))
        try:
            result = await body
        finally:
            connection.remove_call(sequence)
        return self._unwrap_reply(method, result)

    def _unwrap_reply(self, method: str, result: ThriftStruct) -> Reply:
        """Returns the reply in a method's result struct, or raises the error that it holds."""
        if isinstance(result, TApplicationException):
            raise self._call_error(method, result.message)
        unavailable = getattr(result, "unavailable", None)
        if unavailable is not None:
            raise RpcUnavailableError(self.address, method, unavailable.reason, unavailable.remedy)
        reply = getattr(result, "success", None)
        if reply is None and hasattr(result, "success"):
            raise self._call_error(method, "the reply has no result")
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
        connect_task = self._start_connecting()
        try:
            return await asyncio.shield(connect_task)
        except asyncio.CancelledError:
            caller = asyncio.current_task()
            if connect_task.cancelled() and caller is not None and not caller.cancelling():
                message = f"{self.address}: the client was closed"
                raise RpcConnectionError(message, was_sent=False, address=self.address) from None
            raise

    def _start_connecting(self) -> asyncio.Task[ClientConnection]:
        """Returns the task that opens the connection, shared by all callers; starts it if necessary."""
        if self._connect_task is None or self._connect_task.done():
            self._connect_task = asyncio.ensure_future(self._open_connection())
            self._connect_task.add_done_callback(self._send_posted)
        return self._connect_task

    async def _open_connection(self) -> ClientConnection:
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: ClientConnection(self.traffic), host, int(port)
                )
        except (OSError, TimeoutError) as error:
            message = f"{self.address}: {error or 'connecting timed out'}"
            raise RpcConnectionError(message, was_sent=False, address=self.address) from error
        self._connection = connection
        return connection

    def _send_posted(self, connect_task: asyncio.Task[ClientConnection]) -> None:
        """Sends the calls that were posted while connecting, or drops them if connecting failed."""
        frames, self._posted_frames = self._posted_frames, []
        if connect_task.cancelled() or connect_task.exception() is not None:
            return
        transport = connect_task.result().transport
        if transport is not None:
            transport.writelines(frames)

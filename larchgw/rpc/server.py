"""RPC server: dispatches calls to an object with one coroutine per Thrift method."""

from __future__ import annotations

import asyncio
from typing import Any

import structlog
from thrift.Thrift import TApplicationException, TMessageType

from .codec import FrameReader, Message, decode_message, encode_message
from .errors import FrameDecodeError
from .generated.ttypes import Unavailable
from .socket_options import set_socket_options
from .structs import new_result

log = structlog.get_logger()

CALL_KINDS = (TMessageType.CALL, TMessageType.ONEWAY)
LISTEN_BACKLOG = 1024


class _Session(asyncio.Protocol):
    """Connection of one client; its calls are served concurrently, each in its own task."""

    def __init__(self, server: RpcServer) -> None:
        self.transport: asyncio.Transport | None = None
        self._server = server
        self._frames = FrameReader()
        self._tasks: set[asyncio.Task[None]] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._server.sessions.add(self)
        set_socket_options(transport)

    def data_received(self, data: bytes) -> None:
        try:
            for frame in self._frames.feed(data):
                self._receive_call(decode_message(frame))
        except FrameDecodeError as error:
            log.warning("rpc.call_undecodable", error=str(error))
            self.close()

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        self._server.sessions.discard(self)
        for task in self._tasks:
            task.cancel()

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def _receive_call(self, message: Message) -> None:
        if message.kind not in CALL_KINDS:
            raise FrameDecodeError(f"got a reply of {message.method} where a call was expected")
        task = asyncio.ensure_future(self._serve(message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, message: Message) -> None:
        method = getattr(self._server.handler, message.method)
        argument = getattr(message.body, message.body.__slots__[0])
        if message.kind == TMessageType.ONEWAY:
            await method(argument)
            return
        kind: int = TMessageType.REPLY
        body: Any = new_result(message.method)
        try:
            reply = await method(argument)
            if "success" in body.__slots__:
                body.success = reply
        except Unavailable as unavailable:
            body.unavailable = unavailable
        except (
            Exception
        ) as error:  # an error in one call must not close the connection that other calls share
            log.exception("rpc.call_failed", method=message.method)
            kind = TMessageType.EXCEPTION
            body = TApplicationException(TApplicationException.INTERNAL_ERROR, repr(error))
        if self.transport is not None:
            self.transport.write(encode_message(message.method, kind, message.sequence, body))


class RpcServer:
    """Serves calls at one address. Must be used on the running asyncio loop.

    Attributes:
        handler: Serves the calls: has one coroutine per method, of the same name, which may raise the
            generated `Unavailable`.
        sessions: The open connections of clients.
    """

    def __init__(self, handler: object) -> None:
        """Does not listen yet."""
        self.handler = handler
        self.sessions: set[_Session] = set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> int:
        """Starts listening and returns the port.

        Raises:
            OSError: If the address cannot be used.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _Session(self), host, port, backlog=LISTEN_BACKLOG)
        return int(self._server.sockets[0].getsockname()[1])

    def stop(self) -> None:
        """Closes the listening socket and all client connections."""
        if self._server is not None:
            self._server.close()
        for session in list(self.sessions):
            session.close()

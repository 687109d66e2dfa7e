"""The called side: serves an object whose coroutines have the names of the thrift methods."""

from __future__ import annotations

import asyncio
from typing import Any

import structlog
from thrift.Thrift import TApplicationException, TMessageType

from .client import tune
from .codec import DecodeError, FrameReader, Message, decode_message, encode_message
from .generated import Control
from .generated.ttypes import Unavailable

log = structlog.get_logger()
CALLS = (TMessageType.CALL, TMessageType.ONEWAY)


class _Session(asyncio.Protocol):
    """One caller's connection."""

    def __init__(self, server: RpcServer) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self._frames = FrameReader()
        self._tasks: set[asyncio.Task[None]] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.server.sessions.add(self)
        tune(transport)

    def data_received(self, data: bytes) -> None:
        try:
            for frame in self._frames.feed(data):
                message = decode_message(frame)
                if message.kind not in CALLS:
                    raise DecodeError(f"an answer of {message.method} where a call is due")
                task = asyncio.ensure_future(self._serve(message))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        except DecodeError as error:
            log.warning("rpc.call_undecodable", error=str(error))
            if self.transport is not None:
                self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        self.server.sessions.discard(self)
        for task in self._tasks:
            task.cancel()

    async def _serve(self, message: Message) -> None:
        handler = getattr(self.server.handler, message.method)
        argument = getattr(message.body, message.body.__slots__[0])
        if message.kind == TMessageType.ONEWAY:
            await handler(argument)
            return
        kind: int = TMessageType.REPLY
        body: Any = getattr(Control, message.method + "_result")()
        try:
            answer = await handler(argument)
            if "success" in body.__slots__:
                body.success = answer
        except Unavailable as unavailable:
            body.unavailable = unavailable
        except Exception as error:  # a fault in one call must not end the connection of all others
            log.exception("rpc.call_failed", method=message.method)
            kind = TMessageType.EXCEPTION
            body = TApplicationException(TApplicationException.INTERNAL_ERROR, repr(error))
        if self.transport is not None:
            self.transport.write(encode_message(message.method, kind, message.sequence, body))


class RpcServer:
    """Listens at one address for calls to `handler`."""

    def __init__(self, handler: Any) -> None:
        self.handler = handler
        self.sessions: set[_Session] = set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> int:
        """Listens; returns the port. Raises OSError."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _Session(self), host, port, backlog=1024)
        return int(self._server.sockets[0].getsockname()[1])

    def stop(self) -> None:
        """Closes the listening socket and all callers' connections."""
        if self._server is not None:
            self._server.close()
        for session in list(self.sessions):
            if session.transport is not None:
                session.transport.abort()

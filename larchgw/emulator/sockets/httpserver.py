"""A small HTTP server for the models: whole requests, one at a time on a connection."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any

import httptools

MAX_BODY = 1 << 16  # bytes


class Exchange(asyncio.Protocol):
    """One connection of a server here: whole requests, one at a time; pipelined ones wait."""

    def __init__(self, owner: Handler) -> None:
        self.owner = owner
        self.transport: asyncio.Transport | None = None
        self.headers: dict[str, str] = {}
        self.path, self.body = "", b""
        self.busy = False
        self.on_lost: Callable[[], None] | None = None
        self._url = b""
        self._parser = httptools.HttpRequestParser(self)
        self._waiting = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.owner.open.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.owner.open.discard(self)
        if self.on_lost:
            self.on_lost()

    def data_received(self, data: bytes) -> None:
        if self.busy:
            self._waiting += data
            if len(self._waiting) > MAX_BODY:
                self.abort()  # nobody waits politely with so much
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()

    # From the parser

    def on_message_begin(self) -> None:
        self.headers, self.body, self._url = {}, b"", b""

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1").strip()

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.path, self.busy = self._url.decode("latin-1"), True
        self.owner.handle(self)

    # To the other side

    def write(self, data: bytes) -> None:
        if self.transport and not self.transport.is_closing():
            self.transport.write(data)

    def reply(self, status: int, body: bytes, extra: str = "") -> None:
        self.write(
            b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n%b\r\n%b"
            % (status, len(body), extra.encode("latin-1"), body)
        )
        self.done()

    def chunk(self, line: dict[str, Any]) -> None:
        text = json.dumps(line).encode() + b"\n"
        self.write(b"%x\r\n%b\r\n" % (len(text), text))

    def done(self) -> None:
        """The answer is over; what came in meanwhile is read now."""
        self.busy, self.on_lost = False, None
        if self._waiting:
            data, self._waiting = bytes(self._waiting), bytearray()
            self.data_received(data)

    def abort(self) -> None:
        if self.transport:
            self.transport.abort()


class Handler:
    """What a server here does with a request."""

    def __init__(self) -> None:
        self.open: set[Exchange] = set()
        self.server: asyncio.Server | None = None
        self.address = ""

    def handle(self, exchange: Exchange) -> None:
        raise NotImplementedError

    async def listen(self, port: int = 0) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: Exchange(self), "127.0.0.1", port)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def refuse(self) -> None:
        """Connections break and new ones are refused, as when a process ends."""
        if self.server:
            self.server.close()
        for exchange in list(self.open):
            exchange.abort()

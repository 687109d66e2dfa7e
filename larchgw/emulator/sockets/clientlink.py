"""A client's connection to a dispatcher."""

from __future__ import annotations

import asyncio
from typing import Any, NamedTuple

import httptools


class Answer(NamedTuple):
    """One answer whole; names of headers are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class ClientLink(asyncio.Protocol):
    """One connection of the clients: a request, then its answer."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.answer: asyncio.Future[Answer] | None = None
        self.keep = True
        self._parser: Any = None
        self._headers: dict[str, str] = {}
        self._body = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        self.keep = False
        if self.answer and not self.answer.done():
            self.answer.set_exception(ConnectionResetError())

    def ask(self, data: bytes) -> asyncio.Future[Answer]:
        assert self.transport is not None
        self._parser = httptools.HttpResponseParser(self)
        self._headers, self._body = {}, b""
        self.answer = asyncio.get_running_loop().create_future()
        self.transport.write(data)
        return self.answer

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.close()

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1").strip()

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        self.keep = self.keep and self._parser.should_keep_alive()
        if self.answer and not self.answer.done():
            self.answer.set_result(Answer(self._parser.get_status_code(), self._headers, self._body))

    def close(self) -> None:
        self.keep = False
        if self.transport:
            self.transport.abort()

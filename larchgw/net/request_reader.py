"""Reads HTTP/1.1 requests out of the bytes of one client's connection, and checks their sizes and framing."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import httptools

from .body_memory import BodyMemory
from .connection import READ_BYTES
from .exchange import Exchange
from .limits import ServerLimits

MAX_HEADERS = 100
# A request with one of these twice is ambiguous: its values are joined by a byte that no value may hold, so
# that none is valid. Values of all other headers are joined as lists are.
SINGLE_VALUED = frozenset(
    (b"x-request-id", b"x-deadline-ms", b"x-tenant", b"x-key", b"x-cost-hint", b"x-retry", b"idempotency-key")
)


class RequestOwner(Protocol):
    """Is called for what was read, from within the parser: none of these may raise."""

    def new_exchange(self) -> Exchange:
        """A request on this connection, of which nothing is known yet."""

    def on_begun(self) -> None:
        """The first byte of a request has come."""

    def on_request(self, exchange: Exchange) -> None:
        """A request has come in whole."""

    def on_refused(self, exchange: Exchange) -> None:
        """The framing is in doubt: `exchange.error` is to be answered, after which nothing more is read."""

    def on_continue_expected(self) -> None:
        """The client waits for an interim answer (100) before it sends the body."""


class RequestReader:
    """Reads the requests of one connection. The parser's callbacks record what they see and never raise.

    Attributes:
        coming: The request that has not come in whole.
        stopped: Whether nothing more is read: what follows is ambiguous or not wanted.
    """

    def __init__(self, owner: RequestOwner, bodies: BodyMemory, limits: Callable[[], ServerLimits]) -> None:
        """Reserves memory in `bodies`; `limits` gives those in force at each call."""
        self._owner, self._bodies, self._limits = owner, bodies, limits
        self.coming: Exchange | None = None
        self.stopped = False
        self._head_bytes = self._raw_bytes = 0  # of the present request: of its head, and of all as it came
        self._url = b""
        self._body = bytearray()
        self._parser = httptools.HttpRequestParser(self)

    def feed(self, data: bytes) -> None:
        """Reads the next bytes of the connection."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.refuse(400, "no upgrades here")
        except httptools.HttpParserError as error:
            self.refuse(400, f"not HTTP: {error}")
        if self.coming is not None and not self.stopped:
            self._raw_bytes += len(data)
            # A head that never ends is seen by its bytes alone: the parser reports no header before its end.
            limits = self._limits()
            if self._raw_bytes > (limits.raw_bytes if self.coming.method else limits.head_bytes + READ_BYTES):
                self.refuse(400, "the request is too long")

    def refuse(self, status: int, reason: str) -> None:
        """Reads nothing more: what came before is answered, then this error, then the connection closes."""
        if self.stopped:
            return
        self.stopped, self.coming = True, None
        self.drop_body()
        error = self._owner.new_exchange()
        error.error, error.keep_alive = (status, reason), False
        self._owner.on_refused(error)

    def drop_body(self) -> None:
        """Lets go of the body that is coming in."""
        self._bodies.release(len(self._body))
        self._body = bytearray()

    # From the parser

    def on_message_begin(self) -> None:
        """The first byte of a request has come."""
        if self.stopped:
            return
        self._url, self._head_bytes, self._raw_bytes = b"", 0, 0
        self.coming = self._owner.new_exchange()
        self._owner.on_begun()

    def on_url(self, url: bytes) -> None:
        """A piece of the request target has come."""
        self._url += url
        self._head_bytes += len(url)
        if self._head_bytes > self._limits().head_bytes:
            self._url = b""
            self.refuse(414, "the path is too long")

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header field has come."""
        coming = self.coming
        if coming is None:
            return
        headers, original, name = coming.headers, name, name.lower()
        self._head_bytes += len(name) + len(value)
        value = value.strip(b" \t")  # the parser leaves what stands behind a value
        if len(headers) >= MAX_HEADERS or self._head_bytes > self._limits().head_bytes:
            self.refuse(431, "too many headers")
        elif name in headers and name != b"cookie":
            headers[name] += (b"\n" if name in SINGLE_VALUED else b",") + value
        else:
            headers[name] = value
        coming.fields.append((original, value))

    def on_headers_complete(self) -> None:
        """The head has come: its framing is checked."""
        coming = self.coming
        if coming is None:
            return
        coming.method = self._parser.get_method()
        coming.target, coming.path = self._url, self._url.partition(b"?")[0]
        coming.keep_alive = self._parser.should_keep_alive()
        coming.predates_http_1_1 = self._parser.get_http_version() != "1.1"
        length = coming.headers.get(b"content-length", b"0")
        if b"transfer-encoding" in coming.headers and b"content-length" in coming.headers:
            # Two lengths: a peer that goes by the other one reads a second request out of the body.
            self.refuse(400, "both Content-Length and Transfer-Encoding")
        elif length.isdigit() and int(length) > self._limits().body_bytes:
            self._too_large()
        elif coming.headers.get(b"expect", b"").lower() == b"100-continue":
            self._owner.on_continue_expected()

    def on_body(self, body: bytes) -> None:
        """A piece of the body has come."""
        if self.stopped:
            return
        if len(self._body) + len(body) > self._limits().body_bytes:
            self._too_large()
        elif self._bodies.reserve(len(body)):
            self._body += body
        else:
            self.refuse(503, "no memory for the body")

    def on_message_complete(self) -> None:
        """The request has come in whole."""
        coming, self.coming = self.coming, None
        if coming is None or self.stopped:
            return
        coming.body, self._body = bytes(self._body), bytearray()
        self._owner.on_request(coming)

    def _too_large(self) -> None:
        self.refuse(413, f"the body is over {self._limits().body_bytes // 1024} KiB")

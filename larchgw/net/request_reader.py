"""Parses HTTP/1.1 requests from the bytes of a client connection; checks their size and framing."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import httptools

from .body_memory import BodyMemory
from .connection import READ_BYTES
from .exchange import Exchange
from .limits import ServerLimits

MAX_HEADERS = 100
# A duplicate of one of these headers is ambiguous. The values are joined by a newline, which no valid value
# contains, so the result is invalid. Values of all other headers are joined as lists.
SINGLE_VALUED = frozenset(
    (b"x-request-id", b"x-deadline-ms", b"x-tenant", b"x-key", b"x-cost-hint", b"x-retry", b"idempotency-key")
)


class RequestOwner(Protocol):
    """Receives parsed requests. It is called from within the parser and must not raise."""

    def new_exchange(self) -> Exchange:
        """Creates an empty request on this connection."""

    def on_begun(self) -> None:
        """Called at the first byte of a request."""

    def on_request(self, exchange: Exchange) -> None:
        """Called with a complete request."""

    def on_refused(self, exchange: Exchange) -> None:
        """Called with the error to send, `exchange.error`, for an invalid request; reading has stopped."""

    def body_share(self, exchange: Exchange) -> float:
        """Returns the share of the body memory that may be in use once the body of `exchange` counts."""

    def on_continue_expected(self) -> None:
        """Called when the client waits for an interim response (100) before it sends the body."""


class RequestReader:
    """Parses the requests of one connection. The parser callbacks record data and never raise.

    Attributes:
        incoming: The request being received.
        stopped: Whether reading has ended, after ambiguous input or because the connection closes.
    """

    def __init__(self, owner: RequestOwner, bodies: BodyMemory, limits: Callable[[], ServerLimits]) -> None:
        """Creates a reader that reserves memory in `bodies`; `limits` returns the current limits."""
        self._owner, self._bodies, self._limits = owner, bodies, limits
        self.incoming: Exchange | None = None
        self.stopped = False
        # Of the current request: the size of its head, and of everything received.
        self._head_bytes = self._raw_bytes = 0
        self._url = b""
        self._body = bytearray()
        self._reserved_bytes = 0  # for the body that is being received
        self._parser = httptools.HttpRequestParser(self)

    def feed(self, data: bytes) -> None:
        """Parses the next bytes of the connection."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.refuse(400, "no upgrades here")
        except httptools.HttpParserError as error:
            self.refuse(400, f"not HTTP: {error}")
        if self.incoming is not None and not self.stopped:
            self._raw_bytes += len(data)
            # A header that never ends is detected by size only: the parser reports it once complete.
            limits = self._limits()
            if self._raw_bytes > (
                limits.raw_bytes if self.incoming.method else limits.head_bytes + READ_BYTES
            ):
                self.refuse(400, "the request is too long")

    def refuse(self, status: int, reason: str) -> None:
        """Stops reading; earlier requests are answered, then this error, then the connection closes."""
        if self.stopped:
            return
        self.stopped, self.incoming = True, None
        self.discard_body()
        error = self._owner.new_exchange()
        error.error, error.keep_alive = (status, reason), False
        self._owner.on_refused(error)

    def discard_body(self) -> None:
        """Discards the body being received."""
        self._bodies.release(self._reserved_bytes)
        self._reserved_bytes = 0
        self._body = bytearray()

    # Called by the parser

    def on_message_begin(self) -> None:
        """Starts a new request."""
        if self.stopped:
            return
        self._url, self._head_bytes, self._raw_bytes = b"", 0, 0
        self.incoming = self._owner.new_exchange()
        self._owner.on_begun()

    def on_url(self, url: bytes) -> None:
        """Appends a piece of the request target."""
        self._url += url
        self._head_bytes += len(url)
        if self._head_bytes > self._limits().head_bytes:
            self._url = b""
            self.refuse(414, "the path is too long")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Records a header field."""
        incoming = self.incoming
        if incoming is None:
            return
        headers, original, name = incoming.headers, name, name.lower()
        self._head_bytes += len(name) + len(value)
        value = value.strip(b" \t")  # the parser keeps trailing whitespace
        if len(headers) >= MAX_HEADERS or self._head_bytes > self._limits().head_bytes:
            self.refuse(431, "too many headers")
        elif name in headers and name != b"cookie":
            headers[name] += (b"\n" if name in SINGLE_VALUED else b",") + value
        else:
            headers[name] = value
        incoming.fields.append((original, value))

    def on_headers_complete(self) -> None:
        """Checks the framing of the complete head."""
        incoming = self.incoming
        if incoming is None:
            return
        incoming.method = self._parser.get_method()
        incoming.target, incoming.path = self._url, self._url.partition(b"?")[0]
        incoming.keep_alive = self._parser.should_keep_alive()
        incoming.predates_http_1_1 = self._parser.get_http_version() != "1.1"
        length = incoming.headers.get(b"content-length", b"0")
        if b"transfer-encoding" in incoming.headers and b"content-length" in incoming.headers:
            # Request smuggling: a peer that uses the other length would read a second request from the body.
            self.refuse(400, "both Content-Length and Transfer-Encoding")
        elif length.isdigit() and int(length) > self._limits().body_bytes:
            self._too_large()
        elif length.isdigit() and self._bodies.until_answered and not self._reserve(int(length)):
            return
        elif incoming.headers.get(b"expect", b"").lower() == b"100-continue":
            self._owner.on_continue_expected()

    def on_body(self, body: bytes) -> None:
        """Appends a piece of the body."""
        if self.stopped:
            return
        if len(self._body) + len(body) > self._limits().body_bytes:
            self._too_large()
        elif self._reserve(len(self._body) + len(body)):
            self._body += body

    def on_message_complete(self) -> None:
        """Passes on the complete request."""
        incoming, self.incoming = self.incoming, None
        if incoming is None or self.stopped:
            return
        incoming.body, self._body = bytes(self._body), bytearray()
        incoming.reserved_bytes, self._reserved_bytes = self._reserved_bytes, 0
        self._owner.on_request(incoming)

    def _reserve(self, size: int) -> bool:
        """Reserves memory for a body of `size` bytes, or refuses the request; returns whether it did."""
        incoming, missing = self.incoming, size - self._reserved_bytes
        if missing <= 0:
            return True
        if incoming is None or not self._bodies.reserve(missing, lambda: self._owner.body_share(incoming)):
            self.refuse(503, "no memory for the body")
            return False
        self._reserved_bytes = size
        return True

    def _too_large(self) -> None:
        self.refuse(413, f"the body is over {self._limits().body_bytes // 1024} KiB")

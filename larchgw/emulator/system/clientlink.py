"""A client's connection to an edge: one request, one answer, and notice of bytes that nobody asked for."""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable

import httptools

from .records import Try

CONNECT_S = 1.0  # that a new connection is given


class ClientLink(asyncio.Protocol):
    """One connection. `on_stray` is called for bytes that answer no request. Times are those of `now`."""

    def __init__(self, now: Callable[[], float], on_stray: Callable[[], None]) -> None:
        self._now, self._on_stray = now, on_stray
        self._transport: asyncio.Transport | None = None
        self._try: Try | None = None
        self._over: asyncio.Future[None] | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._until_close = False
        self.usable = False
        self.last_used_at = 0.0  # when a request was sent, or bytes of an answer came

    @classmethod
    async def connect(
        cls, address: str, now: Callable[[], float], on_stray: Callable[[], None]
    ) -> ClientLink:
        """A new connection. Raises OSError or TimeoutError."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        made = loop.create_connection(lambda: cls(now, on_stray), host, int(port))
        _, link = await asyncio.wait_for(made, CONNECT_S)
        return link

    def ask(self, request: bytes, one: Try) -> asyncio.Future[None]:
        """Sends a request; the answer goes into `one`. The future is done once no more of it comes."""
        assert self._transport is not None
        self._try, self._until_close = one, False
        self._parser = httptools.HttpResponseParser(self)
        self._over = asyncio.get_running_loop().create_future()
        self.last_used_at = self._now()
        one.closed_before = _is_closed_by_peer(self._transport)
        self._transport.write(request)
        return self._over

    def close(self) -> None:
        """Ends the connection."""
        self.usable, self._try = False, None
        if self._transport is not None:
            self._transport.abort()

    # asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """It is up."""
        assert isinstance(transport, asyncio.Transport)
        self._transport, self.usable = transport, True

    def data_received(self, data: bytes) -> None:
        """Bytes of the answer."""
        if self._try is None:
            if self.usable:
                self._on_stray()
            self.close()
            return
        self.last_used_at = self._now()
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._on_stray()
            self._finish(keep=False)

    def connection_lost(self, error: Exception | None) -> None:
        """It is closed."""
        one = self._try
        if one is not None and one.status and self._until_close and error is None:
            one.whole = True
        self._finish(keep=False)

    # httptools

    def on_header(self, name: bytes, value: bytes) -> None:
        """One field of the answer's head."""
        if self._try is None:
            return
        text, lower = value.decode("latin-1").strip(), name.lower()
        if lower == b"x-server-seal":
            self._try.seal = text
        elif lower == b"x-attempt-id":
            self._try.answer_id = text
        elif lower == b"retry-after":
            self._try.retry_after = _seconds(text)
        elif lower in (b"content-length", b"transfer-encoding"):
            self._until_close = False

    def on_message_begin(self) -> None:
        """An answer begins."""
        self._until_close = True
        if self._try is None:
            self._on_stray()

    def on_headers_complete(self) -> None:
        """The head is whole."""
        if self._try is not None:
            self._try.status = self._parser.get_status_code()

    def on_body(self, data: bytes) -> None:
        """Bytes of the body."""
        if self._try is not None:
            self._try.first_at = self._try.first_at or self._now()
            self._try.answer += data

    def on_message_complete(self) -> None:
        """The answer is whole."""
        if self._try is not None:
            self._try.whole = True
            self._finish(keep=self._parser.should_keep_alive())

    def _finish(self, keep: bool) -> None:
        self._try = None
        if self._over is not None and not self._over.done():
            self._over.set_result(None)
        if not keep:
            self.close()


def _is_closed_by_peer(transport: asyncio.Transport) -> bool:
    """Whether the edge's end of the connection has come, seen by the event loop or not yet."""
    if transport.is_closing():
        return True
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


def _seconds(text: str) -> float:
    try:
        return max(float(text), 0.0)
    except ValueError:
        return 0.0

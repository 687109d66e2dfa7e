"""One client's connection: HTTP/1.1 parsed, requests in their order, limits and times, answers written."""

from __future__ import annotations

import socket
from collections import deque
from http import HTTPStatus
from typing import TYPE_CHECKING

import httptools

from ..core.deadlines import Deadline
from .connection import CHUNK, Connection
from .connection_outcome import ConnectionOutcome
from .exchange import Exchange
from .heads import CLOSE, Fields
from .replywriter import ReplyWriter

if TYPE_CHECKING:
    from .httpserver import HttpServer

MAX_HEADERS = 100
MAX_WAITING = 8  # requests read ahead on one connection, or bodies of the greatest size; then reading waits
LOOK = 0.1  # seconds between two looks for the end of a connection of which nothing is read for now
# Given twice, one of these is two requests in one: joined by what no value may hold, so that no reader takes
# it for a value. Others are lists.
SINGLE = frozenset((b"x-request-id", b"x-deadline-ms", b"x-tenant", b"x-key", b"x-cost-hint", b"x-retry",
                    b"idempotency-key"))
RETRY_AFTER = "0.5"  # seconds, where there is no memory for a request now
WRITE_TIME = 30.0  # for a client to read an answer


class Link:
    """A client's connection. The parser's callbacks only note what they see: they must not raise."""

    def __init__(self, server: HttpServer, sock: socket.socket) -> None:
        self.server = server
        self.current: Exchange | None = None
        self.waiting: deque[Exchange] = deque()
        self._coming: Exchange | None = None
        self._broken = False  # nothing after this point can be told apart
        self._advancing = False
        self._timer: Deadline | None = None
        self._look: Deadline | None = None
        self._head = self._raw = 0
        self._body = bytearray()
        self._writer: ReplyWriter | None = None  # of the answer that was begun
        self._url = b""
        self._parser = httptools.HttpRequestParser(self)
        self.opened = self.heard = self._began = server.loop.clock.now()
        self.proven = False  # whether a request has come in whole
        self.connection = Connection(server.loop, sock, self)
        self._time(server.limits.first_s, ConnectionOutcome.SLOW)

    def idle(self) -> bool:
        return self.current is None and not self.waiting and self._coming is None and not self._broken

    # From the connection

    def on_open(self) -> None:
        pass

    def on_data(self, data: bytes) -> None:
        if self._broken:
            return
        self.heard = self.server.loop.clock.now()
        if self in self.server.unproven:  # whoever still sends is no silent one: to the end of that line
            self.server.unproven[self] = self.server.unproven.pop(self)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._break(400, "no upgrades here")
        except httptools.HttpParserError as error:
            self._break(400, f"not HTTP: {error}")
        if self._coming is not None and not self._broken:
            self._raw += len(data)
            # A head that never ends is seen by its bytes alone: the parser tells of no header before its end.
            limits = self.server.limits
            if self._raw > (limits.raw_bytes if self._coming.method else limits.head_bytes + CHUNK):
                self._break(400, "the request is too long")
        self._pace()
        self.advance()

    def on_written(self) -> None:
        self._rearm()
        if self.current is not None and self.current.on_drained is not None:
            self.current.on_drained()
        self.advance()

    def on_end(self, ending: ConnectionOutcome) -> None:
        self.server.loop.deadlines.drop(self._timer)
        self.server.loop.deadlines.drop(self._look)
        self.server.drop(self)
        exchange, self.current = self.current, None
        self._clear()
        if exchange is not None and not exchange.done:
            exchange.done = True
            self.server.handler.on_client_gone(exchange)

    # From the parser

    def on_message_begin(self) -> None:
        self._url, self._head, self._raw = b"", 0, 0
        self._coming = Exchange(self)
        self.server.standing.pop(self, None)
        if self.proven:
            self._began = self.heard
            self._time(self.server.limits.message_s, ConnectionOutcome.SLOW)

    def on_url(self, url: bytes) -> None:
        self._url += url
        self._head += len(url)
        if self._head > self.server.limits.head_bytes:
            self._url = b""
            self._break(414, "the path is too long")

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._coming is None:
            return
        headers, original, name = self._coming.headers, name, name.lower()
        self._head += len(name) + len(value)
        value = value.strip(b" \t")  # the parser leaves what stands behind a value
        if len(headers) >= MAX_HEADERS or self._head > self.server.limits.head_bytes:
            self._break(431, "too many headers")
        elif name in headers and name != b"cookie":
            headers[name] += (b"\n" if name in SINGLE else b",") + value
        else:
            headers[name] = value
        self._coming.fields.append((original, value))

    def on_headers_complete(self) -> None:
        coming = self._coming
        if coming is None:
            return
        coming.method = self._parser.get_method()
        coming.target, coming.path = self._url, self._url.partition(b"?")[0]
        coming.keep = self._parser.should_keep_alive()
        coming.old = self._parser.get_http_version() != "1.1"
        length = coming.headers.get(b"content-length", b"0")
        if b"transfer-encoding" in coming.headers and b"content-length" in coming.headers:
            # Two lengths: whoever goes by the other one reads a second request out of the body.
            self._break(400, "both Content-Length and Transfer-Encoding")
        elif length.isdigit() and int(length) > self.server.limits.body_bytes:
            self._too_large()
        elif coming.headers.get(b"expect", b"").lower() == b"100-continue" and (
                self.current is None and not self.waiting):
            self.connection.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        if self._broken:
            return
        if len(self._body) + len(body) > self.server.limits.body_bytes:
            self._too_large()
        elif self.server.held + len(body) > self.server.max_held:
            self.server.no_memory()
            self._break(503, "no memory for the body")
        else:
            self._body += body
            self.server.held += len(body)

    def on_message_complete(self) -> None:
        coming, self._coming = self._coming, None
        if coming is None or self._broken:
            return
        coming.body, self._body = bytes(self._body), bytearray()
        coming.arrived = self.server.loop.clock.now()
        self.waiting.append(coming)
        if not self.proven:
            self.proven = True
            self.server.unproven.pop(self, None)
        self._time(None)

    def _too_large(self) -> None:
        self._break(413, f"the body is over {self.server.limits.body_bytes // 1024} KiB")

    def _break(self, status: int, reason: str) -> None:
        """The framing is in doubt: what came before is answered, then this error, then it closes."""
        if self._broken:
            return
        self._broken, self._coming = True, None
        self.server.unproven.pop(self, None)  # it is owed an answer
        self.server.standing.pop(self, None)
        self._drop_body()
        error = Exchange(self)
        error.error, error.keep = (status, reason), False
        self.waiting.append(error)

    # Moved to another process

    def movable(self, exchange: Exchange) -> bool:
        """Whether nothing but this request, read whole and not answered, is on the connection."""
        return (exchange is self.current and not self.waiting and self._coming is None and not self._broken
                and not self.connection.busy())

    def detach(self) -> None:
        """Lets go of the connection, which goes on elsewhere."""
        self.server.loop.deadlines.drop(self._timer)
        self.server.loop.deadlines.drop(self._look)
        self.server.drop(self)
        self.current, self._broken = None, True
        self.connection.close()

    # One request at a time

    def advance(self) -> None:
        if self._advancing:  # an answer that came at once: the loop below goes on
            return
        self._advancing = True
        # The next one waits until the last answer is written: a client that never reads costs one answer.
        # Nor does one go on whose client has left: its end lies behind the request.
        while self.waiting and self.current is None and not (self.connection.busy() or self.connection.over):
            exchange = self.current = self.waiting.popleft()
            self.server.held -= len(exchange.body)  # from here on it is the handler's to count
            if exchange.error is not None:
                self.server.counters.bad.labels(self.server.handler.name, str(exchange.error[0])).inc()
                status, reason = exchange.error
                later = (("Retry-After", RETRY_AFTER),) if status == 503 else ()
                exchange.reply(status, reason.encode() + b"\n", later)
            else:
                self.server.handler.on_exchange(exchange)
        self._advancing = False
        self._pace()

    def _pace(self) -> None:
        """Reads ahead only so far: what is read is held in memory until its turn comes."""
        ahead = len(self.waiting) >= MAX_WAITING or (
            sum(len(x.body) for x in self.waiting) > self.server.limits.body_bytes)
        self.connection.pause(ahead)
        if ahead and self._look is None and not self.connection.closed:
            deadlines, now = self.server.loop.deadlines, self.server.loop.clock.now()
            self._look = deadlines.add(now + LOOK, self._look_for_end)

    def _look_for_end(self) -> None:
        """While nothing is read its client's end is not heard of, and what waits would be sent for nobody."""
        self._look = None
        if self.connection.closed or self._broken:
            return
        if self.connection.left():
            self.connection.close()
            self.on_end(ConnectionOutcome.CLOSED)
        else:
            self._pace()

    def _drop_body(self) -> None:
        self.server.held -= len(self._body)
        self._body = bytearray()

    def _clear(self) -> None:
        """Lets go of what is still to be handled."""
        self._drop_body()
        self.server.held -= sum(len(x.body) for x in self.waiting)
        self.waiting.clear()

    def reply(self, exchange: Exchange, status: int, body: bytes,
              headers: tuple[tuple[str, str], ...]) -> None:
        if exchange is not self.current:
            return
        keep = self._keeps(exchange)
        lines = [f"HTTP/1.1 {status} {HTTPStatus(status).phrase}", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines += [] if keep else ["Connection: close"]
        head = "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"
        self.connection.write(head if exchange.method == b"HEAD" else head + body)
        self._answered(keep)

    def _keeps(self, exchange: Exchange) -> bool:
        """Whether the connection stays open after the answer to this request."""
        stops = self.server.stopping and not self.waiting
        return exchange.keep and not stops and not self.server.one_call

    def _answered(self, keep: bool) -> None:
        self.current = None
        if self.connection.closed:
            return
        if keep:
            self._rearm()
            self.advance()
        else:
            self.close()

    # An answer in pieces

    def start(self, exchange: Exchange, status: int, reason: bytes, fields: Fields,
              length: int | None) -> None:
        if exchange is not self.current:
            return
        exchange.keep = self._keeps(exchange)
        connection = [] if exchange.keep else [CLOSE]
        self._writer = ReplyWriter(self.connection, status, reason, fields + connection, length,
                                   exchange.method == b"HEAD")

    def send(self, exchange: Exchange, data: bytes) -> None:
        if exchange is not self.current or self._writer is None:
            return
        self._writer.send(data)
        if self.connection.unsent and self._timer is None:
            self._time(WRITE_TIME, ConnectionOutcome.CLOGGED)

    def end(self, exchange: Exchange, complete: bool) -> None:
        writer, self._writer = self._writer, None
        if exchange is self.current and writer is not None:
            self._answered(writer.end(complete) and exchange.keep)

    def retire(self) -> None:
        """Closes it if it rests. A request that lies in our socket came first: it is read and answered."""
        self.connection.read_now()
        if self in self.server.links and self.idle():
            self.close()

    def close(self) -> None:
        """Closes in good order, after what is written."""
        self.server.loop.deadlines.drop(self._timer)
        self.server.loop.deadlines.drop(self._look)
        self.server.drop(self)
        self._clear()
        self._broken = True
        self.connection.finish(self.server.lingering)

    def _rearm(self) -> None:
        """What the other side has to do next, and how long it may take. A job's own time is the core's."""
        if self.connection.unsent:
            self._time(WRITE_TIME, ConnectionOutcome.CLOGGED)
        elif self._coming is not None:
            self._time(self.server.limits.message_s, ConnectionOutcome.SLOW)
        elif self.idle():
            if self.proven:
                self.server.standing[self] = None
            self._time(self.server.limits.idle_s, ConnectionOutcome.IDLE)
        else:
            self._time(None)

    def _time(self, seconds: float | None, ending: ConnectionOutcome = ConnectionOutcome.IDLE) -> None:
        deadlines = self.server.loop.deadlines
        deadlines.drop(self._timer)
        self._timer = None
        if seconds is not None:
            self._timer = deadlines.add(self.server.loop.clock.now() + seconds, lambda: self._expire(ending))

    def _expire(self, ending: ConnectionOutcome) -> None:
        now, limits = self.server.loop.clock.now(), self.server.limits
        due, most = self._began + limits.message_s, self._began + limits.message_most_s
        comes = now < min(self.heard + limits.silence_s, most)
        if ending is ConnectionOutcome.SLOW and self._coming is not None and (comes or now < due):
            until = max(due, self.heard + limits.silence_s)
            self._time(max(min(until, most) - now, 0.0), ConnectionOutcome.SLOW)
        elif ending is ConnectionOutcome.SLOW and self._coming is not None:
            self._break(408, "the request came too slowly")
            self.advance()
        elif ending in (ConnectionOutcome.SLOW, ConnectionOutcome.IDLE) and self.idle():
            self.retire()
        elif ending is ConnectionOutcome.CLOGGED:
            self.connection.close()
            self.on_end(ending)

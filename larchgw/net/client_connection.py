"""A client connection: handles its requests in order, with their limits, time-outs and responses."""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol

from .body_memory import BodyMemory
from .connection import Connection
from .connection_outcome import ConnectionOutcome
from .counters import Counters
from .exchange import Exchange, Handler
from .heads import CLOSE, Fields
from .limits import ServerLimits
from .loop import EventLoop
from .request_reader import RequestReader
from .response_writer import ResponseWriter
from .timers import Deadline

# Requests read ahead on one connection. Reading also pauses when their bodies exceed the limit of one body.
MAX_WAITING_REQUESTS = 8
PEER_CHECK_INTERVAL_S = 0.1  # between checks whether the peer closed a paused connection
RETRY_AFTER_S = "0.5"  # sent when there is no memory for a request
WRITE_TIMEOUT_S = 30.0  # for a client to read a response


class ClientConnectionOwner(Protocol):
    """The server of a client connection: what the connection uses, and what it reports.

    Attributes:
        loop: The event loop.
        counters: Counts invalid input.
        handler: Handles the requests.
        body_memory: The memory for request bodies.
        body_share: Returns the share of it that may be in use once a request's body counts.
        single_request: Whether each connection carries one request only.
        stopping: Whether connections close after their last response.
        lingering: Connections being closed after their last response; see `HttpServer`.
    """

    loop: EventLoop
    counters: Counters
    handler: Handler
    body_memory: BodyMemory
    body_share: Callable[[Exchange], float]
    single_request: bool
    stopping: bool
    lingering: dict[Connection, float]

    @property
    def limits(self) -> ServerLimits:
        """The limits in force now."""

    def is_open(self, connection: ClientConnection) -> bool:
        """Whether the connection still accepts requests."""

    def on_received(self, connection: ClientConnection) -> None:
        """Called when bytes were received."""

    def on_request_begun(self, connection: ClientConnection) -> None:
        """Called when the first byte of a request was received."""

    def on_request_received(self, connection: ClientConnection) -> None:
        """Called when the first request is complete, or an error must be sent."""

    def on_idle(self, connection: ClientConnection) -> None:
        """Called when all requests are answered and the connection waits for the next one."""

    def on_closed(self, connection: ClientConnection) -> None:
        """Called when the connection is closed or begins to close."""


class ClientConnection:
    """A client connection. Owns its `Connection` and `RequestReader`, and is the channel of its responses.

    Requests wait in the order of arrival; the handler has one at a time, `current`. At most one time-out
    runs, for what the client has to do next: send a first byte, the rest of a request or the next request, or
    read a response. The handler's time is not limited here.

    Attributes:
        current: The request passed to the handler whose response is not complete.
        waiting: Complete requests after it, and errors to be sent.
        opened_at: When the connection was accepted (loop's clock).
        received_at: When bytes were last received, or when it was accepted.
        has_sent_request: Whether a complete request was received.
    """

    def __init__(self, server: ClientConnectionOwner, sock: socket.socket) -> None:
        """Starts reading from an accepted socket."""
        self.server = server
        self.current: Exchange | None = None
        self.waiting: deque[Exchange] = deque()
        self._advancing = False
        self._timeout: Deadline | None = None
        self._peer_check_timer: Deadline | None = None
        self._writer: ResponseWriter | None = None  # of a response sent in pieces
        self._reader = RequestReader(self, server.body_memory, lambda: server.limits)
        self.opened_at = self.received_at = self._request_began_at = server.loop.clock.now()
        self.has_sent_request = False
        self.connection = Connection(server.loop, sock, self)
        self._start_timeout(server.limits.first_byte_timeout_s, ConnectionOutcome.SLOW)

    def is_idle(self) -> bool:
        """Whether no request is in progress, waiting or being received, and the next one would be read."""
        reader = self._reader
        return self.current is None and not self.waiting and reader.incoming is None and not reader.stopped

    # Called by the connection

    def on_open(self) -> None:
        """Does nothing: an accepted connection is already established."""

    def on_data(self, data: bytes) -> None:
        """Parses received bytes and passes on the next request."""
        if self._reader.stopped:
            return
        self.received_at = self.server.loop.clock.now()
        self.server.on_received(self)
        self._reader.feed(data)
        self._limit_read_ahead()
        self.advance()

    def on_written(self) -> None:
        """Passes on the next request, now that all output is written."""
        self._restart_timeout()
        if self.current is not None and self.current.on_drained is not None:
            self.current.on_drained()
        self.advance()

    def on_end(self, ending: ConnectionOutcome) -> None:
        """Cleans up after the connection ended, and notifies the handler of an unanswered request."""
        self.server.loop.deadlines.cancel(self._timeout)
        self.server.loop.deadlines.cancel(self._peer_check_timer)
        self.server.on_closed(self)
        exchange, self.current = self.current, None
        if exchange is not None:
            self._release_body(exchange)
        self._drop_waiting()
        if exchange is not None and not exchange.done:
            exchange.done = True
            self.server.handler.on_client_gone(exchange)

    # Called by the request reader

    def new_exchange(self) -> Exchange:
        """Creates an empty request on this connection."""
        return Exchange(self, self.server.loop.clock.now())

    def on_begun(self) -> None:
        """Handles the first byte of a request."""
        self.server.on_request_begun(self)
        if self.has_sent_request:
            self._request_began_at = self.received_at
            self._start_timeout(self.server.limits.request_timeout_s, ConnectionOutcome.SLOW)

    def on_request(self, exchange: Exchange) -> None:
        """Queues a complete request."""
        exchange.received_at = self.server.loop.clock.now()
        self.waiting.append(exchange)
        if not self.has_sent_request:
            self.has_sent_request = True
            self.server.on_request_received(self)
        self._stop_timeout()

    def on_refused(self, exchange: Exchange) -> None:
        """Queues the error response to an invalid request."""
        self.server.on_request_received(self)  # the client must get a response
        self.server.on_request_begun(self)
        self.waiting.append(exchange)

    def body_share(self, exchange: Exchange) -> float:
        """Returns the share of the body memory that may be in use once the body of `exchange` counts."""
        return self.server.body_share(exchange)

    def on_continue_expected(self) -> None:
        """Sends 100 Continue, unless responses to earlier requests are pending."""
        if self.current is None and not self.waiting:
            self.connection.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    # Transfer to another process

    def is_movable(self, exchange: Exchange) -> bool:
        """Whether the connection holds only this request, complete and without a response."""
        return (
            exchange is self.current
            and not self.waiting
            and self._reader.incoming is None
            and not self._reader.stopped
            and not self.connection.busy()
        )

    def descriptor(self) -> int:
        """Returns the file descriptor of the socket."""
        return self.connection.sock.fileno()

    def detach(self) -> None:
        """Closes this process's copy of the connection, which continues in another process."""
        self.server.loop.deadlines.cancel(self._timeout)
        self.server.loop.deadlines.cancel(self._peer_check_timer)
        self.server.on_closed(self)
        if self.current is not None:
            self._release_body(self.current)
        self.current, self._reader.stopped = None, True
        self.connection.close()

    def resume(self, method: bytes, target: bytes, keep_alive: bool) -> Exchange:
        """Continues with a request that another process read from this connection."""
        self.has_sent_request = True
        exchange = self.current = Exchange(self, self.server.loop.clock.now(), method, target)
        exchange.keep_alive = keep_alive
        self._stop_timeout()
        return exchange

    # One request at a time

    def advance(self) -> None:
        """Passes the next request to the handler, once the last response is written."""
        if self._advancing:  # called from the loop below, by an immediate response
            return
        self._advancing = True
        # Waits until the last response is written, so that a client that never reads costs one response only.
        # Requests of a client that has already closed its side are not handled.
        while (
            self.waiting
            and self.current is None
            and not (self.connection.busy() or self.connection.peer_ended)
        ):
            exchange = self.current = self.waiting.popleft()
            if not self.server.body_memory.until_answered:
                self._release_body(exchange)  # from here on accounted for by the handler
            if exchange.error is not None:
                self.server.counters.bad.labels(self.server.handler.name, str(exchange.error[0])).inc()
                status, reason = exchange.error
                retry_headers = (("Retry-After", RETRY_AFTER_S),) if status == 503 else ()
                exchange.reply(status, reason.encode() + b"\n", retry_headers)
            else:
                self.server.handler.on_exchange(exchange)
        self._advancing = False
        self._limit_read_ahead()

    def _limit_read_ahead(self) -> None:
        """Pauses reading while too much is read ahead, since it is held in memory until handled."""
        is_full = len(self.waiting) >= MAX_WAITING_REQUESTS or (
            sum(len(x.body) for x in self.waiting) > self.server.limits.body_bytes
        )
        self.connection.pause(is_full)
        if is_full and self._peer_check_timer is None and not self.connection.closed:
            deadlines, now = self.server.loop.deadlines, self.server.loop.clock.now()
            self._peer_check_timer = deadlines.add(now + PEER_CHECK_INTERVAL_S, self._check_peer_closed)

    def _check_peer_closed(self) -> None:
        """Closes the connection if the client did: while reading is paused, its end would go unnoticed."""
        self._peer_check_timer = None
        if self.connection.closed or self._reader.stopped:
            return
        if self.connection.peer_closed():
            self.connection.close()
            self.on_end(ConnectionOutcome.CLOSED)
        else:
            self._limit_read_ahead()

    def _drop_waiting(self) -> None:
        """Discards all requests that were not handled."""
        self._reader.discard_body()
        for exchange in self.waiting:
            self._release_body(exchange)
        self.waiting.clear()

    def _release_body(self, exchange: Exchange) -> None:
        self.server.body_memory.release(exchange.reserved_bytes)
        exchange.reserved_bytes = 0

    @property
    def unsent(self) -> int:
        """The number of output bytes that the kernel has not accepted yet."""
        return self.connection.unsent

    def reply(
        self, exchange: Exchange, status: int, body: bytes, headers: tuple[tuple[str, str], ...]
    ) -> None:
        """Writes a complete response."""
        if exchange is not self.current:
            return
        keep_alive = self._stays_open_after(exchange)
        lines = [f"HTTP/1.1 {status} {HTTPStatus(status).phrase}", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines += [] if keep_alive else ["Connection: close"]
        head = "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"
        self.connection.write(head if exchange.method == b"HEAD" else head + body)
        self._finish_answer(exchange, keep_alive)

    def _stays_open_after(self, exchange: Exchange) -> bool:
        """Whether the connection stays open after the response to this request."""
        stops = self.server.stopping and not self.waiting
        return exchange.keep_alive and not stops and not self.server.single_request

    def _finish_answer(self, exchange: Exchange, keep_alive: bool) -> None:
        """Proceeds to the next request, or closes the connection."""
        self.current = None
        self._release_body(exchange)
        if self.connection.closed:
            return
        if keep_alive:
            self._restart_timeout()
            self.advance()
        else:
            self.close()

    # A response sent in pieces

    def start(
        self, exchange: Exchange, status: int, reason: bytes, fields: Fields, length: int | None
    ) -> None:
        """Starts a response of `length` bytes, or a chunked one if that is None."""
        if exchange is not self.current:
            return
        exchange.keep_alive = self._stays_open_after(exchange)
        connection = [] if exchange.keep_alive else [CLOSE]
        self._writer = ResponseWriter(
            self.connection, status, reason, fields + connection, length, exchange.method == b"HEAD"
        )

    def send(self, exchange: Exchange, data: bytes) -> None:
        """Writes the next bytes of the response body."""
        if exchange is not self.current or self._writer is None:
            return
        self._writer.send(data)
        if self.connection.unsent and self._timeout is None:
            self._start_timeout(WRITE_TIMEOUT_S, ConnectionOutcome.CLOGGED)

    def end(self, exchange: Exchange, complete: bool) -> None:
        """Ends the response.

        The connection closes if the response is incomplete or the server is stopping.
        """
        writer, self._writer = self._writer, None
        if exchange is not self.current or writer is None:
            return
        self._finish_answer(exchange, writer.end(complete) and exchange.keep_alive)
        if self.server.stopping:
            self.retire()

    def retire(self) -> None:
        """Closes the connection if idle. A request already in the socket is still read and answered."""
        self.connection.read_now()
        if self.server.is_open(self) and self.is_idle():
            self.close()

    def close(self) -> None:
        """Closes the connection gracefully, after pending output is written."""
        self.server.loop.deadlines.cancel(self._timeout)
        self.server.loop.deadlines.cancel(self._peer_check_timer)
        self.server.on_closed(self)
        self._drop_waiting()
        self._reader.stopped = True
        self.connection.close_after_write(self.server.lingering)

    def _restart_timeout(self) -> None:
        """Starts the time-out for the client's next action, if any."""
        if self.connection.unsent:
            self._start_timeout(WRITE_TIMEOUT_S, ConnectionOutcome.CLOGGED)
        elif self._reader.incoming is not None:
            self._start_timeout(self.server.limits.request_timeout_s, ConnectionOutcome.SLOW)
        elif self.is_idle():
            if self.has_sent_request:
                self.server.on_idle(self)
            self._start_timeout(self.server.limits.idle_timeout_s, ConnectionOutcome.IDLE)
        else:
            self._stop_timeout()

    def _stop_timeout(self) -> None:
        self.server.loop.deadlines.cancel(self._timeout)
        self._timeout = None

    def _start_timeout(self, seconds: float, ending: ConnectionOutcome) -> None:
        """Replaces the current time-out."""
        loop = self.server.loop
        loop.deadlines.cancel(self._timeout)
        self._timeout = loop.deadlines.add(loop.clock.now() + seconds, lambda: self._expire(ending))

    def _expire(self, ending: ConnectionOutcome) -> None:
        """Handles an expired time-out."""
        if ending is ConnectionOutcome.SLOW and self._reader.incoming is not None:
            self._expire_request()
        elif ending in (ConnectionOutcome.SLOW, ConnectionOutcome.IDLE) and self.is_idle():
            self.retire()
        elif ending is ConnectionOutcome.CLOGGED:
            self.connection.close()
            self.on_end(ending)

    def _expire_request(self) -> None:
        """Refuses the incoming request, unless it is within its time or data still arrives."""
        now, limits = self.server.loop.clock.now(), self.server.limits
        due, latest = (
            self._request_began_at + limits.request_timeout_s,
            self._request_began_at + limits.max_request_s,
        )
        next_piece_due = self.received_at + limits.chunk_timeout_s
        if now < min(next_piece_due, latest) or now < due:
            until = max(due, next_piece_due)
            self._start_timeout(max(min(until, latest) - now, 0.0), ConnectionOutcome.SLOW)
        else:
            self._reader.refuse(408, "the request came too slowly")
            self.advance()

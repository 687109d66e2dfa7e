"""One client's connection: its requests one at a time in their order, their limits and times, the answers."""

from __future__ import annotations

import socket
from collections import deque
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

# Read ahead on one connection; reading also waits behind bodies that are together over the limit of one.
MAX_WAITING_REQUESTS = 8
LOOK_S = 0.1  # between two looks for the end of a connection of which nothing is read for now
RETRY_AFTER_S = "0.5"  # where there is no memory for a request now
WRITE_TIMEOUT_S = 30.0  # for a client to read an answer


class ClientConnectionOwner(Protocol):
    """What a client's connection needs of the server that let it in, and what it reports to it.

    Attributes:
        loop: The loop on which all of it runs.
        counters: Where bad input is counted.
        handler: Takes the requests.
        body_memory: The memory of bodies that the handler does not have yet.
        single_request: Whether each connection is for one request.
        stopping: Whether connections close behind their last answer.
        lingering: Connections that are answered and not yet closed, with the times (loop's clock).
    """

    loop: EventLoop
    counters: Counters
    handler: Handler
    body_memory: BodyMemory
    single_request: bool
    stopping: bool
    lingering: dict[Connection, float]

    @property
    def limits(self) -> ServerLimits:
        """Those in force now."""

    def is_open(self, connection: ClientConnection) -> bool:
        """Whether the connection is still open to requests."""

    def on_received(self, connection: ClientConnection) -> None:
        """Bytes have come."""

    def on_request_begun(self, connection: ClientConnection) -> None:
        """A request has begun to come in."""

    def on_request_received(self, connection: ClientConnection) -> None:
        """A first request has come in whole, or an error is owed."""

    def on_idle(self, connection: ClientConnection) -> None:
        """All has been answered, and the next request may come."""

    def on_closed(self, connection: ClientConnection) -> None:
        """The connection is over, or about to be."""


class ClientConnection:
    """A client's connection: owner of its `Connection` and `RequestReader`, and the channel of its answers.

    Requests wait in the order of their coming; the handler has one at a time, `current`. One time-out runs at
    most, for what the client has to do next: send a first byte, the rest of a request or the next request, or
    read an answer. How long the handler takes is its own concern.

    Attributes:
        current: The request that the handler has, without a whole answer.
        waiting: Requests behind it, read whole, and errors to be answered.
        opened_at: When it was accepted (loop's clock).
        received_at: When bytes came last, or when it was accepted.
        has_sent_request: Whether a request has come in whole.
    """

    def __init__(self, server: ClientConnectionOwner, sock: socket.socket) -> None:
        """Reads from this accepted socket from now on."""
        self.server = server
        self.current: Exchange | None = None
        self.waiting: deque[Exchange] = deque()
        self._advancing = False
        self._timeout: Deadline | None = None
        self._next_look: Deadline | None = None
        self._writer: ResponseWriter | None = None  # of the answer that was begun
        self._reader = RequestReader(self, server.body_memory, lambda: server.limits)
        self.opened_at = self.received_at = self._request_began_at = server.loop.clock.now()
        self.has_sent_request = False
        self.connection = Connection(server.loop, sock, self)
        self._start_timeout(server.limits.first_byte_timeout_s, ConnectionOutcome.SLOW)

    def is_idle(self) -> bool:
        """Whether no request is open, waits or comes in, and the next one would be read."""
        reader = self._reader
        return self.current is None and not self.waiting and reader.coming is None and not reader.stopped

    # From the connection

    def on_open(self) -> None:
        """An accepted connection is up from the start."""

    def on_data(self, data: bytes) -> None:
        """Bytes have come: reads the requests in them, and has the next one handled."""
        if self._reader.stopped:
            return
        self.received_at = self.server.loop.clock.now()
        self.server.on_received(self)
        self._reader.feed(data)
        self._limit_read_ahead()
        self.advance()

    def on_written(self) -> None:
        """The answer is written: the next request may be handled."""
        self._restart_timeout()
        if self.current is not None and self.current.on_drained is not None:
            self.current.on_drained()
        self.advance()

    def on_end(self, ending: ConnectionOutcome) -> None:
        """The connection is over: the handler learns of it where it still had a request."""
        self.server.loop.deadlines.cancel(self._timeout)
        self.server.loop.deadlines.cancel(self._next_look)
        self.server.on_closed(self)
        exchange, self.current = self.current, None
        self._drop_waiting()
        if exchange is not None and not exchange.done:
            exchange.done = True
            self.server.handler.on_client_gone(exchange)

    # From the reader

    def new_exchange(self) -> Exchange:
        """A request on this connection, of which nothing is known yet."""
        return Exchange(self, self.server.loop.clock.now())

    def on_begun(self) -> None:
        """The first byte of a request has come."""
        self.server.on_request_begun(self)
        if self.has_sent_request:
            self._request_began_at = self.received_at
            self._start_timeout(self.server.limits.request_timeout_s, ConnectionOutcome.SLOW)

    def on_request(self, exchange: Exchange) -> None:
        """A request has come in whole: it waits for its turn."""
        exchange.received_at = self.server.loop.clock.now()
        self.waiting.append(exchange)
        if not self.has_sent_request:
            self.has_sent_request = True
            self.server.on_request_received(self)
        self._stop_timeout()

    def on_refused(self, exchange: Exchange) -> None:
        """The framing is in doubt: the error waits for its turn."""
        self.server.on_request_received(self)  # it is owed an answer
        self.server.on_request_begun(self)
        self.waiting.append(exchange)

    def on_continue_expected(self) -> None:
        """Sends the interim answer, unless it would stand before an answer that is owed."""
        if self.current is None and not self.waiting:
            self.connection.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    # Moved to another process

    def is_movable(self, exchange: Exchange) -> bool:
        """Whether nothing but this request, read whole and not answered, is on the connection."""
        return (
            exchange is self.current
            and not self.waiting
            and self._reader.coming is None
            and not self._reader.stopped
            and not self.connection.busy()
        )

    def descriptor(self) -> int:
        """The socket's number."""
        return self.connection.sock.fileno()

    def detach(self) -> None:
        """Lets go of the connection, which goes on in another process."""
        self.server.loop.deadlines.cancel(self._timeout)
        self.server.loop.deadlines.cancel(self._next_look)
        self.server.on_closed(self)
        self.current, self._reader.stopped = None, True
        self.connection.close()

    def resume(self, method: bytes, target: bytes, keep_alive: bool) -> Exchange:
        """Goes on with a request that another process has read on this connection."""
        self.has_sent_request = True
        exchange = self.current = Exchange(self, self.server.loop.clock.now(), method, target)
        exchange.keep_alive = keep_alive
        self._stop_timeout()
        return exchange

    # One request at a time

    def advance(self) -> None:
        """Has the next request handled, once the last answer is written."""
        if self._advancing:  # an answer that came at once: the loop below goes on
            return
        self._advancing = True
        # The next one waits until the last answer is written: a client that never reads costs one answer.
        # Nor does one go on whose client has left: its end lies behind the request.
        while (
            self.waiting
            and self.current is None
            and not (self.connection.busy() or self.connection.peer_ended)
        ):
            exchange = self.current = self.waiting.popleft()
            self.server.body_memory.release(len(exchange.body))  # from here on it is the handler's to count
            if exchange.error is not None:
                self.server.counters.bad.labels(self.server.handler.name, str(exchange.error[0])).inc()
                status, reason = exchange.error
                later = (("Retry-After", RETRY_AFTER_S),) if status == 503 else ()
                exchange.reply(status, reason.encode() + b"\n", later)
            else:
                self.server.handler.on_exchange(exchange)
        self._advancing = False
        self._limit_read_ahead()

    def _limit_read_ahead(self) -> None:
        """Reads ahead only so far: what is read is held in memory until its turn comes."""
        ahead = len(self.waiting) >= MAX_WAITING_REQUESTS or (
            sum(len(x.body) for x in self.waiting) > self.server.limits.body_bytes
        )
        self.connection.pause(ahead)
        if ahead and self._next_look is None and not self.connection.closed:
            deadlines, now = self.server.loop.deadlines, self.server.loop.clock.now()
            self._next_look = deadlines.add(now + LOOK_S, self._look_for_end)

    def _look_for_end(self) -> None:
        """Closes the connection if the client has left: while paused, no end is read."""
        self._next_look = None
        if self.connection.closed or self._reader.stopped:
            return
        if self.connection.peer_closed():
            self.connection.close()
            self.on_end(ConnectionOutcome.CLOSED)
        else:
            self._limit_read_ahead()

    def _drop_waiting(self) -> None:
        """Lets go of what is still to be handled."""
        self._reader.drop_body()
        self.server.body_memory.release(sum(len(x.body) for x in self.waiting))
        self.waiting.clear()

    @property
    def unsent(self) -> int:
        """Bytes of answers that the kernel has not taken yet."""
        return self.connection.unsent

    def reply(
        self, exchange: Exchange, status: int, body: bytes, headers: tuple[tuple[str, str], ...]
    ) -> None:
        """Writes the whole answer."""
        if exchange is not self.current:
            return
        keep_alive = self._stays_open_after(exchange)
        lines = [f"HTTP/1.1 {status} {HTTPStatus(status).phrase}", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines += [] if keep_alive else ["Connection: close"]
        head = "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"
        self.connection.write(head if exchange.method == b"HEAD" else head + body)
        self._finish_answer(keep_alive)

    def _stays_open_after(self, exchange: Exchange) -> bool:
        """Whether the connection stays open after the answer to this request."""
        stops = self.server.stopping and not self.waiting
        return exchange.keep_alive and not stops and not self.server.single_request

    def _finish_answer(self, keep_alive: bool) -> None:
        """Goes on with the next request, or closes."""
        self.current = None
        if self.connection.closed:
            return
        if keep_alive:
            self._restart_timeout()
            self.advance()
        else:
            self.close()

    # An answer in pieces

    def start(
        self, exchange: Exchange, status: int, reason: bytes, fields: Fields, length: int | None
    ) -> None:
        """Begins an answer of `length` bytes, or in chunks where that is None."""
        if exchange is not self.current:
            return
        exchange.keep_alive = self._stays_open_after(exchange)
        connection = [] if exchange.keep_alive else [CLOSE]
        self._writer = ResponseWriter(
            self.connection, status, reason, fields + connection, length, exchange.method == b"HEAD"
        )

    def send(self, exchange: Exchange, data: bytes) -> None:
        """Writes the next bytes of the answer that was begun."""
        if exchange is not self.current or self._writer is None:
            return
        self._writer.send(data)
        if self.connection.unsent and self._timeout is None:
            self._start_timeout(WRITE_TIMEOUT_S, ConnectionOutcome.CLOGGED)

    def end(self, exchange: Exchange, complete: bool) -> None:
        """Ends the answer that was begun.

        The connection closes where the answer is not whole, and where the server has begun to stop meanwhile.
        """
        writer, self._writer = self._writer, None
        if exchange is not self.current or writer is None:
            return
        self._finish_answer(writer.end(complete) and exchange.keep_alive)
        if self.server.stopping:
            self.retire()

    def retire(self) -> None:
        """Closes it if it rests. A request that lies in our socket came first: it is read and answered."""
        self.connection.read_now()
        if self.server.is_open(self) and self.is_idle():
            self.close()

    def close(self) -> None:
        """Closes in good order, after what is written."""
        self.server.loop.deadlines.cancel(self._timeout)
        self.server.loop.deadlines.cancel(self._next_look)
        self.server.on_closed(self)
        self._drop_waiting()
        self._reader.stopped = True
        self.connection.close_after_write(self.server.lingering)

    def _restart_timeout(self) -> None:
        """Waits for what the client has to do next."""
        if self.connection.unsent:
            self._start_timeout(WRITE_TIMEOUT_S, ConnectionOutcome.CLOGGED)
        elif self._reader.coming is not None:
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
        """Waits so long for the client, instead of the present wait."""
        loop = self.server.loop
        loop.deadlines.cancel(self._timeout)
        self._timeout = loop.deadlines.add(loop.clock.now() + seconds, lambda: self._expire(ending))

    def _expire(self, ending: ConnectionOutcome) -> None:
        """The time-out has passed."""
        if ending is ConnectionOutcome.SLOW and self._reader.coming is not None:
            self._expire_request()
        elif ending in (ConnectionOutcome.SLOW, ConnectionOutcome.IDLE) and self.is_idle():
            self.retire()
        elif ending is ConnectionOutcome.CLOGGED:
            self.connection.close()
            self.on_end(ending)

    def _expire_request(self) -> None:
        """Refuses the request that comes in, unless it is within its time or still sends."""
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

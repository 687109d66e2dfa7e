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

MAX_WAITING_REQUESTS = (
    8  # requests read ahead on one connection, or bodies of the greatest size; then reading waits
)
LOOK_S = 0.1  # seconds between two looks for the end of a connection of which nothing is read for now
RETRY_AFTER_S = "0.5"  # seconds, where there is no memory for a request now
WRITE_TIMEOUT_S = 30.0  # for a client to read an answer


class ClientConnectionOwner(Protocol):
    """What a client's connection needs of the server that let it in, and what it tells it."""

    loop: EventLoop
    counters: Counters
    handler: Handler
    bodies: BodyMemory
    one_call: bool  # whether each connection is for one request
    stopping: bool  # whether connections close behind their last answer
    lingering: dict[Connection, float]

    @property
    def limits(self) -> ServerLimits:
        """Those in force now."""

    def holds(self, link: ClientConnection) -> bool:
        """Whether the connection is still open to requests."""

    def heard(self, link: ClientConnection) -> None:
        """Bytes have come."""

    def begun(self, link: ClientConnection) -> None:
        """A request has begun to come in."""

    def proven(self, link: ClientConnection) -> None:
        """A first request has come in whole, or an error is owed."""

    def rests(self, link: ClientConnection) -> None:
        """All has been answered, and the next request may come."""

    def drop(self, link: ClientConnection) -> None:
        """The connection is over, or about to be."""


class ClientConnection:
    """A client's connection."""

    def __init__(self, server: ClientConnectionOwner, sock: socket.socket) -> None:
        self.server = server
        self.current: Exchange | None = None
        self.waiting: deque[Exchange] = deque()
        self._advancing = False
        self._timer: Deadline | None = None
        self._look: Deadline | None = None
        self._writer: ResponseWriter | None = None  # of the answer that was begun
        self._reader = RequestReader(self, server.bodies, lambda: server.limits)
        self.opened = self.heard = self._began = server.loop.clock.now()
        self.proven = False  # whether a request has come in whole
        self.connection = Connection(server.loop, sock, self)
        self._time(server.limits.first_s, ConnectionOutcome.SLOW)

    def idle(self) -> bool:
        reader = self._reader
        return self.current is None and not self.waiting and reader.coming is None and not reader.stopped

    # From the connection

    def on_open(self) -> None:
        pass

    def on_data(self, data: bytes) -> None:
        if self._reader.stopped:
            return
        self.heard = self.server.loop.clock.now()
        self.server.heard(self)
        self._reader.feed(data)
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

    # From the reader

    def new_exchange(self) -> Exchange:
        return Exchange(self, self.server.loop.clock.now())

    def on_begun(self) -> None:
        self.server.begun(self)
        if self.proven:
            self._began = self.heard
            self._time(self.server.limits.message_s, ConnectionOutcome.SLOW)

    def on_request(self, exchange: Exchange) -> None:
        exchange.arrived = self.server.loop.clock.now()
        self.waiting.append(exchange)
        if not self.proven:
            self.proven = True
            self.server.proven(self)
        self._time(None)

    def on_refused(self, exchange: Exchange) -> None:
        self.server.proven(self)  # it is owed an answer
        self.server.begun(self)
        self.waiting.append(exchange)

    def on_continue_expected(self) -> None:
        if self.current is None and not self.waiting:
            self.connection.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    # Moved to another process

    def movable(self, exchange: Exchange) -> bool:
        return (
            exchange is self.current
            and not self.waiting
            and self._reader.coming is None
            and not self._reader.stopped
            and not self.connection.busy()
        )

    def descriptor(self) -> int:
        return self.connection.sock.fileno()

    def detach(self) -> None:
        self.server.loop.deadlines.drop(self._timer)
        self.server.loop.deadlines.drop(self._look)
        self.server.drop(self)
        self.current, self._reader.stopped = None, True
        self.connection.close()

    def resume(self, method: bytes, target: bytes, keep: bool) -> Exchange:
        """Goes on with a request that another process has read on this connection."""
        self.proven = True
        exchange = self.current = Exchange(self, self.server.loop.clock.now(), method, target)
        exchange.keep_alive = keep
        self._time(None)
        return exchange

    # One request at a time

    def advance(self) -> None:
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
            self.server.bodies.release(len(exchange.body))  # from here on it is the handler's to count
            if exchange.error is not None:
                self.server.counters.bad.labels(self.server.handler.name, str(exchange.error[0])).inc()
                status, reason = exchange.error
                later = (("Retry-After", RETRY_AFTER_S),) if status == 503 else ()
                exchange.reply(status, reason.encode() + b"\n", later)
            else:
                self.server.handler.on_exchange(exchange)
        self._advancing = False
        self._pace()

    def _pace(self) -> None:
        """Reads ahead only so far: what is read is held in memory until its turn comes."""
        ahead = len(self.waiting) >= MAX_WAITING_REQUESTS or (
            sum(len(x.body) for x in self.waiting) > self.server.limits.body_bytes
        )
        self.connection.pause(ahead)
        if ahead and self._look is None and not self.connection.closed:
            deadlines, now = self.server.loop.deadlines, self.server.loop.clock.now()
            self._look = deadlines.add(now + LOOK_S, self._look_for_end)

    def _look_for_end(self) -> None:
        """While nothing is read its client's end is not heard of, and what waits would be sent for nobody."""
        self._look = None
        if self.connection.closed or self._reader.stopped:
            return
        if self.connection.peer_closed():
            self.connection.close()
            self.on_end(ConnectionOutcome.CLOSED)
        else:
            self._pace()

    def _clear(self) -> None:
        """Lets go of what is still to be handled."""
        self._reader.drop_body()
        self.server.bodies.release(sum(len(x.body) for x in self.waiting))
        self.waiting.clear()

    @property
    def unsent(self) -> int:
        return self.connection.unsent

    def reply(
        self, exchange: Exchange, status: int, body: bytes, headers: tuple[tuple[str, str], ...]
    ) -> None:
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
        return exchange.keep_alive and not stops and not self.server.one_call

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

    def start(
        self, exchange: Exchange, status: int, reason: bytes, fields: Fields, length: int | None
    ) -> None:
        if exchange is not self.current:
            return
        exchange.keep_alive = self._keeps(exchange)
        connection = [] if exchange.keep_alive else [CLOSE]
        self._writer = ResponseWriter(
            self.connection, status, reason, fields + connection, length, exchange.method == b"HEAD"
        )

    def send(self, exchange: Exchange, data: bytes) -> None:
        if exchange is not self.current or self._writer is None:
            return
        self._writer.send(data)
        if self.connection.unsent and self._timer is None:
            self._time(WRITE_TIMEOUT_S, ConnectionOutcome.CLOGGED)

    def end(self, exchange: Exchange, complete: bool) -> None:
        writer, self._writer = self._writer, None
        if exchange is self.current and writer is not None:
            self._answered(writer.end(complete) and exchange.keep_alive)

    def retire(self) -> None:
        """Closes it if it rests. A request that lies in our socket came first: it is read and answered."""
        self.connection.read_now()
        if self.server.holds(self) and self.idle():
            self.close()

    def close(self) -> None:
        """Closes in good order, after what is written."""
        self.server.loop.deadlines.drop(self._timer)
        self.server.loop.deadlines.drop(self._look)
        self.server.drop(self)
        self._clear()
        self._reader.stopped = True
        self.connection.finish(self.server.lingering)

    def _rearm(self) -> None:
        """What the other side has to do next, and how long it may take. A job's own time is the core's."""
        if self.connection.unsent:
            self._time(WRITE_TIMEOUT_S, ConnectionOutcome.CLOGGED)
        elif self._reader.coming is not None:
            self._time(self.server.limits.message_s, ConnectionOutcome.SLOW)
        elif self.idle():
            if self.proven:
                self.server.rests(self)
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
        if ending is ConnectionOutcome.SLOW and self._reader.coming is not None and (comes or now < due):
            until = max(due, self.heard + limits.silence_s)
            self._time(max(min(until, most) - now, 0.0), ConnectionOutcome.SLOW)
        elif ending is ConnectionOutcome.SLOW and self._reader.coming is not None:
            self._reader.refuse(408, "the request came too slowly")
            self.advance()
        elif ending in (ConnectionOutcome.SLOW, ConnectionOutcome.IDLE) and self.idle():
            self.retire()
        elif ending is ConnectionOutcome.CLOGGED:
            self.connection.close()
            self.on_end(ending)

"""HTTP/1.1 towards clients: the listener and its connections. What a request means is the handler's."""

from __future__ import annotations

import socket

from .body_memory import BodyMemory
from .client_connection import ClientConnection
from .connection import Connection
from .counters import Counters
from .exchange import Exchange, Handler
from .limits import MAX_BODY_BYTES, ServerLimits
from .listener import Listener
from .loop import EventLoop

__all__ = ["MAX_BODY_BYTES", "Exchange", "Handler", "HttpServer", "ClientConnection", "ServerLimits"]

FIRST_REQUEST_GRACE_S = 0.25  # seconds in which the first request of a good client comes in


class HttpServer:
    """Listens, and keeps its clients' connections in the order of their coming.

    Attributes:
        limits: What a client may send; may be replaced, and is in force from the next bytes and waits on.
        single_request: Whether each connection is for one request.
        stopping: Whether connections close behind their last answer.
        connections: Those open to requests.
        without_request: Those of them of which no whole request has come, the one silent for longest first.
        idle: Those of them between two requests, the one idle for longest first.
        lingering: Connections answered and not yet closed, with the times; they hold descriptors.
    """

    def __init__(
        self,
        loop: EventLoop,
        counters: Counters,
        address: tuple[str, int],
        handler: Handler,
        max_connections: int,
        max_body_memory_bytes: int,
        single_request: bool = False,
        inherited: int | None = None,
        limits: ServerLimits | None = None,
    ) -> None:
        """Listens from now on.

        Args:
            loop: The loop that it runs on.
            counters: Where refusals are counted.
            address: Host and port to listen at.
            handler: Takes the requests; its name is the listener's.
            max_connections: Connections at a time; at that number idle ones are closed for new ones.
            max_body_memory_bytes: Of bodies that the handler does not have yet.
            single_request: Whether each connection is for one request.
            inherited: A listening descriptor to use instead of `address`.
            limits: What a client may send.

        Raises:
            OSError: It cannot listen there.
        """
        self.loop, self.counters, self.handler = loop, counters, handler
        self.limits = limits or ServerLimits()
        self.single_request = single_request
        self.body_memory = BodyMemory(counters, handler.name, max_body_memory_bytes)
        self.connections: dict[ClientConnection, None] = {}
        # Both in order of age, so that at the limit each newcomer costs no search.
        self.without_request: dict[ClientConnection, None] = {}
        self.idle: dict[ClientConnection, None] = {}
        self.lingering: dict[Connection, float] = {}
        self.stopping = False
        self.listener = Listener(
            loop,
            counters,
            handler.name,
            address,
            max_connections,
            self._accept,
            lambda: len(self.connections) + len(self.lingering),
            self._close_idle_connection,
            inherited,
        )

    def _accept(self, sock: socket.socket) -> None:
        connection = ClientConnection(self, sock)
        self.connections[connection] = self.without_request[connection] = None

    def adopt(self, sock: socket.socket, method: bytes, target: bytes, keep_alive: bool) -> Exchange:
        """A connection that another process had, and the request on it that it has read."""
        connection = ClientConnection(self, sock)
        self.connections[connection] = None
        return connection.resume(method, target, keep_alive)

    # From the connections

    def is_open(self, connection: ClientConnection) -> bool:
        """Whether the connection is still open to requests."""
        return connection in self.connections

    def on_received(self, connection: ClientConnection) -> None:
        """Bytes have come: it is the last one to be closed as silent."""
        if connection in self.without_request:
            self.without_request[connection] = self.without_request.pop(connection)

    def on_request_begun(self, connection: ClientConnection) -> None:
        """A request has begun to come in."""
        self.idle.pop(connection, None)

    def on_request_received(self, connection: ClientConnection) -> None:
        """A first request has come in whole, or an error is owed."""
        self.without_request.pop(connection, None)

    def on_idle(self, connection: ClientConnection) -> None:
        """All has been answered, and the next request may come."""
        self.idle[connection] = None

    def on_closed(self, connection: ClientConnection) -> None:
        """The connection is over, or about to be."""
        for group in (self.connections, self.without_request, self.idle):
            group.pop(connection, None)

    # How many there are

    def _close_idle_connection(self) -> bool:
        """Closes one connection that is owed nothing.

        First one that has had its answer for a while. Then the one of those that never sent a whole request
        that has sent nothing for longest, unless it has only just come: a good client's first request is on
        its way, and would be lost. Then the one that was idle longest.
        """
        silent, idle = next(iter(self.without_request), None), next(iter(self.idle), None)
        answered, since = next(iter(self.lingering.items()), (None, 0.0))
        recent = self.loop.clock.now() - FIRST_REQUEST_GRACE_S
        if answered is not None and since < recent:
            answered.close()
            return True
        if silent is not None and (idle is None or silent.received_at < recent):
            chosen = silent
        elif idle is not None:
            chosen = idle
        else:
            return False
        chosen.connection.read_now()
        if chosen in self.connections:
            if chosen.current is not None or chosen.waiting:
                # It has just sent a request and is no longer a candidate.
                return self._close_idle_connection()
            chosen.close()
            chosen.connection.close()  # lingering, it would hold the descriptor that the new one needs
        self.counters.caps.labels(self.handler.name + "_idle").inc()
        return True

    def resize(self, max_connections: int, max_body_memory_bytes: int) -> None:
        """Other limits; what is idle above them is closed."""
        self.listener.max_connections = max_connections
        self.body_memory.limit_bytes = max_body_memory_bytes
        while self.listener.count() > max_connections and self._close_idle_connection():
            pass

    def close_idle(self) -> None:
        """Closes what is idle, except newcomers: the first request of such a one is on its way."""
        newest = self.loop.clock.now() - FIRST_REQUEST_GRACE_S
        idle = [
            connection
            for connection in self.connections
            if connection.is_idle() and (connection.has_sent_request or connection.opened_at < newest)
        ]
        for connection in idle:
            connection.retire()

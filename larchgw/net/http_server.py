"""An HTTP/1.1 server: a listener and its client connections; requests are passed to a handler."""

from __future__ import annotations

import socket
from collections.abc import Callable

from .body_memory import BodyMemory
from .client_connection import ClientConnection
from .connection import Connection
from .counters import Counters
from .exchange import Exchange, Handler
from .limits import MAX_BODY_BYTES, ServerLimits
from .listener import Listener
from .loop import EventLoop

__all__ = ["MAX_BODY_BYTES", "Exchange", "Handler", "HttpServer", "ClientConnection", "ServerLimits"]

FIRST_REQUEST_GRACE_S = 0.25  # within which a well-behaved client's first request arrives


class HttpServer:
    """Listens for clients and keeps their connections in the order of their arrival.

    Attributes:
        body_memory: The memory for request bodies.
        body_share: See `__init__`.
        limits: The limits of requests; a replacement applies to the next received bytes and time-outs.
        single_request: Whether each connection carries one request only.
        stopping: Whether connections close after their last response.
        connections: The connections that accept requests.
        without_request: Those without a complete request so far, longest silent first.
        idle: Those between two requests, longest idle first.
        lingering: Connections being closed after their last response, with the time at which they began to
            close or, later, had written all output. They still use file descriptors.
    """

    def __init__(
        self,
        loop: EventLoop,
        counters: Counters,
        address: tuple[str, int],
        handler: Handler,
        max_connections: int,
        max_body_memory_bytes: int,
        bodies_until_answered: bool = False,
        body_share: Callable[[Exchange], float] = lambda exchange: 1.0,
        single_request: bool = False,
        inherited: int | None = None,
        limits: ServerLimits | None = None,
    ) -> None:
        """Starts listening.

        Args:
            loop: The event loop.
            counters: Counts refusals.
            address: Host and port to listen on.
            handler: Handles the requests; its name is that of the listener.
            max_connections: The connection limit; at the limit, idle connections are closed for new ones.
            max_body_memory_bytes: The memory for request bodies; see BodyMemory.
            bodies_until_answered: Whether bodies count until their requests are answered.
            body_share: Returns the share of that memory that may be in use once a request's body counts; it
                has its head only.
            single_request: Whether each connection carries one request only.
            inherited: A listening file descriptor to use instead of `address`.
            limits: The limits of requests.

        Raises:
            OSError: Listening failed.
        """
        self.loop, self.counters, self.handler = loop, counters, handler
        self.limits = limits or ServerLimits()
        self.single_request = single_request
        self.body_memory = BodyMemory(
            counters, handler.name, max_body_memory_bytes, until_answered=bodies_until_answered
        )
        self.body_share = body_share
        self.connections: dict[ClientConnection, None] = {}
        # Both are in order of age, so that finding a connection to close takes constant time.
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
        """Takes over a connection from another process, with the request that process read from it."""
        connection = ClientConnection(self, sock)
        self.connections[connection] = None
        return connection.resume(method, target, keep_alive)

    # Called by the connections

    def is_open(self, connection: ClientConnection) -> bool:
        """Whether the connection still accepts requests."""
        return connection in self.connections

    def on_received(self, connection: ClientConnection) -> None:
        """Moves the connection to the end of the order in which silent ones are closed."""
        if connection in self.without_request:
            self.without_request[connection] = self.without_request.pop(connection)

    def on_request_begun(self, connection: ClientConnection) -> None:
        """Marks the connection as no longer idle."""
        self.idle.pop(connection, None)

    def on_request_received(self, connection: ClientConnection) -> None:
        """Marks that the first request is complete, or that an error must be sent."""
        self.without_request.pop(connection, None)

    def on_idle(self, connection: ClientConnection) -> None:
        """Marks the connection as idle."""
        self.idle[connection] = None

    def on_closed(self, connection: ClientConnection) -> None:
        """Removes a connection that is closed or closing."""
        for group in (self.connections, self.without_request, self.idle):
            group.pop(connection, None)

    # Connection limit

    def _close_idle_connection(self) -> bool:
        """Closes one connection that has no request in progress. Returns whether there was one.

        Prefers a connection that has been lingering for a while since its output was written. Next is the
        longest silent connection without a complete request, unless it is recent: its first request may be
        in transit and would be lost. Last is the connection that has been idle longest.
        """
        silent, idle = next(iter(self.without_request), None), next(iter(self.idle), None)
        recent = self.loop.clock.now() - FIRST_REQUEST_GRACE_S
        for answered, since in self.lingering.items():
            if since < recent and not answered.busy():
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
            chosen.connection.close()  # frees its file descriptor for the new connection
        self.counters.caps.labels(self.handler.name + "_idle").inc()
        return True

    def resize(self, max_connections: int, max_body_memory_bytes: int) -> None:
        """Changes the limits and closes idle connections in excess."""
        self.listener.max_connections = max_connections
        self.body_memory.limit_bytes = max_body_memory_bytes
        while self.listener.count() > max_connections and self._close_idle_connection():
            pass

    def close_idle(self) -> None:
        """Closes idle connections, except recent ones whose first request may be in transit."""
        newest = self.loop.clock.now() - FIRST_REQUEST_GRACE_S
        idle = [
            connection
            for connection in self.connections
            if connection.is_idle() and (connection.has_sent_request or connection.opened_at < newest)
        ]
        for connection in idle:
            connection.retire()

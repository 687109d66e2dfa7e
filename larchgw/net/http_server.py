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

NEWCOMER_S = 0.25  # seconds in which the first request of a good client comes in


class HttpServer:
    """Listens, and keeps its clients' connections in the order of their coming."""

    def __init__(
        self,
        loop: EventLoop,
        counters: Counters,
        address: tuple[str, int],
        handler: Handler,
        max_connections: int,
        max_body_memory_bytes: int,
        one_call: bool = False,
        inherited: int | None = None,
        limits: ServerLimits | None = None,
    ) -> None:
        self.loop, self.counters, self.handler = loop, counters, handler
        self.limits = limits or ServerLimits()  # may be replaced; in force from the next bytes and waits on
        self.one_call = one_call  # on each connection
        self.bodies = BodyMemory(counters, handler.name, max_body_memory_bytes)
        self.connections: dict[ClientConnection, None] = {}
        # Both in order of age, so that at the cap each newcomer costs no search.
        self.unproven: dict[ClientConnection, None] = {}  # no whole request has come
        self.idle: dict[ClientConnection, None] = {}  # between requests
        self.lingering: dict[Connection, float] = {}  # answered, not yet closed; they hold descriptors
        self.stopping = False
        self.listener = Listener(
            loop,
            counters,
            handler.name,
            address,
            max_connections,
            self._take,
            lambda: len(self.connections) + len(self.lingering),
            self._make_room,
            inherited,
        )

    def _take(self, sock: socket.socket) -> None:
        link = ClientConnection(self, sock)
        self.connections[link] = self.unproven[link] = None

    def adopt(self, sock: socket.socket, method: bytes, target: bytes, keep: bool) -> Exchange:
        """A connection that another process had, and the request on it that it has read."""
        link = ClientConnection(self, sock)
        self.connections[link] = None
        return link.resume(method, target, keep)

    # From the connections

    def holds(self, link: ClientConnection) -> bool:
        return link in self.connections

    def heard(self, link: ClientConnection) -> None:
        if link in self.unproven:  # whoever still sends is no silent one: to the end of that line
            self.unproven[link] = self.unproven.pop(link)

    def begun(self, link: ClientConnection) -> None:
        self.idle.pop(link, None)

    def proven(self, link: ClientConnection) -> None:
        self.unproven.pop(link, None)

    def rests(self, link: ClientConnection) -> None:
        self.idle[link] = None

    def drop(self, link: ClientConnection) -> None:
        for kept in (self.connections, self.unproven, self.idle):
            kept.pop(link, None)

    # How many there are

    def _make_room(self) -> bool:
        """Closes one connection that is owed nothing.

        First one that has had its answer for a while. Then the one of those that never sent a whole request
        that has said nothing for longest, unless it has only just come: a good client's first request is on
        its way, and would be lost. Then the one that stood idle longest.
        """
        silent, idle = next(iter(self.unproven), None), next(iter(self.idle), None)
        last, since = next(iter(self.lingering.items()), (None, 0.0))
        recent = self.loop.clock.now() - NEWCOMER_S
        if last is not None and since < recent:
            last.close()
            return True
        if silent is not None and (idle is None or silent.heard < recent):
            link = silent
        elif idle is not None:
            link = idle
        else:
            return False
        link.connection.read_now()
        if link in self.connections:
            if link.current is not None or link.waiting:
                return self._make_room()  # it has just asked, and is no longer among these
            link.close()
            link.connection.close()  # lingering, it would hold the descriptor that the new one needs
        self.counters.caps.labels(self.handler.name + "_idle").inc()
        return True

    def resize(self, max_connections: int, max_body_memory_bytes: int) -> None:
        """Other caps; what stands idle above them is closed."""
        self.listener.max_connections = max_connections
        self.bodies.limit_bytes = max_body_memory_bytes
        while self.listener.count() > max_connections and self._make_room():
            pass

    def close_idle(self) -> None:
        newest = self.loop.clock.now() - NEWCOMER_S  # the first request of whoever came later is on its way
        for link in [x for x in self.connections if x.idle() and (x.proven or x.opened < newest)]:
            link.retire()

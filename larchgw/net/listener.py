"""A listening socket with a connection limit."""

from __future__ import annotations

import socket
from collections.abc import Callable

import structlog

from .counters import Counters
from .loop import LISTENERS, READ, EventLoop

BACKLOG = 1024
MAX_ACCEPTS = 64  # connections accepted in one iteration
RETRY_PAUSE_S = 0.05  # pause at the connection limit or without a free file descriptor
log = structlog.get_logger()


class Listener:
    """Accepts connections for a server; pauses accepting at the connection limit.

    Attributes:
        max_connections: The connection limit; may be changed at any time.
        last_accept: When the last connection was accepted (loop's clock); 0 before the first.
        address: The bound host and port.
        open: Whether it is not closed.
    """

    def __init__(
        self,
        loop: EventLoop,
        counters: Counters,
        name: str,
        address: tuple[str, int],
        max_connections: int,
        accept: Callable[[socket.socket], None],
        count: Callable[[], int],
        close_idle_connection: Callable[[], bool],
        inherited: int | None = None,
    ) -> None:
        """Starts listening.

        Args:
            loop: The event loop.
            counters: Counts when the limit was reached.
            name: The listener's name in counters and logs.
            address: Host and port to listen on.
            max_connections: The connection limit.
            accept: Called with each accepted socket.
            count: Returns the number of connections.
            close_idle_connection: Closes an idle connection; returns whether there was one.
            inherited: A listening file descriptor, shared with other processes, to use instead of `address`.

        Raises:
            OSError: Listening failed.
        """
        self.loop, self.counters, self.name = loop, counters, name
        self.max_connections = max_connections
        self.accept, self.count, self.close_idle_connection = accept, count, close_idle_connection
        self.last_accept = 0.0
        self._limit_logged = self._paused = False
        self._inherited = inherited
        self.sock = self._listen(address)
        self.address: tuple[str, int] = self.sock.getsockname()[:2]
        self.open = True
        loop.watch(self.sock, READ, self._ready, LISTENERS)

    def _listen(self, address: tuple[str, int]) -> socket.socket:
        try:
            if self._inherited is not None:
                sock = socket.socket(fileno=self._inherited)
                if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
                    raise OSError(0, "the inherited descriptor is not a listening socket")
            else:
                family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
                sock = socket.create_server(
                    address, family=family, backlog=BACKLOG, reuse_port=self.loop.reuse_port
                )
        except OSError as error:
            where = (
                f"{self.name} at {address[0]}:{address[1]}"
                if self._inherited is None
                else f"descriptor {self._inherited} of PROXY_ACCEPT_FD"
            )
            raise OSError(error.errno, f"{where}: {error.strerror}") from error
        sock.setblocking(False)
        return sock

    def pause(self, paused: bool) -> None:
        """Stops or resumes accepting; meanwhile another process accepts the connections."""
        if paused == self._paused or not self.open:
            return
        if paused and self._inherited is None:
            self._ready()  # no other process can accept from the queue of this socket
        self._paused = paused
        if paused:
            self.loop.unwatch(self.sock)
        if self._inherited is None and paused:
            self.sock.close()
        elif self._inherited is None:
            self.sock = self._listen(self.address)
        if not paused:
            self.loop.watch(self.sock, READ, self._ready, LISTENERS)

    def _ready(self, mask: int = READ) -> None:
        for _ in range(MAX_ACCEPTS):
            if not self.open or self._paused:
                return
            if self.count() >= self.max_connections and not self.close_idle_connection():
                self._suspend()
                return
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                return
            except OSError as error:  # no free file descriptor, or the client disconnected
                log.warning("accept.error", listener=self.name, error=str(error))
                self._suspend()
                return
            self._limit_logged = False
            self.last_accept = self.loop.clock.now()
            self.accept(sock)

    def _suspend(self) -> None:
        if not self._limit_logged:
            self._limit_logged = True
            log.warning("cap.connections", listener=self.name, cap=self.max_connections)
        self.counters.caps.labels(self.name).inc()
        self.loop.watch(self.sock, 0, self._ready)
        self.loop.deadlines.add(self.loop.clock.now() + RETRY_PAUSE_S, self._resume)

    def _resume(self) -> None:
        if self.open and not self._paused:
            self.loop.watch(self.sock, READ, self._ready, LISTENERS)

    def close(self) -> None:
        """Accepts the queued connections, then stops listening."""
        if self.open and not self._paused:
            for _ in range(BACKLOG // MAX_ACCEPTS):
                self._ready()  # clients in the queue already have an established connection
            self.loop.unwatch(self.sock)
        self.open = False
        self.sock.close()

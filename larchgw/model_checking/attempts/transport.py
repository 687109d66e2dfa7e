"""Simulated sockets between an edge and its runners, and the event loop that serves them.

The kernel takes as much of a write as the seed says, bytes arrive when a step delivers them, and what it has
taken arrives even after the edge has closed its socket.
"""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable
from random import Random

from ...net.connection import Connection, ConnectionOwner
from ...net.connection_outcome import ConnectionOutcome
from ...net.counters import Counters
from ...net.loop import FIRST, READ, WRITE
from ...net.timers import Clock, Deadlines

NOTHING_UNANSWERED = bytes(8)  # `struct tcp_info` of a peer whose kernel responds
START_S = 1_000_000.0


class SimulatedClock(Clock):
    """Stands still until the run moves it."""

    def __init__(self) -> None:
        """Starts at a fixed time."""
        super().__init__()
        self.time = START_S

    def now(self) -> float:
        """Returns the current time in seconds."""
        return self.time


class SimulatedSocket:
    """The edge's end of one connection to a runner's address, and the kernels between them.

    Attributes:
        address: Where it connects to.
        is_up: Whether the connection is established.
        error: The `errno` with which it failed; 0 while it works.
        in_transit: Bytes that the kernel has taken and no runner has read.
        to_edge: Bytes from the runner that the edge has not read.
        peer_closed: Whether the runner has closed its side.
        is_closed: Whether the edge has closed its side.
    """

    family = socket.AF_INET

    def __init__(self, address: tuple[str, int], random: Random) -> None:
        """Starts connecting."""
        self.address, self._random = address, random
        self.is_up = self.peer_closed = self.is_closed = False
        self.error = 0
        self.in_transit, self.to_edge = bytearray(), bytearray()

    # Called by the edge

    def send(self, data: bytes | bytearray) -> int:
        """Takes a part of the data. Raises OSError once the connection has failed."""
        if self.error:
            raise OSError(self.error, "the connection has failed")
        taken = self._random.choice((0, self._random.randint(1, len(data)), len(data), len(data)))
        if not taken:
            raise BlockingIOError
        self.in_transit += data[:taken]
        return taken

    def recv(self, size: int) -> bytes:
        """Returns received bytes. Raises OSError once the connection has failed."""
        if self.to_edge:
            data = bytes(self.to_edge[:size])
            del self.to_edge[:size]
            return data
        if self.error:
            raise OSError(self.error, "the connection has failed")
        if self.peer_closed:
            return b""
        raise BlockingIOError

    def close(self) -> None:
        """Closes the edge's side. What the kernel has taken still arrives."""
        self.is_closed = True

    def shutdown(self, how: int) -> None:
        """Does nothing: a runner that has the whole request need not notice."""

    def getsockopt(self, level: int, option: int, size: int = 0) -> int | bytes:
        """Returns SO_ERROR, or the state of a peer whose kernel responds."""
        return NOTHING_UNANSWERED if size else self.error

    def setsockopt(self, level: int, option: int, value: int) -> None:
        """Does nothing."""

    def setblocking(self, flag: bool) -> None:
        """Does nothing."""

    # Called by the run

    @property
    def is_connecting(self) -> bool:
        """Whether it is neither established nor failed, and the edge still wants it."""
        return not (self.is_up or self.error or self.is_closed)

    def establish(self) -> None:
        """Establishes the connection."""
        self.is_up = True

    def refuse(self) -> None:
        """Refuses the connection."""
        self.error = errno.ECONNREFUSED

    def reset(self, keeps_answer: bool) -> None:
        """Resets the connection; what the runner has sent before may still be read."""
        self.error = errno.ECONNRESET
        if not keeps_answer:
            self.to_edge.clear()

    def events(self) -> int:
        """Returns the events for which the edge's loop would be woken."""
        if self.is_closed:
            return 0
        readable = bool(self.to_edge or self.peer_closed or self.error)
        return (READ if readable else 0) | (WRITE if self.is_up or self.error else 0)


class SimulatedLoop:
    """The event loop of a run. Sockets are served one at a time, in any order."""

    def __init__(self, random: Random) -> None:
        """Creates a loop without sockets."""
        self._random = random
        self.clock: SimulatedClock = SimulatedClock()
        self.deadlines = Deadlines()
        self.counters: Counters | None = None
        self.closing_count = 0
        self.reuse_port = False
        self.sockets: list[SimulatedSocket] = []
        self._watched: dict[SimulatedSocket, tuple[int, Callable[[int], None]]] = {}

    def watch(
        self, sock: SimulatedSocket, events: int, ready: Callable[[int], None], rank: int = FIRST
    ) -> None:
        """See `EventLoop.watch`."""
        if events:
            self._watched[sock] = (events, ready)
        else:
            self.unwatch(sock)

    def unwatch(self, sock: SimulatedSocket) -> None:
        """See `EventLoop.unwatch`."""
        self._watched.pop(sock, None)

    def call_soon(self, action: Callable[[], None]) -> None:
        """See `EventLoop.call_soon`."""
        self.deadlines.add(self.clock.now(), action)

    def connect(
        self, loop: object, address: tuple[str, int], owner: ConnectionOwner, rank: int
    ) -> Connection | ConnectionOutcome:
        """See `net.connection.connect`."""
        sock = SimulatedSocket(address, self._random)
        self.sockets.append(sock)
        return Connection(self, sock, owner, connecting=True, rank=rank)  # type: ignore[arg-type]

    def ready(self) -> list[SimulatedSocket]:
        """Returns the sockets that the edge's loop would serve now."""
        return [sock for sock, (events, _) in self._watched.items() if events & sock.events()]

    def serve(self, sock: SimulatedSocket) -> None:
        """Serves one socket that is ready."""
        events, ready = self._watched[sock]
        ready(events & sock.events())

    def run_due(self) -> None:
        """Runs the deadlines that are due."""
        self.deadlines.run_due(self.clock.now())

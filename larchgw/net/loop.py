"""The one loop: waits for sockets and deadlines, and for whatever other threads hand in."""

from __future__ import annotations

import selectors
import socket
from collections import deque
from collections.abc import Callable
from typing import Protocol

import structlog

from .counters import Counters
from .timers import Clock, Deadlines

READ, WRITE = selectors.EVENT_READ, selectors.EVENT_WRITE
# Whose news a turn hears first. A list, or a client that has left, must be known before a worker's answer
# frees a slot and a job that waits is sent there.
FIRST, CLIENTS, WORKERS, NEWCOMERS = range(4)
MAX_WAIT_S = 1.0
log = structlog.get_logger()


class EventLoop(Protocol):
    """What connections, listeners and servers need of the loop that they run on."""

    clock: Clock
    deadlines: Deadlines
    counters: Counters | None
    finishing: int  # connections that write their last bytes
    reuse_port: bool  # whether another process of ours may listen where we do

    def watch(
        self, sock: socket.socket, events: int, ready: Callable[[int], None], rank: int = FIRST
    ) -> None:
        """Calls `ready` with the events at hand; 0 events pause it."""

    def forget(self, sock: socket.socket) -> None:
        """Watches the socket no more."""

    def call(self, action: Callable[[], None]) -> None:
        """From any thread: does this in one of the loop's next turns."""


class Loop:
    """Each turn handles the sockets that are ready, then sweeps the deadlines."""

    def __init__(self, clock: Clock, deadlines: Deadlines) -> None:
        self.clock, self.deadlines = clock, deadlines
        self.counters: Counters | None = None
        self._selector = selectors.DefaultSelector()
        self._calls: deque[Callable[[], None]] = deque()
        self._running = True
        self.finishing = 0  # connections that write their last bytes
        self.reuse_port = False  # whether another process of ours may listen where we do, during an upgrade
        self.on_signal: Callable[[int], None] = lambda number: None
        self._wake_in, self.wake_out = socket.socketpair()
        self._wake_in.setblocking(False)
        self.wake_out.setblocking(False)
        self.watch(self._wake_in, READ, self._woken)

    def watch(
        self, sock: socket.socket, events: int, ready: Callable[[int], None], rank: int = FIRST
    ) -> None:
        """Calls `ready` with the events at hand, those of a lower `rank` first; 0 events pause it."""
        known = sock.fileno() in self._selector.get_map()
        if not events:
            if known:
                self._selector.unregister(sock)
        elif known:
            self._selector.modify(sock, events, (rank, ready))
        else:
            self._selector.register(sock, events, (rank, ready))

    def forget(self, sock: socket.socket) -> None:
        self.watch(sock, 0, lambda mask: None)

    def call(self, action: Callable[[], None]) -> None:
        """From another thread: does this in the loop's next turn."""
        self._calls.append(action)
        try:
            self.wake_out.send(b"\0")
        except (BlockingIOError, OSError):
            pass  # the pipe is full, so the loop wakes anyway, or has ended

    def stop(self) -> None:
        self._running = False

    def run(self) -> None:
        while self._running:
            self.turn()

    def close(self) -> None:
        """Once everything that it watched has been closed."""
        self._selector.close()
        self._wake_in.close()
        self.wake_out.close()

    def turn(self) -> None:
        due = self.deadlines.next()
        wait = MAX_WAIT_S if due is None else min(max(due - self.clock.now(), 0.0), MAX_WAIT_S)
        for key, mask in sorted(self._selector.select(wait), key=lambda event: event[0].data[0]):
            self._guard(lambda ready=key.data[1], mask=mask: ready(mask))  # type: ignore[misc]
        while self._calls:
            self._guard(self._calls.popleft())
        self._guard(lambda: self.deadlines.sweep(self.clock.now()))

    def _guard(self, action: Callable[[], object]) -> None:
        try:
            action()
        except Exception:  # one connection's bad luck must not end the process, and all others with it
            if self.counters:
                self.counters.faults.labels("loop").inc()
            log.exception("fault.loop")

    def _woken(self, mask: int) -> None:
        try:
            numbers = self._wake_in.recv(4096)
        except BlockingIOError:
            return
        for number in numbers:
            if number:
                self.on_signal(number)

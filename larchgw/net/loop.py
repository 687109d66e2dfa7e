"""Event loops: the interface, and the job dispatcher's selector loop."""

from __future__ import annotations

import selectors
import socket
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from typing import Protocol

import structlog

from .counters import Counters
from .timers import Clock, Deadlines

READ, WRITE = selectors.EVENT_READ, selectors.EVENT_WRITE
# Ranks: the order in which one iteration serves ready sockets. A new endpoint list or a client's disconnect
# must be processed before a worker's response frees a slot and a waiting job is sent there.
FIRST, CLIENTS, WORKERS, LISTENERS = range(4)
MAX_WAIT_S = 1.0  # limit for waiting on sockets in one iteration
log = structlog.get_logger()


class EventLoop(Protocol):
    """The event loop as used by connections, listeners and servers."""

    clock: Clock
    deadlines: Deadlines
    counters: Counters | None
    closing_count: int  # connections being closed gracefully
    reuse_port: bool  # whether another process may listen on the same port

    def watch(
        self, sock: socket.socket, events: int, ready: Callable[[int], None], rank: int = FIRST
    ) -> None:
        """Calls `ready` with the events that occur; 0 events stop watching."""

    def unwatch(self, sock: socket.socket) -> None:
        """Stops watching the socket."""

    def call_soon(self, action: Callable[[], None]) -> None:
        """Runs the action in one of the next iterations. Thread-safe."""


class Loop:
    """`EventLoop` on a selector. Each iteration serves ready sockets, then calls, then deadlines.

    Attributes:
        on_signal: Called with each signal number, if `wakeup_socket` is the signal wake-up descriptor.
        wakeup_socket: Writing to it wakes the loop.
    """

    def __init__(self, clock: Clock, deadlines: Deadlines) -> None:
        """Creates a loop; deadlines are times of `clock`."""
        self.clock, self.deadlines = clock, deadlines
        self.counters: Counters | None = None
        self._selector = selectors.DefaultSelector()
        self._calls: deque[Callable[[], None]] = deque()
        self._running = True
        self.closing_count = 0  # connections being closed gracefully
        self.reuse_port = False  # whether another process may listen on the same port, during an upgrade
        self.on_signal: Callable[[int], None] = lambda number: None
        self._wakeup_receiver, self.wakeup_socket = socket.socketpair()
        self._wakeup_receiver.setblocking(False)
        self.wakeup_socket.setblocking(False)
        self.watch(self._wakeup_receiver, READ, self._on_wakeup)

    def watch(
        self, sock: socket.socket, events: int, ready: Callable[[int], None], rank: int = FIRST
    ) -> None:
        """Calls `ready` with the events that occur, lower ranks first; 0 events stop watching."""
        known = sock.fileno() in self._selector.get_map()
        if not events:
            if known:
                self._selector.unregister(sock)
        elif known:
            self._selector.modify(sock, events, (rank, ready))
        else:
            self._selector.register(sock, events, (rank, ready))

    def unwatch(self, sock: socket.socket) -> None:
        """Stops watching the socket."""
        self.watch(sock, 0, lambda mask: None)

    def call_soon(self, action: Callable[[], None]) -> None:
        """Runs the action in the next iteration. Thread-safe."""
        self._calls.append(action)
        with suppress(OSError):  # the buffer is full, so the loop wakes anyway, or the loop has ended
            self.wakeup_socket.send(b"\0")

    def stop(self) -> None:
        """Ends `run` after the current iteration."""
        self._running = False

    def run(self) -> None:
        """Runs iterations until stopped."""
        while self._running:
            self.run_once()

    def close(self) -> None:
        """Closes its file descriptors; watched sockets must be closed before."""
        self._selector.close()
        self._wakeup_receiver.close()
        self.wakeup_socket.close()

    def run_once(self) -> None:
        """Waits for sockets until the next deadline, then serves whatever is ready or due."""
        due = self.deadlines.earliest()
        wait = MAX_WAIT_S if due is None else min(max(due - self.clock.now(), 0.0), MAX_WAIT_S)
        for key, mask in sorted(self._selector.select(wait), key=lambda event: event[0].data[0]):
            self._guard(lambda ready=key.data[1], mask=mask: ready(mask))  # type: ignore[misc]
        while self._calls:
            self._guard(self._calls.popleft())
        self._guard(lambda: self.deadlines.run_due(self.clock.now()))

    def _guard(self, action: Callable[[], object]) -> None:
        try:
            action()
        except Exception:  # an error of one connection must not affect others
            if self.counters:
                self.counters.faults.labels("loop").inc()
            log.exception("fault.loop")

    def _on_wakeup(self, mask: int) -> None:
        try:
            numbers = self._wakeup_receiver.recv(4096)
        except BlockingIOError:
            return
        for number in numbers:
            if number:
                self.on_signal(number)

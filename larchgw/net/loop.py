"""The job dispatcher's event loop: sockets, deadlines and calls from other threads."""

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
# Ranks: the order in which a turn serves the sockets that are ready. An endpoint list, or a client that has
# left, must be known before a worker's answer frees a slot and a job that waits is sent there.
FIRST, CLIENTS, WORKERS, LISTENERS = range(4)
MAX_WAIT_S = 1.0  # of one turn for sockets
log = structlog.get_logger()


class EventLoop(Protocol):
    """What connections, listeners and servers need of the loop that they run on."""

    clock: Clock
    deadlines: Deadlines
    counters: Counters | None
    closing_count: int  # connections that write their last bytes
    reuse_port: bool  # whether another process of ours may listen where we do

    def watch(
        self, sock: socket.socket, events: int, ready: Callable[[int], None], rank: int = FIRST
    ) -> None:
        """Calls `ready` with the events at hand; 0 events pause it."""

    def unwatch(self, sock: socket.socket) -> None:
        """Watches the socket no more."""

    def call_soon(self, action: Callable[[], None]) -> None:
        """Runs the action in one of the loop's next turns. Safe from any thread."""


class Loop:
    """`EventLoop` on a selector. Each turn serves the sockets that are ready, then calls, then deadlines.

    Attributes:
        on_signal: Called in a turn with each signal's number, if `wakeup_socket` is the wake-up descriptor.
        wakeup_socket: Bytes written here wake the loop.
    """

    def __init__(self, clock: Clock, deadlines: Deadlines) -> None:
        """Deadlines are times of `clock`."""
        self.clock, self.deadlines = clock, deadlines
        self.counters: Counters | None = None
        self._selector = selectors.DefaultSelector()
        self._calls: deque[Callable[[], None]] = deque()
        self._running = True
        self.closing_count = 0  # connections that write their last bytes
        self.reuse_port = False  # whether another process of ours may listen where we do, during an upgrade
        self.on_signal: Callable[[int], None] = lambda number: None
        self._wakeup_receiver, self.wakeup_socket = socket.socketpair()
        self._wakeup_receiver.setblocking(False)
        self.wakeup_socket.setblocking(False)
        self.watch(self._wakeup_receiver, READ, self._on_wakeup)

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

    def unwatch(self, sock: socket.socket) -> None:
        """Watches the socket no more."""
        self.watch(sock, 0, lambda mask: None)

    def call_soon(self, action: Callable[[], None]) -> None:
        """Runs the action in the loop's next turn. Safe from any thread."""
        self._calls.append(action)
        with suppress(OSError):  # the pipe is full, so the loop wakes anyway, or has ended
            self.wakeup_socket.send(b"\0")

    def stop(self) -> None:
        """Ends `run` after the present turn."""
        self._running = False

    def run(self) -> None:
        """Takes turns until it is stopped."""
        while self._running:
            self.run_once()

    def close(self) -> None:
        """Frees its descriptors, once everything that it watched has been closed."""
        self._selector.close()
        self._wakeup_receiver.close()
        self.wakeup_socket.close()

    def run_once(self) -> None:
        """Waits for sockets until the next deadline, and serves what is ready and due."""
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
        except Exception:  # an error of one connection must not end all others
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

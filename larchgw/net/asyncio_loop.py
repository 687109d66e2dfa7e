"""`EventLoop` on top of asyncio, so that connections share a process with Tornado and RPC."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

import structlog

from .counters import Counters
from .loop import FIRST, READ, WRITE
from .timers import Clock, Deadline, Deadlines

log = structlog.get_logger()


class _ScheduledDeadlines(Deadlines):
    """Deadlines that call back whenever the earliest one changes to an earlier time."""

    def __init__(self, on_earlier: Callable[[float], None]) -> None:
        super().__init__()
        self._on_earlier = on_earlier

    def add(self, at: float, action: Callable[[], None]) -> Deadline:
        """See Deadlines."""
        entry = super().add(at, action)
        if self.earliest() == at:
            self._on_earlier(at)
        return entry


class _Watch:
    """One watched socket; asyncio is called only when the wanted events change."""

    __slots__ = ("owner", "descriptor", "events", "ready")

    def __init__(self, owner: AsyncLoop, descriptor: int) -> None:
        self.owner, self.descriptor, self.events = owner, descriptor, 0
        self.ready: Callable[[int], None] = lambda mask: None

    def change(self, events: int) -> None:
        """Replaces the events that asyncio reports."""
        loop, added, removed = self.owner.loop, events & ~self.events, self.events & ~events
        self.events = events
        if added & READ:
            loop.add_reader(self.descriptor, self._notify, READ)
        if added & WRITE:
            loop.add_writer(self.descriptor, self._notify, WRITE)
        if removed & READ:
            loop.remove_reader(self.descriptor)
        if removed & WRITE:
            loop.remove_writer(self.descriptor)

    def _notify(self, mask: int) -> None:
        try:
            self.ready(mask)
        except Exception:
            self.owner.on_callback_error()


class AsyncLoop:
    """`EventLoop` on one asyncio loop. Times are seconds of `clock`.

    Unlike `Loop`, it ignores ranks and serves ready sockets in the order of the selector.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Clock | None = None) -> None:
        """Wraps `loop`."""
        self.loop, self.clock = loop, clock or Clock()
        self.deadlines: Deadlines = _ScheduledDeadlines(self._schedule_timer)
        self.counters: Counters | None = None
        self.closing_count = 0
        self.reuse_port = False
        self._watches: dict[int, _Watch] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._due = float("inf")
        self._closed = False

    def watch(
        self, sock: socket.socket, events: int, ready: Callable[[int], None], rank: int = FIRST
    ) -> None:
        """Calls `ready` with the events that occur; 0 events stop watching."""
        descriptor = sock.fileno()
        watch = self._watches.get(descriptor)
        if watch is None:
            if not events:
                return
            watch = self._watches[descriptor] = _Watch(self, descriptor)
        watch.ready = ready
        if watch.events != events:
            watch.change(events)
        if not events:
            del self._watches[descriptor]

    def unwatch(self, sock: socket.socket) -> None:
        """Stops watching the socket."""
        self.watch(sock, 0, lambda mask: None)

    def call_soon(self, action: Callable[[], None]) -> None:
        """Runs the action in one of the next iterations. Thread-safe."""
        self.loop.call_soon_threadsafe(self.guard, action)

    def close(self) -> None:
        """Stops running deadlines. Watched sockets are closed by their owners."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()

    def guard(self, action: Callable[[], object]) -> None:
        """Runs the action and logs its errors, so that one connection's error does not affect others."""
        try:
            action()
        except Exception:
            self.on_callback_error()

    def on_callback_error(self) -> None:
        """Counts and logs the exception being handled."""
        if self.counters:
            self.counters.faults.labels("loop").inc()
        log.exception("fault.loop")

    def _schedule_timer(self, at: float) -> None:
        if self._closed or at >= self._due:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._due = at
        self._timer = self.loop.call_later(max(at - self.clock.now(), 0.0), self._run_due)

    def _run_due(self) -> None:
        self._timer, self._due = None, float("inf")
        self.guard(lambda: self.deadlines.run_due(self.clock.now()))
        due = self.deadlines.earliest()
        if due is not None:
            self._schedule_timer(due)

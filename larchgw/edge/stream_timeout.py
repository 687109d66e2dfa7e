"""Time-out between the events of a stream."""

from __future__ import annotations

from collections.abc import Callable

from ..net.loop import EventLoop
from ..net.timers import Deadline

MIN_TIMEOUT_S = 1.0  # well before clients give a stream up, which they do after 2 s or more
MAX_GAPS = 4.0  # times the longest gap between events that is in time


def stream_timeout_s(gap_aim_ms: float) -> float:
    """Seconds without a byte after which a stream that may be resumed elsewhere is."""
    return max(MIN_TIMEOUT_S, MAX_GAPS * gap_aim_ms / 1000.0)


class StreamTimeout:
    """Calls `on_timeout` after `timeout_s` without `observe`, and again each `timeout_s` after that.

    Events cost no timer: the one that is set looks when the last event came.
    """

    def __init__(self, loop: EventLoop, timeout_s: float, on_timeout: Callable[[], None]) -> None:
        """Begins to count now."""
        self._loop, self._timeout_s, self._on_timeout = loop, timeout_s, on_timeout
        self._observed_at = loop.clock.now()
        self._timer: Deadline | None = None
        self._set_timer(self._observed_at + timeout_s)

    def observe(self, now: float) -> None:
        """A byte of the runner came, or the request was sent only now."""
        self._observed_at = now

    def stop(self) -> None:
        """Ends the watch."""
        self._loop.deadlines.cancel(self._timer)
        self._timer = None

    def _set_timer(self, at: float) -> None:
        self._timer = self._loop.deadlines.add(at, self._check)

    def _check(self) -> None:
        now = self._loop.clock.now()
        if now < self._observed_at + self._timeout_s:
            self._set_timer(self._observed_at + self._timeout_s)
            return
        self._set_timer(now + self._timeout_s)
        self._on_timeout()

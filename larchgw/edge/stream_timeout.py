"""Time-out for the gap between the events of a stream."""

from __future__ import annotations

from collections.abc import Callable

from ..net.loop import EventLoop
from ..net.timers import Deadline

MIN_TIMEOUT_S = 1.0  # well before clients abandon a silent stream, after 2 s or more
GAP_MULTIPLE = 4.0  # time-out relative to the longest gap between events that is on time


def stream_timeout_s(gap_aim_ms: float) -> float:
    """Returns the seconds without data after which a stream is resumed elsewhere."""
    return max(MIN_TIMEOUT_S, GAP_MULTIPLE * gap_aim_ms / 1000.0)


class StreamTimeout:
    """Calls `on_timeout` after `timeout_s` without `observe`, and again each `timeout_s` after that.

    Events do not reset the timer; when it fires, it checks the time of the last event.
    """

    def __init__(self, loop: EventLoop, timeout_s: float, on_timeout: Callable[[], None]) -> None:
        """Starts the timer now."""
        self._loop, self._timeout_s, self._on_timeout = loop, timeout_s, on_timeout
        self._observed_at = loop.clock.now()
        self._timer: Deadline | None = None
        self._set_timer(self._observed_at + timeout_s)

    def observe(self, now: float) -> None:
        """Records that the request was sent or that data was received."""
        self._observed_at = now

    def stop(self) -> None:
        """Stops the timer."""
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

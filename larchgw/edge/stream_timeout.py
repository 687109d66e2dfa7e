"""Notices that a stream's runner has said nothing for too long."""

from __future__ import annotations

from collections.abc import Callable

from ..net.loop import EventLoop
from ..net.timers import Deadline

# A silent stream is taken up elsewhere, well before its client gives it up (2 s and more): after this ...
SILENCE_S = 1.0
SILENCE_GAPS = 4.0  # ... or so many times the longest pause that is in time


def silence_limit(gap_aim_ms: float) -> float:
    """Seconds of silence after which a stream that may go on elsewhere is taken up there."""
    return max(SILENCE_S, SILENCE_GAPS * gap_aim_ms / 1000.0)


class SilenceWatch:
    """Calls `on_silent` after `limit` seconds without `heard`, and again each `limit` seconds after that.

    Events cost no timer: the deadline that is set looks for when the last one came.
    """

    def __init__(self, loop: EventLoop, limit: float, on_silent: Callable[[], None]) -> None:
        self._loop, self._limit, self._on_silent = loop, limit, on_silent
        self._heard_at = loop.clock.now()
        self._timer: Deadline | None = None
        self._watch(self._heard_at + limit)

    def heard(self, now: float) -> None:
        """The runner has said something, or it has only now been asked."""
        self._heard_at = now

    def stop(self) -> None:
        """Watches no more."""
        self._loop.deadlines.drop(self._timer)
        self._timer = None

    def _watch(self, at: float) -> None:
        self._timer = self._loop.deadlines.add(at, self._check)

    def _check(self) -> None:
        now = self._loop.clock.now()
        if now < self._heard_at + self._limit:
            self._watch(self._heard_at + self._limit)
            return
        self._watch(now + self._limit)
        self._on_silent()

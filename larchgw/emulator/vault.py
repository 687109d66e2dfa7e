"""The artwork vault: one store that all boxes fetch from, so many at a time."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from .timeline import Timeline


class Vault:
    """`lanes` fetches at a time, each `fetch_s` seconds; the rest wait in turn."""

    def __init__(self, time: Timeline, lanes: int, fetch_s: float) -> None:
        self._time, self.lanes, self.fetch_s = time, lanes, fetch_s
        self.busy, self.fetches, self.longest = 0, 0, 0
        self._waiting: deque[Callable[[], None]] = deque()

    def fetch(self, done: Callable[[], None]) -> None:
        """`done` is called when the artwork is there. A fetch that nobody wants any more still runs."""
        self.fetches += 1
        if self.busy < self.lanes:
            self._begin(done)
        else:
            self._waiting.append(done)
            self.longest = max(self.longest, len(self._waiting))

    def _begin(self, done: Callable[[], None]) -> None:
        self.busy += 1
        self._time.at(self._time.now() + self.fetch_s, lambda: self._end(done))

    def _end(self, done: Callable[[], None]) -> None:
        self.busy -= 1
        if self._waiting:
            self._begin(self._waiting.popleft())
        done()

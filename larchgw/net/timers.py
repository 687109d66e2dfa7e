"""Everything that waits for a time, in one sorted list that is swept each turn."""

from __future__ import annotations

import time
from collections.abc import Callable
from itertools import count

from sortedcontainers import SortedList

Deadline = tuple[float, int, Callable[[], None]]


class Clock:
    """The one clock: it never goes back, and it started at the Unix time.

    Start times of boxes come as Unix times. On this scale they need no conversion, and a box that started
    before this machine has no negative time, which would read as "long ago".
    """

    def __init__(self) -> None:
        self.offset = time.time() - time.monotonic()

    def now(self) -> float:
        return time.monotonic() + self.offset


class Deadlines:
    """A sorted list of times and what to do then."""

    def __init__(self) -> None:
        self._entries: SortedList[Deadline] = SortedList()
        self._serial = count()

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, at: float, action: Callable[[], None]) -> Deadline:
        entry = (at, next(self._serial), action)
        self._entries.add(entry)
        return entry

    def drop(self, entry: Deadline | None) -> None:
        if entry is not None:
            self._entries.discard(entry)

    def next(self) -> float | None:
        return self._entries[0][0] if self._entries else None

    def sweep(self, now: float) -> int:
        """Does what is due. What that adds waits for the next turn, so a turn always ends."""
        done, last = 0, next(self._serial)
        while self._entries and self._entries[0][0] <= now and self._entries[0][1] < last:
            action = self._entries.pop(0)[2]
            done += 1
            action()
        return done

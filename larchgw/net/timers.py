"""The clock and the deadlines of an event loop."""

from __future__ import annotations

import time
from collections.abc import Callable
from itertools import count

from sortedcontainers import SortedList

Deadline = tuple[float, int, Callable[[], None]]


class Clock:
    """A monotonic clock that started at the Unix time.

    Start times of workers come as Unix times. On this scale they need no conversion, and a worker that
    started before this machine has no negative time, which would read as "long ago".
    """

    def __init__(self) -> None:
        """Starts at the present Unix time."""
        self.offset = time.time() - time.monotonic()

    def now(self) -> float:
        """Seconds."""
        return time.monotonic() + self.offset


class Deadlines:
    """A sorted list of times, in seconds of one clock, and what to do then."""

    def __init__(self) -> None:
        """Nothing is due."""
        self._entries: SortedList[Deadline] = SortedList()
        self._serial = count()

    def __len__(self) -> int:
        """How many there are."""
        return len(self._entries)

    def add(self, at: float, action: Callable[[], None]) -> Deadline:
        """Has the action run in the first sweep at or after this time; those of equal times in this order."""
        entry = (at, next(self._serial), action)
        self._entries.add(entry)
        return entry

    def cancel(self, entry: Deadline | None) -> None:
        """Takes a deadline back; one that has run, or None, is ignored."""
        if entry is not None:
            self._entries.discard(entry)

    def earliest(self) -> float | None:
        """The earliest time; None where there is none."""
        return self._entries[0][0] if self._entries else None

    def run_due(self, now: float) -> int:
        """Runs what is due. What that adds waits for the next turn, so a turn always ends.

        Returns:
            How many actions were run.
        """
        done, last = 0, next(self._serial)
        while self._entries and self._entries[0][0] <= now and self._entries[0][1] < last:
            action = self._entries.pop(0)[2]
            done += 1
            action()
        return done

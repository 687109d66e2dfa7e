"""The clock and the deadlines of an event loop."""

from __future__ import annotations

import time
from collections.abc import Callable
from itertools import count

from sortedcontainers import SortedList

Deadline = tuple[float, int, Callable[[], None]]


class Clock:
    """A monotonic clock that started at the Unix time.

    Workers report their start as Unix times, which need no conversion on this scale. A worker that started
    before this machine also gets no negative time, which would be taken for "long ago".
    """

    def __init__(self) -> None:
        """Starts at the current Unix time."""
        self.offset = time.time() - time.monotonic()

    def now(self) -> float:
        """Returns the current time in seconds."""
        return time.monotonic() + self.offset


class Deadlines:
    """A queue of actions sorted by time, in seconds of one clock."""

    def __init__(self) -> None:
        """Creates an empty queue."""
        self._entries: SortedList[Deadline] = SortedList()
        self._serial = count()

    def __len__(self) -> int:
        """Returns the number of pending deadlines."""
        return len(self._entries)

    def add(self, at: float, action: Callable[[], None]) -> Deadline:
        """Schedules an action for the first `run_due` at or after `at`; ties run in insertion order."""
        entry = (at, next(self._serial), action)
        self._entries.add(entry)
        return entry

    def cancel(self, entry: Deadline | None) -> None:
        """Cancels a deadline; one that has run, or None, is ignored."""
        if entry is not None:
            self._entries.discard(entry)

    def earliest(self) -> float | None:
        """Returns the earliest time; None if there is no deadline."""
        return self._entries[0][0] if self._entries else None

    def run_due(self, now: float) -> int:
        """Runs all actions due. Deadlines added meanwhile wait for the next call, so this one always ends.

        Returns:
            The number of actions run.
        """
        done, last = 0, next(self._serial)
        while self._entries and self._entries[0][0] <= now and self._entries[0][1] < last:
            action = self._entries.pop(0)[2]
            done += 1
            action()
        return done

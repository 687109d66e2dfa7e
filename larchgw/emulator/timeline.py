"""Time as the models see it: when it is, and what is to happen later."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from ..net.timers import Clock, Deadlines

START = 1_000_000.0  # seconds; a start time of 0 would read as "long ago"


class Timeline(Protocol):
    """Models take one and know no other time, so that the same model runs in virtual and in real time."""

    def now(self) -> float:
        """Seconds; it never goes back."""

    def at(self, when: float, action: Callable[[], None]) -> Any:
        """Does this then, or as soon as it can. What is returned can be given to `drop`."""

    def drop(self, entry: Any) -> None:
        """Does not do it after all; None, or what has been done, is no error."""


class Virtual(Clock):
    """Time that moves by events alone. Dispatchers in virtual time share its clock and its deadlines."""

    def __init__(self, start: float = START) -> None:
        self.time = start
        self.events = 0
        self.deadlines = Deadlines()

    def now(self) -> float:
        return self.time

    def at(self, when: float, action: Callable[[], None]) -> Any:
        return self.deadlines.add(max(when, self.time), action)

    def drop(self, entry: Any) -> None:
        self.deadlines.cancel(entry)

    def run(self, until: float) -> None:
        """Lets everything happen that is due by then."""
        while (due := self.deadlines.earliest()) is not None and due <= until:
            self.time = max(self.time, due)
            self.events += self.deadlines.run_due(self.time)
        self.time = max(self.time, until)

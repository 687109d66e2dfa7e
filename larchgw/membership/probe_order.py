"""The order in which members are probed.

Source: SWIM (Das and others, 2002), section 4.3, round-robin probe target selection.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random


class ProbeOrder:
    """Yields every address once per round; the order is shuffled again for each round."""

    def __init__(self, random_source: Random) -> None:
        """Starts empty; `random_source` determines the order."""
        self._random_source = random_source
        self._order: list[str] = []
        self._known: set[str] = set()
        self._next = 0

    def add(self, address: str) -> None:
        """Inserts an address at a random position in the rest of the current round."""
        if address in self._known:
            return
        self._known.add(address)
        position = self._random_source.randint(self._next, len(self._order))
        self._order.insert(position, address)

    def next(self, is_candidate: Callable[[str], bool]) -> str | None:
        """Returns the next address that is still a candidate, and removes skipped addresses."""
        while self._order:
            if self._next >= len(self._order):
                self._random_source.shuffle(self._order)
                self._next = 0
            address = self._order[self._next]
            if is_candidate(address):
                self._next += 1
                return address
            del self._order[self._next]
            self._known.discard(address)
        return None

"""Whether this process is cut off from the majority of the control processes."""

from __future__ import annotations

import time
from collections.abc import Callable

HEARD_WITHIN_S = 1.3  # a pull between control processes is answered within half a second, or is lost


class Isolation:
    """Judges by when the other witnesses last answered.

    `last_answered` gives the monotonic time of a peer's last answer, or None; `electorate` the addresses of
    the other witnesses.
    """

    def __init__(self, last_answered: Callable[[str], float | None], electorate: Callable[[], set[str]],
                 clock: Callable[[], float] = time.monotonic) -> None:
        self._last_answered, self._electorate, self._clock = last_answered, electorate, clock
        self._began = clock()

    def isolated(self) -> bool:
        """True if fewer than a majority, this process included, answered lately."""
        others = self._electorate()
        if self._clock() - self._began < HEARD_WITHIN_S:
            return False  # the first pulls are under way
        present = 1 + sum(1 for address in others if self._lately(address))
        return 2 * present <= 1 + len(others)

    def _lately(self, address: str) -> bool:
        heard = self._last_answered(address)
        return heard is not None and self._clock() - heard < HEARD_WITHIN_S

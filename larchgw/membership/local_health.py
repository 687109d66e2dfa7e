"""Lifeguard's local health: a member whose own probes go wrong doubts itself before it accuses others."""

from __future__ import annotations


class LocalHealth:
    """A score from 0 (healthy) up to a limit. Probe times are multiplied by `multiplier`."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._doubt_until = float("-inf")
        self.score = 0

    @property
    def multiplier(self) -> int:
        """What probe times are multiplied by: 1 while healthy."""
        return self.score + 1

    def improve(self) -> None:
        """A probe was answered."""
        self.score = max(self.score - 1, 0)

    def worsen(self, by: int = 1) -> None:
        """A probe failed, an answer came after its end, or this process had to refute a suspicion."""
        self.score = min(self.score + by, self._limit)

    def froze(self, now: float, doubt: float) -> None:
        """This process did not run for a while; for `doubt` seconds failed probes tell nothing of others."""
        self.worsen()
        self._doubt_until = now + doubt

    def in_doubt(self, now: float) -> bool:
        """Whether it is too soon after a freeze to accuse others. `now`: seconds, monotonic."""
        return now < self._doubt_until

"""Lifeguard's local health: a member whose own probes go wrong distrusts itself before it accuses others.

Source: Dadgar, Phillips, Currey, "Lifeguard" (2018), local health multiplier.
"""

from __future__ import annotations


class LocalHealth:
    """The score behind the local health multiplier, and the time of recovery after a freeze.

    Attributes:
        score: 0 while healthy, up to a limit.
    """

    def __init__(self, max_score: int) -> None:
        """Begins healthy."""
        self._max_score = max_score
        self._recovers_at = float("-inf")
        self.score = 0

    @property
    def multiplier(self) -> int:
        """Factor for probe times: 1 while healthy."""
        return self.score + 1

    def improve(self) -> None:
        """Counts a probe that was answered in time."""
        self.score = max(self.score - 1, 0)

    def worsen(self, by: int = 1) -> None:
        """Counts a failed probe, an answer after its probe ended, or a suspicion that had to be refuted."""
        self.score = min(self.score + by, self._max_score)

    def record_freeze(self, now: float, recovery_s: float) -> None:
        """Counts a time in which this process did not run.

        For `recovery_s` seconds from `now` failed probes say nothing of others.
        """
        self.worsen()
        self._recovers_at = now + recovery_s

    def is_recovering(self, now: float) -> bool:
        """Whether it is too soon after a freeze to accuse others. `now`: seconds, monotonic."""
        return now < self._recovers_at

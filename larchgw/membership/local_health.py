"""Lifeguard's local health: a member whose own probes fail slows down before it accuses others.

Source: Dadgar, Phillips, Currey, "Lifeguard" (2018), local health multiplier.
"""

from __future__ import annotations


class LocalHealth:
    """The score behind the local health multiplier, and the recovery time after a pause of this process.

    Attributes:
        score: 0 while healthy; increases up to a limit.
    """

    def __init__(self, max_score: int) -> None:
        """Starts healthy."""
        self._max_score = max_score
        self._recovers_at = float("-inf")
        self.score = 0

    @property
    def multiplier(self) -> int:
        """Factor by which probe times are extended; 1 while healthy."""
        return self.score + 1

    def improve(self) -> None:
        """Lowers the score for a probe that was answered in time."""
        self.score = max(self.score - 1, 0)

    def worsen(self, by: int = 1) -> None:
        """Raises the score for a failed probe, a late answer, or a suspicion that had to be refuted."""
        self.score = min(self.score + by, self._max_score)

    def record_pause(self, now: float, recovery_s: float) -> None:
        """Records that this process was paused.

        For `recovery_s` seconds from `now`, failed probes are no evidence against other members.
        """
        self.worsen()
        self._recovers_at = now + recovery_s

    def is_recovering(self, now: float) -> bool:
        """Whether it is too soon after a pause to accuse others; `now` is in seconds, monotonic."""
        return now < self._recovers_at

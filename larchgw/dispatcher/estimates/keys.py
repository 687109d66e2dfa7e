"""Estimates the frequency of keys from few samples."""

from __future__ import annotations

PRIOR_JOBS = 30.0  # jobs without the key that the prior counts as
HALVING_JOBS = 400.0  # jobs after which all counts are halved
MAX_KEYS = 1024  # keys counted


class KeyShares:
    """Shares of keys among all jobs, shrunk towards zero since most keys are rare."""

    def __init__(self) -> None:
        self._counts: dict[int, float] = {}
        self._jobs = 0.0

    def on_arrival(self, key: int) -> None:
        """Counts the arrival of a job with this key (0: none)."""
        self._jobs += 1.0
        if key:
            self._counts[key] = self._counts.get(key, 0.0) + 1.0
        if self._jobs >= HALVING_JOBS or len(self._counts) > MAX_KEYS:
            self._jobs /= 2.0
            self._counts = {k: n / 2.0 for k, n in self._counts.items() if n > 1.0}

    def share(self, key: int) -> float:
        """Estimated share of jobs with this key, not counting the present job."""
        return max(self._counts.get(key, 0.0) - 1.0, 0.0) / (self._jobs + PRIOR_JOBS)

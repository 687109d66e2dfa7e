"""How often a key comes, from few sights."""

from __future__ import annotations

PRIOR_JOBS = 30.0  # jobs without the key that were seen before any
HALVING_JOBS = 400.0  # jobs after which all counts are halved
MAX_KEYS = 1024  # keys counted


class KeyShares:
    """Shares of keys among all jobs, shrunk towards none: most keys are rare."""

    def __init__(self) -> None:
        self._counts: dict[int, float] = {}
        self._jobs = 0.0

    def on_arrival(self, key: int) -> None:
        """A job with this key (0: none) has come in."""
        self._jobs += 1.0
        if key:
            self._counts[key] = self._counts.get(key, 0.0) + 1.0
        if self._jobs >= HALVING_JOBS or len(self._counts) > MAX_KEYS:
            self._jobs /= 2.0
            self._counts = {k: n / 2.0 for k, n in self._counts.items() if n > 1.0}

    def share(self, key: int) -> float:
        """The part of all jobs that have this key; the one at hand is no evidence of that."""
        return max(self._counts.get(key, 0.0) - 1.0, 0.0) / (self._jobs + PRIOR_JOBS)

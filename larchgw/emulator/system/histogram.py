"""Latencies in buckets of equal relative width, so that any quantile is known to a few percent."""

from __future__ import annotations

import math
from collections import Counter

LEAST_S = 0.0001
PRECISION = 0.02  # relative width of a bucket


class Histogram:
    """Counts values of seconds; memory grows with the range of values, not with their number."""

    def __init__(self) -> None:
        self._counts: Counter[int] = Counter()
        self.total = 0
        self.most = 0.0

    def add(self, seconds: float) -> None:
        """One value."""
        bucket = math.ceil(math.log(max(seconds, LEAST_S) / LEAST_S) / math.log1p(PRECISION))
        self._counts[bucket] += 1
        self.total += 1
        self.most = max(self.most, seconds)

    def quantile(self, share: float) -> float:
        """A value that this share of all does not exceed; 0 without values."""
        wanted, seen = share * self.total, 0
        for bucket in sorted(self._counts):
            seen += self._counts[bucket]
            if seen >= wanted:
                return min(LEAST_S * (1.0 + PRECISION) ** bucket, self.most)
        return 0.0

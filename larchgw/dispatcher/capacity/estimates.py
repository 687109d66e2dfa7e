"""How long jobs run, as distributions that forget: by class, narrowed by key."""

from __future__ import annotations

from collections import OrderedDict
from math import log

MIN_RUN, BUCKET_RATIO, BUCKETS = 0.01, 1.2, 56  # seconds; the last bucket begins at 227 s
SAMPLE_HALF_LIFE = 400  # samples after which an old one counts half
MAX_KEYS = 1024  # keys remembered, the least recently used first to go
KEY_WEIGHT = 4.0  # samples that a key needs to count as much as its class
PRIOR_WEIGHT = 5.0  # samples below which the guess given at the start counts, too
_LOG_RATIO = log(BUCKET_RATIO)
_UPPER_BOUNDS = [MIN_RUN * BUCKET_RATIO ** (i + 1) for i in range(BUCKETS)]


def bucket(seconds: float) -> int:
    """The bucket that holds this running time."""
    if seconds <= MIN_RUN:
        return 0
    return min(int(log(seconds / MIN_RUN) / _LOG_RATIO), BUCKETS - 1)


class RunTimes:
    """Running times of one class in buckets that grow by a fifth.

    Not HdrHistogram: its counts are whole and never fade, while a fleet's mix of work changes by the hour,
    and what is asked for is the rest of a run that has lasted some time already.
    """

    __slots__ = ("counts", "total", "sum", "_prior", "_sample_weight")

    def __init__(self, guess: float) -> None:
        """`guess`: seconds, the running time to assume before any has been seen."""
        self.counts = [0.0] * BUCKETS
        self.total = self.sum = 0.0
        self._prior = guess
        self._sample_weight = (
            1.0  # what the next sample counts: growing it is cheaper than shrinking all others
        )

    def add(self, seconds: float) -> None:
        self.counts[bucket(seconds)] += self._sample_weight
        self.total += self._sample_weight
        self.sum += self._sample_weight * seconds
        self._sample_weight *= 2.0 ** (1.0 / SAMPLE_HALF_LIFE)
        if self._sample_weight > 1e6:
            self.counts = [c / self._sample_weight for c in self.counts]
            self.total, self.sum, self._sample_weight = (
                self.total / self._sample_weight,
                self.sum / self._sample_weight,
                1.0,
            )

    def sample_count(self) -> float:
        """How many samples count, in recent ones."""
        return self.total / self._sample_weight

    def mean(self) -> float:
        weight = PRIOR_WEIGHT * self._sample_weight
        return (self.sum + weight * self._prior) / (self.total + weight)

    def remaining(self, elapsed: float, share: float) -> float:
        """Seconds within which this share of the runs end that have lasted `elapsed` already.

        A run longer than all that were seen is taken to last as long again: it tells that the figures are
        wrong, and a reservation must not count on its end at any moment.
        """
        if self.sample_count() < PRIOR_WEIGHT:
            return max(self._prior * 2.0 * share - elapsed, 0.5 * elapsed)
        first = bucket(elapsed) if elapsed > 0 else 0
        low = _UPPER_BOUNDS[first] / BUCKET_RATIO if first else 0.0
        # Of the bucket that `elapsed` stands in, the part above it is left.
        inside = min(max((_UPPER_BOUNDS[first] - elapsed) / (_UPPER_BOUNDS[first] - low), 0.0), 1.0)
        left = self.counts[first] * inside
        beyond = left + sum(self.counts[first + 1 :])
        if beyond <= 0.5 * self._sample_weight:
            return elapsed
        wanted, at = share * beyond, left
        if at >= wanted:
            return (_UPPER_BOUNDS[first] - elapsed) * wanted / left if left else 0.0
        for i in range(first + 1, BUCKETS):
            count = self.counts[i]
            if at + count >= wanted:
                return max(
                    _UPPER_BOUNDS[i - 1]
                    + (_UPPER_BOUNDS[i] - _UPPER_BOUNDS[i - 1]) * (wanted - at) / count
                    - elapsed,
                    0.0,
                )
            at += count
        return _UPPER_BOUNDS[-1] - elapsed


class RunTimeEstimates:
    """Running times by class, and how much longer or shorter those of a key are."""

    def __init__(self, guesses: list[float]) -> None:
        """`guesses`: seconds, one for each class."""
        self.classes = [RunTimes(g) for g in guesses]
        self._keys: OrderedDict[tuple[int, int], list[float]] = OrderedDict()

    def learn(self, job_class: int, key: int, seconds: float) -> None:
        """A job has run for so long at a box of usual pace."""
        runs = self.classes[job_class]
        ratio = min(max(seconds / max(runs.mean(), 1e-3), 0.1), 10.0)
        runs.add(seconds)
        if key:
            known = self._keys.pop((job_class, key), None) or [0.0, 1.0]
            known[0] = min(known[0] + 1.0, 20.0)
            known[1] += (ratio - known[1]) / known[0]
            self._keys[job_class, key] = known
            if len(self._keys) > MAX_KEYS:
                self._keys.popitem(last=False)

    def key_factor(self, job_class: int, key: int) -> float:
        """What a key's jobs take over the usual of their class."""
        known = self._keys.get((job_class, key))
        return (known[0] * known[1] + KEY_WEIGHT) / (known[0] + KEY_WEIGHT) if known else 1.0

    def remaining(self, job_class: int, key: int, elapsed: float, share: float) -> float:
        """Seconds until this share of such jobs, begun `elapsed` ago, have ended."""
        factor = self.key_factor(job_class, key)
        return factor * self.classes[job_class].remaining(elapsed / factor, share)

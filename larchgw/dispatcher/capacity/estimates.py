"""Run time estimates: an exponentially decaying histogram per class, adjusted by key."""

from __future__ import annotations

from collections import OrderedDict
from math import log

MIN_RUN, BUCKET_RATIO, BUCKETS = 0.01, 1.2, 56  # seconds; the last bucket begins at 227 s
SAMPLE_HALF_LIFE = 400  # number of newer samples after which a sample's weight has halved
MAX_KEYS = 1024  # keys kept; the least recently updated is evicted first
KEY_WEIGHT = 4.0  # samples at which a key's own ratio and the class estimate weigh the same
# In samples: weight of the initial guess in the mean. With fewer samples, `remaining` uses the guess alone.
PRIOR_WEIGHT = 5.0
_LOG_RATIO = log(BUCKET_RATIO)
_UPPER_BOUNDS = [MIN_RUN * BUCKET_RATIO ** (i + 1) for i in range(BUCKETS)]


def bucket(seconds: float) -> int:
    """Index of the histogram bucket for this run time."""
    if seconds <= MIN_RUN:
        return 0
    return min(int(log(seconds / MIN_RUN) / _LOG_RATIO), BUCKETS - 1)


class RunTimes:
    """Decaying histogram of one class's run times; each bucket is 20 % wider than the one before.

    HdrHistogram does not fit: its counts are integers and never decay, while a fleet's workload changes by
    the hour, and the query here is the remaining time of a run in progress.
    """

    __slots__ = ("counts", "total", "sum", "_prior", "_sample_weight")

    def __init__(self, guess: float) -> None:
        """`guess` is the run time in seconds to assume before any sample."""
        self.counts = [0.0] * BUCKETS
        self.total = self.sum = 0.0
        self._prior = guess
        self._sample_weight = 1.0  # weight of the next sample; growing it is cheaper than decaying all others

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
        """Effective number of samples after decay."""
        return self.total / self._sample_weight

    def mean(self) -> float:
        weight = PRIOR_WEIGHT * self._sample_weight
        return (self.sum + weight * self._prior) / (self.total + weight)

    def remaining(self, elapsed: float, share: float) -> float:
        """Seconds within which this share of the runs that have already lasted `elapsed` end.

        A run longer than all samples is expected to take as long again. It shows that the estimates are
        wrong, so a reservation must not rely on it ending at any moment.
        """
        if self.sample_count() < PRIOR_WEIGHT:
            return max(self._prior * 2.0 * share - elapsed, 0.5 * elapsed)
        first = bucket(elapsed) if elapsed > 0 else 0
        low = _UPPER_BOUNDS[first] / BUCKET_RATIO if first else 0.0
        # Only the part of the first bucket above `elapsed` remains.
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
    """Run time distributions by class, and the ratio of each key's run times to its class."""

    def __init__(self, guesses: list[float]) -> None:
        """`guesses` are initial run times in seconds, one for each class."""
        self.classes = [RunTimes(g) for g in guesses]
        self._keys: OrderedDict[tuple[int, int], list[float]] = OrderedDict()

    def learn(self, job_class: int, key: int, seconds: float) -> None:
        """Records a run time, normalized to a worker of typical speed."""
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
        """Ratio of the run times of a key's jobs to the mean of their class."""
        known = self._keys.get((job_class, key))
        return (known[0] * known[1] + KEY_WEIGHT) / (known[0] + KEY_WEIGHT) if known else 1.0

    def remaining(self, job_class: int, key: int, elapsed: float, share: float) -> float:
        """Seconds within which this share of such jobs, started `elapsed` ago, end."""
        factor = self.key_factor(job_class, key)
        return factor * self.classes[job_class].remaining(elapsed / factor, share)

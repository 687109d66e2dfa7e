"""Rates of requests by exponentially decayed sums. Pure: time is an argument (seconds, monotonic clock).

Two sums are kept of each stream of requests. The fast one follows a change within seconds, the slow one tells
rare streams apart from idle ones. The rate blends them by how many requests the fast one has seen: that of a
rare stream is noise.
"""

from __future__ import annotations

import math

FAST_TIME_CONSTANT_S = 3.0  # a change of demand is half seen after two seconds
SLOW_TIME_CONSTANT_S = 20.0  # a model asked for every 25 s is still told apart from an idle one
TRUSTED_REQUESTS = 1.0  # requests in the fast window from which the fast rate outweighs the slow one
MIN_AGE_S = 1.0  # a shorter time of observation counts as this
MIN_REQUESTS = 1e-9  # fewer remembered requests have no mean value


class DecayedSum:
    """A sum whose parts fade with a time constant."""

    __slots__ = ("_sum", "_time_constant_s", "_updated_at_s")

    def __init__(self, time_constant_s: float, now_s: float) -> None:
        """Makes an empty sum; what is added fades to 1/e in `time_constant_s`."""
        self._time_constant_s, self._updated_at_s, self._sum = time_constant_s, now_s, 0.0

    def add(self, now_s: float, amount: float) -> None:
        """Adds `amount` at `now_s`."""
        self._sum = self.value(now_s) + amount
        self._updated_at_s = max(now_s, self._updated_at_s)

    def value(self, now_s: float) -> float:
        """Returns what is left of all that was added."""
        return self._sum * math.exp(-max(now_s - self._updated_at_s, 0.0) / self._time_constant_s)


class RequestRate:
    """Rate and mean value of one stream of requests."""

    __slots__ = ("_fast", "_slow", "_value")

    def __init__(self, now_s: float) -> None:
        """Starts with no request seen."""
        self._fast = DecayedSum(FAST_TIME_CONSTANT_S, now_s)
        self._slow = DecayedSum(SLOW_TIME_CONSTANT_S, now_s)
        self._value = DecayedSum(SLOW_TIME_CONSTANT_S, now_s)

    def add(self, now_s: float, requests: int, value: float) -> None:
        """Counts requests and their values together."""
        self._fast.add(now_s, requests)
        self._slow.add(now_s, requests)
        self._value.add(now_s, value)

    def requests_per_s(self, now_s: float, observed_since_s: float) -> float:
        """Returns the expected rate, by observation since `observed_since_s`."""
        age_s = max(now_s - observed_since_s, MIN_AGE_S)
        fast = self._fast.value(now_s) / _window_s(FAST_TIME_CONSTANT_S, age_s)
        slow = self._slow.value(now_s) / _window_s(SLOW_TIME_CONSTANT_S, age_s)
        seen = max(fast, slow) * FAST_TIME_CONSTANT_S
        weight = seen / (seen + TRUSTED_REQUESTS)
        return weight * fast + (1.0 - weight) * slow

    def long_term_requests_per_s(self, now_s: float) -> float:
        """Returns the slow rate alone, as if observed for ever."""
        return self._slow.value(now_s) / SLOW_TIME_CONSTANT_S

    def mean_value(self, now_s: float) -> float:
        """Returns the mean value of a request; 1 where none is remembered."""
        requests = self._slow.value(now_s)
        return self._value.value(now_s) / requests if requests > MIN_REQUESTS else 1.0


def _window_s(time_constant_s: float, age_s: float) -> float:
    """Returns the seconds of requests that a decayed sum holds after `age_s`."""
    return time_constant_s * (1.0 - math.exp(-age_s / time_constant_s))

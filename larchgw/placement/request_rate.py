"""Request rates from exponentially decayed sums. Times are arguments, in seconds on the monotonic clock.

Each stream of requests has two sums. The fast one follows a change within seconds; the slow one distinguishes
rare streams from idle ones. The rate is a mean of both, weighted by the number of recent requests, since the
fast rate of a rare stream is mostly noise.
"""

from __future__ import annotations

import math

FAST_TIME_CONSTANT_S = 3.0  # reflects half of a change in demand after two seconds
SLOW_TIME_CONSTANT_S = 20.0  # distinguishes a model requested every 25 s from an idle one
FAST_RATE_MIN_REQUESTS = 1.0  # requests in the fast window above which the fast rate has the greater weight
MIN_AGE_S = 1.0  # lower bound of the observation time
MIN_REQUESTS = 1e-9  # below this decayed number of requests the mean value is undefined


class DecayedSum:
    """A sum that decays exponentially with a time constant."""

    __slots__ = ("_sum", "_time_constant_s", "_updated_at_s")

    def __init__(self, time_constant_s: float, now_s: float) -> None:
        """Creates an empty sum; each amount decays to 1/e within `time_constant_s`."""
        self._time_constant_s, self._updated_at_s, self._sum = time_constant_s, now_s, 0.0

    def add(self, now_s: float, amount: float) -> None:
        """Adds `amount` at `now_s`."""
        self._sum = self.value(now_s) + amount
        self._updated_at_s = max(now_s, self._updated_at_s)

    def value(self, now_s: float) -> float:
        """Returns the decayed sum at `now_s`."""
        return self._sum * math.exp(-max(now_s - self._updated_at_s, 0.0) / self._time_constant_s)


class RequestRate:
    """Rate and mean value of one stream of requests."""

    __slots__ = ("_fast", "_slow", "_value")

    def __init__(self, now_s: float) -> None:
        """Starts without requests."""
        self._fast = DecayedSum(FAST_TIME_CONSTANT_S, now_s)
        self._slow = DecayedSum(SLOW_TIME_CONSTANT_S, now_s)
        self._value = DecayedSum(SLOW_TIME_CONSTANT_S, now_s)

    def add(self, now_s: float, requests: int, value: float) -> None:
        """Adds requests and the sum of their values."""
        self._fast.add(now_s, requests)
        self._slow.add(now_s, requests)
        self._value.add(now_s, value)

    def requests_per_s(self, now_s: float, observed_since_s: float) -> float:
        """Returns the expected rate, based on observation since `observed_since_s`."""
        age_s = max(now_s - observed_since_s, MIN_AGE_S)
        fast = self._fast.value(now_s) / _window_s(FAST_TIME_CONSTANT_S, age_s)
        slow = self._slow.value(now_s) / _window_s(SLOW_TIME_CONSTANT_S, age_s)
        seen = max(fast, slow) * FAST_TIME_CONSTANT_S
        weight = seen / (seen + FAST_RATE_MIN_REQUESTS)
        return weight * fast + (1.0 - weight) * slow

    def long_term_requests_per_s(self, now_s: float) -> float:
        """Returns the slow rate alone, for an unlimited observation time."""
        return self._slow.value(now_s) / SLOW_TIME_CONSTANT_S

    def mean_value(self, now_s: float) -> float:
        """Returns the mean value of a request; 1 if there were no recent requests."""
        requests = self._slow.value(now_s)
        return self._value.value(now_s) / requests if requests > MIN_REQUESTS else 1.0


def _window_s(time_constant_s: float, age_s: float) -> float:
    """Returns the effective length of the window of a decayed sum after `age_s`."""
    return time_constant_s * (1.0 - math.exp(-age_s / time_constant_s))

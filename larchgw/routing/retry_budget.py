"""This dispatcher's share of the retry budget, which limits attempts after the first one of each request.

The limit holds over all dispatchers: in any window of `retry_window_s`, a service receives at most
`retry_ratio` x requests + `retry_extra` retries. Here "requests" is the largest of three counts: in the
window itself, in the window before it, and in the window that ends half a window earlier.

Each dispatcher keeps to its share without coordination. The ratio applies to its own requests: a retry at
time s lies in all windows that end from s to s + W, and the ratio uses the lowest count that any of these
windows can have, so that it does not rely on future requests. `retry_extra` is divided by the highest number
of dispatchers seen recently, since a partitioned dispatcher still spends its share.

Fractional shares of `retry_extra` are not lost. Each dispatcher rounds by its own phase, which starts at
random and advances slowly, so that at any time the right fraction of dispatchers may send one more retry,
and each dispatcher may do so in turn. The phase does not depend on demand; otherwise dispatchers could save
up unused retries and spend them all at once. The sum of these roundings is random, so twice its standard
deviation, which is at most the square root of the number of dispatchers, is subtracted from the budget.
Shares of one or more are rounded down.

Source: the deployment rule RETRY; "Site Reliability Engineering" (Beyer et al. 2016), chapter 21.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections import deque
from random import Random

from ..configuration.settings import TimeLimits

# Share of the budget that is used. The rest allows for uneven traffic between dispatchers and for rounding.
USABLE_SHARE = 0.8
STEPS = 16  # steps into which a window is divided to find the lowest request count
PHASE_WINDOWS = 50.0  # period of the rounding phase, in windows
STARTUP_S = 5.0  # after the start, membership may not have found the other dispatchers yet
START_DISPATCHERS = 32  # number of dispatchers that is assumed during that time
# Limit on the share of `retry_extra` during that time: more dispatchers than assumed may start at once.
MAX_STARTUP_RETRIES = 1.0
RECENT_WINDOWS = 3.0  # number of windows for which the highest number of dispatchers is remembered


class _Traffic:
    """Times of requests and retries at one service, oldest first."""

    def __init__(self) -> None:
        self.requests: list[float] = []
        self.retries: deque[float] = deque()

    def trim(self, oldest_request: float, oldest_retry: float) -> None:
        """Removes times that are too old for any window."""
        first = bisect_right(self.requests, oldest_request)
        if first > 64 and first * 2 > len(self.requests):
            del self.requests[:first]
        while self.retries and self.retries[0] <= oldest_retry:
            self.retries.popleft()

    def between(self, start: float, end: float) -> int:
        """Returns the number of requests in (start, end]."""
        return max(0, bisect_right(self.requests, end) - bisect_right(self.requests, start))


class RetryBudget:
    """Counts requests and retries by service, and limits retries to this dispatcher's share."""

    def __init__(self, limits: TimeLimits, random: Random) -> None:
        """Starts with empty counts.

        Args:
            limits: Provides `retry_window_s`, `retry_ratio` and `retry_extra`.
            random: Draws this dispatcher's initial rounding phase.
        """
        self._window = limits.retry_window_s
        self._ratio = limits.retry_ratio
        self._extra = limits.retry_extra
        self._initial_phase = random.random()
        self._started: float | None = None
        self._services: dict[str, _Traffic] = {}
        self._peak_dispatchers = 0
        self._peak_dispatchers_until = -math.inf

    def record_request(self, now: float, service: str) -> None:
        """Records a client's request for the service."""
        traffic = self._traffic(now, service)
        traffic.requests.append(now)
        traffic.trim(now - 2.0 * self._window, now - self._window)

    def record_retry(self, now: float, service: str) -> None:
        """Records that a retry was sent. A retry whose connection failed does not count."""
        self._traffic(now, service).retries.append(now)

    def may_retry(self, now: float, service: str, dispatchers: int) -> bool:
        """Returns whether one more retry now is within this dispatcher's share."""
        return self.remaining(now, service, dispatchers) > 0

    def remaining(self, now: float, service: str, dispatchers: int) -> int:
        """Returns the number of retries left in this dispatcher's share; negative if the share has shrunk."""
        traffic = self._traffic(now, service)
        traffic.trim(now - 2.0 * self._window, now - self._window)
        dispatchers = self._assumed_dispatchers(now, dispatchers)
        by_ratio = USABLE_SHARE * self._ratio * self._min_counted_requests(now, traffic)
        extra_share = USABLE_SHARE * self._extra / dispatchers
        if self._is_starting(now):
            extra_share = min(extra_share, MAX_STARTUP_RETRIES)
        allowed = math.floor(by_ratio + extra_share)
        if extra_share < 1.0:
            rounded = (USABLE_SHARE * self._extra - math.sqrt(dispatchers)) / dispatchers
            allowed = (
                math.floor(by_ratio + rounded + self._rounding_phase(now)) if rounded > 0.0 else int(by_ratio)
            )
        return allowed - len(traffic.retries)

    def remaining_by_service(self, now: float, dispatchers: int) -> dict[str, int]:
        """Returns `remaining` of each service that was requested, for status output; affects no decision."""
        return {service: self.remaining(now, service, dispatchers) for service in self._services}

    def _traffic(self, now: float, service: str) -> _Traffic:
        if self._started is None:
            self._started = now
        return self._services.setdefault(service, _Traffic())

    def _rounding_phase(self, now: float) -> float:
        """Returns the current rounding phase, in [0, 1)."""
        return (self._initial_phase + now / (self._window * PHASE_WINDOWS)) % 1.0

    def _assumed_dispatchers(self, now: float, seen: int) -> int:
        """Returns the highest recent number of dispatchers, at least START_DISPATCHERS during startup."""
        if seen >= self._peak_dispatchers or now >= self._peak_dispatchers_until:
            self._peak_dispatchers = seen
            self._peak_dispatchers_until = now + RECENT_WINDOWS * self._window
        return max(1, self._peak_dispatchers, START_DISPATCHERS if self._is_starting(now) else 0)

    def _is_starting(self, now: float) -> bool:
        """Whether membership may not have found all other dispatchers yet."""
        return self._started is None or now < self._started + STARTUP_S

    def _min_counted_requests(self, now: float, traffic: _Traffic) -> int:
        """Returns the lowest request count of any window that ends in [now, now + W].

        For each step of end times, only requests that lie in all windows ending in that step are counted.
        """
        window, step = self._window, self._window / STEPS
        min_counted = None
        for index in range(STEPS):
            earliest_end, latest_end = now + index * step, now + (index + 1) * step
            counted = max(
                traffic.between(latest_end - window * (1.0 + shift), earliest_end - window * shift)
                for shift in (0.0, 0.5, 1.0)
            )
            min_counted = counted if min_counted is None else min(min_counted, counted)
        return min_counted or 0

"""This dispatcher's share of the retry budget: attempts beyond the first of each request.

The rule, over all dispatchers: within any window of `retry_window_s`, arrivals at a service beyond the first
of each request are at most `retry_ratio` x requests + `retry_extra`, where requests are those of that window,
of the one before it, or of the one half a window earlier, whichever are most.

The share is kept without coordination. By its own requests: a retry at s lies in windows that end at s to
s + W, and the ratio is taken of the fewest requests that any of these windows can count, so what has not come
yet is not relied upon. By the number of dispatchers: `retry_extra` is divided by the most that were seen
lately, since a dispatcher that is partitioned still spends its share.

Shares of `retry_extra` below one are not lost: each dispatcher rounds by a phase of its own that starts at
random and moves slowly, so at each time the right share of the dispatchers may make one retry more, and all
have their turn. The phase doesn't depend on demand, so that no idle time is saved up and spent by all at
once. The sum of such roundings is random; twice its standard deviation, at most the root of the number of
dispatchers, is set aside. Larger shares are rounded down.

Source: the rule RETRY of the rules page; "Site Reliability Engineering" (Beyer et al. 2016), chapter 21.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections import deque
from random import Random

from ..configuration.settings import TimeLimits

# Of the budget, that is spent: the rest is for dispatchers whose traffic differs, and for rounding.
SPENT_SHARE = 0.8
STEPS = 16  # steps of a window in which the fewest requests are looked for
PHASE_WINDOWS = 50.0  # period of the phase, in windows
START_S = 5.0  # until then membership may not have found the others
START_DISPATCHERS = 32  # assumed until then
# Of `retry_extra` until then, in retries: more dispatchers than assumed may start at once.
MAX_START_SHARE = 1.0
RECENT_WINDOWS = 3.0  # windows for which a higher number of dispatchers is remembered


class _Traffic:
    """Times of requests and of retries at one service, oldest first."""

    def __init__(self) -> None:
        self.requests: list[float] = []
        self.retries: deque[float] = deque()

    def trim(self, oldest_request: float, oldest_retry: float) -> None:
        """Forgets what no window reaches."""
        first = bisect_right(self.requests, oldest_request)
        if first > 64 and first * 2 > len(self.requests):
            del self.requests[:first]
        while self.retries and self.retries[0] <= oldest_retry:
            self.retries.popleft()

    def between(self, start: float, end: float) -> int:
        """Requests in (start, end]."""
        return max(0, bisect_right(self.requests, end) - bisect_right(self.requests, start))


class RetryBudget:
    """Counts requests and retries by service, and says whether one more retry is within the share."""

    def __init__(self, limits: TimeLimits, random: Random) -> None:
        """Begins with nothing counted.

        Args:
            limits: The deployment's bounds: `retry_window_s`, `retry_ratio`, `retry_extra`.
            random: Draws the phase of this dispatcher's rounding.
        """
        self._window = limits.retry_window_s
        self._ratio = limits.retry_ratio
        self._extra = limits.retry_extra
        self._phase = random.random()
        self._started: float | None = None
        self._services: dict[str, _Traffic] = {}
        self._peak_dispatchers = 0
        self._peak_dispatchers_until = -math.inf

    def record_request(self, now: float, service: str) -> None:
        """A client's request for the service has come."""
        traffic = self._traffic(now, service)
        traffic.requests.append(now)
        traffic.trim(now - 2.0 * self._window, now - self._window)

    def record_retry(self, now: float, service: str) -> None:
        """A retry was sent. One whose connection never came up does not count."""
        self._traffic(now, service).retries.append(now)

    def may_retry(self, now: float, service: str, dispatchers: int) -> bool:
        """Whether one more retry now is within this dispatcher's share."""
        return self.remaining(now, service, dispatchers) > 0

    def remaining(self, now: float, service: str, dispatchers: int) -> int:
        """How many retries are within this dispatcher's share now; below 0 where the share has shrunk."""
        traffic = self._traffic(now, service)
        traffic.trim(now - 2.0 * self._window, now - self._window)
        dispatchers = self._assumed_dispatchers(now, dispatchers)
        by_ratio = SPENT_SHARE * self._ratio * self._fewest(now, traffic)
        of_extra = SPENT_SHARE * self._extra / dispatchers
        if self._starting(now):
            of_extra = min(of_extra, MAX_START_SHARE)
        allowed = math.floor(by_ratio + of_extra)
        if of_extra < 1.0:
            rounded = (SPENT_SHARE * self._extra - math.sqrt(dispatchers)) / dispatchers
            allowed = math.floor(by_ratio + rounded + self._turn(now)) if rounded > 0.0 else int(by_ratio)
        return allowed - len(traffic.retries)

    def remaining_by_service(self, now: float, dispatchers: int) -> dict[str, int]:
        """`remaining` of each service that was asked for, to be shown; changes nothing that is decided."""
        return {service: self.remaining(now, service, dispatchers) for service in self._services}

    def _traffic(self, now: float, service: str) -> _Traffic:
        if self._started is None:
            self._started = now
        return self._services.setdefault(service, _Traffic())

    def _turn(self, now: float) -> float:
        """This dispatcher's rounding, in [0, 1)."""
        return (self._phase + now / (self._window * PHASE_WINDOWS)) % 1.0

    def _assumed_dispatchers(self, now: float, seen: int) -> int:
        """The most dispatchers seen lately, and no fewer than assumed at the start."""
        if seen >= self._peak_dispatchers or now >= self._peak_dispatchers_until:
            self._peak_dispatchers = seen
            self._peak_dispatchers_until = now + RECENT_WINDOWS * self._window
        return max(1, self._peak_dispatchers, START_DISPATCHERS if self._starting(now) else 0)

    def _starting(self, now: float) -> bool:
        """Whether membership may not have found the others yet."""
        return self._started is None or now < self._started + START_S

    def _fewest(self, now: float, traffic: _Traffic) -> int:
        """The fewest requests that count in any window which ends in [now, now + W].

        For each step of ends, counted are the requests that lie in all windows that end in it.
        """
        window, step = self._window, self._window / STEPS
        fewest = None
        for index in range(STEPS):
            early, late = now + index * step, now + (index + 1) * step
            most = max(
                traffic.between(late - window * (1.0 + before), early - window * before)
                for before in (0.0, 0.5, 1.0)
            )
            fewest = most if fewest is None else min(fewest, most)
        return fewest or 0

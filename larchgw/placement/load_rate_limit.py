"""Sliding-window limit on loads from the weight store.

Times are arguments, in seconds on the monotonic clock. In any window of `window_s`, at most
loads_per_s x window_s x rate_factor + 3 loads may start. The start of an ordered load is known only to lie
between sending the order and seeing its outcome. Each load counts until one window after its outcome was
seen. All loads that count when an order is sent were ordered no later than it, so no window can contain more
loads than were counted together, regardless of message delays.
"""

from __future__ import annotations

import math
from collections.abc import Set
from dataclasses import dataclass

from ..identifiers import RunnerId

EXTRA_LOADS = 3  # loads that a window may contain in addition to the rate
MARGIN_SHARE = 0.1  # of the limit, at least one load; reserved for loads of a predecessor that were not seen


@dataclass(frozen=True, slots=True)
class LoadHistory:
    """Known loads that predecessors ordered.

    Attributes:
        complete_since_s: Every load that may have started after this time is in `begun_by_s`.
        begun_by_s: For each load, the latest time at which it may have started.
    """

    complete_since_s: float
    begun_by_s: tuple[float, ...]


class LoadRateLimiter:
    """Sliding-window limit on loads from the weight store.

    The limit is the deployment rule COST; `loads_per_s` comes from the configuration.

    Attributes:
        has_complete_history: Whether all loads of predecessors are counted, so that none has to be assumed.
    """

    def __init__(self, loads_per_s: float, window_s: float, rate_factor: float) -> None:
        """Starts with an empty window.

        Args:
            loads_per_s: The store's rate.
            window_s: Length of the window.
            rate_factor: Factor by which loads in a window may exceed the rate.
        """
        self._window_s, self._rate_factor = window_s, rate_factor
        self._limit = 1
        self._reserved_at: dict[RunnerId, float] = {}  # send times of orders whose outcome was not seen
        self._begun_by: list[float] = []  # latest times at which loads may have started
        self._exhausted_until = -math.inf
        self.has_complete_history = False
        self.set_rate(loads_per_s)

    def set_rate(self, loads_per_s: float) -> None:
        """Sets the store's rate."""
        allowed = math.floor(loads_per_s * self._window_s * self._rate_factor + EXTRA_LOADS + 1e-9)
        self._limit = max(allowed - max(1, math.floor(allowed * MARGIN_SHARE)), 1)

    @property
    def limit(self) -> int:
        """Maximum number of loads that this process starts in a window."""
        return self._limit

    def available(self, now_s: float) -> int:
        """Returns how many loads may be ordered at `now_s`; negative after the rate was lowered."""
        if now_s <= self._exhausted_until:
            return 0
        self._begun_by = [at for at in self._begun_by if at + self._window_s >= now_s]
        return self._limit - len(self._begun_by) - len(self._reserved_at)

    def reserved_runner_ids(self) -> Set[RunnerId]:
        """Returns the runners at which an ordered load may still start."""
        return self._reserved_at.keys()

    def reserve(self, now_s: float, runner_id: RunnerId) -> None:
        """Counts a load whose order is about to be sent; it may start from now on."""
        if runner_id in self._reserved_at:
            self.confirm(now_s, runner_id)
        self._reserved_at[runner_id] = now_s

    def confirm(self, now_s: float, runner_id: RunnerId) -> None:
        """Ends a reservation whose load has started or never will; it cannot start later than now."""
        if self._reserved_at.pop(runner_id, None) is not None:
            self._begun_by.append(now_s)

    def release(self, runner_id: RunnerId) -> None:
        """Cancels a reservation whose order was not accepted and never will be."""
        self._reserved_at.pop(runner_id, None)

    def observe_loads(self, now_s: float, loads: int = 1) -> None:
        """Counts loads that another process ordered and that started at `now_s` at the latest."""
        self._begun_by.extend([now_s] * min(loads, self._limit))

    def adopt(self, now_s: float, history: LoadHistory) -> None:
        """Replaces the observed loads of predecessors by the history of their orders.

        No load is allowed until the history covers one whole window.
        """
        self._begun_by = list(history.begun_by_s)
        self._exhausted_until = history.complete_since_s + self._window_s
        self.has_complete_history = now_s > self._exhausted_until

    def assume_exhausted(self, now_s: float) -> None:
        """Allows no load for one window, since a predecessor may have used the whole budget until now."""
        self._exhausted_until = now_s + self._window_s

    def assume_unused(self) -> None:
        """Ends the effect of `assume_exhausted`, since no predecessor has sent any orders."""
        self._exhausted_until = -math.inf

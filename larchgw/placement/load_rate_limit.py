"""How many loads from the weight store may begin now. Pure: time is an argument (seconds, monotonic clock).

The store's limit slides: in any window of `window_s`, no more than loads_per_s x window_s x rate_factor + 3
loads may begin. When an ordered load begins is known only within a span: after its order was sent, and before
its outcome was seen. Each load counts until one window after the end of that span, and an order that is sent
now is the last of those counted to have been sent; so no window can hold more loads than were counted
together, whatever the delays on the way.
"""

from __future__ import annotations

import math
from collections.abc import Set
from dataclasses import dataclass

from ..identifiers import RunnerId

EXTRA_LOADS = 3  # that the rule allows in a window on top of the rate
MARGIN_SHARE = 0.1  # of the limit, kept back for loads that a predecessor began unseen; one at least


@dataclass(frozen=True, slots=True)
class LoadHistory:
    """Loads that were ordered before, as far as it is known.

    Attributes:
        complete_since_s: Every load that can have begun later is among `begun_by_s`.
        begun_by_s: For each load, the latest time at which it can have begun.
    """

    complete_since_s: float
    begun_by_s: tuple[float, ...]


class LoadRateLimiter:
    """Sliding-window limit on loads from the weight store.

    Source: the rule COST of the rules; `loads_per_s` of the configuration.

    Attributes:
        has_complete_history: Whether all loads of predecessors are counted: none needs to be guessed at.
    """

    def __init__(self, loads_per_s: float, window_s: float, rate_factor: float) -> None:
        """Makes a limiter whose window is empty.

        Args:
            loads_per_s: The store's rate.
            window_s: Length of the window.
            rate_factor: Loads that a window may hold, over the rate.
        """
        self._window_s, self._rate_factor = window_s, rate_factor
        self._limit = 1
        self._reserved_at: dict[RunnerId, float] = {}  # when its order was sent; outcome not seen
        self._begun_by: list[float] = []  # latest times at which loads can have begun
        self._exhausted_until = -math.inf
        self.has_complete_history = False
        self.set_rate(loads_per_s)

    def set_rate(self, loads_per_s: float) -> None:
        """Changes the store's rate from now on."""
        allowed = math.floor(loads_per_s * self._window_s * self._rate_factor + EXTRA_LOADS + 1e-9)
        self._limit = max(allowed - max(1, math.floor(allowed * MARGIN_SHARE)), 1)

    @property
    def limit(self) -> int:
        """Loads that this process begins in a window at most."""
        return self._limit

    def available(self, now_s: float) -> int:
        """Returns how many loads may be ordered at `now_s`; below zero after the rate was lowered."""
        if now_s <= self._exhausted_until:
            return 0
        self._begun_by = [at for at in self._begun_by if at + self._window_s >= now_s]
        return self._limit - len(self._begun_by) - len(self._reserved_at)

    def reserved_runner_ids(self) -> Set[RunnerId]:
        """Returns the runners at which an ordered load may yet begin."""
        return self._reserved_at.keys()

    def reserve(self, now_s: float, runner_id: RunnerId) -> None:
        """Counts a load whose order is about to be sent: it may begin from now on."""
        if runner_id in self._reserved_at:
            self.confirm(now_s, runner_id)
        self._reserved_at[runner_id] = now_s

    def confirm(self, now_s: float, runner_id: RunnerId) -> None:
        """Ends a reservation whose load has begun, or never will: it can not begin later than now."""
        if self._reserved_at.pop(runner_id, None) is not None:
            self._begun_by.append(now_s)

    def release(self, runner_id: RunnerId) -> None:
        """Gives a reservation back: the order was not taken and never will be."""
        self._reserved_at.pop(runner_id, None)

    def observe_loads(self, now_s: float, loads: int = 1) -> None:
        """Counts loads that another process ordered, begun at `now_s` at the latest."""
        self._begun_by.extend([now_s] * min(loads, self._limit))

    def adopt(self, now_s: float, history: LoadHistory) -> None:
        """Counts the loads that predecessors ordered, in place of what was observed of them.

        While the history does not reach back one window, nothing is allowed.
        """
        self._begun_by = list(history.begun_by_s)
        self._exhausted_until = history.complete_since_s + self._window_s
        self.has_complete_history = now_s > self._exhausted_until

    def assume_exhausted(self, now_s: float) -> None:
        """Allows nothing for one window: a predecessor may have used all of it until now."""
        self._exhausted_until = now_s + self._window_s

    def assume_unused(self) -> None:
        """Ends `assume_exhausted`: it is known that no predecessor has ordered anything."""
        self._exhausted_until = -math.inf

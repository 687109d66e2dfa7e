"""How many loads from the weight store may begin now. Pure.

The store's bound slides: in any window of `window_s`, no more than loads_per_s x window_s x cap + 3 loads may
begin. When
an order begins to load is known only within a span: after it was sent, and before its outcome was seen. Each
load counts
until a window after the end of that span, and the one just sent is the last of them to be sent; so no window
can hold
more than were counted together, whatever the delays on the way.
"""

from __future__ import annotations

import math

BOUND_EXTRA = 3  # loads that the rule allows on top of the rate
MARGIN_SHARE = 0.1  # of the bound, kept back for loads that a predecessor began unseen; one at least


class LoadCeiling:
    """A sliding window over loads from the store."""

    def __init__(self, loads_per_s: float, window_s: float, cap: float) -> None:
        self._window, self._cap = window_s, cap
        self._limit = 1
        self._open: dict[str, float] = {}  # runner -> when its order was sent
        self._settled: list[float] = []  # latest times at which loads can have begun
        self._full_until = -math.inf
        self.set_rate(loads_per_s)

    def set_rate(self, loads_per_s: float) -> None:
        """The store's rate is another from now on."""
        bound = math.floor(loads_per_s * self._window * self._cap + BOUND_EXTRA + 1e-9)
        self._limit = max(bound - max(1, math.floor(bound * MARGIN_SHARE)), 1)

    @property
    def limit(self) -> int:
        """Loads that this placer begins in a window at most."""
        return self._limit

    def room(self, now: float) -> int:
        """Loads that may be ordered now."""
        if now <= self._full_until:
            return 0
        self._settled = [at for at in self._settled if at + self._window >= now]
        return self._limit - len(self._settled) - len(self._open)

    def sent(self, now: float, runner: str) -> None:
        """An order to load is being sent; it may begin from now on."""
        if runner in self._open:
            self.settled(now, runner)
        self._open[runner] = now

    def settled(self, now: float, runner: str) -> None:
        """The load has begun, or never will: it can not begin later than now."""
        if self._open.pop(runner, None) is not None:
            self._settled.append(now)

    def cancelled(self, runner: str) -> None:
        """The order was not taken and never will be."""
        self._open.pop(runner, None)

    def observed(self, now: float, loads: int = 1) -> None:
        """Loads that another placer ordered, begun at `now` at the latest."""
        self._settled.extend([now] * min(loads, self._limit))

    def assume_full(self, now: float) -> None:
        """A predecessor may have used all of the window until now: nothing may begin before it has passed."""
        self._full_until = now + self._window

    def assume_nothing(self) -> None:
        """It is known that no predecessor has ordered anything."""
        self._full_until = -math.inf

"""Clients that were told to come back once a load has ended: until then they count as waiting for it."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from ..routing.interface import ModelKey, RequestTraits


@dataclass(frozen=True, slots=True)
class AwaitedLoad:
    """A request, here or about to come back, that waits for a model or adapter to be loaded.

    Attributes:
        key: What it asks for.
        deadline_at: When it is of no use any more, in seconds of the monotonic clock.
    """

    key: ModelKey
    deadline_at: float


class ExpectedReturns:
    """Requests that were rejected and have not come back yet.

    A second try reaches another dispatcher as often as not, so that none is taken off when one comes: each
    counts until the time at which its client was told to come back.
    """

    def __init__(self) -> None:
        """Begins with none."""
        self._returns: deque[tuple[float, AwaitedLoad]] = deque()

    def add(self, now: float, traits: RequestTraits, retry_after_s: float) -> None:
        """A client was told to come back after so many seconds."""
        # Here as well as in `pending`: nobody asks for them while there is no placer.
        while self._returns and self._returns[0][0] <= now:
            self._returns.popleft()
        # Its own deadline and not an earlier one: placement gives up loads that end after it.
        self._returns.append((now + retry_after_s, AwaitedLoad(traits.key, traits.deadline_at)))

    def pending(self, now: float) -> list[AwaitedLoad]:
        """Returns those that are still to come back."""
        self._returns = deque(entry for entry in self._returns if entry[0] > now)
        return [awaited for _, awaited in self._returns]

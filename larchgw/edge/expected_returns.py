"""Clients told to retry after a model load: they count as waiting for it until then."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from ..routing.interface import ModelKey, RequestTraits


@dataclass(frozen=True, slots=True)
class AwaitedLoad:
    """A request, queued here or to be retried, that waits for a model or adapter to be loaded.

    Attributes:
        key: The requested model.
        deadline_at: The deadline of the request, in seconds of the monotonic clock.
    """

    key: ModelKey
    deadline_at: float


class ExpectedReturns:
    """Rejected requests that are expected to be retried.

    A retry often reaches another dispatcher, so an arriving retry does not remove an entry. Each entry counts
    until its client was told to retry.
    """

    def __init__(self) -> None:
        """Starts with no entries."""
        self._returns: deque[tuple[float, AwaitedLoad]] = deque()

    def add(self, now: float, traits: RequestTraits, retry_after_s: float) -> None:
        """Records that a client was told to retry after `retry_after_s`."""
        # Also removed here, because `pending` is not called while there is no placer.
        while self._returns and self._returns[0][0] <= now:
            self._returns.popleft()
        # Keeps the original deadline, since placement abandons loads that end after it.
        self._returns.append((now + retry_after_s, AwaitedLoad(traits.key, traits.deadline_at)))

    def pending(self, now: float) -> list[AwaitedLoad]:
        """Returns the requests still to be retried."""
        self._returns = deque(entry for entry in self._returns if entry[0] > now)
        return [awaited for _, awaited in self._returns]

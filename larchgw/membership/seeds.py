"""Schedule of requests to seeds. A seed is an address to contact and not necessarily a member."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random

from .settings import SwimSettings

BACKOFF_FACTOR = 1.5


class Seeds:
    """Seeds, contacted in turn: with backoff while no other member is known, otherwise at a long interval.

    Seeds that are members are skipped. Times are seconds on the monotonic clock.
    """

    def __init__(self, settings: SwimSettings, random_source: Random) -> None:
        """Starts without seeds; `random_source` determines their order and the pauses."""
        self._settings = settings
        self._random_source = random_source
        self._addresses: list[str] = []
        self._next = 0
        self._period_s = settings.min_join_period_s
        self._due_at: float | None = None  # chosen by the next call of `next_due`

    def replace(self, addresses: Sequence[str]) -> None:
        """Replaces the seeds. If they have changed, they are contacted at once."""
        unique = list(dict.fromkeys(addresses))
        if sorted(unique) == sorted(self._addresses):
            return
        self._random_source.shuffle(unique)
        self._addresses = unique
        self._next = 0
        self._period_s = self._settings.min_join_period_s
        self._due_at = None

    def next_due(self, now: float, is_alone: bool, is_member: Callable[[str], bool]) -> str | None:
        """Returns the seed to contact now, if any.

        Args:
            now: Current time.
            is_alone: Whether no other member is known.
            is_member: Whether a present member has a given address, which is skipped then.
        """
        if self._due_at is None:  # jitter, so that processes started together do not all ask at once
            self._due_at = now + self._random_source.uniform(0.0, self._settings.min_join_period_s)
        if now < self._due_at:
            return None
        address = self._next_absent(is_member)
        if is_alone:
            self._schedule_next(now, self._period_s)
            self._period_s = min(self._period_s * BACKOFF_FACTOR, self._settings.max_join_period_s)
        else:
            self._period_s = self._settings.min_join_period_s
            self._schedule_next(now, self._settings.seed_period_s)
        return address

    def _next_absent(self, is_member: Callable[[str], bool]) -> str | None:
        for _ in self._addresses:
            address = self._addresses[self._next % len(self._addresses)]
            self._next += 1
            if not is_member(address):
                return address
        return None

    def _schedule_next(self, now: float, period_s: float) -> None:
        self._due_at = now + period_s * self._random_source.uniform(0.5, 1.5)

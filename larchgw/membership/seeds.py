"""When to turn to a seed. A seed is an address to ask, not a member."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random

from .settings import SwimSettings

BACKOFF = 1.5


class Seeds:
    """Asked in turn with backoff while nobody is known, and now and then those that are not members."""

    def __init__(self, settings: SwimSettings, random: Random) -> None:
        self._settings = settings
        self._random = random
        self._addresses: list[str] = []
        self._next = 0
        self._period = settings.min_join_period_s
        self._due_at: float | None = None  # not before the first turn has drawn it

    def set(self, addresses: Sequence[str]) -> None:
        """Replaces the seeds. Where these are others than before, they are asked at once."""
        wanted = list(dict.fromkeys(addresses))
        if sorted(wanted) == sorted(self._addresses):
            return
        self._random.shuffle(wanted)
        self._addresses = wanted
        self._next = 0
        self._period = self._settings.min_join_period_s
        self._due_at = None

    def due(self, now: float, alone: bool, is_member: Callable[[str], bool]) -> str | None:
        """The seed to ask now, if any."""
        if self._due_at is None:  # processes started together must not ask all at once
            self._due_at = now + self._random.uniform(0.0, self._settings.min_join_period_s)
        if now < self._due_at:
            return None
        address = self._turn(is_member)
        if alone:
            self._wait(now, self._period)
            self._period = min(self._period * BACKOFF, self._settings.max_join_period_s)
        else:
            self._period = self._settings.min_join_period_s
            self._wait(now, self._settings.seed_period_s)
        return address

    def _turn(self, is_member: Callable[[str], bool]) -> str | None:
        for _ in self._addresses:
            address = self._addresses[self._next % len(self._addresses)]
            self._next += 1
            if not is_member(address):
                return address
        return None

    def _wait(self, now: float, period: float) -> None:
        self._due_at = now + period * self._random.uniform(0.5, 1.5)

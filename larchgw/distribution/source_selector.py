"""Which control process to pull from next.

Pure: time comes in as an argument, randomness is a seeded generator.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from .pull_settings import PullSettings


@dataclass(frozen=True, slots=True)
class Source:
    """Pull from this address after a pause of so many seconds."""

    address: str
    pause_s: float


class SourceSelector:
    """Stays with one process while it serves; tries every other one before it comes back to one that did not.

    After a round in which no process served comes a pause that doubles up to a bound, with jitter. A process
    of the same zone is preferred, and looked for again some time after another one was selected.
    """

    def __init__(
        self,
        settings: PullSettings,
        random_source: random.Random,
        is_near: Callable[[str], bool] | None = None,
    ) -> None:
        """Starts without a current source; `is_near` says of an address whether it is in the same zone."""
        self._settings = settings
        self._random_source = random_source
        self._is_near = is_near or (lambda address: False)
        self._current = ""
        self._selected_at = 0.0
        self._failed_in_round: set[str] = set()
        self._failed_rounds = 0
        self._has_started = False

    @property
    def current(self) -> str:
        """The process that served last; empty if it no longer does."""
        return self._current

    def choose(self, now: float, addresses: Sequence[str], fallback: Sequence[str] = ()) -> Source | None:
        """Returns whom to ask next.

        Args:
            now: Seconds on a clock that does not go back.
            addresses: The control processes known now.
            fallback: Addresses that are tried after all others.

        Returns:
            The source, or None while no address is known.
        """
        if self._keeps_current(now, addresses):
            return Source(self._current, 0.0)
        self._current = ""
        known = list(dict.fromkeys([*addresses, *fallback]))
        if not known:
            return None
        untried = [address for address in known if address not in self._failed_in_round]
        pause_s = self._first_pause_s()
        if not untried:
            untried, self._failed_in_round = known, set()
            pause_s = self._backoff_s()
        preferred = [address for address in untried if address in addresses] or untried
        near = [address for address in preferred if self._is_near(address)]
        return Source(self._random_source.choice(near or preferred), pause_s)

    def record_success(self, now: float, address: str) -> None:
        """Notes that it has answered, and is not cut off from the majority."""
        if address != self._current:
            self._current, self._selected_at = address, now
        self._failed_in_round.clear()
        self._failed_rounds = 0

    def record_failure(self, address: str) -> None:
        """Notes that it gave no answer, or said that it is cut off from the majority."""
        self._failed_in_round.add(address)
        self._current = ""

    def _keeps_current(self, now: float, addresses: Sequence[str]) -> bool:
        if not self._current:
            return False
        if self._is_near(self._current) or now - self._selected_at < self._settings.zone_recheck_s:
            return True
        self._selected_at = now + self._random_source.random() * self._settings.zone_recheck_s
        return not any(self._is_near(address) for address in addresses)

    def _first_pause_s(self) -> float:
        if self._has_started:
            return 0.0
        self._has_started = True
        return self._random_source.random() * self._settings.start_jitter_s

    def _backoff_s(self) -> float:
        longest_s = min(self._settings.min_backoff_s * 2.0**self._failed_rounds, self._settings.max_backoff_s)
        self._failed_rounds += 1
        return longest_s * self._random_source.uniform(0.5, 1.0)

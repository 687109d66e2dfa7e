"""Selection of the control process to pull from.

Deterministic and without I/O: the time is an argument and the random generator is passed in.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from .pull_settings import PullSettings


@dataclass(frozen=True, slots=True)
class Source:
    """The address to pull from, and the pause before the pull in seconds."""

    address: str
    pause_s: float


class SourceSelector:
    """Keeps using one process while it serves; after a failure, tries all others before it returns to it.

    A round in which no process served is followed by a pause with jitter, which doubles up to a limit. A
    process in the same zone is preferred; while another one is in use, this is checked again periodically.
    """

    def __init__(
        self,
        settings: PullSettings,
        random_source: random.Random,
        is_near: Callable[[str], bool] | None = None,
    ) -> None:
        """Starts without a current source; `is_near` tells whether an address is in the same zone."""
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
        """Address of the process in use; empty if there is none."""
        return self._current

    def choose(self, now: float, addresses: Sequence[str], fallback: Sequence[str] = ()) -> Source | None:
        """Returns the source to pull from next.

        Args:
            now: Time in seconds on a monotonic clock.
            addresses: The currently known control processes.
            fallback: Addresses to try after all others.

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
        """Records that the process has answered and is not isolated from the majority."""
        if address != self._current:
            self._current, self._selected_at = address, now
        self._failed_in_round.clear()
        self._failed_rounds = 0

    def record_failure(self, address: str) -> None:
        """Records that the process did not answer, or reported that it is isolated from the majority."""
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
        backoff_s = min(self._settings.min_backoff_s * 2.0**self._failed_rounds, self._settings.max_backoff_s)
        self._failed_rounds += 1
        return backoff_s * self._random_source.uniform(0.5, 1.0)

"""Which control process to pull from next. Pure: time comes in as an argument, randomness is a seeded
generator.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

from ..configuration.settings import TimeLimits

WAIT_SHARE = 0.25  # of the time within which news must be in force: how long one pull waits
SILENCE_SHARE = 0.35  # of that time: how much longer than the wait an answer may take
PEER_WAIT_S = 0.25  # the longest wait between control processes, whose pulls prove contact (contact.py)
PEER_BACKOFF_S = 0.25  # the longest pause before one that did not answer is asked again


@dataclass(frozen=True, slots=True)
class PullSettings:
    """Times of pulls, in seconds."""

    wait_s: float = 0.5  # how long a control process may keep a pull waiting
    reply_grace_s: float = 0.7  # beyond the wait; then the process counts as lost
    start_jitter_s: float = 0.1  # the first pull comes within this, so that a start of all at once is spread
    min_backoff_s: float = 0.05  # pause once every process was tried in vain; doubles
    max_backoff_s: float = 0.8  # where doubling ends
    zone_recheck_s: float = 60.0  # after this, one in the own zone is taken again if the current one is not
    resync_after_s: float = 150.0  # out of touch for longer, tombstones may be missed: half of their time
    hand_back_after_s: float = 5.0  # after a change, when entries that the new process lacks are given to it

    @classmethod
    def from_time_limits(cls, limits: TimeLimits) -> PullSettings:
        """Waits short enough that news is here in time although one control process has just been lost."""
        bound = min(limits.apply_ms, limits.drain_end_ms) / 1000.0
        return cls(wait_s=WAIT_SHARE * bound, reply_grace_s=SILENCE_SHARE * bound)

    def for_control_peers(self) -> PullSettings:
        """For pulls of one control process from another."""
        return replace(self, wait_s=min(self.wait_s, PEER_WAIT_S), max_backoff_s=PEER_BACKOFF_S)


@dataclass(frozen=True, slots=True)
class Source:
    """Pull from this address after a pause of so many seconds."""

    address: str
    pause: float


class SourceSelector:
    """Stays with one process while it serves; tries every other one before it comes back to one that did not.

    `near` says of an address whether it is in the own zone. `fallback` addresses are tried after all others.
    """

    def __init__(
        self, settings: PullSettings, dice: random.Random, near: Callable[[str], bool] | None = None
    ) -> None:
        self._settings = settings
        self._dice = dice
        self._near = near or (lambda address: False)
        self._current = ""
        self._since = 0.0
        self._failed: set[str] = set()  # in this round
        self._rounds = 0  # gone through in vain
        self._started = False

    @property
    def current(self) -> str:
        """The process that served last; empty if it no longer does."""
        return self._current

    def choose(self, now: float, addresses: Sequence[str], fallback: Sequence[str] = ()) -> Source | None:
        """Whom to ask next; None while no address is known."""
        if self._stays(now, addresses):
            return Source(self._current, 0.0)
        self._current = ""
        known = list(dict.fromkeys([*addresses, *fallback]))
        if not known:
            return None
        fresh = [address for address in known if address not in self._failed]
        pause = self._first_pause()
        if not fresh:
            fresh, self._failed = known, set()
            pause = self._backoff()
        first = [address for address in fresh if address in addresses] or fresh
        near = [address for address in first if self._near(address)]
        return Source(self._dice.choice(near or first), pause)

    def served(self, now: float, address: str) -> None:
        """It has answered, and is not cut off."""
        if address != self._current:
            self._current, self._since = address, now
        self._failed.clear()
        self._rounds = 0

    def failed(self, address: str) -> None:
        """It gave no answer, or said that it is cut off from the majority."""
        self._failed.add(address)
        self._current = ""

    def _stays(self, now: float, addresses: Sequence[str]) -> bool:
        if not self._current:
            return False
        if self._near(self._current) or now - self._since < self._settings.zone_recheck_s:
            return True
        self._since = now + self._dice.random() * self._settings.zone_recheck_s
        return not any(self._near(address) for address in addresses)

    def _first_pause(self) -> float:
        if self._started:
            return 0.0
        self._started = True
        return self._dice.random() * self._settings.start_jitter_s

    def _backoff(self) -> float:
        longest = min(self._settings.min_backoff_s * 2.0**self._rounds, self._settings.max_backoff_s)
        self._rounds += 1
        return longest * self._dice.uniform(0.5, 1.0)

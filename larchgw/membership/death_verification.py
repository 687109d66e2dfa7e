"""Reported deaths of members that are alive here: the member is pinged before it is suspected.

Such a report comes from a process that was cut off, or is true and its suspicion did not arrive here.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from .member import Member
from .settings import SwimSettings


@dataclass(slots=True)
class ReportedDeath:
    """A death that another member reported.

    Attributes:
        dead: The record of the member, as dead.
        source: Address of the member that reported it.
        pinged_at: When the member was pinged for it, None before that.
    """

    dead: Member
    source: str
    pinged_at: float | None = None


class DeathVerification:
    """Reported deaths under verification, one at most for each address, at a bounded rate of pings."""

    def __init__(self, settings: SwimSettings) -> None:
        """Begins without any."""
        self._settings = settings
        self._pending: dict[str, ReportedDeath] = {}
        self._next_ping_at = float("-inf")

    def add(self, dead: Member, source: str) -> None:
        """Begins to verify a death that `source` reported, unless its address is under verification."""
        self._pending.setdefault(dead.address, ReportedDeath(dead, source))

    def next_to_ping(self, now: float, is_in_question: Callable[[Member], bool]) -> Member | None:
        """Returns the record, as dead, of the member to ping now, if any.

        Args:
            now: The time, seconds on the monotonic clock.
            is_in_question: Whether a reported death would still end a member that is present here; others are
                dropped.
        """
        if now < self._next_ping_at:
            return None
        for address, death in list(self._pending.items()):
            if not is_in_question(death.dead):
                del self._pending[address]
            elif death.pinged_at is None:
                death.pinged_at = now
                self._next_ping_at = now + self._settings.verification_period_s
                return death.dead
        return None

    def take_unanswered(self, now: float) -> list[ReportedDeath]:
        """Removes and returns the deaths that were not refuted in the probe period after the ping."""
        unanswered = [
            death
            for death in self._pending.values()
            if death.pinged_at is not None and now - death.pinged_at >= self._settings.probe_period_s
        ]
        for death in unanswered:
            del self._pending[death.dead.address]
        return unanswered

"""Verification of reported deaths: a member that is alive in the local table is pinged before it is suspect.

Such a report may come from a process that was partitioned. It may also be true, if the suspicion before it
did not arrive at this process.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from .member import Member
from .settings import SwimSettings


@dataclass(slots=True)
class ReportedDeath:
    """A death that another member has reported.

    Attributes:
        dead: The record of the reported member, in state DEAD.
        source: Address of the member that reported the death.
        pinged_at: When the reported member was pinged; None before that.
    """

    dead: Member
    source: str
    pinged_at: float | None = None


class DeathVerification:
    """Reported deaths under verification, at most one per address, with a limited rate of pings."""

    def __init__(self, settings: SwimSettings) -> None:
        """Starts without reported deaths."""
        self._settings = settings
        self._pending: dict[str, ReportedDeath] = {}
        self._next_ping_at = float("-inf")

    def add(self, dead: Member, source: str) -> None:
        """Adds a death reported by `source`, unless its address is already under verification."""
        self._pending.setdefault(dead.address, ReportedDeath(dead, source))

    def next_to_ping(self, now: float, is_in_question: Callable[[Member], bool]) -> Member | None:
        """Returns the record, in state DEAD, of the member to ping now, if any.

        Args:
            now: Time in seconds on the monotonic clock.
            is_in_question: Whether the reported member is still present in the local table, so that the death
                would take effect; other reports are dropped.
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
        """Removes and returns the deaths that were not refuted within the probe period after the ping."""
        unanswered = [
            death
            for death in self._pending.values()
            if death.pinged_at is not None and now - death.pinged_at >= self._settings.probe_period_s
        ]
        for death in unanswered:
            del self._pending[death.dead.address]
        return unanswered

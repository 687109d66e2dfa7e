"""Deaths reported of members that are alive here: each such member is asked itself before it is suspected.

Such a report comes from a process that was cut off, or is true and its suspicion was not heard here.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from .member import Member
from .settings import SwimSettings


@dataclass(slots=True)
class _Doubt:
    dead: Member
    source: str
    asked_at: float | None = None


class Doubts:
    """At most one for each address, asked about in the order heard, at a bounded rate."""

    def __init__(self, settings: SwimSettings) -> None:
        self._settings = settings
        self._doubts: dict[str, _Doubt] = {}
        self._ask_at = float("-inf")

    def add(self, dead: Member, source: str) -> None:
        """`source` reported that death."""
        self._doubts.setdefault(dead.address, _Doubt(dead, source))

    def ask(self, now: float, stands: Callable[[Member], bool]) -> Member | None:
        """The death to ask its member about now, if any. Doubts that no longer stand are dropped."""
        if now < self._ask_at:
            return None
        for address, doubt in list(self._doubts.items()):
            if not stands(doubt.dead):
                del self._doubts[address]
            elif doubt.asked_at is None:
                doubt.asked_at = now
                self._ask_at = now + self._settings.verification_period_s
                return doubt.dead
        return None

    def unanswered(self, now: float) -> list[tuple[Member, str]]:
        """Deaths, and who reported them, that were asked about and not contradicted; they are dropped."""
        over = [
            doubt
            for doubt in self._doubts.values()
            if doubt.asked_at is not None and now - doubt.asked_at >= self._settings.probe_period_s
        ]
        for doubt in over:
            del self._doubts[doubt.dead.address]
        return [(doubt.dead, doubt.source) for doubt in over]

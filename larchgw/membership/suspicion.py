"""Timers of suspected members, which become shorter as independent members confirm the suspicion.

Source: Dadgar, Phillips, Currey, "Lifeguard" (2018), dynamic suspicion timeouts.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import log, log10

from .settings import SwimSettings

MATURITY_FRACTION = 0.5  # of the minimum suspicion time; the rest allows for the spread of a suspicion


@dataclass(slots=True)
class _Suspicion:
    started_at: float
    shortest_s: float
    longest_s: float
    max_confirmations: int
    accusers: set[str]
    pinged_at: float | None = None

    @property
    def deadline(self) -> float:
        """End of the suspicion; decreases from the longest to the shortest with the log of confirmations."""
        if self.max_confirmations <= 0:
            return self.started_at + self.shortest_s
        confirmations = min(len(self.accusers) - 1, self.max_confirmations)
        shortened = log(confirmations + 1) / log(self.max_confirmations + 1)
        return self.started_at + self.longest_s - (self.longest_s - self.shortest_s) * shortened


class SuspicionTimers:
    """One timer per suspected address. Times are seconds on the monotonic clock."""

    def __init__(self, settings: SwimSettings) -> None:
        """Starts without timers."""
        self._settings = settings
        self._running: dict[str, _Suspicion] = {}

    def addresses(self) -> set[str]:
        """Returns the suspected addresses."""
        return set(self._running)

    def start(self, now: float, address: str, accuser: str, members: int) -> None:
        """Starts or restarts the timer of a member that `accuser` suspects.

        `members` is the number of present members.
        """
        settings = self._settings
        scale = max(log10(max(members, 1)), 1.0)
        shortest_s = settings.suspicion_multiplier * settings.probe_period_s * scale
        longest_s = shortest_s * settings.max_suspicion_multiplier
        others = members - 3  # all except the suspect, its accuser and this process
        max_confirmations = min(settings.suspicion_confirmations, others)
        self._running[address] = _Suspicion(now, shortest_s, longest_s, max_confirmations, {accuser})

    def confirm(self, address: str, accuser: str) -> bool:
        """Counts another accuser; returns whether its suspicion must be disseminated."""
        suspicion = self._running.get(address)
        if suspicion is None or accuser in suspicion.accusers:
            return False
        if len(suspicion.accusers) > suspicion.max_confirmations:
            return False
        suspicion.accusers.add(accuser)
        return True

    def is_mature(self, now: float, address: str) -> bool:
        """Whether the suspicion has lasted long enough that the member could have refuted it."""
        suspicion = self._running.get(address)
        if suspicion is None:
            return False
        return now - suspicion.started_at >= suspicion.shortest_s * MATURITY_FRACTION

    def clear(self, address: str) -> None:
        """Stops the timer of an address whose suspicion was refuted or has ended in a death."""
        self._running.pop(address, None)

    def extend(self, seconds: float) -> None:
        """Extends all suspicions by a time during which this process could not receive refutations."""
        for suspicion in self._running.values():
            suspicion.started_at += seconds
            suspicion.pinged_at = None

    def next_to_ping(self, now: float) -> str | None:
        """Returns a member whose suspicion ends soon and that has not had its final ping yet."""
        soon = now + self._settings.final_ping_lead_s
        for address, suspicion in self._running.items():
            if suspicion.pinged_at is None and suspicion.deadline <= soon:
                suspicion.pinged_at = now
                return address
        return None

    def expired(self, now: float) -> list[str]:
        """Returns the addresses whose suspicion has ended and whose final ping was not answered in time."""
        pinged_before = now - self._settings.probe_timeout_s
        return [
            address
            for address, suspicion in self._running.items()
            if suspicion.pinged_at is not None
            and suspicion.pinged_at <= pinged_before
            and suspicion.deadline <= now
        ]

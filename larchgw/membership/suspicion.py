"""Timers of suspected members, which shorten as independent members confirm the suspicion (Lifeguard)."""

from __future__ import annotations

from dataclasses import dataclass
from math import log, log10

from .settings import SwimSettings

MATURE_SHARE = 0.5  # of the shortest suspicion; the rest is for the time that a suspicion takes to spread


@dataclass(slots=True)
class _Suspicion:
    started: float
    shortest: float
    longest: float
    wanted: int
    accusers: set[str]
    called_at: float | None = None

    @property
    def deadline(self) -> float:
        if self.wanted <= 0:
            return self.started + self.shortest
        confirmations = min(len(self.accusers) - 1, self.wanted)
        share = log(confirmations + 1) / log(self.wanted + 1)
        return self.started + self.longest - (self.longest - self.shortest) * share


class Suspicions:
    """One timer for each suspected address."""

    def __init__(self, settings: SwimSettings) -> None:
        self._settings = settings
        self._running: dict[str, _Suspicion] = {}

    def start(self, now: float, address: str, accuser: str, members: int) -> None:
        """Begins, or begins anew, the suspicion of a member; `members` are present."""
        settings = self._settings
        shortest = settings.suspicion_multiplier * settings.probe_period_s * max(log10(max(members, 1)), 1.0)
        wanted = min(settings.suspicion_confirmations, members - 3)  # not it, its accuser or this one
        longest = shortest * settings.max_suspicion_multiplier
        self._running[address] = _Suspicion(now, shortest, longest, wanted, {accuser})

    def confirm(self, address: str, accuser: str) -> bool:
        """Another member suspects it too. Whether that is news worth passing on."""
        suspicion = self._running.get(address)
        if suspicion is None or accuser in suspicion.accusers:
            return False
        if len(suspicion.accusers) > suspicion.wanted:
            return False
        suspicion.accusers.add(accuser)
        return True

    def matured(self, now: float, address: str) -> bool:
        """Whether it has run long enough here that the member could have refuted it."""
        suspicion = self._running.get(address)
        return suspicion is not None and now - suspicion.started >= suspicion.shortest * MATURE_SHARE

    def clear(self, address: str) -> None:
        """The suspicion is refuted or confirmed."""
        self._running.pop(address, None)

    def postpone(self, seconds: float) -> None:
        """This process did not run for so long, and could not hear a refutation."""
        for suspicion in self._running.values():
            suspicion.started += seconds
            suspicion.called_at = None

    def last_call(self, now: float) -> str | None:
        """A member whose suspicion ends soon and that was not named here before."""
        soon = now + self._settings.final_ping_lead_s
        for address, suspicion in self._running.items():
            if suspicion.called_at is None and suspicion.deadline <= soon:
                suspicion.called_at = now
                return address
        return None

    def expired(self, now: float) -> list[str]:
        """Addresses whose suspicion was not refuted in time, nor the last call answered."""
        called_before = now - self._settings.probe_timeout_s
        return [
            address
            for address, suspicion in self._running.items()
            if suspicion.called_at is not None
            and suspicion.called_at <= called_before
            and suspicion.deadline <= now
        ]

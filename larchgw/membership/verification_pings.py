"""Pings in addition to the probes: of members about to be declared dead, and of dead members."""

from __future__ import annotations

from random import Random

from .member_states import MemberStates
from .outbound_datagrams import OutboundDatagrams
from .settings import SwimSettings


class SuspectPings:
    """Pings members before a suspicion or a reported death of them takes effect.

    The ping carries the suspicion or death, so that the receiver can refute it. Times are seconds on the
    monotonic clock.
    """

    def __init__(self, settings: SwimSettings, states: MemberStates, outbound: OutboundDatagrams) -> None:
        """Starts without a scheduled ping."""
        self._settings = settings
        self._states = states
        self._outbound = outbound
        self._next_suspect_at = 0.0

    def tick(self, now: float) -> None:
        """Sends the pings that are due, at most one to a suspect and one to a member reported dead."""
        self._ping_suspect(now)
        self._ping_reported_dead(now)

    def _ping_suspect(self, now: float) -> None:
        """Pings a suspect whose suspicion ends soon, because its refutation may have been lost."""
        if now < self._next_suspect_at:
            return
        address = self._states.suspicions.next_to_ping(now)
        if address is not None:
            self._next_suspect_at = now + self._settings.verification_period_s
            self._outbound.add_ping(address, self._states.table.get(address))

    def _ping_reported_dead(self, now: float) -> None:
        dead = self._states.next_death_to_verify(now)
        if dead is not None:
            self._outbound.add_ping(dead.address, dead)


class DeadMemberPings:
    """Pings dead members, so that a partition heals. Times are seconds on the monotonic clock."""

    def __init__(
        self,
        settings: SwimSettings,
        random_source: Random,
        states: MemberStates,
        outbound: OutboundDatagrams,
    ) -> None:
        """Starts without a scheduled ping; `random_source` chooses the members and the times."""
        self._settings = settings
        self._random_source = random_source
        self._states = states
        self._outbound = outbound
        self._next_reconnect_at = 0.0
        self._next_any_at = 0.0

    def tick(self, now: float) -> None:
        """Sends the pings that are due: to a member reported alive elsewhere, and to any dead member."""
        if now >= self._next_reconnect_at and self._states.reconnect_candidates:
            self._next_reconnect_at = now + self._settings.reconnect_period_s
            self._ping_reconnect_candidate()
        if now >= self._next_any_at:
            pause_s = self._settings.dead_probe_period_s * self._random_source.uniform(0.5, 1.5)
            self._next_any_at = now + pause_s
            self._ping_any()

    def _ping_reconnect_candidate(self) -> None:
        address = next(iter(self._states.reconnect_candidates))
        del self._states.reconnect_candidates[address]
        self._outbound.add_ping(address, self._states.table.get(address))

    def _ping_any(self) -> None:
        dead = self._states.dead()
        if dead:
            chosen = self._random_source.choice(dead)
            self._outbound.add_ping(chosen.address, chosen)

"""SWIM's failure detector: one probe per period, first direct and then indirect.

The next member of a shuffled round is pinged. If it does not answer within the probe timeout, a few other
members are asked to ping it. If there is no answer by the end of the period, it becomes suspect.

Source: SWIM (Das and others, 2002), section 3.1; Lifeguard (Dadgar and others, 2018), local health
multiplier.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from .local_health import LocalHealth
from .member_states import MemberStates
from .messages import PingRequest
from .outbound_datagrams import OutboundDatagrams
from .relayed_probes import RelayedProbe, RelayedProbes
from .settings import SwimSettings


@dataclass(slots=True)
class _Probe:
    """A probe of one incarnation of a member.

    Attributes:
        sequence: Sequence number of its ping and of its ping requests.
        address: Address of the probed member.
        incarnation: Incarnation of the probed member.
        relays_due_at: When other members are asked to ping it.
        ends_at: When the probe counts as failed.
        relays: Number of members that were asked.
        nacks: Number of these that reported that they have no answer either.
        is_indirect: Whether other members were asked.
    """

    sequence: int
    address: str
    incarnation: int
    relays_due_at: float
    ends_at: float
    relays: int = 0
    nacks: int = 0
    is_indirect: bool = False


class FailureDetector:
    """Probes members in turn, and relays probes on request of other members.

    Times are seconds on the monotonic clock.
    """

    def __init__(
        self,
        settings: SwimSettings,
        random_source: Random,
        states: MemberStates,
        local_health: LocalHealth,
        outbound: OutboundDatagrams,
    ) -> None:
        """Starts without a probe; `random_source` adds jitter to the time between probes."""
        self._settings = settings
        self._random_source = random_source
        self._states = states
        self._local_health = local_health
        self._outbound = outbound
        self._relayed_probes = RelayedProbes()
        self._probe: _Probe | None = None
        self._failed_sequence: int | None = None
        self._next_probe_at = 0.0

    def tick(self, now: float) -> None:
        """Sends the nacks that are due for relayed probes, and advances this process's own probe."""
        for relayed in self._relayed_probes.overdue(now):
            self._outbound.add_nack(relayed.requester, relayed.sequence)
        self._advance_probe(now)

    def abandon_probes(self) -> None:
        """Drops all probes in progress, whose answers may have been lost while this process was paused."""
        self._probe = None
        self._relayed_probes.clear()

    def receive_ack(self, now: float, sequence: int) -> None:
        """Ends the probe with that sequence number, either its own or one relayed for another member."""
        probe = self._probe
        if probe is not None and probe.sequence == sequence:
            self._probe = None
            if now < probe.relays_due_at:
                self._local_health.improve()
            return
        if sequence == self._failed_sequence:  # a late answer: this process or its link is slow
            self._failed_sequence = None
            self._local_health.worsen()
            return
        relayed = self._relayed_probes.receive_ack(sequence)
        if relayed is not None:
            self._outbound.add_ack(relayed.requester, relayed.sequence)

    def receive_nack(self, sequence: int) -> None:
        """Counts a relay that is alive but has no answer from the probed member."""
        if self._probe is not None and self._probe.sequence == sequence:
            self._probe.nacks += 1

    def receive_ping_request(self, now: float, requester: str, request: PingRequest) -> None:
        """Pings the target on behalf of `requester`, unless too many relayed probes are in progress."""
        sequence = self._outbound.next_sequence()
        nack_at = now + self._settings.nack_delay_s
        ends_at = now + self._settings.probe_period_s
        relayed = RelayedProbe(requester, request.sequence, nack_at, ends_at)
        if self._relayed_probes.add(sequence, relayed):
            about = self._states.table.get(request.target)
            self._outbound.add_ping(request.target, about, sequence)

    def _advance_probe(self, now: float) -> None:
        probe = self._probe
        if probe is not None and now >= probe.ends_at:
            self._probe = None
            self._fail(now, probe)
        elif probe is not None and not probe.is_indirect and now >= probe.relays_due_at:
            self._probe_indirectly(probe)
        if self._probe is None and now >= self._next_probe_at:
            self._start_probe(now)

    def _start_probe(self, now: float) -> None:
        address = self._states.probe_order.next(self._states.is_present_peer)
        member = None if address is None else self._states.table.get(address)
        if member is None:
            return
        multiplier = self._local_health.multiplier
        period_s = self._settings.probe_period_s * multiplier
        sequence = self._outbound.next_sequence()
        relays_due_at = now + self._settings.probe_timeout_s * multiplier
        self._probe = _Probe(sequence, member.address, member.incarnation, relays_due_at, now + period_s)
        self._next_probe_at = now + period_s * self._random_source.uniform(0.95, 1.05)
        self._outbound.add_ping(member.address, member, sequence)

    def _probe_indirectly(self, probe: _Probe) -> None:
        probe.is_indirect = True
        for relay in self._states.sample_peers(self._settings.indirect_probes, without=probe.address):
            probe.relays += 1
            self._outbound.add_ping_request(relay, probe.sequence, probe.address)

    def _fail(self, now: float, probe: _Probe) -> None:
        self._failed_sequence = probe.sequence
        is_recovering = self._local_health.is_recovering(now)
        missing_nacks = probe.relays - probe.nacks
        self._local_health.worsen(missing_nacks if probe.relays else 1)
        if not is_recovering:
            self._states.suspect(now, probe.address, probe.incarnation)

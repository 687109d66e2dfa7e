"""Probes that this process performs for other members: the relay side of an indirect probe.

Source: SWIM (Das and others, 2002), ping-req; Lifeguard (Dadgar and others, 2018), nack.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_RELAYED_PROBES = 64  # concurrently; further requests are dropped


@dataclass(slots=True)
class RelayedProbe:
    """A probe that this process performs for another member.

    Attributes:
        requester: Address of the member that requested it.
        sequence: Sequence number of the requester's ping request.
        nack_at: When a nack is sent to the requester.
        ends_at: When the probe is abandoned.
        is_nacked: Whether the nack was sent.
    """

    requester: str
    sequence: int
    nack_at: float
    ends_at: float
    is_nacked: bool = False


class RelayedProbes:
    """Relayed probes in progress, keyed by the sequence number of this process's own ping."""

    def __init__(self) -> None:
        """Starts without probes."""
        self._probes: dict[int, RelayedProbe] = {}

    def add(self, own_sequence: int, probe: RelayedProbe) -> bool:
        """Adds a probe for another member; returns whether it was accepted under the limit.

        Args:
            own_sequence: Sequence number of this process's own ping.
            probe: The probe.
        """
        if len(self._probes) >= MAX_RELAYED_PROBES:
            return False
        self._probes[own_sequence] = probe
        return True

    def receive_ack(self, own_sequence: int) -> RelayedProbe | None:
        """Removes and returns the probe that was answered; None if the number is unknown."""
        return self._probes.pop(own_sequence, None)

    def overdue(self, now: float) -> list[RelayedProbe]:
        """Returns the probes for which a nack is due, each only once; removes expired probes."""
        overdue: list[RelayedProbe] = []
        for own_sequence, probe in list(self._probes.items()):
            if not probe.is_nacked and probe.nack_at <= now:
                probe.is_nacked = True
                overdue.append(probe)
            if probe.ends_at <= now:
                del self._probes[own_sequence]
        return overdue

    def clear(self) -> None:
        """Drops all probes in progress."""
        self._probes.clear()

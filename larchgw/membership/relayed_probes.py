"""Probes that this process makes for other members: the relay's side of an indirect probe.

Source: SWIM (Das and others, 2002), ping-req; Lifeguard (Dadgar and others, 2018), nack.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_RELAYED_PROBES = 64  # at a time; requests for more are dropped


@dataclass(slots=True)
class RelayedProbe:
    """A probe that this process makes for another member.

    Attributes:
        requester: Address of the member that asked for it.
        sequence: The number under which the requester waits for the answer.
        nack_at: When the requester is sent a nack.
        ends_at: When the probe is given up.
        is_nacked: Whether the nack was sent.
    """

    requester: str
    sequence: int
    nack_at: float
    ends_at: float
    is_nacked: bool = False


class RelayedProbes:
    """Probes under way for others, by the number of this process's own ping."""

    def __init__(self) -> None:
        """Begins without any."""
        self._probes: dict[int, RelayedProbe] = {}

    def add(self, own_sequence: int, probe: RelayedProbe) -> bool:
        """Accepts a probe for another member; returns whether there was room for it.

        Args:
            own_sequence: Number of this process's own ping.
            probe: The probe.
        """
        if len(self._probes) >= MAX_RELAYED_PROBES:
            return False
        self._probes[own_sequence] = probe
        return True

    def receive_ack(self, own_sequence: int) -> RelayedProbe | None:
        """Ends and returns the probe that was answered, None for an unknown number."""
        return self._probes.pop(own_sequence, None)

    def overdue(self, now: float) -> list[RelayedProbe]:
        """Returns, each once, the probes for which a nack is due; removes those that are given up."""
        overdue: list[RelayedProbe] = []
        for own_sequence, probe in list(self._probes.items()):
            if not probe.is_nacked and probe.nack_at <= now:
                probe.is_nacked = True
                overdue.append(probe)
            if probe.ends_at <= now:
                del self._probes[own_sequence]
        return overdue

    def clear(self) -> None:
        """Drops all probes under way."""
        self._probes.clear()

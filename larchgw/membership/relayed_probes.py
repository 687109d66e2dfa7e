"""Probes that this process makes for other members: the relay's side of an indirect probe.

Source: SWIM (Das and others, 2002), ping-req; Lifeguard (Dadgar and others, 2018), nack.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_RELAYED_PROBES = 64  # at a time; requests for more are dropped


@dataclass(frozen=True, slots=True)
class ProbeRequester:
    """Who asked for an indirect probe.

    Attributes:
        address: Its address.
        sequence: The number under which it waits for the answer.
    """

    address: str
    sequence: int


@dataclass(slots=True)
class _RelayedProbe:
    requester: ProbeRequester
    nack_at: float
    ends_at: float
    is_nacked: bool = False


class RelayedProbes:
    """Probes under way for others, by the number of this process's own ping."""

    def __init__(self) -> None:
        """Begins without any."""
        self._probes: dict[int, _RelayedProbe] = {}

    def add(self, own_sequence: int, requester: ProbeRequester, nack_at: float, ends_at: float) -> bool:
        """Accepts a probe for another member; returns whether there was room for it."""
        if len(self._probes) >= MAX_RELAYED_PROBES:
            return False
        self._probes[own_sequence] = _RelayedProbe(requester, nack_at, ends_at)
        return True

    def receive_ack(self, own_sequence: int) -> ProbeRequester | None:
        """Ends the probe that was answered; returns whom to report to, None for an unknown number."""
        probe = self._probes.pop(own_sequence, None)
        return None if probe is None else probe.requester

    def overdue(self, now: float) -> list[ProbeRequester]:
        """Returns, each once, who must be sent a nack; removes probes that ended."""
        requesters: list[ProbeRequester] = []
        for own_sequence, probe in list(self._probes.items()):
            if not probe.is_nacked and probe.nack_at <= now:
                probe.is_nacked = True
                requesters.append(probe.requester)
            if probe.ends_at <= now:
                del self._probes[own_sequence]
        return requesters

    def clear(self) -> None:
        """Drops all probes under way."""
        self._probes.clear()

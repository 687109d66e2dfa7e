"""Updates that still have to be passed on, each a bounded number of times and all at a bounded rate."""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil, log10

from .codec import Update, encode_update
from .member import MemberState
from .settings import SwimSettings


@dataclass(slots=True)
class _Queued:
    record: bytes
    state: MemberState
    sends: int = 0

    @property
    def rank(self) -> tuple[int, int]:
        """The least goes first."""
        return (self.sends, self.state)


class Dissemination:
    """The newest update for each address; those sent least go first, and among them refutations."""

    def __init__(self, settings: SwimSettings) -> None:
        self._settings = settings
        self._queue: dict[str, _Queued] = {}
        self._allowance = settings.update_burst_bytes
        self._refilled_at = 0.0

    def __len__(self) -> int:
        return len(self._queue)

    def add(self, update: Update) -> None:
        """Replaces an older update for the same address. Over the limit the last in rank is dropped."""
        self._queue.pop(update.member.address, None)
        self._queue[update.member.address] = _Queued(encode_update(update), update.member.state)
        if len(self._queue) > self._settings.max_queued_updates:
            most_sent = max(self._queue, key=lambda address: self._queue[address].rank)
            del self._queue[most_sent]

    def refill(self, now: float) -> None:
        """Allows what the rate gives for the time since the last call."""
        settings = self._settings
        added = settings.update_bytes_per_s * (now - self._refilled_at)
        self._allowance = min(self._allowance + added, settings.update_burst_bytes)
        self._refilled_at = now

    def take(self, room: int, members: int) -> list[bytes]:
        """Records for one datagram with so many bytes of room, among so many members."""
        if not self._queue:
            return []
        taken: list[bytes] = []
        sends = self._settings.retransmit_multiplier * ceil(log10(members + 1))
        room = min(room, int(self._allowance))
        for address, queued in sorted(self._queue.items(), key=lambda item: item[1].rank):
            if len(queued.record) > room:
                continue
            room -= len(queued.record)
            self._allowance -= len(queued.record)
            taken.append(queued.record)
            queued.sends += 1
            if queued.sends >= sends:
                del self._queue[address]
        return taken

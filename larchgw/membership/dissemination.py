"""Updates that still have to be passed on, each a bounded number of times."""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil, log10

from .codec import Update, encode_update


@dataclass(slots=True)
class _Queued:
    record: bytes
    sends: int = 0


class Dissemination:
    """The newest update for each address; those sent least go first."""

    def __init__(self, retransmit_factor: int, limit: int) -> None:
        self._factor = retransmit_factor
        self._limit = limit
        self._queue: dict[str, _Queued] = {}

    def __len__(self) -> int:
        return len(self._queue)

    def add(self, update: Update) -> None:
        """Replaces an older update for the same address. Over the limit the most sent one is dropped."""
        self._queue.pop(update.member.address, None)
        self._queue[update.member.address] = _Queued(encode_update(update))
        if len(self._queue) > self._limit:
            most_sent = max(self._queue, key=lambda address: self._queue[address].sends)
            del self._queue[most_sent]

    def take(self, room: int, members: int) -> list[bytes]:
        """Records for one datagram with so many bytes of room, among so many members."""
        if not self._queue:
            return []
        taken: list[bytes] = []
        for address, queued in sorted(self._queue.items(), key=lambda item: item[1].sends):
            if len(queued.record) > room:
                continue
            room -= len(queued.record)
            taken.append(queued.record)
            queued.sends += 1
            if queued.sends >= self._factor * ceil(log10(members + 1)):
                del self._queue[address]
        return taken

"""Dissemination of updates, each a limited number of times, at a limited total rate.

Source: SWIM (Das and others, 2002), infection-style dissemination.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil, log10

from .codec import encode_update
from .member import MemberState
from .messages import Update
from .settings import SwimSettings


@dataclass(slots=True)
class _QueuedUpdate:
    record: bytes
    state: MemberState
    sends: int = 0

    @property
    def rank(self) -> tuple[int, int]:
        """Sort key: updates sent least often first, and among these refutations before suspicions."""
        return (self.sends, self.state)


class Dissemination:
    """Queue of the newest update for each address, rate-limited by a token bucket of bytes."""

    def __init__(self, settings: SwimSettings) -> None:
        """Starts empty, with a full token bucket."""
        self._settings = settings
        self._queue: dict[str, _QueuedUpdate] = {}
        self._allowance_bytes = settings.update_burst_bytes
        self._refilled_at = 0.0

    def __len__(self) -> int:
        """Returns the number of queued updates."""
        return len(self._queue)

    def add(self, update: Update) -> None:
        """Queues an update, replacing any for its address; drops the last in rank if the queue is full."""
        self._queue.pop(update.member.address, None)
        self._queue[update.member.address] = _QueuedUpdate(encode_update(update), update.member.state)
        if len(self._queue) > self._settings.max_queued_updates:
            last = max(self._queue, key=lambda address: self._queue[address].rank)
            del self._queue[last]

    def refill(self, now: float) -> None:
        """Refills the token bucket for the time since the last call; `now` is in seconds, monotonic."""
        settings = self._settings
        added = settings.update_bytes_per_s * (now - self._refilled_at)
        self._allowance_bytes = min(self._allowance_bytes + added, settings.update_burst_bytes)
        self._refilled_at = now

    def next_records(self, free_bytes: int, members: int) -> list[bytes]:
        """Returns records for one datagram and counts them as sent.

        Args:
            free_bytes: Space left in the datagram.
            members: Number of present members, which determines how often each update is sent.
        """
        if not self._queue:
            return []
        records: list[bytes] = []
        max_sends = self._settings.retransmit_multiplier * ceil(log10(members + 1))
        free_bytes = min(free_bytes, int(self._allowance_bytes))
        for address, queued in sorted(self._queue.items(), key=lambda item: item[1].rank):
            if len(queued.record) > free_bytes:
                continue
            free_bytes -= len(queued.record)
            self._allowance_bytes -= len(queued.record)
            records.append(queued.record)
            queued.sends += 1
            if queued.sends >= max_sends:
                del self._queue[address]
        return records

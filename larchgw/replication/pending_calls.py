"""The calls at the primary that wait for an acknowledgement or for the confirmation of a read."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from .effects import CallDone, CallFailed, Effects, PendingCall


class PendingCalls:
    """Proposals in order of their index, and reads in order of the heartbeat that must confirm them."""

    def __init__(self) -> None:
        """Begins with no call."""
        self._number = 0
        self._proposals: deque[tuple[int, PendingCall]] = deque()
        self._reads: deque[tuple[int, PendingCall]] = deque()

    def add_proposal(self, index: int) -> PendingCall:
        """Adds a call that is done once the record at `index` is acknowledged."""
        call = self._next()
        self._proposals.append((index, call))
        return call

    def add_read(self, heartbeat_round: int) -> PendingCall:
        """Adds a call that is done once a quorum has granted heartbeat `heartbeat_round` or a later one."""
        call = self._next()
        self._reads.append((heartbeat_round, call))
        return call

    def add_announcement(self) -> PendingCall:
        """Creates a call that ends with `complete_announcements` or `fail_announcements`."""
        return self._next()

    def complete_announcements(self, calls: Iterable[PendingCall], effects: Effects) -> None:
        """Completes calls: a quorum of witnesses remembers the actions that they announced."""
        effects.done.extend(CallDone(call, 0) for call in calls)

    def fail_announcements(self, calls: Iterable[PendingCall], reason: str, effects: Effects) -> None:
        """Fails calls: the actions that they announced must not be started."""
        effects.failed.extend(CallFailed(call, reason, False) for call in calls)

    @property
    def has_reads(self) -> bool:
        """Whether reads wait to be confirmed."""
        return bool(self._reads)

    def acknowledge(self, committed: int, effects: Effects) -> None:
        """Completes the proposals up to index `committed`."""
        while self._proposals and self._proposals[0][0] <= committed:
            index, call = self._proposals.popleft()
            effects.done.append(CallDone(call, index))

    def confirm(self, heartbeat_round: int, committed: int, effects: Effects) -> None:
        """Completes the reads that heartbeat `heartbeat_round` confirms."""
        while self._reads and self._reads[0][0] <= heartbeat_round:
            effects.done.append(CallDone(self._reads.popleft()[1], committed))

    def fail(self, reason: str, effects: Effects) -> None:
        """Fails all proposals and reads because the member is no longer primary."""
        effects.failed.extend(CallFailed(call, reason, True) for _, call in self._proposals)
        effects.failed.extend(CallFailed(call, reason, False) for _, call in self._reads)
        self._proposals.clear()
        self._reads.clear()

    def _next(self) -> PendingCall:
        self._number += 1
        return PendingCall(self._number)

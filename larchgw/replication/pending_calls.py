"""The calls that wait at the primary for copies or for a proof."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from .effects import CallDone, CallFailed, Effects, PendingCall


class PendingCalls:
    """Proposals in order of their index, reads in order of the heartbeat that must prove them."""

    def __init__(self) -> None:
        """Begins with no call."""
        self._number = 0
        self._proposals: deque[tuple[int, PendingCall]] = deque()
        self._reads: deque[tuple[int, PendingCall]] = deque()

    def add_proposal(self, index: int) -> PendingCall:
        """Done once `index` is acknowledged."""
        call = self._next()
        self._proposals.append((index, call))
        return call

    def add_read(self, heartbeat_round: int) -> PendingCall:
        """Done once a quorum has granted the heartbeat `heartbeat_round` or a later one."""
        call = self._next()
        self._reads.append((heartbeat_round, call))
        return call

    def add_announcement(self) -> PendingCall:
        """Done once it is passed to `end_announcements`."""
        return self._next()

    def end_announcements(self, calls: Iterable[PendingCall], effects: Effects) -> None:
        """A quorum of witnesses remembers the acts that these calls announced."""
        effects.done.extend(CallDone(call, 0) for call in calls)

    def fail_announcements(self, calls: Iterable[PendingCall], reason: str, effects: Effects) -> None:
        """The acts that these calls announced must not be begun."""
        effects.failed.extend(CallFailed(call, reason, False) for call in calls)

    @property
    def has_reads(self) -> bool:
        """Whether reads wait for a proof."""
        return bool(self._reads)

    def acknowledge(self, committed: int, effects: Effects) -> None:
        """Everything up to `committed` is acknowledged."""
        while self._proposals and self._proposals[0][0] <= committed:
            index, call = self._proposals.popleft()
            effects.done.append(CallDone(call, index))

    def confirm(self, heartbeat_round: int, committed: int, effects: Effects) -> None:
        """The view is proven as of heartbeat `heartbeat_round`."""
        while self._reads and self._reads[0][0] <= heartbeat_round:
            effects.done.append(CallDone(self._reads.popleft()[1], committed))

    def fail(self, reason: str, effects: Effects) -> None:
        """The member is primary no more."""
        effects.failed.extend(CallFailed(call, reason, True) for _, call in self._proposals)
        effects.failed.extend(CallFailed(call, reason, False) for _, call in self._reads)
        self._proposals.clear()
        self._reads.clear()

    def _next(self) -> PendingCall:
        self._number += 1
        return PendingCall(self._number)

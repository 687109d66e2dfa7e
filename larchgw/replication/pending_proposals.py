"""The calls that wait at the primary for copies or for a proof."""

from __future__ import annotations

from collections import deque

from .effects import Done, Effects, Failed, Ticket


class Tickets:
    """Proposals in order of their index, reads in order of the heartbeat that must prove them."""

    def __init__(self) -> None:
        self._number = 0
        self._proposals: deque[tuple[int, Ticket]] = deque()
        self._reads: deque[tuple[int, Ticket]] = deque()

    def proposal(self, index: int) -> Ticket:
        """Done once `index` is acknowledged."""
        ticket = self._next()
        self._proposals.append((index, ticket))
        return ticket

    def read(self, round: int) -> Ticket:
        """Done once a quorum has granted the heartbeat `round` or a later one."""
        ticket = self._next()
        self._reads.append((round, ticket))
        return ticket

    @property
    def has_reads(self) -> bool:
        """Whether reads wait for a proof."""
        return bool(self._reads)

    def acknowledge(self, committed: int, effects: Effects) -> None:
        """Everything up to `committed` is acknowledged."""
        while self._proposals and self._proposals[0][0] <= committed:
            index, ticket = self._proposals.popleft()
            effects.done.append(Done(ticket, index))

    def confirm(self, round: int, committed: int, effects: Effects) -> None:
        """The view is proven as of heartbeat `round`."""
        while self._reads and self._reads[0][0] <= round:
            effects.done.append(Done(self._reads.popleft()[1], committed))

    def fail(self, reason: str, effects: Effects) -> None:
        """The member is primary no more."""
        effects.failed.extend(Failed(ticket, reason, True) for _, ticket in self._proposals)
        effects.failed.extend(Failed(ticket, reason, False) for _, ticket in self._reads)
        self._proposals.clear()
        self._reads.clear()

    def _next(self) -> Ticket:
        self._number += 1
        return Ticket(self._number)

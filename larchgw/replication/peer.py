"""The state that a primary keeps for each other member."""

from __future__ import annotations

from dataclasses import dataclass

from .snapshot_transfer import OutgoingSnapshot

NEVER = float("-inf")


@dataclass(slots=True)
class Peer:
    """One other member, as seen by the primary in one epoch. Times are seconds of the primary's clock.

    Attributes:
        last_seen_at: When its last message arrived.
        next_index: Index of the record to send next.
        match_index: Everything up to this index is durable there; -1 until that is known in this epoch.
        round: Round of the newest heartbeat that it granted.
        resend_at: When the message in flight is sent again.
        in_flight: Whether records or a chunk were sent and not answered yet.
        overdue_at: When it no longer counts as keeping up; None while it has all records.
        replicating: Whether records are sent to it: it is a backup, or a member that asked to join.
        view_sent_at: When the view was last sent to it.
        snapshot: The snapshot being sent to it; records wait until it is installed.
    """

    last_seen_at: float
    next_index: int
    match_index: int = -1
    round: int = 0
    resend_at: float = NEVER
    in_flight: bool = False
    overdue_at: float | None = None
    replicating: bool = False
    view_sent_at: float = NEVER
    snapshot: OutgoingSnapshot | None = None

    def is_healthy(self, now: float, silence_s: float) -> bool:
        """Whether it was seen within `silence_s` and keeps up with what it is sent."""
        if now - self.last_seen_at > silence_s:
            return False
        return self.overdue_at is None or now <= self.overdue_at

    def volatile_state(self) -> tuple[object, ...]:
        """All state that its replies have changed, without times."""
        offset = None if self.snapshot is None else self.snapshot.offset
        return (self.match_index, self.next_index, self.round, self.in_flight, self.replicating, offset)

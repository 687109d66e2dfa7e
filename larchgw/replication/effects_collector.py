"""What the calls of a member come to: records handed out, calls ended, the role it plays."""

from __future__ import annotations

from collections.abc import Iterable

from .effects import CommittedRecord, Effects, InstalledSnapshot, PendingCall, Role
from .leadership import Leadership
from .outbound_messages import OutboundMessages
from .pending_calls import PendingCalls
from .replica import Replica


class EffectsCollector:
    """Collects the `Effects` of one call after the other, and what they must go on from.

    Attributes:
        delivered: The last record that was handed out, or that a snapshot handed out stands for.
    """

    def __init__(self, replica: Replica, deliver_bytes: int) -> None:
        """Begins with nothing handed out.

        Args:
            replica: The log.
            deliver_bytes: Records times the size of the state that are handed out at a time.
        """
        self._replica = replica
        self._deliver_bytes = deliver_bytes
        self._effects = Effects()
        self._pending_calls = PendingCalls()
        self._role = Role.LEARNER
        self.delivered = 0

    def add_proposal(self, index: int) -> PendingCall:
        """A call that ends once the record at `index` is acknowledged and handed out."""
        return self._pending_calls.add_proposal(index)

    def add_read(self, heartbeat_round: int) -> PendingCall:
        """A call that ends once a quorum has granted the heartbeat `heartbeat_round` or a later one."""
        return self._pending_calls.add_read(heartbeat_round)

    def add_announcement(self) -> PendingCall:
        """A call that ends with `end_announcements` or `fail_announcements`."""
        return self._pending_calls.add_announcement()

    def end_announcements(self, calls: Iterable[PendingCall]) -> None:
        """A quorum of witnesses remembers the acts that these calls announced."""
        self._pending_calls.end_announcements(calls, self._effects)

    def fail_announcements(self, calls: Iterable[PendingCall], reason: str) -> None:
        """The acts that these calls announced must not be begun."""
        self._pending_calls.fail_announcements(calls, reason, self._effects)

    def fail_calls(self, reason: str) -> None:
        """The member is primary no more."""
        self._pending_calls.fail(reason, self._effects)

    def start_from(self, index: int, snapshot: bytes) -> None:
        """Hands out the snapshot on the disk, if there is one (`index` above 0)."""
        if index:
            self._effects.installed = InstalledSnapshot(index, snapshot)
        self.delivered = index

    def install(self, snapshot: InstalledSnapshot) -> None:
        """A snapshot has replaced the log: it is handed out in place of the records before it."""
        self._effects.installed = snapshot
        self._effects.committed = []
        self.delivered = snapshot.index

    def deliver(self) -> None:
        """Hands out acknowledged records.

        A few at a time where the state is large: the caller needs time for each, and heartbeats must go on
        meanwhile.
        """
        if self.delivered >= self._replica.committed:
            return
        max_records = max(1, self._deliver_bytes // max(1, self._replica.state_bytes))
        last = min(self._replica.committed, self.delivered + max_records)
        records = self._replica.read(self.delivered + 1, last)
        self._effects.committed.extend(CommittedRecord(index, record) for index, record in records)
        self.delivered = last

    def complete_calls(self, leading: Leadership, self_granted: bool) -> None:
        """Ends the calls whose records have been handed out, and the reads that are proven.

        Args:
            leading: The view in which this member is primary.
            self_granted: Whether its own witness grants its heartbeats.
        """
        self._pending_calls.acknowledge(self.delivered, self._effects)
        has_all = leading.is_ready and self.delivered == self._replica.committed
        if self._pending_calls.has_reads and has_all:
            proven_round = leading.proven_round(self_granted)
            self._pending_calls.confirm(proven_round, self._replica.committed, self._effects)

    def update_role(self, role: Role) -> None:
        """Reports the role where it has changed."""
        if role is not self._role:
            self._role = self._effects.role = role

    def take(self, outbound: OutboundMessages) -> Effects:
        """The effects so far, with the messages of the outbound; the next ones begin empty."""
        effects, self._effects = self._effects, Effects()
        effects.messages = outbound.drain()
        return effects

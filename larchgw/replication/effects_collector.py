"""Collects the effects of a member's calls: delivered records, completed calls, and its role."""

from __future__ import annotations

from collections.abc import Iterable

from .effects import CommittedRecord, Effects, InstalledSnapshot, PendingCall, Role
from .leadership import Leadership
from .outbound_messages import OutboundMessages
from .pending_calls import PendingCalls
from .replica import Replica


class EffectsCollector:
    """Collects the `Effects` of each call, and the state that later calls continue from.

    Attributes:
        delivered: The last record that was delivered, by itself or as part of a snapshot.
    """

    def __init__(self, replica: Replica, deliver_bytes: int) -> None:
        """Begins with nothing delivered.

        Args:
            replica: The log.
            deliver_bytes: Limit of the number of records times the size of the state that one call delivers.
        """
        self._replica = replica
        self._deliver_bytes = deliver_bytes
        self._effects = Effects()
        self._pending_calls = PendingCalls()
        self._role = Role.LEARNER
        self.delivered = 0

    def add_proposal(self, index: int) -> PendingCall:
        """Adds a call that is done once the record at `index` is acknowledged and delivered."""
        return self._pending_calls.add_proposal(index)

    def add_read(self, heartbeat_round: int) -> PendingCall:
        """Adds a call that is done once a quorum has granted heartbeat `heartbeat_round` or a later one."""
        return self._pending_calls.add_read(heartbeat_round)

    def add_announcement(self) -> PendingCall:
        """Creates a call that ends with `complete_announcements` or `fail_announcements`."""
        return self._pending_calls.add_announcement()

    def complete_announcements(self, calls: Iterable[PendingCall]) -> None:
        """Completes calls: a quorum of witnesses remembers the actions that they announced."""
        self._pending_calls.complete_announcements(calls, self._effects)

    def fail_announcements(self, calls: Iterable[PendingCall], reason: str) -> None:
        """Fails calls: the actions that they announced must not be started."""
        self._pending_calls.fail_announcements(calls, reason, self._effects)

    def fail_calls(self, reason: str) -> None:
        """Fails all proposals and reads because the member is no longer primary."""
        self._pending_calls.fail(reason, self._effects)

    def start_from(self, index: int, snapshot: bytes) -> None:
        """Delivers the snapshot on the disk, if there is one (`index` above 0)."""
        if index:
            self._effects.installed = InstalledSnapshot(index, snapshot)
        self.delivered = index

    def install(self, snapshot: InstalledSnapshot) -> None:
        """Delivers a snapshot that has replaced the log, in place of the records that it includes."""
        self._effects.installed = snapshot
        self._effects.committed = []
        self.delivered = snapshot.index

    def deliver(self) -> None:
        """Delivers acknowledged records.

        If the state is large, a call delivers only a few: the caller takes time in proportion to the state
        for each record, and heartbeats must continue in between.
        """
        if self.delivered >= self._replica.committed:
            return
        max_records = max(1, self._deliver_bytes // max(1, self._replica.state_bytes))
        last = min(self._replica.committed, self.delivered + max_records)
        records = self._replica.read(self.delivered + 1, last)
        self._effects.committed.extend(CommittedRecord(index, record) for index, record in records)
        self.delivered = last

    def complete_calls(self, leadership: Leadership, self_granted: bool) -> None:
        """Completes the proposals whose records have been delivered, and the reads that are confirmed.

        Args:
            leadership: The state of this member as primary.
            self_granted: Whether this member, as a witness, grants its own heartbeats.
        """
        self._pending_calls.acknowledge(self.delivered, self._effects)
        has_all = leadership.is_ready and self.delivered == self._replica.committed
        if self._pending_calls.has_reads and has_all:
            proven_round = leadership.proven_round(self_granted)
            self._pending_calls.confirm(proven_round, self._replica.committed, self._effects)

    def update_role(self, role: Role) -> None:
        """Adds the role to the effects if it has changed."""
        if role is not self._role:
            self._role = self._effects.role = role

    def take(self, outbound: OutboundMessages) -> Effects:
        """Returns and clears the effects collected so far, together with the outbound messages."""
        effects, self._effects = self._effects, Effects()
        effects.messages = outbound.drain()
        return effects

"""What a member does for a primary: answers heartbeats, stores records, and asks to join when out of sync."""

from __future__ import annotations

from collections.abc import Iterable

from .effects import InstalledSnapshot
from .messages import (
    Append,
    AppendReply,
    Heartbeat,
    HeartbeatReply,
    InstallSnapshot,
    InstallSnapshotReply,
    JoinRequest,
)
from .outbound_messages import OutboundMessages
from .replica import Replica
from .settings import Timing
from .snapshot_transfer import IncomingSnapshot
from .view import View
from .witness import Witness


class Follower:
    """Follows the primary of the last accepted view. Times are seconds of the member's clock.

    Attributes:
        primary_seen_at: When a primary was last heard; None if none was since the start.
        incoming: The snapshot that is being received.
    """

    def __init__(
        self,
        member_id: str,
        address: str,
        witness: Witness,
        replica: Replica,
        outbound: OutboundMessages,
        timing: Timing,
    ) -> None:
        """Begins without a primary.

        Args:
            member_id: The identity of this member.
            address: Its RPC address.
            witness: The epoch promised and the view accepted by this member.
            replica: The log.
            outbound: Receives the replies.
            timing: Time-outs.
        """
        self._member_id = member_id
        self._address = address
        self._witness = witness
        self._replica = replica
        self._outbound = outbound
        self._timing = timing
        self._started_at = 0.0
        self._next_join_at = 0.0
        self._matched_in_epoch = 0
        self._matched = 0  # up to this index the log equals that of the primary of `_matched_in_epoch`
        self.primary_seen_at: float | None = None
        self.incoming = IncomingSnapshot()

    def start(self, now: float) -> None:
        """Called once, before any other call. The time-out of the primary starts now."""
        self._started_at = now
        self._next_join_at = now

    def has_recent_primary(self, now: float) -> bool:
        """Whether a primary was heard so recently that no member should try to replace it."""
        return (
            self.primary_seen_at is not None
            and now - self.primary_seen_at < self._timing.primary_timeout_s * 0.8
        )

    def candidacy_due_at(self, view: View) -> float:
        """When this member, in sync in `view`, should try to become primary."""
        rank = view.in_sync.index(self._member_id)
        if self.primary_seen_at is not None:
            return self.primary_seen_at + self._timing.primary_timeout_s + rank * self._timing.rank_stagger_s
        if rank == 0:
            return self._started_at + self._timing.own_restart_s
        return self._started_at + self._timing.primary_timeout_s + rank * self._timing.rank_stagger_s

    def heartbeat(self, now: float, sender: str, heartbeat: Heartbeat) -> None:
        """Answers the heartbeat of a primary.

        It is granted unless a higher epoch is promised; a grant confirms the primary's reads. The reply
        carries the accepted view if it is newer than the primary's.
        """
        promised, view = self._witness.promised, self._witness.view
        granted = promised <= heartbeat.epoch
        accepted = 0 if view is None else view.epoch
        if granted or view is not None and view.primary == sender:
            self.primary_seen_at = now
        if accepted == heartbeat.epoch and granted:
            self._update_committed(heartbeat.epoch, heartbeat.committed_index)
        newer = view if accepted > heartbeat.epoch else None
        self._outbound.send(
            sender, HeartbeatReply(heartbeat.epoch, heartbeat.round, granted, promised, accepted, newer)
        )

    def append(self, now: float, sender: str, append: Append) -> None:
        """Stores records of the primary. Those of a view that this member has not accepted are dropped."""
        if not self._follows(sender, append.epoch):
            return
        self.primary_seen_at = now
        matched, index = self._replica.append_from_primary(
            append.previous_index, append.previous_epoch, append.epochs, append.records
        )
        if matched:
            self.incoming.discard_up_to(index)
            self._update_matched(append.epoch, index)
            self._update_committed(append.epoch, append.committed_index)
        self._outbound.send(sender, AppendReply(append.epoch, matched, index))

    def install(self, now: float, sender: str, install: InstallSnapshot) -> InstalledSnapshot | None:
        """Handles a chunk of the primary's snapshot; returns the snapshot once it has replaced the log."""
        if not self._follows(sender, install.epoch):
            return None
        self.primary_seen_at = now
        if self._replica.has_record(install.index, install.index_epoch):
            self._replica.sync()
            self._confirm_installed(sender, install)
            return None
        if not self.incoming.begin(install):
            return None
        snapshot = self.incoming.receive(install)
        if snapshot is None:
            self._outbound.send(
                sender, InstallSnapshotReply(install.epoch, install.index, self.incoming.offset)
            )
            return None
        self._replica.install(install.index, install.index_epoch, snapshot)
        self._confirm_installed(sender, install)
        return InstalledSnapshot(install.index, snapshot)

    def _confirm_installed(self, sender: str, install: InstallSnapshot) -> None:
        self.incoming.discard()
        self._update_matched(install.epoch, install.index)
        self._outbound.send(sender, AppendReply(install.epoch, True, install.index))

    def request_join(self, now: float, contacts: Iterable[str]) -> None:
        """Sends a request to join, if one is due; called repeatedly while this member is not in sync."""
        if now < self._next_join_at:
            return
        self._next_join_at = now + self._timing.join_interval_s
        join = JoinRequest(self._member_id, self._address)
        view = self._witness.view
        if view is not None and self.has_recent_primary(now):
            self._outbound.send(view.primary, join)
            return
        known = () if view is None else view.addresses.values()
        for address in dict.fromkeys((*known, *contacts)):
            self._outbound.send_to_address(address, join)

    def _follows(self, sender: str, epoch: int) -> bool:
        view = self._witness.view
        if view is None or self._witness.promised != epoch:
            return False
        return (view.epoch, view.primary) == (epoch, sender)

    def _update_matched(self, epoch: int, index: int) -> None:
        if epoch != self._matched_in_epoch:
            self._matched_in_epoch, self._matched = epoch, 0
        self._matched = max(self._matched, index)

    def _update_committed(self, epoch: int, commit: int) -> None:
        if epoch == self._matched_in_epoch:
            self._replica.committed = max(self._replica.committed, min(commit, self._matched))

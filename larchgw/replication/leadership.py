"""The work of an acting primary: sends records, counts copies, confirms reads, and monitors its peers."""

from __future__ import annotations

from .log_sender import LogSender
from .messages import Accept, AppendReply, Heartbeat, HeartbeatReply, InstallSnapshotReply
from .outbound_messages import OutboundMessages
from .peer import NEVER, Peer
from .planning import ObservedMembers
from .replica import Replica
from .settings import MemberSettings
from .view import View


class Leadership:
    """The primary of one view that a quorum has accepted; replaced with each further view that it forms.

    Why an acknowledged record is never lost: it is acknowledged once it is durable at the primary and at
    every backup, including those of a proposed view (`commit_index`). So every in-sync member of the next
    view has it, whichever view that is, and only in-sync members become primary.

    Why a read is never stale: it is confirmed once a quorum has granted a heartbeat that was sent after the
    read began (`proven_round`). A view that was formed before has the promise of a witness in that quorum,
    which would have refused the heartbeat.

    Times are seconds of the member's clock.

    Attributes:
        view: The view.
        round: Number of the newest heartbeat.
        takeover_index: The last record of the log when this member became primary. New records are accepted
            only once all records up to this one are acknowledged.
        joined: Members that asked to be brought up to date, with the time of their last request.
        refused_since: When a member first refused a heartbeat because it has promised a higher epoch.
    """

    def __init__(
        self,
        member_id: str,
        view: View,
        replica: Replica,
        outbound: OutboundMessages,
        settings: MemberSettings,
        now: float,
        predecessor: Leadership | None,
        leaving: frozenset[str] = frozenset(),
    ) -> None:
        """Begins to act as primary.

        Args:
            member_id: The identity of this member.
            view: The view that was accepted.
            replica: The log.
            outbound: Receives the messages to send.
            settings: The number of copies needed, and time-outs.
            now: Seconds of the member's clock.
            predecessor: The leadership of the previous view, if this member was its primary.
            leaving: Members that asked to be left out before a planned shutdown. They were not faulty, so
                they may rejoin without the delay.
        """
        self.view = view
        self._member_id = member_id
        self._replica = replica
        self._outbound = outbound
        self._settings = settings
        self._timing = settings.timing
        self._peers: dict[str, Peer] = {}
        self._sender = LogSender(view.epoch, replica, outbound, settings, self._peers)
        self._proposed_backups: set[str] = set()
        self._joining_backups: frozenset[str] = frozenset()  # members that the view change in progress adds
        self._heartbeat_at = now
        self.round = 0
        self.takeover_index = replica.last_index
        self.joined: dict[str, float] = {}
        self._removed_at: dict[str, float] = {}
        if predecessor is not None:
            self._continue(predecessor, now, leaving)
        for member in view.members:
            self._peer(member, now)
        self.refused_since: float | None = None

    def _continue(self, predecessor: Leadership, now: float, leaving: frozenset[str]) -> None:
        self.round = predecessor.round
        self.takeover_index = predecessor.takeover_index
        self.joined = dict(predecessor.joined)
        self._removed_at = dict(predecessor._removed_at)
        for member in set(predecessor.view.backups) - set(self.view.backups) - leaving:
            self._removed_at[member] = now
        for member, peer in predecessor._peers.items():
            self._peer(member, peer.last_seen_at)

    def _peer(self, member: str, last_seen_at: float) -> None:
        if member == self._member_id or member in self._peers:
            return
        replicating = member in self.view.backups or member in self.joined
        self._peers[member] = Peer(last_seen_at, self._replica.last_index + 1, replicating=replicating)

    # ---- acknowledgements and reads ----

    @property
    def is_ready(self) -> bool:
        """Whether all records of earlier views are acknowledged.

        Only then may it accept new records or confirm reads.
        """
        return self._replica.committed >= self.takeover_index

    def commit_index(self) -> int:
        """The index up to which records are durable at the primary and at every backup.

        The backups of a proposed view count as well: the view may be chosen without this primary knowing it,
        and all its in-sync members are assumed to hold every acknowledged record. Members that are about to
        join count too.
        """
        if len(self.view.in_sync) < self._settings.tolerated_failures + 1:
            return self._replica.committed
        required = set(self.view.backups) | self._proposed_backups | self._joining_backups
        required.discard(self._member_id)
        copies = [self._peers[member].match_index for member in required if member in self._peers]
        if len(copies) < len(required):
            return self._replica.committed
        return max(self._replica.committed, min([self._replica.last_index, *copies]))

    def proven_round(self, self_granted: bool) -> int:
        """The newest heartbeat that a quorum has granted: no later view existed when it was sent."""
        rounds = {member: peer.round for member, peer in self._peers.items()}
        if self_granted:
            rounds[self._member_id] = self.round
        for candidate in sorted(set(rounds.values()), reverse=True):
            if self.view.has_quorum([member for member, reached in rounds.items() if reached >= candidate]):
                return candidate
        return 0

    def has_contact(self, now: float) -> bool:
        """Whether a quorum has been heard recently."""
        heard = {
            member
            for member, peer in self._peers.items()
            if now - peer.last_seen_at <= self._timing.quorum_timeout_s
        }
        return self.view.has_quorum(heard | {self._member_id})

    # ---- views ----

    def set_joining_backups(self, members: frozenset[str]) -> None:
        """Sets the members that the view change which begins now adds; none if no change is needed.

        Until it ends no record is acknowledged without them. Otherwise they would lag by a record again when
        the view is composed, and would never join during a steady stream of changes.
        """
        self._joining_backups = members

    def propose(self, view: View) -> None:
        """Records a proposed view. Until it is decided, acknowledged records need its backups, too."""
        self._proposed_backups.update(view.backups)
        for member in view.members:
            self._peer(member, NEVER)

    def observe_members(
        self, now: float, replaced: frozenset[str], leaving: frozenset[str]
    ) -> ObservedMembers:
        """Returns the observations from which the next view is planned.

        Args:
            now: Seconds of the member's clock.
            replaced: Identities whose address now belongs to another member.
            leaving: Members that are about to shut down.
        """
        healthy = {
            member
            for member, peer in self._peers.items()
            if member not in replaced and self._is_healthy(now, peer)
        }
        ready = [
            member
            for member in self._peers
            if member in healthy - leaving and self._may_join_in_sync_set(now, member, leaving)
        ]
        lost = {
            member
            for member, peer in self._peers.items()
            if member in replaced or now - peer.last_seen_at > self._timing.witness_timeout_s
        }
        addresses = {
            member: address
            for member in self._peers
            if (address := self._outbound.address_of(member)) is not None
        }
        return ObservedMembers(frozenset(healthy), tuple(sorted(ready)), frozenset(lost), leaving, addresses)

    def can_release(self, now: float, member: str, released: frozenset[str]) -> bool:
        """Whether `member` may shut down in addition to those `released` before.

        It may if no acknowledgement waits for its copy and the other reachable members are a quorum.
        """
        if member in self.view.in_sync or member in self._proposed_backups:
            return False
        present = {other for other, peer in self._peers.items() if self._is_healthy(now, peer)}
        return self.view.has_quorum((present | {self._member_id}) - released - {member})

    def _is_healthy(self, now: float, peer: Peer) -> bool:
        return peer.is_healthy(now, self._timing.backup_timeout_s)

    def _may_join_in_sync_set(self, now: float, member: str, leaving: frozenset[str]) -> bool:
        peer = self._peers[member]
        if member in self.view.in_sync or not peer.replicating:
            return False
        if peer.match_index < max(self._replica.committed, self.takeover_index):
            # Records of earlier views may all be acknowledged without this primary knowing it yet.
            return False
        staying = [backup for backup in self.view.backups if backup not in leaving]
        short = (
            sum(self._is_healthy(now, self._peers[backup]) for backup in staying)
            < self._settings.tolerated_failures
        )
        return short or now - self._removed_at.get(member, NEVER) >= self._timing.rejoin_delay_s

    def restart_timeouts(self, now: float) -> None:
        """Restarts the time-outs of all peers after a pause of this process, which heard nobody."""
        for peer in self._peers.values():
            peer.last_seen_at = max(peer.last_seen_at, now)
            peer.overdue_at = None

    # ---- sending ----

    def join(self, now: float, member: str) -> None:
        """Handles the request of a member outside the in-sync set to receive records."""
        if member in self.view.in_sync:
            return
        self.joined[member] = now
        self._peer(member, now)
        peer = self._peers[member]
        peer.last_seen_at = now
        if not peer.replicating:
            peer.replicating = True
            peer.next_index = self._replica.last_index + 1
        self._send_view(now, member, peer)

    def heartbeat(self, now: float) -> None:
        """Sends the heartbeat of a new round to all peers."""
        self.round += 1
        self._heartbeat_at = now + self._timing.heartbeat_interval_s
        heartbeat = Heartbeat(self.view.epoch, self.round, self._replica.committed)
        for member in self._peers:
            self._outbound.send(member, heartbeat)

    def tick(self, now: float) -> None:
        """Sends due heartbeats and records, and forgets members that stopped sending requests."""
        if now >= self._heartbeat_at:
            self.heartbeat(now)
        self.replicate(now)
        self._drop_unseen_peers(now)

    def _drop_unseen_peers(self, now: float) -> None:
        for member in [
            member
            for member, peer in self._peers.items()
            if member not in self.view.members
            and member not in self._proposed_backups
            and now - peer.last_seen_at > self._timing.peer_expiry_s
        ]:
            del self._peers[member]
            self.joined.pop(member, None)

    def replicate(self, now: float) -> None:
        """Sends each replica the records that it lacks."""
        self._sender.replicate(now)

    @property
    def is_sending_snapshot(self) -> bool:
        """Whether a snapshot is being sent; the records after it should be kept until it has arrived."""
        return self._sender.is_sending_snapshot

    def _send_view(self, now: float, member: str, peer: Peer) -> None:
        if now - peer.view_sent_at >= self._timing.heartbeat_interval_s / 2:
            peer.view_sent_at = now
            self._outbound.send(member, Accept(self.view))

    # ---- replies ----

    def heartbeat_reply(self, now: float, sender: str, reply: HeartbeatReply) -> None:
        """Handles the reply to a heartbeat of this epoch."""
        peer = self._observe_reply(now, sender, reply.epoch)
        if peer is None:
            return
        if not reply.granted:
            if self.refused_since is None:
                self.refused_since = now
            return
        peer.round = max(peer.round, reply.round)
        if reply.view_epoch < self.view.epoch:
            self._send_view(now, sender, peer)

    def append_reply(self, now: float, sender: str, reply: AppendReply) -> None:
        """Handles the reply of a replica to records of this epoch, or to the last chunk of a snapshot."""
        peer = self._observe_reply(now, sender, reply.epoch)
        if peer is not None:
            self._sender.append_reply(now, sender, peer, reply)

    def install_reply(self, now: float, sender: str, reply: InstallSnapshotReply) -> None:
        """Handles the progress report of a replica that receives a snapshot of this epoch."""
        peer = self._observe_reply(now, sender, reply.epoch)
        if peer is not None:
            self._sender.install_reply(now, sender, peer, reply)

    def _observe_reply(self, now: float, sender: str, epoch: int) -> Peer | None:
        """Records the contact; returns the peer if it is known and the reply is of this epoch."""
        peer = self._peers.get(sender)
        if peer is None or epoch != self.view.epoch:
            return None
        peer.last_seen_at = now
        return peer

    def volatile_state(self) -> tuple[object, ...]:
        """All state that replies have changed, without times."""
        peers = tuple((member, *peer.volatile_state()) for member, peer in sorted(self._peers.items()))
        return (self.view.epoch, self.round, self.takeover_index, frozenset(self._proposed_backups), peers)

    def successor(self, now: float, leaving: frozenset[str]) -> str | None:
        """The healthy backup that holds the most records; None if no backup is healthy."""
        healthy = [
            member
            for member in self.view.backups
            if member not in leaving and self._is_healthy(now, self._peers[member])
        ]
        return max(healthy, key=lambda member: self._peers[member].match_index, default=None)

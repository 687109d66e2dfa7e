"""What an acting primary does: sends records, counts copies, proves reads, and watches its peers."""

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
    every backup, those of a proposed view included (`commit_index`). So every in-sync member of whatever view
    comes next has it, and only in-sync members become primary.

    Why a read is never stale: it is confirmed once a quorum has granted a heartbeat that was sent after the
    read began (`proven_round`). A view formed before would have had the promise of a witness in that quorum.

    Times are seconds of the member's clock.

    Attributes: view: The view. round: Number of the newest heartbeat. takeover_index: The last record of the
    log when the role was won; until all up to there is acknowledged, nothing new is taken. joined: Members
    that asked to be brought up to date, and when last. refused_since: When a member first refused a heartbeat
    because it has promised a higher epoch.
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
            outbound: Takes the messages.
            settings: Copies needed, and time-outs.
            now: Seconds of the member's clock.
            predecessor: The view that this member led before, if it stays primary.
            leaving: Who asked to be left out before a planned end: such a member did nothing wrong, and may
                come back as soon as it likes.
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
        self._entering: frozenset[str] = frozenset()  # a view change is in progress to take them in
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

    # ---- what is proven ----

    @property
    def is_ready(self) -> bool:
        """Whether everything it took over is acknowledged.

        Only then may it judge new records or confirm reads.
        """
        return self._replica.committed >= self.takeover_index

    def commit_index(self) -> int:
        """Up to where records are durable at the primary and at every backup.

        Those of a proposed view count as well: it may be chosen without this primary knowing, and its members
        would be taken to hold everything acknowledged. So do members that are about to be taken in.
        """
        if len(self.view.in_sync) < self._settings.tolerated_failures + 1:
            return self._replica.committed
        required = set(self.view.backups) | self._proposed_backups | self._entering
        required.discard(self._member_id)
        copies = [self._peers[member].match_index for member in required if member in self._peers]
        if len(copies) < len(required):
            return self._replica.committed
        return max(self._replica.committed, min([self._replica.last_index, *copies]))

    def proven_round(self, self_granted: bool) -> int:
        """The newest heartbeat that a quorum has granted: the view stood when it was sent."""
        rounds = {member: peer.round for member, peer in self._peers.items()}
        if self_granted:
            rounds[self._member_id] = self.round
        for candidate in sorted(set(rounds.values()), reverse=True):
            if self.view.has_quorum([member for member, reached in rounds.items() if reached >= candidate]):
                return candidate
        return 0

    def has_contact(self, now: float) -> bool:
        """Whether a quorum has been heard of lately."""
        heard = {
            member
            for member, peer in self._peers.items()
            if now - peer.last_seen_at <= self._timing.quorum_contact_s
        }
        return self.view.has_quorum(heard | {self._member_id})

    # ---- views ----

    def set_entering(self, members: frozenset[str]) -> None:
        """Sets the members that the view change which begins now is to take in; none if no change is needed.

        Until its end nothing is acknowledged without them. Otherwise they would be a record behind again when
        the view is composed, and with a steady stream of changes never enter.
        """
        self._entering = members

    def propose(self, view: View) -> None:
        """A view was proposed: until it is decided its backups, too, must hold what is acknowledged."""
        self._proposed_backups.update(view.backups)
        for member in view.members:
            self._peer(member, NEVER)

    def observe_members(
        self, now: float, replaced: frozenset[str], leaving: frozenset[str]
    ) -> ObservedMembers:
        """What the next view is to be planned by.

        Args:
            now: Seconds of the member's clock.
            replaced: Identities whose address now belongs to another.
            leaving: Members that are about to end.
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
            if member in replaced or now - peer.last_seen_at > self._timing.witness_silence_s
        }
        addresses = {
            member: address
            for member in self._peers
            if (address := self._outbound.address_of(member)) is not None
        }
        return ObservedMembers(frozenset(healthy), tuple(sorted(ready)), frozenset(lost), leaving, addresses)

    def can_release(self, now: float, member: str, released: frozenset[str]) -> bool:
        """Whether this member may end, and those `released` before too.

        No acknowledgement waits for its copy, and the others that are there are a quorum.
        """
        if member in self.view.in_sync or member in self._proposed_backups:
            return False
        present = {other for other, peer in self._peers.items() if self._is_healthy(now, peer)}
        return self.view.has_quorum((present | {self._member_id}) - released - {member})

    def _is_healthy(self, now: float, peer: Peer) -> bool:
        return peer.is_healthy(now, self._timing.backup_silence_s)

    def _may_join_in_sync_set(self, now: float, member: str, leaving: frozenset[str]) -> bool:
        peer = self._peers[member]
        if member in self.view.in_sync or not peer.replicating:
            return False
        if peer.match_index < max(self._replica.committed, self.takeover_index):
            # What was taken over may all be acknowledged, though this primary does not know yet.
            return False
        staying = [backup for backup in self.view.backups if backup not in leaving]
        short = (
            sum(self._is_healthy(now, self._peers[backup]) for backup in staying)
            < self._settings.tolerated_failures
        )
        return short or now - self._removed_at.get(member, NEVER) >= self._timing.rejoin_delay_s

    def reset_silence(self, now: float) -> None:
        """This process itself did not run: what it did not hear in that time says nothing of the others."""
        for peer in self._peers.values():
            peer.last_seen_at = max(peer.last_seen_at, now)
            peer.overdue_at = None

    # ---- sending ----

    def join(self, now: float, member: str) -> None:
        """A member that is not in sync asks for records."""
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
        """A new round to everyone."""
        self.round += 1
        self._heartbeat_at = now + self._timing.heartbeat_interval_s
        heartbeat = Heartbeat(self.view.epoch, self.round, self._replica.committed)
        for member in self._peers:
            self._outbound.send(member, heartbeat)

    def tick(self, now: float) -> None:
        """Heartbeats, records that are due, and forgetting of members that stopped asking."""
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
            and now - peer.last_seen_at > self._timing.forget_peer_s
        ]:
            del self._peers[member]
            self.joined.pop(member, None)

    def replicate(self, now: float) -> None:
        """Sends each replica what it lacks."""
        self._sender.replicate(now)

    @property
    def is_sending_snapshot(self) -> bool:
        """Whether some member is being sent a snapshot: the records after it should be kept until then."""
        return self._sender.is_sending_snapshot

    def _send_view(self, now: float, member: str, peer: Peer) -> None:
        if now - peer.view_sent_at >= self._timing.heartbeat_interval_s / 2:
            peer.view_sent_at = now
            self._outbound.send(member, Accept(self.view))

    # ---- answers ----

    def heartbeat_reply(self, now: float, sender: str, reply: HeartbeatReply) -> None:
        """A peer has answered a heartbeat of this epoch."""
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
        """A replica has answered records of this epoch, or has installed a snapshot."""
        peer = self._observe_reply(now, sender, reply.epoch)
        if peer is not None:
            self._sender.append_reply(now, sender, peer, reply)

    def install_reply(self, now: float, sender: str, reply: InstallSnapshotReply) -> None:
        """A replica says how far a snapshot of this epoch has come."""
        peer = self._observe_reply(now, sender, reply.epoch)
        if peer is not None:
            self._sender.install_reply(now, sender, peer, reply)

    def _observe_reply(self, now: float, sender: str, epoch: int) -> Peer | None:
        """The peer that replied, if it is known and the reply is of this epoch."""
        peer = self._peers.get(sender)
        if peer is None or epoch != self.view.epoch:
            return None
        peer.last_seen_at = now
        return peer

    def volatile_state(self) -> tuple[object, ...]:
        """Everything that answers have changed, times left out."""
        peers = tuple((member, *peer.volatile_state()) for member, peer in sorted(self._peers.items()))
        return (self.view.epoch, self.round, self.takeover_index, frozenset(self._proposed_backups), peers)

    def successor(self, now: float, leaving: frozenset[str]) -> str | None:
        """The backup that would lose the least by becoming primary now."""
        healthy = [
            member
            for member in self.view.backups
            if member not in leaving and self._is_healthy(now, self._peers[member])
        ]
        return max(healthy, key=lambda member: self._peers[member].match_index, default=None)

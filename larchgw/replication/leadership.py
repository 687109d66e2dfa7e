"""What an acting primary does: sends records, counts copies, proves reads, and watches its peers."""

from __future__ import annotations

from dataclasses import dataclass

from .messages import Accept, Append, AppendReply, Heartbeat, HeartbeatReply, InstallSnapshotReply
from .outbound_messages import OutboundMessages
from .planning import ObservedMembers
from .replica import Replica
from .settings import MemberSettings
from .snapshot_transfer import OutgoingSnapshot, Snapshot
from .view import View

NEVER = float("-inf")


@dataclass(slots=True)
class Peer:
    """What the primary knows of one other member in this epoch."""

    last_seen_at: float
    next_index: int
    match: int = -1  # everything up to here is durable there; -1 until that is known in this epoch
    round: int = 0  # the newest heartbeat it granted
    resend_at: float = NEVER  # of the append that is under way
    in_flight: bool = False
    overdue_at: float | None = None  # when it no longer counts as keeping up
    replicating: bool = False
    view_sent_at: float = NEVER
    snapshot: OutgoingSnapshot | None = None  # on its way there; records wait until it is installed


class Leadership:
    """The primary of one view that a quorum has accepted. Renewed with each view it forms while it stays
    primary; `before` is the one it continues. `leaving`: who asked to be left out before a planned end; such
    a member did nothing wrong, and may come back as soon as it likes."""

    def __init__(
        self,
        member_id: str,
        view: View,
        replica: Replica,
        outbox: OutboundMessages,
        settings: MemberSettings,
        now: float,
        predecessor: Leadership | None,
        leaving: frozenset[str] = frozenset(),
    ) -> None:
        self.view = view
        self._member_id = member_id
        self._replica = replica
        self._outbox = outbox
        self._settings = settings
        self._timing = settings.timing
        self._peers: dict[str, Peer] = {}
        self._proposed_backups: set[str] = set()
        self._entering: frozenset[str] = frozenset()  # a ballot is under way to take them in
        self._heartbeat_at = now
        self.round = 0
        self.takeover_index = replica.last_index
        self.joined: dict[str, float] = {}  # members that asked to be brought up to date -> when last
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
        """Whether everything it took over is acknowledged: only then may it judge new records or confirm
        reads."""
        return self._replica.committed >= self.takeover_index

    def commit_index(self) -> int:
        """Up to where records are durable at the primary and at every backup, those of a pending view
        included."""
        if len(self.view.in_sync) < self._settings.tolerated_failures + 1:
            return self._replica.committed
        required = set(self.view.backups) | self._proposed_backups | self._entering
        required.discard(self._member_id)
        copies = [self._peers[member].match for member in required if member in self._peers]
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
        """These are ready, and a ballot begins to take them in: until its end nothing is acknowledged without
        them. Otherwise they would be a record behind again when the view is composed, and with a steady
        stream of changes never enter. No members: no ballot is under way."""
        self._entering = members

    def propose(self, view: View) -> None:
        """Until the view is decided its backups must hold what is acknowledged, as well as the present
        ones."""
        self._proposed_backups.update(view.backups)
        for member in view.members:
            self._peer(member, NEVER)

    def observe_members(
        self, now: float, replaced: frozenset[str], leaving: frozenset[str]
    ) -> ObservedMembers:
        """For the next view. `replaced`: identities whose address now belongs to another. `leaving`: members
        that are about to end."""
        healthy = {
            member
            for member, peer in self._peers.items()
            if member not in replaced and self._is_healthy(now, peer)
        }
        ready = [
            member
            for member in self._peers
            if member in healthy - leaving and self._may_enter(now, member, leaving)
        ]
        lost = {
            member
            for member, peer in self._peers.items()
            if member in replaced or now - peer.last_seen_at > self._timing.witness_silence_s
        }
        addresses = {
            member: address
            for member in self._peers
            if (address := self._outbox.address_of(member)) is not None
        }
        return ObservedMembers(frozenset(healthy), tuple(sorted(ready)), frozenset(lost), leaving, addresses)

    def can_release(self, now: float, member: str, released: frozenset[str]) -> bool:
        """Whether this member may end, and those `released` before too: no acknowledgement waits for its
        copy, and the others that are there are a quorum."""
        if member in self.view.in_sync or member in self._proposed_backups:
            return False
        present = {other for other, peer in self._peers.items() if self._is_healthy(now, peer)}
        return self.view.has_quorum((present | {self._member_id}) - released - {member})

    def _is_healthy(self, now: float, peer: Peer) -> bool:
        if now - peer.last_seen_at > self._timing.backup_silence_s:
            return False
        return peer.overdue_at is None or now <= peer.overdue_at

    def _may_enter(self, now: float, member: str, leaving: frozenset[str]) -> bool:
        peer = self._peers[member]
        if member in self.view.in_sync or not peer.replicating:
            return False
        if peer.match < max(self._replica.committed, self.takeover_index):
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
            self._outbox.send(member, heartbeat)

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
        """Sends each replica what it lacks, one message under way at a time."""
        for member, peer in self._peers.items():
            if peer.replicating:
                self._replicate_to(now, member, peer)

    def _replicate_to(self, now: float, member: str, peer: Peer) -> None:
        last = self._replica.last_index
        if peer.match >= last:
            peer.overdue_at = None
            peer.in_flight = False
            return
        if peer.in_flight and now < peer.resend_at:
            return
        if peer.snapshot is None and peer.next_index < self._replica.first_index:
            peer.snapshot = self._start_snapshot()
        sent_bytes = (
            self._send_records(member, peer)
            if peer.snapshot is None
            else self._send_chunk(member, peer.snapshot)
        )
        outstanding_bytes = sent_bytes if peer.snapshot is None else peer.snapshot.remaining_bytes
        peer.in_flight = True
        peer.resend_at = now + self._timing.retransmit_s + sent_bytes / self._timing.slowest_link_bytes_per_s
        if peer.overdue_at is None:
            peer.overdue_at = (
                now
                + self._timing.backup_silence_s
                + outstanding_bytes / self._timing.slowest_link_bytes_per_s
            )

    def _send_records(self, member: str, peer: Peer) -> int:
        replica = self._replica
        first = peer.next_index
        epochs, records = replica.batch(first, self._settings.batch_bytes)
        append = Append(
            self.view.epoch, first - 1, replica.epoch_at(first - 1), replica.committed, epochs, records
        )
        self._outbox.send(member, append)
        return sum(map(len, records))

    @property
    def is_sending_snapshot(self) -> bool:
        """Whether some member is being sent a snapshot: the records after it should be kept until then."""
        return any(peer.snapshot is not None for peer in self._peers.values())

    def _start_snapshot(self) -> OutgoingSnapshot:
        """A transfer of the newest snapshot, which is read once for all members that need it."""
        newest = self._replica.first_index - 1
        shared = (peer.snapshot.snapshot for peer in self._peers.values() if peer.snapshot is not None)
        snapshot = next((each for each in shared if each.index == newest), None)
        if snapshot is None:
            snapshot = Snapshot.of(*self._replica.snapshot())
        return OutgoingSnapshot(self.view.epoch, snapshot, self._settings.chunk_bytes)

    def _send_chunk(self, member: str, outgoing: OutgoingSnapshot) -> int:
        install = outgoing.chunk()
        self._outbox.send(member, install)
        return len(install.chunk)

    def _send_view(self, now: float, member: str, peer: Peer) -> None:
        if now - peer.view_sent_at >= self._timing.heartbeat_interval_s / 2:
            peer.view_sent_at = now
            self._outbox.send(member, Accept(self.view))

    # ---- answers ----

    def heartbeat_reply(self, now: float, sender: str, reply: HeartbeatReply) -> None:
        """A peer has answered a heartbeat of this epoch."""
        peer = self._peers.get(sender)
        if peer is None or reply.epoch != self.view.epoch:
            return
        peer.last_seen_at = now
        if not reply.granted:
            if self.refused_since is None:
                self.refused_since = now
            return
        peer.round = max(peer.round, reply.round)
        if reply.view_epoch < self.view.epoch:
            self._send_view(now, sender, peer)

    def append_reply(self, now: float, sender: str, reply: AppendReply) -> None:
        """A replica has answered records of this epoch, or has installed a snapshot."""
        peer = self._peers.get(sender)
        if peer is None or reply.epoch != self.view.epoch:
            return
        peer.last_seen_at = now
        if peer.snapshot is not None:
            if not reply.matched or reply.index < peer.snapshot.snapshot.index:
                return  # a late answer to records that were sent before the snapshot
            peer.snapshot = None
        if reply.matched:
            if reply.index > peer.match:
                peer.match = reply.index
                peer.overdue_at = None
            peer.next_index = peer.match + 1
        else:
            peer.next_index = min(reply.index, self._replica.last_index) + 1
        peer.in_flight = False
        self._replicate_to(now, sender, peer)

    def install_reply(self, now: float, sender: str, reply: InstallSnapshotReply) -> None:
        """A replica tells how far a snapshot of this epoch has come."""
        peer = self._peers.get(sender)
        if peer is None or reply.epoch != self.view.epoch:
            return
        peer.last_seen_at = now
        if peer.snapshot is not None and peer.snapshot.acknowledge(reply.index, reply.offset):
            peer.in_flight = False
            self._replicate_to(now, sender, peer)

    def volatile_state(self) -> tuple[object, ...]:
        """Everything that answers have changed, times left out."""
        peers = tuple(
            (
                member,
                peer.match,
                peer.next_index,
                peer.round,
                peer.in_flight,
                peer.replicating,
                None if peer.snapshot is None else peer.snapshot.offset,
            )
            for member, peer in sorted(self._peers.items())
        )
        return (self.view.epoch, self.round, self.takeover_index, frozenset(self._proposed_backups), peers)

    def successor(self, now: float, leaving: frozenset[str]) -> str | None:
        """The backup that would lose the least by becoming primary now."""
        healthy = [
            member
            for member in self.view.backups
            if member not in leaving and self._is_healthy(now, self._peers[member])
        ]
        return max(healthy, key=lambda member: self._peers[member].match, default=None)

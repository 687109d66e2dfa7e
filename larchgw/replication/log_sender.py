"""Sends each replica the records that it lacks, or a snapshot in place of compacted records."""

from __future__ import annotations

from collections.abc import Mapping

from .messages import Append, AppendReply, InstallSnapshotReply
from .outbound_messages import OutboundMessages
from .peer import Peer
from .replica import Replica
from .settings import MemberSettings
from .snapshot_transfer import OutgoingSnapshot, Snapshot


class LogSender:
    """The primary's side of log replication in one epoch; one message per peer is in flight at a time.

    Times are seconds of the member's clock. `peers` is the primary's table, shared with `Leadership`.

    Source: Viewstamped Replication Revisited, section 4.1; Raft, sections 5.3 (consistency check) and 7
    (snapshots).
    """

    def __init__(
        self,
        epoch: int,
        replica: Replica,
        outbound: OutboundMessages,
        settings: MemberSettings,
        peers: Mapping[str, Peer],
    ) -> None:
        """Begins with nothing sent.

        Args:
            epoch: The epoch of the primary's view.
            replica: The log.
            outbound: Receives the messages to send.
            settings: Sizes of messages, and time-outs.
            peers: The other members, by identity.
        """
        self._epoch = epoch
        self._replica = replica
        self._outbound = outbound
        self._settings = settings
        self._timing = settings.timing
        self._peers = peers

    @property
    def is_sending_snapshot(self) -> bool:
        """Whether a snapshot is being sent; the records after it should be kept until it has arrived."""
        return any(peer.snapshot is not None for peer in self._peers.values())

    def replicate(self, now: float) -> None:
        """Sends each replica the records that it lacks."""
        for member, peer in self._peers.items():
            if peer.replicating:
                self._replicate_to(now, member, peer)

    def append_reply(self, now: float, sender: str, peer: Peer, reply: AppendReply) -> None:
        """Handles the reply of a replica to records of this epoch, or to the last chunk of a snapshot."""
        if peer.snapshot is not None:
            if not reply.matched or reply.index < peer.snapshot.snapshot.index:
                return  # a late reply to records that were sent before the snapshot
            peer.snapshot = None
        if reply.matched:
            if reply.index > peer.match_index:
                peer.match_index = reply.index
                peer.overdue_at = None
            peer.next_index = peer.match_index + 1
        else:
            peer.next_index = min(reply.index, self._replica.last_index) + 1
        peer.in_flight = False
        self._replicate_to(now, sender, peer)

    def install_reply(self, now: float, sender: str, peer: Peer, reply: InstallSnapshotReply) -> None:
        """Handles the progress report of a replica that receives a snapshot of this epoch."""
        if peer.snapshot is not None and peer.snapshot.acknowledge(reply.index, reply.offset):
            peer.in_flight = False
            self._replicate_to(now, sender, peer)

    def _replicate_to(self, now: float, member: str, peer: Peer) -> None:
        """Sends the next records or chunk that the peer lacks, unless a message to it is in flight."""
        last = self._replica.last_index
        if peer.match_index >= last:
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
        peer.resend_at = (
            now + self._timing.retransmit_timeout_s + sent_bytes / self._timing.slowest_link_bytes_per_s
        )
        if peer.overdue_at is None:
            peer.overdue_at = (
                now
                + self._timing.backup_timeout_s
                + outstanding_bytes / self._timing.slowest_link_bytes_per_s
            )

    def _send_records(self, member: str, peer: Peer) -> int:
        replica = self._replica
        first = peer.next_index
        epochs, records = replica.batch(first, self._settings.batch_bytes)
        append = Append(
            self._epoch, first - 1, replica.epoch_at(first - 1), replica.committed, epochs, records
        )
        self._outbound.send(member, append)
        return sum(map(len, records))

    def _start_snapshot(self) -> OutgoingSnapshot:
        """Starts a transfer of the newest snapshot, which is read once for all members that need it."""
        newest = self._replica.first_index - 1
        shared = (peer.snapshot.snapshot for peer in self._peers.values() if peer.snapshot is not None)
        snapshot = next((each for each in shared if each.index == newest), None)
        if snapshot is None:
            snapshot = Snapshot.of(*self._replica.snapshot())
        return OutgoingSnapshot(self._epoch, snapshot, self._settings.chunk_bytes)

    def _send_chunk(self, member: str, outgoing: OutgoingSnapshot) -> int:
        install = outgoing.chunk()
        self._outbound.send(member, install)
        return len(install.chunk)

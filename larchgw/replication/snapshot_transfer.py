"""A snapshot on its way from the primary to a member that lacks records which are no longer kept.

It goes in chunks, one in flight at a time, so that heartbeats pass between them and no message grows with the
state. The receiver says from where to go on; nothing is replaced before all of it is there and its checksum
agrees. What is received lies in memory: a receiver that restarts begins anew.

Source: Raft, section 7.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

import structlog

from .messages import InstallSnapshot

log = structlog.get_logger()
CHUNK_BYTES = 256 << 10  # 26 ms on the slowest link: a heartbeat waits no longer behind it
MAX_SNAPSHOT_BYTES = 24 << 20  # set aside for one; control/configuration_size.py keeps states below


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The state after record `index`, which was proposed in `epoch`."""

    index: int
    epoch: int
    content: bytes
    checksum: str

    @classmethod
    def of(cls, index: int, epoch: int, content: bytes) -> Snapshot:
        """With its checksum."""
        return cls(index, epoch, content, checksum_of(content))


def checksum_of(content: bytes) -> str:
    """SHA-256 of a snapshot, in hex: tells a complete one from one that was put together wrongly."""
    return hashlib.sha256(content).hexdigest()


class OutgoingSnapshot:
    """The sender's side: one snapshot for one member.

    It is kept until the member has it, though a newer one may replace it on the disk meanwhile.

    Attributes:
        snapshot: What is sent.
        offset: Where the chunk in flight, or the next one, begins.
    """

    def __init__(self, epoch: int, snapshot: Snapshot, chunk_bytes: int) -> None:
        """Begins at the start of the snapshot.

        Args:
            epoch: The epoch of the primary that sends it.
            snapshot: What to send.
            chunk_bytes: The size of a chunk.
        """
        self.snapshot = snapshot
        self.offset = 0
        self._epoch = epoch
        self._chunk_bytes = chunk_bytes

    @property
    def remaining_bytes(self) -> int:
        """Bytes that have not been answered."""
        return len(self.snapshot.content) - self.offset

    def chunk(self) -> InstallSnapshot:
        """The message that carries the chunk at `offset`."""
        snapshot = self.snapshot
        chunk = snapshot.content[self.offset : self.offset + self._chunk_bytes]
        return InstallSnapshot(
            self._epoch,
            snapshot.index,
            snapshot.epoch,
            self.offset,
            len(snapshot.content),
            snapshot.checksum,
            chunk,
        )

    def acknowledge(self, index: int, offset: int) -> bool:
        """Goes on from the offset that the receiver reports; True if the next chunk is to be sent at once.

        A reply that does not go beyond the chunk in flight is an old one, or the receiver has begun anew.
        Either way the chunk is sent again only after a time-out: sending on every reply would keep as many
        chunks in flight as replies were doubled.
        """
        if index != self.snapshot.index or not 0 <= offset <= len(self.snapshot.content):
            return False
        is_progress = offset >= min(self.offset + self._chunk_bytes, len(self.snapshot.content))
        self.offset = offset
        return is_progress


class IncomingSnapshot:
    """The receiver's side: at most one snapshot, as far as it has come.

    Attributes:
        discarded: How many were complete and did not agree with their checksum.
    """

    def __init__(self) -> None:
        """Begins with nothing received."""
        self.discarded = 0
        self._transfer: tuple[object, ...] = ()
        self._order = (0, 0)
        self._content = bytearray()

    @property
    def offset(self) -> int:
        """From where the sender is to go on."""
        return len(self._content)

    def discard(self) -> None:
        """Nothing is being received any more."""
        self._transfer = ()
        self._content = bytearray()

    def discard_up_to(self, index: int) -> None:
        """The log has come as far as `index` without a snapshot."""
        if self._order[1] <= index:
            self.discard()

    def begin(self, install: InstallSnapshot) -> bool:
        """Turns to the transfer that the chunk belongs to; False if the chunk is to be dropped.

        A transfer of a higher epoch, or of a newer snapshot, takes the place of the one before.
        """
        if not 0 <= install.size_bytes <= MAX_SNAPSHOT_BYTES:
            log.error("snapshot.too_large", size_bytes=install.size_bytes, max_bytes=MAX_SNAPSHOT_BYTES)
            return False
        transfer = _transfer_of(install)
        if transfer == self._transfer:
            return True
        order = (install.epoch, install.index)
        if order < self._order:
            return False
        self.discard()
        self._transfer, self._order = transfer, order
        return True

    def receive(self, install: InstallSnapshot) -> bytes | None:
        """Takes a chunk of the present transfer; returns the snapshot if this chunk completes it.

        The last chunk is not kept: until the snapshot is durable, and `discard` is called, it can come again.
        """
        if not self._fits(install):
            return None
        if self.offset + len(install.chunk) < install.size_bytes:
            self._content += install.chunk
            return None
        content = bytes(self._content) + install.chunk
        if _has_checksum(content, install.checksum):
            return content
        log.error("snapshot.checksum_mismatch", record_index=install.index)
        self.discarded += 1
        self._content = bytearray()
        return None

    def _fits(self, install: InstallSnapshot) -> bool:
        end = install.offset + len(install.chunk)
        has_content = len(install.chunk) > 0 or install.size_bytes == 0
        return install.offset == self.offset and end <= install.size_bytes and has_content


def _transfer_of(install: InstallSnapshot) -> tuple[object, ...]:
    """What all chunks of one transfer have in common."""
    return install.epoch, install.index, install.index_epoch, install.size_bytes, install.checksum


def _has_checksum(content: bytes, checksum: str) -> bool:
    return checksum_of(content) == checksum

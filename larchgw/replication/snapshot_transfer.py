"""Transfer of a snapshot from the primary to a member that lacks records which were compacted.

A snapshot is sent in chunks, one in flight at a time, so that heartbeats are sent between them and the size
of a message does not grow with the state. The receiver reports the offset from which to continue. It replaces
its log only once the snapshot is complete and matches its checksum. Received chunks are kept in memory, so a
receiver that restarts begins again.

Source: Raft, section 7.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

import structlog

from .messages import InstallSnapshot

log = structlog.get_logger()
CHUNK_BYTES = 256 << 10  # the slowest link needs 26 ms for it, which limits the delay of heartbeats
MAX_SNAPSHOT_BYTES = 24 << 20  # a receiver buffers no more; control/configuration_size.py keeps states below


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The state after record `index`, which was proposed in `epoch`."""

    index: int
    epoch: int
    content: bytes
    checksum: str

    @classmethod
    def of(cls, index: int, epoch: int, content: bytes) -> Snapshot:
        """Creates a snapshot and computes its checksum."""
        return cls(index, epoch, content, checksum_of(content))


def checksum_of(content: bytes) -> str:
    """SHA-256 of a snapshot, in hex; detects a snapshot that was assembled incorrectly."""
    return hashlib.sha256(content).hexdigest()


class OutgoingSnapshot:
    """The sender's side: one snapshot for one member.

    The content is kept until the member has received it, even if a newer one replaces it on disk.

    Attributes:
        snapshot: The snapshot that is sent.
        offset: Offset of the chunk in flight, or of the next one.
    """

    def __init__(self, epoch: int, snapshot: Snapshot, chunk_bytes: int) -> None:
        """Begins at the start of the snapshot.

        Args:
            epoch: The epoch of the primary that sends it.
            snapshot: The snapshot to send.
            chunk_bytes: The size of a chunk.
        """
        self.snapshot = snapshot
        self.offset = 0
        self._epoch = epoch
        self._chunk_bytes = chunk_bytes

    @property
    def remaining_bytes(self) -> int:
        """Number of bytes that the receiver has not acknowledged."""
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
        """Continues from the offset that the receiver reports; True if the next chunk is to be sent at once.

        If the offset does not reach the end of the chunk in flight, the reply is an old one or the receiver
        has begun again. The chunk is then sent again only after a time-out: sending one on every reply would
        put an additional chunk in flight for each duplicated reply.
        """
        if index != self.snapshot.index or not 0 <= offset <= len(self.snapshot.content):
            return False
        is_progress = offset >= min(self.offset + self._chunk_bytes, len(self.snapshot.content))
        self.offset = offset
        return is_progress


class IncomingSnapshot:
    """The receiver's side: at most one partially received snapshot.

    Attributes:
        discarded: Number of snapshots that were complete but did not match their checksum.
    """

    def __init__(self) -> None:
        """Begins with nothing received."""
        self.discarded = 0
        self._transfer: tuple[object, ...] = ()
        self._order = (0, 0)
        self._content = bytearray()

    @property
    def offset(self) -> int:
        """The offset from which the sender has to continue."""
        return len(self._content)

    def discard(self) -> None:
        """Drops the partial snapshot."""
        self._transfer = ()
        self._content = bytearray()

    def discard_up_to(self, index: int) -> None:
        """Drops the partial snapshot if the log has reached `index` and no longer needs it."""
        if self._order[1] <= index:
            self.discard()

    def begin(self, install: InstallSnapshot) -> bool:
        """Selects the transfer that the chunk belongs to; returns False if the chunk must be dropped.

        A transfer of a higher epoch, or of a newer snapshot, replaces the current one.
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
        """Adds a chunk of the current transfer; returns the snapshot if this chunk completes it.

        The last chunk is not stored, so it can be received again until the snapshot is durable and `discard`
        is called.
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
    """The fields that all chunks of one transfer share; they identify the transfer."""
    return install.epoch, install.index, install.index_epoch, install.size_bytes, install.checksum


def _has_checksum(content: bytes, checksum: str) -> bool:
    return checksum_of(content) == checksum

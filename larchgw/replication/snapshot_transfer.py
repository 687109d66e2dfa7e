"""A snapshot on its way from the primary to a member that lacks records which are no longer kept.

It goes in pieces, one under way at a time, so that heartbeats pass between them and no message grows with the
state. The receiver says from where to go on; nothing is replaced before the whole is there and its checksum
agrees. What is received lies in memory: a receiver that ends begins anew.
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
    """What tells a whole snapshot from one that was put together wrongly."""
    return hashlib.sha256(content).hexdigest()


class OutgoingSnapshot:
    """The sender's side: one snapshot for one member, kept until the member has it, though a newer one may
    replace it on the disk meanwhile."""

    def __init__(self, epoch: int, snapshot: Snapshot, chunk_bytes: int) -> None:
        self.snapshot = snapshot
        self.offset = 0  # where the piece under way, or the next one, begins
        self._epoch = epoch
        self._chunk_bytes = chunk_bytes

    @property
    def remaining_bytes(self) -> int:
        """Bytes that have not been answered."""
        return len(self.snapshot.content) - self.offset

    def chunk(self) -> InstallSnapshot:
        """The message that carries the piece at `offset`."""
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
        """Takes the receiver's answer; True if the next piece is to go at once.

        An answer that does not go beyond the piece under way is an old one, or the receiver has begun anew.
        Either way the piece is sent again only when its time is over: sending on every answer would keep
        as many pieces under way as answers were doubled.
        """
        if index != self.snapshot.index or not 0 <= offset <= len(self.snapshot.content):
            return False
        is_progress = offset >= min(self.offset + self._chunk_bytes, len(self.snapshot.content))
        self.offset = offset
        return is_progress


class IncomingSnapshot:
    """The receiver's side: at most one snapshot, as far as it has come. `discarded` counts those that were
    whole and wrong."""

    def __init__(self) -> None:
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
        """Turns to the transfer that the piece belongs to; False if the piece is to be left alone.

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
        """Takes a piece of the present transfer; the snapshot if this piece makes it whole.

        The last piece is not kept: until the snapshot is durable, and `forget` is called, it can come again.
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
    """What all pieces of one transfer have in common."""
    return install.epoch, install.index, install.index_epoch, install.size_bytes, install.checksum


def _has_checksum(content: bytes, checksum: str) -> bool:
    return checksum_of(content) == checksum

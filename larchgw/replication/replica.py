"""The log of one replica: records with the epoch of their proposal, so that divergent tails are found."""

from __future__ import annotations

import struct
from collections.abc import Sequence
from dataclasses import dataclass

from .ports import Journal

_EPOCH = struct.Struct(">Q")


@dataclass(frozen=True, slots=True)
class LogSize:
    """The records after the snapshot.

    Attributes:
        records: How many.
        size_bytes: Their bytes.
    """

    records: int
    size_bytes: int


class Replica:
    """The log of one replica, over a journal. Each record is stored as its epoch (64 bits) and its bytes.

    The log of a member may end in records that the primary does not have: they were proposed by an earlier
    primary and never acknowledged. They are found by their epoch (no two primaries share one) and replaced.

    Source: Raft, section 5.3 (log matching).

    Attributes:
        committed: The newest record known to be acknowledged; never shrinks, and is not durable.
    """

    def __init__(self, journal: Journal) -> None:
        """Reads the epochs of all records.

        Args:
            journal: The durable records and snapshot.
        """
        self._journal = journal
        self._base_index = 0
        self._base_epoch = 0
        self._snapshot_bytes = 0
        self._epochs: list[int] = []  # of the records after the snapshot
        self._sizes: list[int] = []  # their bytes
        self._synced = False  # a process that was killed may have left records that were never synced
        self.committed = 0
        self._load()

    def _load(self) -> None:
        held = self._journal.snapshot()
        self._base_index, self._base_epoch = (held[0], _epoch(held[1])) if held is not None else (0, 0)
        self._snapshot_bytes = len(held[1]) if held is not None else 0
        self._epochs = []
        self._sizes = []
        for _, record in self._journal.read(self._base_index + 1, self._journal.last_index):
            self._epochs.append(_epoch(record))
            self._sizes.append(len(record))
        self.committed = self._base_index

    @property
    def last_index(self) -> int:
        """Index of the newest record, acknowledged or not."""
        return self._base_index + len(self._epochs)

    @property
    def first_index(self) -> int:
        """The lowest index whose record is still there; below it there is only the snapshot."""
        return self._base_index + 1

    @property
    def size(self) -> LogSize:
        """What follows the snapshot."""
        return LogSize(len(self._epochs), sum(self._sizes))

    @property
    def state_bytes(self) -> int:
        """A guess at the size of the state: that of the snapshot, or of the records, which may replace it."""
        return max(self._snapshot_bytes, sum(self._sizes))

    def epoch_at(self, index: int) -> int:
        """The epoch of a record, from the snapshot's last on; 0 at index 0."""
        if index == self._base_index:
            return self._base_epoch
        return self._epochs[index - self._base_index - 1]

    def has_record(self, index: int, epoch: int) -> bool:
        """Whether this record, or a snapshot that stands for it, is here already."""
        return index <= self._base_index or index <= self.last_index and self.epoch_at(index) == epoch

    def snapshot(self) -> tuple[int, int, bytes]:
        """Index, epoch and content of the snapshot; index 0 and nothing if there is none."""
        held = self._journal.snapshot()
        if held is None:
            return 0, 0, b""
        return held[0], _epoch(held[1]), held[1][_EPOCH.size :]

    def append(self, epoch: int, record: bytes) -> int:
        """Adds a record as primary, durable, and returns its index.

        Raises:
            OSError: The disk refuses; the record is taken back, or counts as never sent.
        """
        self._add(epoch, record)
        try:
            self.sync()
        except OSError:
            self._truncate(self.last_index - 1)
            raise
        return self.last_index

    def sync(self) -> None:
        """Makes every record durable."""
        if not self._synced:
            self._journal.sync()
            self._synced = True

    def append_from_primary(
        self, previous_index: int, previous_epoch: int, epochs: Sequence[int], records: Sequence[bytes]
    ) -> tuple[bool, int]:
        """Makes the primary's records after `previous_index` durable, in place of any that diverge.

        They fit if the record at `previous_index` is there with `previous_epoch`: then, by induction,
        everything up to it is the primary's too.

        Returns:
            Whether they fit, and the index up to which the log is the primary's; if they do not fit, the
            index from which to try again.
        """
        if previous_index > self.last_index:
            return False, self.last_index
        if previous_index >= self._base_index and self.epoch_at(previous_index) != previous_epoch:
            return False, self._before_epoch(previous_index)
        index = previous_index
        for epoch, record in zip(epochs, records, strict=True):
            index += 1
            self._append_or_replace(index, epoch, record)
        self.sync()
        return True, max(index, self._base_index)

    def install(self, index: int, epoch: int, snapshot: bytes) -> bool:
        """Replaces the log by a snapshot, durable; False where the log holds that record already."""
        if self.has_record(index, epoch):
            return False
        self._journal.install(index, _EPOCH.pack(epoch) + snapshot)
        self._synced = True
        self._load()
        return True

    def compact(self, index: int, snapshot: bytes) -> None:
        """Replaces the records up to `index` by a snapshot of their effect."""
        epoch = self.epoch_at(index)
        self._journal.compact(index, _EPOCH.pack(epoch) + snapshot)
        del self._epochs[: index - self._base_index]
        del self._sizes[: index - self._base_index]
        self._base_index, self._base_epoch, self._snapshot_bytes = index, epoch, len(snapshot)

    def read(self, first: int, last: int) -> list[tuple[int, bytes]]:
        """Records without their epochs."""
        return [(index, record[_EPOCH.size :]) for index, record in self._journal.read(first, last)]

    def batch(self, first: int, limit_bytes: int) -> tuple[tuple[int, ...], tuple[bytes, ...]]:
        """Epochs and records from `first` on: one at least, and no more than `limit_bytes` together."""
        epochs: list[int] = []
        records: list[bytes] = []
        size = 0
        for index, framed in self._journal.read(first, self.last_index):
            size += len(framed)
            if records and size > limit_bytes:
                break
            epochs.append(self.epoch_at(index))
            records.append(framed[_EPOCH.size :])
        return tuple(epochs), tuple(records)

    def _add(self, epoch: int, record: bytes) -> None:
        framed = _EPOCH.pack(epoch) + record
        self._synced = False
        self._journal.append(framed)
        self._epochs.append(epoch)
        self._sizes.append(len(framed))

    def _append_or_replace(self, index: int, epoch: int, record: bytes) -> None:
        if index <= self._base_index:
            return
        if index <= self.last_index:
            if self.epoch_at(index) == epoch:
                return
            self._truncate(index - 1)
        self._add(epoch, record)

    def _truncate(self, index: int) -> None:
        if index < self.committed:
            raise AssertionError(f"record {index + 1} is acknowledged and must not be dropped")
        self._journal.truncate_after(index)
        del self._epochs[index - self._base_index :]
        del self._sizes[index - self._base_index :]

    def _before_epoch(self, index: int) -> int:
        """The last index before the run of records that have the same epoch as the one at `index`."""
        epoch = self.epoch_at(index)
        while index > self._base_index and self.epoch_at(index) == epoch:
            index -= 1
        return index


def split_frame(framed: bytes) -> tuple[int, bytes]:
    """The epoch and the record, or snapshot, that a journal holds as `framed`."""
    return _epoch(framed), framed[_EPOCH.size :]


def _epoch(framed: bytes) -> int:
    return int(_EPOCH.unpack_from(framed)[0])

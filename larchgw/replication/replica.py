"""The log of one replica. Each record has the epoch of its proposal, so that divergent tails are detected."""

from __future__ import annotations

import struct
from collections.abc import Sequence
from dataclasses import dataclass

from .ports import Journal

_EPOCH = struct.Struct(">Q")


@dataclass(frozen=True, slots=True)
class LogSize:
    """The size of the log after the snapshot.

    Attributes:
        records: Number of records.
        size_bytes: Total size of the records.
    """

    records: int
    size_bytes: int


class Replica:
    """The log of one replica. The journal stores each record as its epoch (64 bits) and its bytes.

    The log of a member may end in records that the primary does not have: an earlier primary proposed them
    and they were never acknowledged. They are detected by their epoch, which no two primaries share, and are
    replaced.

    Source: Raft, section 5.3 (log matching).

    Attributes:
        committed: Index of the newest record known to be acknowledged; never decreases, and is not durable.
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
        self._sizes: list[int] = []  # sizes of those records, in bytes
        self._synced = False  # an earlier process may have been killed before it synced its last records
        self.committed = 0
        self._load()

    def _load(self) -> None:
        stored = self._journal.snapshot()
        self._base_index, self._base_epoch = (stored[0], _epoch(stored[1])) if stored is not None else (0, 0)
        self._snapshot_bytes = len(stored[1]) if stored is not None else 0
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
        """The lowest index whose record is kept; the snapshot replaces those below it."""
        return self._base_index + 1

    @property
    def size(self) -> LogSize:
        """The size of the records after the snapshot."""
        return LogSize(len(self._epochs), sum(self._sizes))

    @property
    def state_bytes(self) -> int:
        """An estimate of the size of the state.

        It is the larger of the snapshot and the records after it, because records may replace the state.
        """
        return max(self._snapshot_bytes, sum(self._sizes))

    def epoch_at(self, index: int) -> int:
        """The epoch of the record at `index`, which must not be below the last one of the snapshot.

        It is 0 at index 0.
        """
        if index == self._base_index:
            return self._base_epoch
        return self._epochs[index - self._base_index - 1]

    def has_record(self, index: int, epoch: int) -> bool:
        """Whether the log holds this record, or a snapshot that includes it."""
        return index <= self._base_index or index <= self.last_index and self.epoch_at(index) == epoch

    def snapshot(self) -> tuple[int, int, bytes]:
        """Index, epoch and content of the snapshot; index 0 and no content if there is none."""
        stored = self._journal.snapshot()
        if stored is None:
            return 0, 0, b""
        return stored[0], _epoch(stored[1]), stored[1][_EPOCH.size :]

    def append(self, epoch: int, record: bytes) -> int:
        """Appends a record as primary, makes it durable, and returns its index.

        Raises:
            OSError: The record cannot be stored. It is removed from the log again, and was not sent.
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
        """Makes the primary's records after `previous_index` durable, and replaces those that diverge.

        The records match if the log holds the record at `previous_index` with `previous_epoch`. Then, by
        induction, the log up to there equals the primary's too.

        Returns:
            Whether the records match, and the index up to which the log equals the primary's. If they do not
            match, the index is the one from which the primary should try again.
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
        """Replaces the log by a snapshot, durably; returns False if the log already holds that record."""
        if self.has_record(index, epoch):
            return False
        self._journal.install(index, _EPOCH.pack(epoch) + snapshot)
        self._synced = True
        self._load()
        return True

    def compact(self, index: int, snapshot: bytes) -> None:
        """Replaces the records up to `index` by a snapshot of the state after them."""
        epoch = self.epoch_at(index)
        self._journal.compact(index, _EPOCH.pack(epoch) + snapshot)
        del self._epochs[: index - self._base_index]
        del self._sizes[: index - self._base_index]
        self._base_index, self._base_epoch, self._snapshot_bytes = index, epoch, len(snapshot)

    def read(self, first: int, last: int) -> list[tuple[int, bytes]]:
        """Returns the records `first` to `last` with their indices, without their epochs."""
        return [(index, record[_EPOCH.size :]) for index, record in self._journal.read(first, last)]

    def batch(self, first: int, limit_bytes: int) -> tuple[tuple[int, ...], tuple[bytes, ...]]:
        """Epochs and records from `first` on: at least one, and otherwise at most `limit_bytes` in total."""
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
            raise AssertionError(f"record {index + 1} is acknowledged and must not be truncated")
        self._journal.truncate_after(index)
        del self._epochs[index - self._base_index :]
        del self._sizes[index - self._base_index :]

    def _before_epoch(self, index: int) -> int:
        """The last index before the run of records with the same epoch as the record at `index`."""
        epoch = self.epoch_at(index)
        while index > self._base_index and self.epoch_at(index) == epoch:
            index -= 1
        return index


def split_frame(framed: bytes) -> tuple[int, bytes]:
    """Splits an entry of the journal into the epoch and the record or snapshot."""
    return _epoch(framed), framed[_EPOCH.size :]


def _epoch(framed: bytes) -> int:
    return int(_EPOCH.unpack_from(framed)[0])

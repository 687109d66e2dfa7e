"""A simulated disk that may lose unsynced records, and may crash its process at any write."""

from __future__ import annotations

import errno
import json
from collections.abc import Iterator
from random import Random

from ..identifiers import MemberId
from ..replication.ports import Ports
from .errors import SimulatedCrashError


class SimulatedDisk:
    """The content of one machine's disk.

    Cells, snapshots and truncations are durable at once, appended records only after a sync.

    Attributes:
        cells: Values of the cells, by name.
        stored_snapshot: Index of the last record that the snapshot covers, and its content.
        records: The records after the snapshot, including unsynced ones.
        synced_count: How many of the records are durable.
        is_full: Every write fails with ENOSPC.
        writes_until_crash: Number of writes that succeed before a crash; None if no crash is planned.
        write_count: Number of writes so far.
    """

    __slots__ = (  # a test that misspells the name of a fault gets an AttributeError
        "cells",
        "is_full",
        "records",
        "stored_snapshot",
        "synced_count",
        "write_count",
        "writes_until_crash",
    )

    def __init__(self) -> None:
        """Creates an empty disk."""
        self.cells: dict[str, bytes] = {}
        self.stored_snapshot: tuple[int, bytes] | None = None
        self.records: list[bytes] = []
        self.synced_count = 0
        self.is_full = False
        self.writes_until_crash: int | None = None
        self.write_count = 0

    def lose_power(self, random: Random) -> None:
        """Drops unsynced records, except a random number of the oldest, which count as written."""
        surviving_count = random.randint(self.synced_count, len(self.records))
        del self.records[surviving_count:]
        self.synced_count = len(self.records)

    def before_write(self) -> None:
        """Must be called before each write: counts it and applies the disk's faults.

        Raises:
            OSError: The disk is full.
            SimulatedCrashError: The process crashes at this write.
        """
        if self.is_full:
            raise OSError(errno.ENOSPC, "the simulated disk is full")
        self.write_count += 1
        if self.writes_until_crash is not None:
            self.writes_until_crash -= 1
            if self.writes_until_crash < 0:
                self.writes_until_crash = None
                raise SimulatedCrashError

    @property
    def member_id(self) -> MemberId:
        """The stored identity of the replication member; empty if there is none."""
        stored = self.cells.get("identity")
        return MemberId("" if stored is None else str(json.loads(stored)["id"]))

    def ports(self) -> Ports:
        """Returns the storage ports for a process that starts on this disk."""
        return Ports(
            SimulatedCell(self, "identity"),
            SimulatedCell(self, "witness"),
            SimulatedCell(self, "leases"),
            SimulatedJournal(self),
        )


class SimulatedCell:
    """Implements replication.ports.Cell: a single value that is replaced atomically."""

    def __init__(self, disk: SimulatedDisk, name: str) -> None:
        """Opens the cell of this name on the disk."""
        self._disk = disk
        self._name = name

    def load(self) -> bytes | None:
        """See Cell."""
        return self._disk.cells.get(self._name)

    def store(self, value: bytes) -> None:
        """See Cell."""
        self._disk.before_write()
        self._disk.cells[self._name] = value


class SimulatedJournal:
    """Implements replication.ports.Journal: a snapshot and the records after it."""

    def __init__(self, disk: SimulatedDisk) -> None:
        """Opens the journal on the disk."""
        self._disk = disk

    @property
    def _base_index(self) -> int:
        return 0 if self._disk.stored_snapshot is None else self._disk.stored_snapshot[0]

    @property
    def last_index(self) -> int:
        """See Journal."""
        return self._base_index + len(self._disk.records)

    def append(self, record: bytes) -> int:
        """See Journal."""
        self._disk.before_write()
        self._disk.records.append(record)
        return self.last_index

    def sync(self) -> None:
        """See Journal."""
        self._disk.before_write()
        self._disk.synced_count = len(self._disk.records)

    def truncate_after(self, index: int) -> None:
        """See Journal."""
        self._disk.before_write()
        count = index - self._base_index
        del self._disk.records[count:]
        self._disk.synced_count = min(self._disk.synced_count, count)

    def read(self, first: int, last: int) -> Iterator[tuple[int, bytes]]:
        """See Journal."""
        for index in range(first, last + 1):
            yield index, self._disk.records[index - self._base_index - 1]

    def snapshot(self) -> tuple[int, bytes] | None:
        """See Journal."""
        return self._disk.stored_snapshot

    def compact(self, up_to: int, snapshot: bytes) -> None:
        """See Journal."""
        self._disk.before_write()
        dropped_count = up_to - self._base_index
        del self._disk.records[:dropped_count]
        self._disk.synced_count = max(0, self._disk.synced_count - dropped_count)
        self._disk.stored_snapshot = (up_to, snapshot)

    def install(self, index: int, snapshot: bytes) -> None:
        """See Journal."""
        self._disk.before_write()
        self._disk.records = []
        self._disk.synced_count = 0
        self._disk.stored_snapshot = (index, snapshot)

"""A simulated disk: what was not synced may be lost, and its process may crash at any write."""

from __future__ import annotations

import errno
import json
from collections.abc import Iterator
from random import Random

from ..identifiers import MemberId
from ..replication.ports import Ports
from .errors import SimulatedCrashError


class SimulatedDisk:
    """All that one machine has on its disk.

    Cells, snapshots and truncations are durable at once, appended records once they are synced.

    Attributes:
        cells: The values of the cells by their names.
        stored_snapshot: The snapshot before the records, and the index up to which it stands for records.
        records: The records after it, the unsynced ones included.
        synced_count: How many of the records are durable.
        is_full: Every write is refused with ENOSPC.
        writes_until_crash: So many more writes succeed; None where no crash is ahead.
        write_count: Writes so far.
    """

    __slots__ = (  # so that a test which sets a fault by a wrong name fails
        "cells",
        "is_full",
        "records",
        "stored_snapshot",
        "synced_count",
        "write_count",
        "writes_until_crash",
    )

    def __init__(self) -> None:
        """Makes an empty disk."""
        self.cells: dict[str, bytes] = {}
        self.stored_snapshot: tuple[int, bytes] | None = None
        self.records: list[bytes] = []
        self.synced_count = 0
        self.is_full = False
        self.writes_until_crash: int | None = None
        self.write_count = 0

    def lose_power(self, random: Random) -> None:
        """Drops unsynced records, but for a drawn number of the first, which have reached the disk."""
        surviving_count = random.randint(self.synced_count, len(self.records))
        del self.records[surviving_count:]
        self.synced_count = len(self.records)

    def before_write(self) -> None:
        """Counts a write that is about to happen.

        Raises:
            OSError: The disk is full.
            SimulatedCrashError: The process ends here.
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
        """The identity of the replicated state's member; empty if none is stored."""
        stored = self.cells.get("identity")
        return MemberId("" if stored is None else str(json.loads(stored)["id"]))

    def ports(self) -> Ports:
        """Returns the ports of a process that starts on this disk."""
        return Ports(
            SimulatedCell(self, "identity"),
            SimulatedCell(self, "witness"),
            SimulatedCell(self, "leases"),
            SimulatedJournal(self),
        )


class SimulatedCell:
    """A replication.ports.Cell: one value, replaced as a whole or not at all."""

    def __init__(self, disk: SimulatedDisk, name: str) -> None:
        """Takes the disk and the cell's name on it."""
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
    """A replication.ports.Journal: a list of records after a snapshot."""

    def __init__(self, disk: SimulatedDisk) -> None:
        """Takes the disk with the records."""
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

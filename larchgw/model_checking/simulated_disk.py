"""A simulated disk for the exploration: what was not synced may be lost, and it may break off at any
write."""

from __future__ import annotations

import errno
import json
from collections.abc import Iterator
from random import Random

from ..identifiers import MemberId
from ..replication.ports import Ports
from .errors import SimulatedCrashError


class SimulatedDisk:
    """All that one machine has on its disk. Cells and truncations are durable at once, appended records once
    they are synced. `full` refuses every write; `crash_after` counts writes until the process breaks off."""

    def __init__(self) -> None:
        self.cells: dict[str, bytes] = {}
        self.base: tuple[int, bytes] | None = None
        self.records: list[bytes] = []
        self.synced = 0
        self.full = False
        self.crash_after: int | None = None
        self.writes = 0

    def lose_power(self, random: Random) -> None:
        """Of the records that were not synced, some first ones may have reached the disk."""
        kept = random.randint(self.synced, len(self.records))
        del self.records[kept:]
        self.synced = len(self.records)

    def before_write(self) -> None:
        """Called ahead of every write."""
        if self.full:
            raise OSError(errno.ENOSPC, "the simulated disk is full")
        self.writes += 1
        if self.crash_after is not None:
            self.crash_after -= 1
            if self.crash_after < 0:
                self.crash_after = None
                raise SimulatedCrashError

    @property
    def member_id(self) -> MemberId:
        """The identity of the replicated state's member; empty if none is stored."""
        stored = self.cells.get("identity")
        return MemberId("" if stored is None else str(json.loads(stored)["id"]))

    def ports(self) -> Ports:
        """The ports of the process that starts on this disk."""
        return Ports(
            SimulatedCell(self, "identity"),
            SimulatedCell(self, "witness"),
            SimulatedCell(self, "leases"),
            SimulatedJournal(self),
        )


class SimulatedCell:
    """One value; replaced as a whole or not at all."""

    def __init__(self, disk: SimulatedDisk, name: str) -> None:
        self._disk = disk
        self._name = name

    def load(self) -> bytes | None:
        return self._disk.cells.get(self._name)

    def store(self, value: bytes) -> None:
        self._disk.before_write()
        self._disk.cells[self._name] = value


class SimulatedJournal:
    """A list of records after a snapshot."""

    def __init__(self, disk: SimulatedDisk) -> None:
        self._disk = disk

    @property
    def _base_index(self) -> int:
        return 0 if self._disk.base is None else self._disk.base[0]

    @property
    def last_index(self) -> int:
        return self._base_index + len(self._disk.records)

    def append(self, record: bytes) -> int:
        self._disk.before_write()
        self._disk.records.append(record)
        return self.last_index

    def sync(self) -> None:
        self._disk.before_write()
        self._disk.synced = len(self._disk.records)

    def truncate_after(self, index: int) -> None:
        self._disk.before_write()
        kept = index - self._base_index
        del self._disk.records[kept:]
        self._disk.synced = min(self._disk.synced, kept)

    def read(self, first: int, last: int) -> Iterator[tuple[int, bytes]]:
        for index in range(first, last + 1):
            yield index, self._disk.records[index - self._base_index - 1]

    def snapshot(self) -> tuple[int, bytes] | None:
        return self._disk.base

    def compact(self, up_to: int, snapshot: bytes) -> None:
        self._disk.before_write()
        dropped = up_to - self._base_index
        del self._disk.records[:dropped]
        self._disk.synced = max(0, self._disk.synced - dropped)
        self._disk.base = (up_to, snapshot)

    def install(self, index: int, snapshot: bytes) -> None:
        self._disk.before_write()
        self._disk.records = []
        self._disk.synced = 0
        self._disk.base = (index, snapshot)

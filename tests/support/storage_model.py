"""What a log may hold after a crash, kept beside the log under test.

A world is one state of the log that may come back: its snapshot, its records, and how many of them must be
there. A call that returned leaves one world; one that raised, or that was cut short, leaves several.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from larchgw.storage.errors import StorageError
from larchgw.storage.log import Log
from tests.support.faulty_files import FaultyFiles, PowerLossError

FOLDER = "data"
SEGMENT_BYTES = 256
"""Small, so that a few records fill a segment."""


def record(number: int) -> bytes:
    return f"record {number} ".encode() * (1 + number % 4)


@dataclass(frozen=True)
class World:
    base: int = 0
    snapshot: bytes = b""
    records: tuple[bytes, ...] = ()
    durable: int = 0

    @property
    def last(self) -> int:
        return self.base + len(self.records)

    def cut(self, index: int) -> World:
        kept = self.records[: max(0, index - self.base)]
        return replace(self, records=kept, durable=min(self.durable, index))

    def compacted(self, up_to: int, snapshot: bytes) -> World:
        return World(up_to, snapshot, self.records[up_to - self.base :], max(self.durable, up_to))

    def allows(self, found: World) -> bool:
        same_snapshot = (self.base, self.snapshot) == (found.base, found.snapshot)
        return (
            same_snapshot
            and self.durable <= found.last <= self.last
            and self.records[: len(found.records)] == found.records
        )


def contents(log: Log) -> World:
    records = tuple(record for _, record in log.read(log.first_index, log.last_index))
    base, snapshot = log.snapshot() or (0, b"")
    return World(base, snapshot, records, log.durable_index)


class CheckedLog:
    """A log, and the worlds that its promises allow."""

    def __init__(self, port: FaultyFiles) -> None:
        self.port = port
        self.world = World()
        self.worlds = [self.world]
        self.log = self._open()

    def append(self, record: bytes) -> None:
        after = replace(self.world, records=(*self.world.records, record))
        self._call(lambda: self.log.append(record), after, [after])

    def sync(self) -> None:
        self._call(self.log.sync, replace(self.world, durable=self.world.last), [])

    def truncate_after(self, index: int) -> None:
        after = self.world.cut(index)
        between = replace(self.world, durable=after.durable)
        self._call(lambda: self.log.truncate_after(index), after, [between])

    def compact(self, up_to: int, snapshot: bytes) -> None:
        after = self.world if up_to <= self.world.base else self.world.compacted(up_to, snapshot)
        self._call(lambda: self.log.compact(up_to, snapshot), after, [after])

    def install(self, index: int, snapshot: bytes) -> None:
        after = World(index, snapshot, (), index)
        self._call(lambda: self.log.install(index, snapshot), after, [after])

    def lose_power(self) -> None:
        self.port.lose_power()
        self.reopen()

    def kill_process(self) -> None:
        self.port.kill_process()
        self.reopen()

    def reopen(self) -> None:
        """Recovers, and checks that what comes back is one of the worlds."""
        self.log = self._open()
        found = contents(self.log)
        assert any(world.allows(found) for world in self.worlds), (found, self.worlds)
        assert found.durable == found.last
        self.world, self.worlds = found, [found]

    def _open(self) -> Log:
        return Log.open(self.port, FOLDER, segment_bytes=SEGMENT_BYTES)

    def _call(self, call: Callable[[], object], after: World, cut_short: list[World]) -> None:
        try:
            call()
        except PowerLossError:
            self.worlds += cut_short
            raise
        except StorageError:
            self.worlds += cut_short
            if self.log.last_index < self.world.last:
                self.world = self.world.cut(self.log.last_index)
            raise
        self.world, self.worlds = after, [after]
        assert self.log.last_index == after.last

"""What a log may hold after a crash, kept beside the log under test.

A call that returned leaves one allowed state; one that raised, or that was cut short, leaves several.
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


def make_record(number: int) -> bytes:
    """A record that differs from others in content and length."""
    return f"record {number} ".encode() * (1 + number % 4)


@dataclass(frozen=True)
class LogState:
    """One state of a log that may come back after a crash.

    Attributes:
        snapshot_index: The last record that the snapshot stands for; 0 if there is none.
        snapshot: Its payload.
        records: Those after it.
        durable_index: The records up to this one must be there.
    """

    snapshot_index: int = 0
    snapshot: bytes = b""
    records: tuple[bytes, ...] = ()
    durable_index: int = 0

    @property
    def last_index(self) -> int:
        return self.snapshot_index + len(self.records)

    def truncated_after(self, index: int) -> LogState:
        kept = self.records[: max(0, index - self.snapshot_index)]
        return replace(self, records=kept, durable_index=min(self.durable_index, index))

    def compacted(self, up_to: int, snapshot: bytes) -> LogState:
        remaining = self.records[up_to - self.snapshot_index :]
        return LogState(up_to, snapshot, remaining, max(self.durable_index, up_to))

    def allows(self, found: LogState) -> bool:
        """Whether a log that was left in this state may come back as `found`."""
        same_snapshot = (self.snapshot_index, self.snapshot) == (found.snapshot_index, found.snapshot)
        return (
            same_snapshot
            and self.durable_index <= found.last_index <= self.last_index
            and self.records[: len(found.records)] == found.records
        )


def read_state(log: Log) -> LogState:
    """All that a log holds now."""
    records = tuple(record for _, record in log.read(log.first_index, log.last_index))
    snapshot_index, snapshot = log.snapshot() or (0, b"")
    return LogState(snapshot_index, snapshot, records, log.durable_index)


class CheckedLog:
    """A log on a faulty disk, and the states in which it may come back."""

    def __init__(self, port: FaultyFiles) -> None:
        self.port = port
        self.state = LogState()
        self.allowed_states = [self.state]
        self.log = self._open()

    def append(self, record: bytes) -> None:
        after = replace(self.state, records=(*self.state.records, record))
        self._call(lambda: self.log.append(record), after, [after])

    def sync(self) -> None:
        self._call(self.log.sync, replace(self.state, durable_index=self.state.last_index), [])

    def truncate_after(self, index: int) -> None:
        after = self.state.truncated_after(index)
        between = replace(self.state, durable_index=after.durable_index)
        self._call(lambda: self.log.truncate_after(index), after, [between])

    def compact(self, up_to: int, snapshot: bytes) -> None:
        is_covered = up_to <= self.state.snapshot_index
        after = self.state if is_covered else self.state.compacted(up_to, snapshot)
        self._call(lambda: self.log.compact(up_to, snapshot), after, [after])

    def install(self, index: int, snapshot: bytes) -> None:
        after = LogState(index, snapshot, (), index)
        self._call(lambda: self.log.install(index, snapshot), after, [after])

    def lose_power(self) -> None:
        self.port.lose_power()
        self.reopen()

    def kill_process(self) -> None:
        self.port.kill_process()
        self.reopen()

    def reopen(self) -> None:
        """Recovers, and checks that what comes back is one of the allowed states."""
        self.log = self._open()
        found = read_state(self.log)
        assert any(state.allows(found) for state in self.allowed_states), (found, self.allowed_states)
        assert found.durable_index == found.last_index
        self.state, self.allowed_states = found, [found]

    def _open(self) -> Log:
        return Log.open(self.port, FOLDER, segment_bytes=SEGMENT_BYTES)

    def _call(self, call: Callable[[], object], after: LogState, cut_short: list[LogState]) -> None:
        """Makes a call that leaves `after` if it returns, and may leave one of `cut_short` if it does not."""
        try:
            call()
        except PowerLossError:
            self.allowed_states += cut_short
            raise
        except StorageError:
            self.allowed_states += cut_short
            if self.log.last_index < self.state.last_index:
                self.state = self.state.truncated_after(self.log.last_index)
            raise
        self.state, self.allowed_states = after, [after]
        assert self.log.last_index == after.last_index

"""The narrow ports to durable storage; `larchgw/storage` satisfies them.

All may raise OSError (a full disk).
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Protocol


class Cell(Protocol):
    """One small value, replaced atomically and durable once `store` returns."""

    def load(self) -> bytes | None:
        """What was stored last; None if nothing was."""

    def store(self, value: bytes) -> None:
        """Durable once it returns; after an OSError the old or the new value stands."""


class Journal(Protocol):
    """An append-only log with a snapshot in place of its oldest records. Indices begin at 1."""

    @property
    def last_index(self) -> int:
        """Index of the newest record, or of the snapshot if no record follows it; 0 when empty."""

    def append(self, record: bytes) -> int:
        """Adds a record and returns its index; durable only after `sync`."""

    def sync(self) -> None:
        """Makes all appended records durable."""

    def truncate_after(self, index: int) -> None:
        """Drops the records above `index`; durable once it returns."""

    def read(self, first: int, last: int) -> Iterator[tuple[int, bytes]]:
        """Records `first` to `last`, both included."""

    def snapshot(self) -> tuple[int, bytes] | None:
        """The snapshot and the index up to which it stands for records."""

    def compact(self, up_to: int, snapshot: bytes) -> None:
        """Replaces the records up to `up_to` by a snapshot."""

    def install(self, index: int, snapshot: bytes) -> None:
        """Replaces everything by a snapshot."""


@dataclass(frozen=True, slots=True)
class Ports:
    """All that a member keeps on its disk. `identity` is written last when a member is first set up."""

    identity: Cell
    witness: Cell
    leases: Cell
    journal: Journal

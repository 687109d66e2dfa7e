"""Ports to durable storage, implemented by `larchgw/storage`.

Every method may raise OSError, for example when the disk is full.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Protocol


class Cell(Protocol):
    """One small value, replaced atomically and durable once `store` returns."""

    def load(self) -> bytes | None:
        """Returns the last stored value; None if none was stored."""

    def store(self, value: bytes) -> None:
        """Replaces the value; durable once it returns.

        After an OSError either the old or the new value is stored.
        """


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
        """Yields the records `first` to `last`, both included, with their indices."""

    def snapshot(self) -> tuple[int, bytes] | None:
        """Returns the index of the last record that the snapshot replaces, and the snapshot."""

    def compact(self, up_to: int, snapshot: bytes) -> None:
        """Replaces the records up to `up_to` by a snapshot."""

    def install(self, index: int, snapshot: bytes) -> None:
        """Replaces the whole log by a snapshot."""


@dataclass(frozen=True, slots=True)
class Ports:
    """The durable state of a member. `identity` is written last when a member is first set up."""

    identity: Cell
    witness: Cell
    leases: Cell
    journal: Journal

"""Durable copies of the registry entries of runners that are draining or have left.

A runner that was acknowledged as draining or gone checks in no more with what it said before, so nobody could
report it again if every control process lost its memory at once. Each control process therefore stores such
entries in a journal on its disk, and merges them into its registry when it starts. An acknowledgement waits
until a majority of the witnesses has the entry on disk (runner_check_ins.py).

The disk is written by a thread. While a write is in progress, further entries gather for the next one, so
that many departures at once cost few syncs.

Source: the rule DRAIN of the rules page; group commit as in DeWitt and others, SIGMOD 1984.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

import structlog

from ..distribution.keys import RUNNER_PREFIX
from ..distribution.registry import Registry, rank
from ..replication.ports import Journal
from ..rpc.codec import decode_struct, encode_struct
from ..rpc.generated.ttypes import Entry, PushRequest
from ..runner_directory.runner_record import Stage
from ..storage.disk_thread import DiskExecutor

log = structlog.get_logger()
MAX_RECORDS = 200  # records after which the journal is compacted
MAX_ENTRIES_PER_RECORD = 500  # some 250 kB
RETRY_PAUSE_S = 1.0  # after a failed write, before the disk is used again


def is_departure(entry: Entry) -> bool:
    """Returns whether the entry says that a runner is draining or gone."""
    return entry.key.startswith(RUNNER_PREFIX) and bool(entry.minor >= Stage.DRAINING)


@dataclass(slots=True)
class _Batch:
    """Entries that are written together.

    Attributes:
        entries: By key; of two entries with the same key, the one with the higher rank.
        done: Result is whether they are durable.
    """

    done: asyncio.Future[bool]
    entries: dict[str, Entry] = field(default_factory=dict)

    def add(self, entries: Iterable[Entry]) -> None:
        """Adds entries, unless the batch has the same or a newer one of their key."""
        _add_newest(self.entries, entries)

    def covers(self, entry: Entry) -> bool:
        """Returns whether the batch has this entry, or a newer one of its key."""
        return _covers(self.entries, entry)


class DepartureStore:
    """Stores the departures of a registry on the disk of a control process.

    Every departure that the registry stores is written, whichever process published it. Must be used on the
    event loop's thread; after the constructor, only the executor uses the journal.
    """

    def __init__(self, registry: Registry, journal: Journal, executor: DiskExecutor) -> None:
        """Recovers the stored entries into the registry, and follows its changes from then on.

        Raises:
            StorageError: The journal cannot be read.
        """
        self._journal, self._executor = journal, executor
        self._durable, self._records = _recover(journal)  # the records since the last compaction
        self._must_compact = False
        self._pending: _Batch | None = None  # not being written yet
        self._writing: _Batch | None = None
        self._writer: asyncio.Task[None] | None = None
        self._is_failing = False
        registry.merge(list(self._durable.values()))
        registry.watch(RUNNER_PREFIX, self._on_stored)
        registry.watch_removals(RUNNER_PREFIX, self._on_removed)

    def __len__(self) -> int:
        """Returns the number of durable entries."""
        return len(self._durable)

    async def make_durable(self, entries: Sequence[Entry]) -> bool:
        """Waits until the departures among the entries are durable.

        Returns:
            False if they could not be written; they will be written later in that case.
        """
        waits_for = set()
        for entry in filter(is_departure, entries):
            if _covers(self._durable, entry):
                continue
            if self._writing is not None and self._writing.covers(entry):
                waits_for.add(self._writing.done)
            else:
                waits_for.add(self._enqueue([entry]))
        return all([await asyncio.shield(done) for done in waits_for])

    def close(self) -> None:
        """Stops writing; whoever waits is told that the entries are not durable."""
        if self._writer is not None:
            self._writer.cancel()
        for batch in (self._writing, self._pending):
            if batch is not None and not batch.done.done():
                batch.done.set_result(False)

    def _on_stored(self, entry: Entry) -> None:
        if is_departure(entry):
            self._enqueue([entry])

    def _on_removed(self, entry: Entry) -> None:
        """Forgets a tombstone that has expired; a later start must not bring it back."""
        if self._durable.pop(entry.key, None) is not None:
            self._must_compact = True
            self._start_writing()

    def _enqueue(self, entries: Iterable[Entry]) -> asyncio.Future[bool]:
        """Adds entries to the next write; returns the future of that write."""
        if self._pending is None:
            self._pending = _Batch(asyncio.get_running_loop().create_future())
        self._pending.add(entries)
        self._start_writing()
        return self._pending.done

    def _start_writing(self) -> None:
        if self._writer is None:
            self._writer = asyncio.get_running_loop().create_task(self._write_batches())

    async def _write_batches(self) -> None:
        try:
            while self._pending is not None or self._must_compact:
                is_written = await self._write_next()
                if not is_written:
                    await asyncio.sleep(RETRY_PAUSE_S)
        finally:
            self._writer = None

    async def _write_next(self) -> bool:
        """Writes the entries that have gathered, and compacts the journal if due; False if that failed."""
        batch, self._pending = self._pending, None
        self._writing = batch
        try:
            if batch is not None:
                await self._write(batch)
            if self._must_compact or self._records > MAX_RECORDS:
                await self._compact()
        except OSError as error:
            self._on_failure(batch, error)
            return False
        finally:
            self._writing = None
        if self._is_failing:
            self._is_failing = False
            log.info("departures.stored_again")
        return True

    async def _write(self, batch: _Batch) -> None:
        entries = [entry for entry in batch.entries.values() if not _covers(self._durable, entry)]
        records = encode_records(entries)

        def write() -> None:
            for record in records:
                self._journal.append(record)
            self._journal.sync()

        if records:
            await self._executor.run(write)
        self._records += len(records)
        self._durable.update((entry.key, entry) for entry in entries)
        batch.done.set_result(True)

    async def _compact(self) -> None:
        self._must_compact = False
        snapshot = _encode_record(list(self._durable.values()))
        try:
            await self._executor.run(lambda: self._journal.compact(self._journal.last_index, snapshot))
        except OSError:
            self._must_compact = True
            raise
        self._records = 0

    def _on_failure(self, batch: _Batch | None, error: OSError) -> None:
        """Keeps the entries of a failed write for the next one, and tells those who wait for them."""
        if not self._is_failing:
            self._is_failing = True
            log.error("departures.not_stored", error=str(error), retry_s=RETRY_PAUSE_S)
        if batch is None or batch.done.done():
            return
        batch.done.set_result(False)
        self._enqueue(batch.entries.values())


def _covers(held: dict[str, Entry], entry: Entry) -> bool:
    known = held.get(entry.key)
    return known is not None and rank(known) >= rank(entry)


def _add_newest(held: dict[str, Entry], entries: Iterable[Entry]) -> None:
    """Adds entries, unless `held` has the same or a newer one of their key."""
    for entry in entries:
        if not _covers(held, entry):
            held[entry.key] = entry


def encode_records(entries: Sequence[Entry]) -> list[bytes]:
    """Encodes entries as records of the journal: each is a PushRequest, as sent between processes."""
    starts = range(0, len(entries), MAX_ENTRIES_PER_RECORD)
    return [_encode_record(entries[start : start + MAX_ENTRIES_PER_RECORD]) for start in starts]


def decode_record(record: bytes) -> list[Entry]:
    """Returns the entries of a record or snapshot of the journal."""
    return decode_struct(PushRequest, record).entries or []


def _encode_record(entries: Sequence[Entry]) -> bytes:
    return encode_struct(PushRequest(node_name="", entries=list(entries)))


def _recover(journal: Journal) -> tuple[dict[str, Entry], int]:
    """Returns the newest stored entry of each key, and the number of records after the snapshot."""
    newest: dict[str, Entry] = {}
    index, snapshot = journal.snapshot() or (0, _encode_record([]))
    records = [record for _, record in journal.read(index + 1, journal.last_index)]
    for record in (snapshot, *records):
        _add_newest(newest, decode_record(record))
    return newest, len(records)

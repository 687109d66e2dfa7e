"""A dispatcher's index of runners, which follows the registry.

Addresses are reused. A new runner at the address of an older one shows that the older one is gone, even
without a Leave. The older runner is then not listed until the new one becomes silent or is gone.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import replace

from ..distribution.keys import RUNNER_PREFIX
from ..distribution.registry import Registry
from ..rpc.generated.ttypes import Entry
from .directory import TOMBSTONE_RETENTION_S
from .runner_record import RunnerRecord, Stage

RecordCallback = Callable[[RunnerRecord], None]
ADDRESS_IN_USE_STAGES = (Stage.READY, Stage.DRAINING)  # stages in which a runner is known to use its address


class RunnerView:
    """Runners by id and by service, without those that are gone or replaced at their address.

    There is no index by model and adapter, since it used 20 MB for 60,000 adapters in the records of 1,400
    runners.
    """

    def __init__(self, registry: Registry, clock: Callable[[], float] = time.monotonic) -> None:
        """Reads the runners in the registry, and subscribes to its changes.

        Args:
            registry: The dispatcher's copy of the registry.
            clock: Returns monotonic time in seconds.
        """
        self._registry = registry
        self._clock = clock
        self._known: dict[str, RunnerRecord] = {}  # including those that are gone or replaced
        self._changed_at: dict[str, float] = {}
        self._listed: dict[str, RunnerRecord] = {}
        self._listed_by_service: dict[str, dict[str, RunnerRecord]] = {}
        self._ids_at_address: dict[str, list[str]] = {}  # oldest first
        self._callbacks: list[RecordCallback] = []
        for entry in registry.items(RUNNER_PREFIX):
            self._update(entry)
        registry.watch(RUNNER_PREFIX, self._update)
        registry.watch_removals(RUNNER_PREFIX, self._handle_removal)

    def __len__(self) -> int:
        """Returns the number of listed runners."""
        return len(self._listed)

    def get(self, runner_id: str) -> RunnerRecord | None:
        """Returns the runner; None if it is unknown, gone, or replaced at its address."""
        return self._listed.get(runner_id)

    def by_service(self, service: str) -> dict[str, RunnerRecord]:
        """Returns the service's listed runners by id; callers must not change the dict."""
        return self._listed_by_service.get(service, {})

    def holders(self, service: str, model: str, adapter: str = "") -> list[RunnerRecord]:
        """Returns the ready runners with the model and, if `adapter` is not empty, the adapter loaded."""
        return [
            record
            for record in self.by_service(service).values()
            if record.stage is Stage.READY and record.holds(model, adapter)
        ]

    def watch(self, callback: RecordCallback) -> None:
        """Registers a callback for changed records; a removed runner is passed with the stage GONE."""
        self._callbacks.append(callback)

    def remove_expired(self) -> None:
        """Removes runners that have not been ready for TOMBSTONE_RETENTION_S; to be called periodically."""
        cutoff = self._clock() - TOMBSTONE_RETENTION_S
        expired = {
            runner_id
            for runner_id, record in self._known.items()
            if record.stage is not Stage.READY and self._changed_at[runner_id] <= cutoff
        }
        if not expired:
            return
        self._registry.remove_if(
            RUNNER_PREFIX, lambda entry: entry.key.removeprefix(RUNNER_PREFIX) in expired
        )

    def _update(self, entry: Entry) -> None:
        record = RunnerRecord.decode(entry.value)
        old = self._known.get(record.id)
        has_moved = old is not None and old.address != record.address
        if old is not None and has_moved:
            self._release_address(old)
        self._known[record.id] = record
        self._changed_at[record.id] = self._clock()
        if record.address:
            ids = self._ids_at_address.setdefault(record.address, [])
            if record.id not in ids:
                ids.append(record.id)
        for runner_id in self._ids_at_address.get(record.address, [record.id]):
            self._update_indexes(runner_id, notify=runner_id == record.id)
        if old is not None and has_moved:
            for runner_id in self._ids_at_address.get(old.address, []):
                self._update_indexes(runner_id, notify=False)

    def _handle_removal(self, entry: Entry) -> None:
        record = self._known.pop(entry.key.removeprefix(RUNNER_PREFIX))
        del self._changed_at[record.id]
        was_listed = record.id in self._listed
        self._remove_from_indexes(record.id)
        self._release_address(record)
        if was_listed:
            self._notify_watchers(record, is_gone=True)
        for runner_id in self._ids_at_address.get(record.address, []):
            self._update_indexes(runner_id, notify=False)

    def _release_address(self, record: RunnerRecord) -> None:
        ids = self._ids_at_address.get(record.address, [])
        if record.id in ids:
            ids.remove(record.id)
        if not ids:
            self._ids_at_address.pop(record.address, None)

    def _is_replaced(self, record: RunnerRecord) -> bool:
        """Returns whether a newer runner uses the address of the record."""
        ids = self._ids_at_address.get(record.address, [])
        newer_ids = ids[ids.index(record.id) + 1 :] if record.id in ids else []
        return any(self._known[newer_id].stage in ADDRESS_IN_USE_STAGES for newer_id in newer_ids)

    def _update_indexes(self, runner_id: str, notify: bool) -> None:
        """Updates the index entries of a runner, or removes them.

        Args:
            runner_id: Id of a known runner.
            notify: Whether to call the callbacks even if it is neither added nor removed.
        """
        record, listed = self._known[runner_id], self._listed.get(runner_id)
        is_gone = record.stage is Stage.GONE or self._is_replaced(record)
        if is_gone:
            self._remove_from_indexes(runner_id)
        elif record != listed:
            self._remove_from_indexes(runner_id)
            self._listed[runner_id] = record
            self._listed_by_service.setdefault(record.service, {})[runner_id] = record
        if notify or is_gone != (listed is None):
            self._notify_watchers(record, is_gone)

    def _remove_from_indexes(self, runner_id: str) -> None:
        record = self._listed.pop(runner_id, None)
        if record is None:
            return
        listed_by_id = self._listed_by_service[record.service]
        del listed_by_id[runner_id]
        if not listed_by_id:
            del self._listed_by_service[record.service]

    def _notify_watchers(self, record: RunnerRecord, is_gone: bool) -> None:
        notified = replace(record, stage=Stage.GONE) if is_gone else record
        for callback in self._callbacks:
            callback(notified)

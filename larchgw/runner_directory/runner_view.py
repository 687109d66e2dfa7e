"""What a dispatcher knows of runners, indexed for its choices and kept up with the registry.

Addresses are used again: a runner that appears at the address of an older one shows that the older is gone,
though nobody has said so. The older one is then left out, until the one that took its place turns silent or
is gone itself.
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

Watcher = Callable[[RunnerRecord], None]
AT_ITS_ADDRESS = (Stage.READY, Stage.DRAINING)  # stages in which a runner is known to be at its address


class RunnerView:
    """The runners by id and by service. Runners that are gone, or replaced at their address, are in neither.

    There is no index by what they hold: with 60,000 adapters in the records of 1,400 runners it took 20 MB.
    """

    def __init__(self, registry: Registry, clock: Callable[[], float] = time.monotonic) -> None:
        """Reads the runners that the registry knows, and follows it from now on.

        Args:
            registry: The dispatcher's copy.
            clock: Seconds, monotonic.
        """
        self._registry = registry
        self._clock = clock
        self._known: dict[str, RunnerRecord] = {}  # also those that are gone or replaced
        self._changed_at: dict[str, float] = {}
        self._listed: dict[str, RunnerRecord] = {}
        self._listed_by_service: dict[str, dict[str, RunnerRecord]] = {}
        self._ids_at_address: dict[str, list[str]] = {}  # the newest last
        self._watchers: list[Watcher] = []
        for entry in registry.items(RUNNER_PREFIX):
            self._update(entry)
        registry.watch(RUNNER_PREFIX, self._update)
        registry.watch_removals(RUNNER_PREFIX, self._handle_removal)

    def __len__(self) -> int:
        """Returns how many runners are listed."""
        return len(self._listed)

    def get(self, runner_id: str) -> RunnerRecord | None:
        """Returns the runner, unless it is gone or another has its address."""
        return self._listed.get(runner_id)

    def by_service(self, service: str) -> dict[str, RunnerRecord]:
        """Returns the service's runners of every stage but GONE, by id; not to be changed by the caller."""
        return self._listed_by_service.get(service, {})

    def holders(self, service: str, model: str, adapter: str = "") -> list[RunnerRecord]:
        """Returns the ready runners that hold the model and, if one is named, the adapter."""
        return [
            record
            for record in self.by_service(service).values()
            if record.stage is Stage.READY and record.holds(model, adapter)
        ]

    def watch(self, callback: Watcher) -> None:
        """Calls back with each record that has changed, also one that is now gone (its stage says so)."""
        self._watchers.append(callback)

    def remove_expired(self) -> None:
        """Drops runners that have not been ready for TOMBSTONE_RETENTION_S; to be called now and then."""
        before = self._clock() - TOMBSTONE_RETENTION_S
        expired = {
            runner_id
            for runner_id, record in self._known.items()
            if record.stage is not Stage.READY and self._changed_at[runner_id] <= before
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
            self._leave_address(old)
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
        self._leave_address(record)
        if was_listed:
            self._notify_watchers(record, is_gone=True)
        for runner_id in self._ids_at_address.get(record.address, []):
            self._update_indexes(runner_id, notify=False)

    def _leave_address(self, record: RunnerRecord) -> None:
        ids = self._ids_at_address.get(record.address, [])
        if record.id in ids:
            ids.remove(record.id)
        if not ids:
            self._ids_at_address.pop(record.address, None)

    def _is_replaced(self, record: RunnerRecord) -> bool:
        """Returns whether a newer runner is at its address."""
        ids = self._ids_at_address.get(record.address, [])
        newer_ids = ids[ids.index(record.id) + 1 :] if record.id in ids else []
        return any(self._known[newer_id].stage in AT_ITS_ADDRESS for newer_id in newer_ids)

    def _update_indexes(self, runner_id: str, notify: bool) -> None:
        """Puts the runner into the indexes as it is now, or takes it out.

        Args:
            runner_id: A known runner.
            notify: Whether watchers are called also if it is as much listed as before.
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
        of_service = self._listed_by_service[record.service]
        del of_service[runner_id]
        if not of_service:
            del self._listed_by_service[record.service]

    def _notify_watchers(self, record: RunnerRecord, is_gone: bool) -> None:
        notified = replace(record, stage=Stage.GONE) if is_gone else record
        for callback in self._watchers:
            callback(notified)

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
    """The runners by id and by service. Runners that are gone are in neither.

    There is no index by what they hold: with 60,000 adapters in the records of 1,400 runners it took 20 MB.
    """

    def __init__(self, registry: Registry, clock: Callable[[], float] = time.monotonic) -> None:
        self._registry = registry
        self._clock = clock
        self._known: dict[str, RunnerRecord] = {}  # also those that are gone or replaced
        self._changed_at: dict[str, float] = {}
        self._listed: dict[str, RunnerRecord] = {}
        self._services: dict[str, dict[str, RunnerRecord]] = {}
        self._at_address: dict[str, list[str]] = {}  # ids, the newest last
        self._watchers: list[Watcher] = []
        for entry in registry.items(RUNNER_PREFIX):
            self._learn(entry)
        registry.watch(RUNNER_PREFIX, self._learn)
        registry.watch_removals(RUNNER_PREFIX, self._forgotten)

    def __len__(self) -> int:
        return len(self._listed)

    def get(self, id: str) -> RunnerRecord | None:
        """The runner, unless it is gone or another has its address."""
        return self._listed.get(id)

    def by_service(self, service: str) -> dict[str, RunnerRecord]:
        """The service's runners of every stage but GONE; not to be changed by the caller."""
        return self._services.get(service, {})

    def holders(self, service: str, model: str, adapter: str = "") -> list[RunnerRecord]:
        """The ready runners that hold the model and, if one is named, the adapter."""
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
        old = {
            id
            for id, record in self._known.items()
            if record.stage is not Stage.READY and self._changed_at[id] <= before
        }
        if not old:
            return
        self._registry.remove_if(RUNNER_PREFIX, lambda entry: entry.key.removeprefix(RUNNER_PREFIX) in old)

    def _learn(self, entry: Entry) -> None:
        record = RunnerRecord.decode(entry.value)
        old = self._known.get(record.id)
        moved = old is not None and old.address != record.address
        if old is not None and moved:
            self._leave_address(old)
        self._known[record.id] = record
        self._changed_at[record.id] = self._clock()
        if record.address:
            ids = self._at_address.setdefault(record.address, [])
            if record.id not in ids:
                ids.append(record.id)
        for id in self._at_address.get(record.address, [record.id]):
            self._list(id, tell=id == record.id)
        if old is not None and moved:
            for id in self._at_address.get(old.address, []):
                self._list(id, tell=False)

    def _forgotten(self, entry: Entry) -> None:
        record = self._known.pop(entry.key.removeprefix(RUNNER_PREFIX))
        del self._changed_at[record.id]
        listed = record.id in self._listed
        self._unlist(record.id)
        self._leave_address(record)
        if listed:
            self._tell(record, gone=True)
        for id in self._at_address.get(record.address, []):
            self._list(id, tell=False)

    def _leave_address(self, record: RunnerRecord) -> None:
        ids = self._at_address.get(record.address, [])
        if record.id in ids:
            ids.remove(record.id)
        if not ids:
            self._at_address.pop(record.address, None)

    def _replaced(self, record: RunnerRecord) -> bool:
        """Whether a newer runner is at its address."""
        ids = self._at_address.get(record.address, [])
        newer = ids[ids.index(record.id) + 1 :] if record.id in ids else []
        return any(self._known[id].stage in AT_ITS_ADDRESS for id in newer)

    def _list(self, id: str, tell: bool) -> None:
        """Puts the runner into the indexes as it is now, or takes it out."""
        record, old = self._known[id], self._listed.get(id)
        gone = record.stage is Stage.GONE or self._replaced(record)
        if gone:
            self._unlist(id)
        elif record != old:
            self._unlist(id)
            self._listed[id] = record
            self._services.setdefault(record.service, {})[id] = record
        if tell or gone != (old is None):
            self._tell(record, gone)

    def _unlist(self, id: str) -> None:
        record = self._listed.pop(id, None)
        if record is None:
            return
        members = self._services[record.service]
        del members[id]
        if not members:
            del self._services[record.service]

    def _tell(self, record: RunnerRecord, gone: bool) -> None:
        shown = replace(record, stage=Stage.GONE) if gone else record
        for callback in self._watchers:
            callback(shown)

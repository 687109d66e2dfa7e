"""Keys that a runner's record lists and that the runner has answered 421 for."""

from __future__ import annotations

from ..runner_directory.runner_record import RunnerRecord
from .interface import ModelKey


class StaleKeys:
    """Keys marked stale by a 421, until a newer record of the runner lists them again.

    A record is newer when its `call_count` is higher: the runner has checked in since.
    """

    def __init__(self) -> None:
        """Begins with no key marked."""
        self._stale: dict[str, dict[ModelKey, int]] = {}

    def mark(self, record: RunnerRecord, key: ModelKey) -> None:
        """Records that the runner answered 421 for the key while `record` was in force."""
        self._stale.setdefault(record.id, {})[key] = record.call_count

    def is_held(self, record: RunnerRecord, key: ModelKey) -> bool:
        """Whether the runner holds the key as far as is known. True for the empty model."""
        _, model, adapter = key
        if model and not record.holds(model, adapter):
            return False
        if record.id not in self._stale:
            return True
        return record.call_count > self._stale[record.id].get(key, -1)

    def forget(self, runner: str) -> None:
        """Drops the marks of a runner that is gone."""
        self._stale.pop(runner, None)

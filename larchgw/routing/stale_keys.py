"""Model keys that a runner's record lists although the runner has responded with 421 for them."""

from __future__ import annotations

from ..runner_directory.runner_record import RunnerRecord
from .interface import ModelKey


class StaleKeys:
    """Keys marked as stale after a 421 response, until a newer record of the runner lists them.

    A record with a higher `call_count` is newer: the runner has checked in since.
    """

    def __init__(self) -> None:
        """Starts without stale keys."""
        self._stale: dict[str, dict[ModelKey, int]] = {}

    def mark(self, record: RunnerRecord, key: ModelKey) -> None:
        """Records a 421 response for the key, received while `record` was the runner's newest record."""
        self._stale.setdefault(record.id, {})[key] = record.call_count

    def is_held(self, record: RunnerRecord, key: ModelKey) -> bool:
        """Returns whether the record lists the key and it is not stale; always true for the empty model."""
        _, model, adapter = key
        if model and not record.holds(model, adapter):
            return False
        if record.id not in self._stale:
            return True
        return record.call_count > self._stale[record.id].get(key, -1)

    def forget(self, runner: str) -> None:
        """Removes the stale keys of a runner that no longer exists."""
        self._stale.pop(runner, None)

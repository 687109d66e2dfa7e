"""Which keys were refused by a runner that its record lists as holding them."""

from __future__ import annotations

from ..runner_directory.runner_record import RunnerRecord
from .pending_requests import Key


class KeyMarks:
    """Keys unmarked by a 421. A record newer than the one in force then marks them again.

    A record is newer when its `call_count` is higher: the runner has told of itself since.
    """

    def __init__(self) -> None:
        self._unmarked: dict[str, dict[Key, int]] = {}

    def unmark(self, record: RunnerRecord, key: Key) -> None:
        """The runner answered 421 for the key."""
        self._unmarked.setdefault(record.id, {})[key] = record.call_count

    def holds(self, record: RunnerRecord, key: Key) -> bool:
        """Whether the runner holds the key as far as is known. True for the empty model."""
        if key[1] and not record.holds(key[1], key[2]):
            return False
        if record.id not in self._unmarked:
            return True
        return record.call_count > self._unmarked[record.id].get(key, -1)

    def forget(self, runner: str) -> None:
        """The runner is gone."""
        self._unmarked.pop(runner, None)

"""Notices a client that sends a second request under an attempt id that it has used before."""

from __future__ import annotations


class RecentIds:
    """The attempt ids of the newest requests of this process."""

    def __init__(self, capacity: int) -> None:
        """Starts empty; at most `capacity` ids are kept."""
        self._capacity = capacity
        self._ids: dict[bytes, None] = {}  # oldest first

    def add(self, attempt_id: bytes) -> bool:
        """Adds an id. Returns whether it was there already."""
        if attempt_id in self._ids:
            return True
        self._ids[attempt_id] = None
        if len(self._ids) > self._capacity:
            del self._ids[next(iter(self._ids))]
        return False

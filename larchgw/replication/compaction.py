"""When a member replaces the beginning of its log by a snapshot."""

from __future__ import annotations

from collections.abc import Callable

from .replica import Replica
from .settings import MemberSettings

DISK_RETRY_SECONDS = 5.0  # after a failed compaction


class Compaction:
    """`snapshot` gives the caller's state as of the last record that was handed to it."""

    def __init__(self, replica: Replica, settings: MemberSettings, snapshot: Callable[[], bytes]) -> None:
        self._replica = replica
        self._settings = settings
        self._snapshot = snapshot
        self._retry_at = 0.0

    def tick(self, now: float, delivered: int) -> None:
        """Compacts up to `delivered`, the last record handed out, if the log has grown past its bounds.

        OSError if the disk refuses; it is tried again after some seconds."""
        records, size = self._replica.size
        if records < self._settings.compact_records and size < self._settings.compact_bytes:
            return
        if now < self._retry_at or delivered < self._replica.first_kept:
            return
        self._retry_at = now + DISK_RETRY_SECONDS
        self._replica.compact(delivered, self._snapshot())
        self._retry_at = now

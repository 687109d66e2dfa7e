"""Decides when a member replaces the beginning of its log by a snapshot."""

from __future__ import annotations

from collections.abc import Callable

from .replica import Replica
from .settings import MemberSettings

DISK_RETRY_S = 5.0  # after a failed compaction
POSTPONED_FACTOR = 2  # multiplies the limits of the log while a snapshot is being sent


class Compaction:
    """Compacts the log once it exceeds its limits. Times are seconds of the member's clock."""

    def __init__(self, replica: Replica, settings: MemberSettings, snapshot: Callable[[], bytes]) -> None:
        """Creates the policy for one log.

        Args:
            replica: The log.
            settings: The limits of the log.
            snapshot: Returns the caller's state as of the last record that was delivered to it.
        """
        self._replica = replica
        self._settings = settings
        self._snapshot = snapshot
        self._retry_at = 0.0

    def tick(self, now: float, delivered: int, is_sending_snapshot: bool) -> None:
        """Compacts up to `delivered`, the last delivered record, if the log exceeds its limits.

        While a snapshot is being sent the limits are higher, so that the records after it are still there for
        its receiver. Otherwise compactions could overtake a slow transfer each time.

        Raises:
            OSError: The snapshot cannot be stored; compaction is retried after `DISK_RETRY_S`.
        """
        if not self._has_outgrown(POSTPONED_FACTOR if is_sending_snapshot else 1):
            return
        if now < self._retry_at or delivered < self._replica.first_index:
            return
        self._retry_at = now + DISK_RETRY_S
        self._replica.compact(delivered, self._snapshot())
        self._retry_at = now

    def _has_outgrown(self, factor: int) -> bool:
        size = self._replica.size
        settings = self._settings
        return (
            size.records >= factor * settings.compact_records
            or size.size_bytes >= factor * settings.compact_bytes
            or size.records * self._replica.state_bytes >= factor * settings.compact_replay_bytes
        )

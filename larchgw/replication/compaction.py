"""When a member replaces the beginning of its log by a snapshot."""

from __future__ import annotations

from collections.abc import Callable

from .replica import Replica
from .settings import MemberSettings

DISK_RETRY_S = 5.0  # after a failed compaction
POSTPONED_FACTOR = 2  # the log may grow to so many times its bounds while a member is sent a snapshot


class Compaction:
    """Cuts the log once it has grown past its bounds. Times are seconds of the member's clock."""

    def __init__(self, replica: Replica, settings: MemberSettings, snapshot: Callable[[], bytes]) -> None:
        """Begins.

        Args:
            replica: The log.
            settings: Its bounds.
            snapshot: Gives the caller's state as of the last record that was handed to it.
        """
        self._replica = replica
        self._settings = settings
        self._snapshot = snapshot
        self._retry_at = 0.0

    def tick(self, now: float, delivered: int, is_sending_snapshot: bool) -> None:
        """Compacts up to `delivered`, the last record handed out, if the log has grown past its bounds.

        While a snapshot is being sent the log may grow further, so that its receiver finds the records after
        it: otherwise compactions could outrun a slow transfer for ever.

        Raises:
            OSError: The disk refuses; it is tried again after some seconds.
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

"""Limits the memory for bodies of requests that wait for their handler."""

from __future__ import annotations

import structlog

from .counters import Counters

log = structlog.get_logger()


class BodyMemory:
    """The memory used by request bodies that were not yet passed to the listener's handler.

    Attributes:
        limit_bytes: The maximum in use; may be changed at any time.
        used_bytes: The bytes in use now.
    """

    def __init__(self, counters: Counters, listener: str, limit_bytes: int) -> None:
        """Starts empty; refusals are counted under the listener's name."""
        self._counters, self._listener = counters, listener
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self._logged = False

    def reserve(self, size: int) -> bool:
        """Reserves `size` bytes. Returns False if they exceed the limit."""
        if self.used_bytes + size > self.limit_bytes:
            self._count_refusal()
            return False
        self.used_bytes += size
        return True

    def release(self, size: int) -> None:
        """Releases `size` bytes that were dropped or passed to the handler."""
        self.used_bytes -= size

    def _count_refusal(self) -> None:
        self._counters.caps.labels(self._listener + "_bodies").inc()
        if not self._logged:
            self._logged = True
            log.warning("cap.bodies", listener=self._listener, bytes=self.used_bytes, cap=self.limit_bytes)

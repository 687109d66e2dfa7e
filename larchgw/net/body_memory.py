"""How much memory the bodies of one listener's waiting requests may take."""

from __future__ import annotations

import structlog

from .counters import Counters

log = structlog.get_logger()


class BodyMemory:
    """Counts the bytes of bodies that the listener's handler does not have yet.

    Attributes:
        limit_bytes: The most that may be in use; may be changed at any time.
        used_bytes: What is in use now.
    """

    def __init__(self, counters: Counters, listener: str, limit_bytes: int) -> None:
        """Nothing is in use; refusals are counted under the listener's name."""
        self._counters, self._listener = counters, listener
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self._logged = False

    def reserve(self, size: int) -> bool:
        """Whether there is memory for so many more bytes; if so, they count as used."""
        if self.used_bytes + size > self.limit_bytes:
            self._count_refusal()
            return False
        self.used_bytes += size
        return True

    def release(self, size: int) -> None:
        """Returns so many bytes: they are the handler's to count now, or gone."""
        self.used_bytes -= size

    def _count_refusal(self) -> None:
        self._counters.caps.labels(self._listener + "_bodies").inc()
        if not self._logged:
            self._logged = True
            log.warning("cap.bodies", listener=self._listener, bytes=self.used_bytes, cap=self.limit_bytes)

"""How much memory the bodies of one listener's waiting requests may take."""

from __future__ import annotations

import structlog

from .counters import Counters

log = structlog.get_logger()


class BodyMemory:
    """Counts the bytes of bodies that the listener's handler does not have yet."""

    def __init__(self, counters: Counters, listener: str, limit_bytes: int) -> None:
        self._counters, self._listener = counters, listener
        self.limit_bytes = limit_bytes  # may be changed at any time
        self.used_bytes = 0
        self._logged = False

    def reserve(self, size: int) -> bool:
        """Whether there is memory for so many more bytes; if so, they count as held."""
        if self.used_bytes + size > self.limit_bytes:
            self._refused()
            return False
        self.used_bytes += size
        return True

    def release(self, size: int) -> None:
        """So many bytes are the handler's to count now, or gone."""
        self.used_bytes -= size

    def _refused(self) -> None:
        self._counters.caps.labels(self._listener + "_bodies").inc()
        if not self._logged:
            self._logged = True
            log.warning("cap.bodies", listener=self._listener, bytes=self.used_bytes, cap=self.limit_bytes)

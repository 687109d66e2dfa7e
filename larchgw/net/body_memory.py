"""Limits the memory for request bodies."""

from __future__ import annotations

from collections.abc import Callable

import structlog

from .counters import Counters

log = structlog.get_logger()
MIN_SHARE = 0.75  # of the limit, for the least urgent requests


class BodyMemory:
    """The memory that is reserved for request bodies.

    Attributes:
        limit_bytes: The maximum in use; may be changed at any time.
        until_answered: Whether a body counts from the head of its request until the response has ended, so
            that the limit bounds all bodies in memory. If not, a body counts from its first byte until it is
            passed to the listener's handler, which must limit what it holds.
        used_bytes: The bytes in use now.
    """

    def __init__(
        self, counters: Counters, listener: str, limit_bytes: int, *, until_answered: bool = False
    ) -> None:
        """Starts empty; refusals are counted under the listener's name."""
        self._counters, self._listener = counters, listener
        self.limit_bytes, self.until_answered = limit_bytes, until_answered
        self.used_bytes = 0
        self._logged = False

    def reserve(self, size: int, share: Callable[[], float] = lambda: 1.0) -> bool:
        """Reserves `size` bytes. Returns False if they exceed the limit.

        Args:
            size: The number of bytes.
            share: Returns the share of the limit that may be in use afterwards, from MIN_SHARE to 1.
        """
        used_bytes = self.used_bytes + size
        if used_bytes > MIN_SHARE * self.limit_bytes and used_bytes > share() * self.limit_bytes:
            self._count_refusal()
            return False
        self.used_bytes = used_bytes
        return True

    def release(self, size: int) -> None:
        """Releases `size` bytes that were dropped or passed to the handler."""
        self.used_bytes -= size

    def _count_refusal(self) -> None:
        self._counters.caps.labels(self._listener + "_bodies").inc()
        if not self._logged:
            self._logged = True
            log.warning("cap.bodies", listener=self._listener, bytes=self.used_bytes, cap=self.limit_bytes)

"""The models' time as an asyncio loop has it."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any


class RealTime:
    """A `Timeline` of the running asyncio loop, on Unix time."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._offset = time.time() - self._loop.time()

    def now(self) -> float:
        return self._loop.time() + self._offset

    def at(self, when: float, action: Callable[[], None]) -> Any:
        return self._loop.call_at(when - self._offset, action)

    def drop(self, entry: Any) -> None:
        if entry is not None:
            entry.cancel()

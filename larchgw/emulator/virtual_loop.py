"""An asyncio event loop in virtual time: it never waits, its clock jumps to what is due next."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

Answer = TypeVar("Answer")


class NothingDue(RuntimeError):
    """Every task waits for something that will never come."""


class _Selector(selectors.SelectSelector):
    """Passes the time that the loop would wait to its clock."""

    def __init__(self) -> None:
        super().__init__()
        self.passed: Callable[[float], None] = lambda seconds: None

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise NothingDue("no timer runs and no file is ready")
        self.passed(timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Its time starts at 0 seconds. Sockets do not work in it, since no time is given to them."""

    def __init__(self) -> None:
        self._virtual_now = 0.0
        selector = _Selector()
        super().__init__(selector)
        selector.passed = self._pass

    def time(self) -> float:
        """Virtual seconds."""
        return self._virtual_now

    def _pass(self, seconds: float) -> None:
        self._virtual_now += seconds


def run(main: Coroutine[Any, Any, Answer]) -> Answer:
    """Runs a coroutine to its end in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)

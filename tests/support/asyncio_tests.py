"""Runs a test that is a coroutine on a loop of its own, within a bound that only a hung test meets."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Callable, Coroutine
from typing import Any

PATIENCE = 20.0  # seconds for a condition; nothing is measured by it
TEST_TIME = 3 * PATIENCE  # seconds for a whole test


def on_loop(test: Callable[..., Coroutine[Any, Any, None]]) -> Callable[..., None]:
    """The coroutine function as a test that pytest calls, with the same arguments."""

    @functools.wraps(test)
    def called(*args: Any, **named: Any) -> None:
        asyncio.run(asyncio.wait_for(test(*args, **named), TEST_TIME))

    return called

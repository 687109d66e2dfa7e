"""Runs a test that is a coroutine in virtual time."""

from __future__ import annotations

import functools
from collections.abc import Callable, Coroutine
from typing import Any

from larchgw.emulator.virtual_loop import run


def in_virtual_time(test: Callable[..., Coroutine[Any, Any, None]]) -> Callable[..., None]:
    """The coroutine function as a test that pytest calls, with the same arguments."""

    @functools.wraps(test)
    def called(*arguments: Any, **named: Any) -> None:
        run(test(*arguments, **named))

    return called

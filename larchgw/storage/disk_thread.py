"""Runs disk operations in a thread, so that a slow disk does not block the event loop."""

from __future__ import annotations

import asyncio
import queue
import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

DiskOperation = Callable[[], None]


class DiskExecutor(Protocol):
    """Runs disk operations one at a time, in the order of the calls."""

    async def run(self, operation: DiskOperation) -> None:
        """Runs the operation and returns once it has returned; raises what it raises."""


@dataclass(frozen=True, slots=True)
class _Queued:
    """An operation, and the future of the loop that waits for it."""

    operation: DiskOperation
    loop: asyncio.AbstractEventLoop
    done: asyncio.Future[None]


class DiskThread:
    """A DiskExecutor with one thread, which starts with the first operation.

    The thread is a daemon: a disk that hangs must not keep the process from ending.
    """

    def __init__(self, name: str) -> None:
        """Takes the name of the thread, for debuggers; nothing is started yet."""
        self._name = name
        self._queue: queue.SimpleQueue[_Queued] = queue.SimpleQueue()
        self._thread: threading.Thread | None = None

    async def run(self, operation: DiskOperation) -> None:
        """See DiskExecutor. If the caller is cancelled, the operation runs nevertheless."""
        if self._thread is None:
            self._thread = threading.Thread(target=self._work, name=self._name, daemon=True)
            self._thread.start()
        loop = asyncio.get_running_loop()
        queued = _Queued(operation, loop, loop.create_future())
        self._queue.put(queued)
        await queued.done

    def _work(self) -> None:
        while True:
            queued = self._queue.get()
            error: Exception | None = None
            try:
                queued.operation()
            except Exception as raised:  # noqa: BLE001  # passed on to the caller of `run`
                error = raised
            try:
                queued.loop.call_soon_threadsafe(_complete, queued.done, error)
            except RuntimeError:
                return  # the loop was closed: the process is ending


def _complete(done: asyncio.Future[None], error: Exception | None) -> None:
    if done.cancelled():
        return
    if error is None:
        done.set_result(None)
    else:
        done.set_exception(error)

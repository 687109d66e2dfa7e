"""Background tasks of a process: started by name, a failure is logged and the task is started again."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import structlog

log = structlog.get_logger()
RESTART_AFTER = 0.5  # seconds


class BackgroundTasks:
    """Keeps background coroutines going until `stop`."""

    def __init__(self) -> None:
        self._running: set[asyncio.Task[None]] = set()

    def start(self, name: str, job: Callable[[], Awaitable[None]]) -> asyncio.Task[None]:
        """Runs `job` until it returns or `stop` is called; after an exception it is run again."""
        task = asyncio.get_running_loop().create_task(self._keep(name, job), name=name)
        self._running.add(task)
        task.add_done_callback(self._running.discard)
        return task

    def every(self, name: str, seconds: float, action: Callable[[], None]) -> asyncio.Task[None]:
        """Calls `action` again and again with a pause of so many seconds."""

        async def repeat() -> None:
            while True:
                action()
                await asyncio.sleep(seconds)

        return self.start(name, repeat)

    def stop(self) -> None:
        """Cancels all tasks."""
        for task in list(self._running):
            task.cancel()

    async def _keep(self, name: str, job: Callable[[], Awaitable[None]]) -> None:
        while True:
            try:
                await job()
                return
            except asyncio.CancelledError:
                raise
            except Exception:
                log.exception("task.failed", task=name, restart_after_s=RESTART_AFTER)
                await asyncio.sleep(RESTART_AFTER)

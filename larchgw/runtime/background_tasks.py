"""Named background tasks of a process, which are restarted after a failure."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import structlog

log = structlog.get_logger()

RESTART_DELAY_S = 0.5


class BackgroundTasks:
    """Runs coroutines on the running asyncio loop until `stop`."""

    def __init__(self) -> None:
        """Starts without tasks."""
        self._running: set[asyncio.Task[None]] = set()

    def start(self, name: str, job: Callable[[], Awaitable[None]]) -> asyncio.Task[None]:
        """Runs `job` until it returns or `stop` is called; restarts it after an exception."""
        task = asyncio.get_running_loop().create_task(self._run(name, job), name=name)
        self._running.add(task)
        task.add_done_callback(self._running.discard)
        return task

    def every(self, name: str, period_s: float, action: Callable[[], None]) -> asyncio.Task[None]:
        """Calls `action` immediately, then every `period_s` seconds, until `stop` is called."""

        async def repeat() -> None:
            while True:
                action()
                await asyncio.sleep(period_s)

        return self.start(name, repeat)

    def stop(self) -> None:
        """Cancels all tasks."""
        for task in list(self._running):
            task.cancel()

    async def _run(self, name: str, job: Callable[[], Awaitable[None]]) -> None:
        while True:
            try:
                await job()
                return
            except asyncio.CancelledError:
                raise
            except Exception:
                log.exception("task.failed", task=name, restart_after_s=RESTART_DELAY_S)
                await asyncio.sleep(RESTART_DELAY_S)

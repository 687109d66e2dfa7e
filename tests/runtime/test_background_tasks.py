"""Background tasks: restart after a failure, and cancellation by `stop`."""

from __future__ import annotations

import asyncio

import pytest

from larchgw.runtime import background_tasks
from larchgw.runtime.background_tasks import BackgroundTasks
from tests.support.asyncio_tests import on_loop


@on_loop
async def test_failed_job_is_run_again_until_it_returns(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(background_tasks, "RESTART_DELAY_S", 0.0)
    runs: list[int] = []

    async def job() -> None:
        runs.append(len(runs))
        if len(runs) < 3:
            raise ValueError("not yet")

    await asyncio.wait_for(BackgroundTasks().start("job", job), 10.0)
    assert runs == [0, 1, 2]


@on_loop
async def test_action_is_called_at_once_and_again_until_stop() -> None:
    tasks, called_twice = BackgroundTasks(), asyncio.Event()
    calls: list[None] = []

    def action() -> None:
        calls.append(None)
        if len(calls) == 2:
            called_twice.set()

    task = tasks.every("action", 0.0, action)
    await asyncio.wait_for(called_twice.wait(), 10.0)
    tasks.stop()
    with pytest.raises(asyncio.CancelledError):
        await task
    count = len(calls)
    await asyncio.sleep(0.01)
    assert len(calls) == count

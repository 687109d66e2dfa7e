"""The event loop on asyncio: sockets, deadlines and calls from other threads."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from larchgw.net.asyncio_loop import AsyncLoop
from larchgw.net.counters import Counters
from larchgw.net.loop import READ, WRITE

TIMEOUT_S = 20.0


def run(test: Callable[[AsyncLoop], Coroutine[Any, Any, None]]) -> None:
    async def on_loop() -> None:
        loop = AsyncLoop(asyncio.get_running_loop())
        await asyncio.wait_for(test(loop), TIMEOUT_S)
        loop.close()

    asyncio.run(on_loop())


def test_a_paused_socket_has_no_events_until_watched_again() -> None:
    async def test(loop: AsyncLoop) -> None:
        ours, theirs = socket.socketpair()
        masks: list[int] = []
        first, second = asyncio.Event(), asyncio.Event()

        def ready(mask: int) -> None:
            masks.append(mask)
            ours.recv(1)
            (second if first.is_set() else first).set()

        loop.watch(ours, READ, ready)
        theirs.send(b"a")
        await first.wait()
        loop.watch(ours, 0, ready)
        theirs.send(b"b")
        for _ in range(5):
            await asyncio.sleep(0)
        assert masks == [READ]
        loop.watch(ours, READ, ready)
        await second.wait()
        loop.unwatch(ours)
        ours.close()
        theirs.close()

    run(test)


def test_asyncio_is_called_only_for_changed_events(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test(loop: AsyncLoop) -> None:
        ours, theirs = socket.socketpair()
        calls: list[str] = []
        for name in ("add_reader", "remove_reader", "add_writer", "remove_writer"):
            monkeypatch.setattr(loop.loop, name, lambda *a, name=name: calls.append(name))
        for events in (READ, READ, READ | WRITE, READ, READ, 0, 0):
            loop.watch(ours, events, lambda mask: None)
        assert calls == ["add_reader", "add_writer", "remove_writer", "remove_reader"]
        monkeypatch.undo()
        ours.close()
        theirs.close()

    run(test)


def test_deadlines_run_in_order_and_cancelled_ones_do_not() -> None:
    async def test(loop: AsyncLoop) -> None:
        now, ran, done = loop.clock.now(), list[str](), asyncio.Event()
        loop.deadlines.add(now + 0.03, done.set)
        dropped = loop.deadlines.add(now + 0.001, lambda: ran.append("dropped"))
        loop.deadlines.add(now + 0.02, lambda: ran.append("second"))
        loop.deadlines.add(now + 0.01, lambda: ran.append("first"))
        loop.deadlines.cancel(dropped)
        await done.wait()
        assert ran == ["first", "second"]

    run(test)


def test_a_failing_callback_stops_neither_other_deadlines_nor_the_loop() -> None:
    async def test(loop: AsyncLoop) -> None:
        loop.counters = Counters()
        done = asyncio.Event()
        now = loop.clock.now()
        loop.deadlines.add(now, lambda: 1 / 0)  # type: ignore[arg-type,return-value]
        loop.deadlines.add(now, done.set)
        await done.wait()
        assert loop.counters.nonzero_values()["larchgw_faults_total_loop"] == 1

    run(test)


def test_another_thread_can_schedule_a_call() -> None:
    async def test(loop: AsyncLoop) -> None:
        done = asyncio.Event()
        await asyncio.get_running_loop().run_in_executor(None, loop.call_soon, done.set)
        await done.wait()

    run(test)

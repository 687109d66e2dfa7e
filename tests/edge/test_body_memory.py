"""Memory for request bodies: freed when the request ends, and bounded while requests are open."""

from __future__ import annotations

import asyncio
import gc
from collections.abc import Iterator
from contextlib import contextmanager

import pytest

from larchgw.edge.request import ProxiedRequest
from larchgw.net.body_memory import BodyMemory
from larchgw.net.connection import Connection
from larchgw.net.exchange import Exchange
from larchgw.routing.interface import Reject
from tests.support.asyncio_tests import on_loop
from tests.support.edge_stand_ins import (
    LONG_BODY,
    Edge,
    FakeClock,
    ScriptedRunner,
    configuration,
    edge,
    route,
    soon,
    until,
)

BODY = bytes(1 << 20)


@contextmanager
def without_collector() -> Iterator[None]:
    """No cyclic garbage is collected meanwhile: what is freed is freed by its last reference."""
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def held_bytes() -> int:
    """Bytes of request bodies and unsent output that any object of this process holds."""
    objects = gc.get_objects()
    bodies = sum(len(found.body) for found in objects if isinstance(found, Exchange))
    return bodies + sum(found.held_bytes for found in objects if isinstance(found, Connection))


def requests() -> list[ProxiedRequest]:
    return [found for found in gc.get_objects() if isinstance(found, ProxiedRequest)]


def body_memory(made: Edge) -> BodyMemory:
    server = made.proxy._server
    assert server is not None
    return server.body_memory


async def answered(made: Edge, runner: ScriptedRunner) -> None:
    client = await made.ask("/writing/x", body=BODY)
    (await runner.call()).answer()
    assert (await client.answer()).status == 200


async def streamed(made: Edge, runner: ScriptedRunner) -> None:
    client = await made.ask("/streaming/x", body=BODY)
    call = await runner.call()
    call.stream()
    call.events(1, 2)
    call.end()
    assert (await client.answer()).whole


async def retried(made: Edge, runner: ScriptedRunner) -> None:
    client = await made.ask("/read_only/x", body=BODY)
    (await runner.call()).reset()
    assert (await client.answer()).status == 502


async def refused(made: Edge, runner: ScriptedRunner) -> None:
    made.selection.script = [Reject(0.5, "no_runner")]
    client = await made.ask("/writing/x", body=BODY)
    assert (await client.answer()).status == 503


async def expired(made: Edge, runner: ScriptedRunner) -> None:
    client = await made.ask("/writing/x", body=BODY, X_Time_Left_Ms="1000")
    await runner.call()
    made.move(0.99)
    assert (await client.answer()).status == 504


async def withdrawn(made: Edge, runner: ScriptedRunner) -> None:
    client = await made.ask("/writing/x", body=BODY)
    await runner.call()
    client.close()
    await soon(runner.closed.get())


@pytest.mark.parametrize("play", [answered, streamed, retried, refused, expired, withdrawn])
@on_loop
async def test_the_body_of_an_ended_request_is_freed_without_the_cyclic_collector(play) -> None:  # type: ignore[no-untyped-def]
    """Guards against edges that exceed their memory by bodies of requests that were answered long ago."""
    runner = ScriptedRunner("i-1")
    async with edge(runner, config=configuration(body_bytes=32 << 20), clock=FakeClock()) as made:
        with without_collector():
            await play(made, runner)
            await until(lambda: made.proxy.open_count == 0)
            await asyncio.sleep(0)
            assert held_bytes() == 0
            assert requests() == []
            assert body_memory(made).used_bytes == 0


@on_loop
async def test_what_a_withdrawn_request_had_not_sent_is_freed_without_the_cyclic_collector() -> None:
    """Guards against output of closed connections that waits for the cyclic collector."""
    runner = ScriptedRunner("i-1", reads_bodies=False)
    async with edge(runner, config=configuration(body_bytes=32 << 20)) as made:
        with without_collector():
            client = await made.ask("/writing/x", body=LONG_BODY)
            await runner.call()
            client.close()
            await until(lambda: made.proxy.open_count == 0)
            assert held_bytes() == 0
            assert requests() == []


@on_loop
async def test_bodies_of_open_requests_are_bounded_and_more_are_refused_before_they_are_sent() -> None:
    """Guards against edges that exceed their memory while many requests with long bodies are open."""
    runner = ScriptedRunner("i-1")
    async with edge(runner, config=configuration(body_bytes=32 << 20)) as made:
        body_memory(made).limit_bytes = 3 * len(BODY)
        clients = [await made.ask("/writing/x", name=f"id{number}", body=BODY) for number in range(3)]
        calls = [await runner.call() for _ in clients]
        refused_client = await made.client()
        refused_client.ask("/writing/x", name="id3", body=b"", Content_Length=str(len(BODY)))
        answer = await refused_client.answer()
        assert answer.status == 503
        assert float(answer.fields["retry-after"]) > 0.0
        assert runner.unread == 0
        calls[0].answer()
        assert (await clients[0].answer()).status == 200
        later = await made.ask("/writing/x", name="id4", body=BODY)
        (await runner.call()).answer()
        assert (await later.answer()).status == 200


@on_loop
async def test_a_body_in_chunks_is_refused_once_it_exceeds_what_is_left() -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner, config=configuration(body_bytes=32 << 20)) as made:
        body_memory(made).limit_bytes = len(BODY)
        client = await made.client()
        client.ask("/writing/x", body=b"", Transfer_Encoding="chunked")
        for _ in range(5):
            client.writer.write(b"%x\r\n%b\r\n" % (len(BODY) // 4, BODY[: len(BODY) // 4]))
        assert (await client.answer()).status == 503
        await until(lambda: body_memory(made).used_bytes == 0)
        assert runner.opened == 0


@on_loop
async def test_memory_for_the_most_urgent_requests_is_left_when_others_are_refused() -> None:
    runner = ScriptedRunner("i-1")
    urgent, other = route("writing", rank=0), route("read_only", rank=3)
    async with edge(runner, config=configuration(urgent, other, body_bytes=32 << 20)) as made:
        body_memory(made).limit_bytes = 4 * len(BODY)
        for number in range(3):
            await made.ask("/read_only/x", name=f"id{number}", body=BODY)
            await runner.call()
        refused_client = await made.ask("/read_only/x", name="id3", body=BODY)
        assert (await refused_client.answer()).status == 503
        client = await made.ask("/writing/x", name="id4", body=BODY)
        (await runner.call()).answer()
        assert (await client.answer()).status == 200


@on_loop
async def test_a_client_that_leaves_in_the_middle_of_its_body_gives_its_memory_back() -> None:
    async with edge(config=configuration(body_bytes=32 << 20)) as made:
        client = await made.client()
        client.ask("/writing/x", body=b"", Content_Length=str(len(BODY)))
        client.writer.write(BODY[:1000])
        await until(lambda: body_memory(made).used_bytes == len(BODY))
        client.close()
        await until(lambda: body_memory(made).used_bytes == 0)

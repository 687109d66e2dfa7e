"""Matching runner responses to requests, and what an early, late or truncated response means for a retry.

Uses real sockets; a scripted runner forces the order of events. The cases are those of docs/calls.md.
"""

from __future__ import annotations

import socket

import pytest

from larchgw.edge import stale_connection
from larchgw.edge.relay import BUFFERED_BYTES
from larchgw.net.connection import Connection
from larchgw.routing.interface import AttemptOutcome
from tests.support.asyncio_tests import on_loop
from tests.support.edge_stand_ins import (
    LONG_BODY,
    Call,
    FakeClock,
    ScriptedRunner,
    configuration,
    edge,
    event,
    soon,
    until,
)

LONG = configuration(body_bytes=2 * len(LONG_BODY))


# Long bodies


@on_loop
async def test_a_response_before_the_end_of_a_long_body_is_forwarded_and_its_connection_closed() -> None:
    """The next request on the connection would be read as the rest of the body."""
    runner = ScriptedRunner("i-1", reads_bodies=False)
    async with edge(runner, config=LONG) as made:
        client = await made.ask("/writing/x", "id1", LONG_BODY)
        (await runner.call()).answer(b"early")
        assert (await client.answer()).body == b"early"
        client.ask("/writing/x", "id2")
        call = await runner.call()
        assert call.id == "id2"
        assert runner.opened == 2
        call.answer(b"second")
        assert (await client.answer()).body == b"second"
        runner.reads_on.set()
        await soon(runner.closed.get())
        assert b"id2" not in runner.late
        assert not runner.late.strip(b"\0")


@pytest.mark.parametrize("answer", ["none", "head"])
@on_loop
async def test_a_reset_during_a_long_body_does_not_prove_that_the_request_never_ran(answer: str) -> None:
    first, second = ScriptedRunner("i-1", reads_bodies=False), ScriptedRunner("i-2")
    async with edge(first, second, config=LONG) as made:
        client = await made.ask("/writing/x", body=LONG_BODY)
        call = await first.call()
        if answer == "head":
            call.head(Transfer_Encoding="", Content_Length="6")
            await until(lambda: made.selection.heads)
        call.reset()
        reply = await client.answer()
        assert reply.status == 502
        assert "retry-after" not in reply.fields
        assert second.unread == 0
        assert made.selection.outcomes == [AttemptOutcome.CUT if answer == "head" else AttemptOutcome.RESET]


@on_loop
async def test_an_idempotent_request_with_a_long_body_is_retried_completely() -> None:
    first, second = ScriptedRunner("i-1", reads_bodies=False), ScriptedRunner("i-2")
    async with edge(first, second, config=LONG) as made:
        client = await made.ask("/read_only/x", body=LONG_BODY)
        (await first.call()).reset()
        call = await second.call()
        assert call.body == LONG_BODY
        call.answer(b"second")
        assert (await client.answer()).body == b"second"
        assert made.budget.repeats == 1


@on_loop
async def test_a_partly_sent_long_body_gets_504_at_the_deadline() -> None:
    runner = ScriptedRunner("i-1", reads_bodies=False)
    async with edge(runner, config=LONG, clock=FakeClock()) as made:
        client = await made.ask("/writing/x", body=LONG_BODY, X_Time_Left_Ms="1000")
        await runner.call()
        made.move(1.0)
        assert (await client.answer()).status == 504
        assert made.selection.outcomes == [AttemptOutcome.SILENT]


@on_loop
async def test_a_surplus_response_on_an_idle_connection_closes_it() -> None:
    first, second = ScriptedRunner("i-1"), ScriptedRunner("i-2")
    async with edge(first, second, clock=FakeClock()) as made:
        client = await made.ask("/writing/x", "id1")
        call = await first.call()
        call.answer()
        assert (await client.answer()).status == 200
        call.say(b"HTTP/1.1 200 OK\r\nX-Attempt-Id: id2\r\nContent-Length: 7\r\n\r\nsurplus")
        await soon(first.closed.get())  # immediately: the clock is stopped
        client.ask("/writing/x", "id2")
        (await first.call()).answer(b"second")
        assert (await client.answer()).body == b"second"
        assert made.selection.outcomes == [AttemptOutcome.DONE, AttemptOutcome.DONE]
        assert first.opened == 2


@on_loop
async def test_a_connection_with_an_undelivered_long_body_is_not_reused() -> None:
    """The runner has answered and may read on late: the next request would wait behind the body."""
    runner = ScriptedRunner("i-1", reads_bodies=False)
    async with edge(runner) as made:
        client = await made.ask("/writing/x", "id1", bytes(1 << 20))
        call = await runner.call()
        link = next(iter(made.proxy._pool._runner_ids))
        connection = link.connection
        assert isinstance(connection, Connection)
        await until(lambda: not connection.unsent or connection.closed)
        call.answer()
        assert (await client.answer()).status == 200
        client.ask("/writing/x", "id2")
        (await runner.call()).answer()
        assert (await client.answer()).status == 200
        assert runner.opened == 2


@on_loop
async def test_a_live_runner_that_does_not_read_a_long_body_is_not_given_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The kernel's TCP_USER_TIMEOUT would close the connection at the second zero-window probe."""
    monkeypatch.setattr(stale_connection, "USER_TIMEOUT_MS", 1)
    runner = ScriptedRunner("i-1", reads_bodies=False)
    async with edge(runner, config=LONG, clock=FakeClock()) as made:
        client = await made.ask("/writing/x", body=LONG_BODY)
        call = await runner.call()
        link = next(iter(made.proxy._pool._runner_ids))
        assert isinstance(link.connection, Connection)
        sock = link.connection.sock
        await until(lambda: made.selection.outcomes or probes(sock) >= 2)
        made.move(stale_connection.POLL_S)
        assert made.selection.outcomes == []
        call.answer()
        assert (await client.answer()).status == 200


@on_loop
async def test_a_dead_machine_is_detected_while_it_receives_a_long_body(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    first, second = ScriptedRunner("i-1", reads_bodies=False), ScriptedRunner("i-2")
    async with edge(first, second, config=LONG, clock=FakeClock()) as made:
        client = await made.ask("/read_only/x", body=LONG_BODY)
        await first.call()
        made.move(stale_connection.POLL_S)
        assert made.selection.outcomes == []
        monkeypatch.setattr(stale_connection, "is_dead", lambda sock: True)
        made.move(stale_connection.POLL_S)
        assert made.selection.outcomes == [AttemptOutcome.RESET]
        (await second.call()).answer()
        assert (await client.answer()).status == 200


@on_loop
async def test_the_kernel_time_out_is_restored_after_a_long_body_is_delivered() -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner, config=LONG, clock=FakeClock()) as made:
        client = await made.ask("/read_only/x", body=LONG_BODY)
        call = await runner.call()
        link = next(iter(made.proxy._pool._runner_ids))
        assert isinstance(link.connection, Connection)
        sock = link.connection.sock
        assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) == 0
        await until(lambda: not stale_connection.undelivered_bytes(sock))
        made.move(stale_connection.POLL_S)
        assert (
            sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) == stale_connection.USER_TIMEOUT_MS
        )
        call.answer()
        assert (await client.answer()).status == 200


def probes(sock: socket.socket) -> int:
    """Returns how often the kernel probed the closed window; it doubles the interval each time."""
    backoff: int = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 8)[4]
    return backoff


# Responses without a length


def send_unframed(call: Call, body: bytes, **fields: str) -> None:
    call.head(Transfer_Encoding="", **fields)
    call.say(body)


@pytest.mark.parametrize("path", ["/read_only/x", "/writing/x"])
@on_loop
async def test_a_response_without_a_length_ends_with_an_orderly_close(path: str) -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner) as made:
        client = await made.ask(path)
        call = await runner.call()
        send_unframed(call, b"all of it")
        call.close()
        answer = await client.answer()
        assert (answer.status, answer.body, answer.whole) == (200, b"all of it", True)


@pytest.mark.parametrize("size", [9, 200_000])
@on_loop
async def test_a_response_without_a_length_is_incomplete_after_a_reset(size: int) -> None:
    first, second = ScriptedRunner("i-1"), ScriptedRunner("i-2")
    async with edge(first, second) as made:
        client = await made.ask("/writing/x")
        call = await first.call()
        send_unframed(call, b"x" * size)
        await until(lambda: made.selection.heads)
        if size > BUFFERED_BYTES:
            assert (await client.head())[0] == 200
        call.reset()
        if size > BUFFERED_BYTES:
            assert not (await client.ended()).endswith(b"0\r\n\r\n")
        else:
            assert (await client.answer()).status == 502
        assert second.unread == 0
        assert made.selection.outcomes == [AttemptOutcome.CUT]


@on_loop
async def test_a_stream_without_a_length_closed_within_an_event_is_resumed() -> None:
    first, second = ScriptedRunner("i-1"), ScriptedRunner("i-2")
    async with edge(first, second) as made:
        client = await made.ask("/streaming/x")
        call = await first.call()
        send_unframed(call, event(1) + event(2) + event(3)[:6], Content_Type="text/event-stream")
        assert (await client.head())[0] == 200
        call.close()
        call = await second.call()
        assert call.headers["last-event-id"] == "2"
        send_unframed(call, event(3), Content_Type="text/event-stream")
        call.close()
        body = b""
        while data := await client.chunk():
            body += data
        assert body == event(1) + event(2) + event(3)


@on_loop
async def test_a_non_resumable_stream_without_a_length_closed_within_an_event_is_truncated() -> None:
    first, second = ScriptedRunner("i-1"), ScriptedRunner("i-2")
    async with edge(first, second) as made:
        client = await made.ask("/once/x")
        call = await first.call()
        send_unframed(call, event(1) + event(2)[:6], Content_Type="text/event-stream")
        assert (await client.head())[0] == 200
        call.close()
        body = await client.ended()
        assert event(1) in body
        assert event(2)[:6] not in body
        assert not body.endswith(b"0\r\n\r\n")
        assert second.unread == 0
        assert made.selection.outcomes == [AttemptOutcome.GARBLED]


# Bytes in place of the rest of a response


@pytest.mark.parametrize("path", ["/streaming/x", "/once/x"])
@pytest.mark.parametrize("whole", [True, False])
@on_loop
async def test_another_response_within_a_stream_is_not_part_of_it(path: str, whole: bool) -> None:
    """Either after a complete event or within one."""
    first, second = ScriptedRunner("i-1"), ScriptedRunner("i-2")
    async with edge(first, second) as made:
        client = await made.ask(path)
        call = await first.call()
        call.stream()
        call.events(1)
        if not whole:
            call.chunk(event(2)[:6])
        call.answer(b"surplus")
        assert (await client.head())[0] == 200
        assert await client.chunk() == event(1)
        if path == "/once/x":
            assert b"0\r\n\r\n" not in await client.ended()
            assert second.unread == 0
        else:
            call = await second.call()
            assert call.headers["last-event-id"] == "1"
            call.stream()
            call.events(2)
            call.end()
            assert await client.chunk() == event(2)
            assert await client.chunk() == b""
        assert made.selection.outcomes[0] is AttemptOutcome.GARBLED


@on_loop
async def test_bytes_after_the_last_chunk_are_not_part_of_a_stream() -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner) as made:
        client = await made.ask("/streaming/x")
        call = await runner.call()
        call.stream()
        call.events(1)
        call.end()
        call.events(2)
        assert (await client.head())[0] == 200
        assert await client.chunk() == event(1)
        assert await client.chunk() == b""
        client.ask("/streaming/x", "id2")
        call = await runner.call()
        assert runner.opened == 2
        call.stream()
        call.events(7)
        call.end()
        assert (await client.head())[0] == 200
        assert await client.chunk() == event(7)

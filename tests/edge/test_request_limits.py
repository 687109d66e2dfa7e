"""Guarantees for each request: remaining time, cancellation, deadlines, no permanent rejection, headers.

The cases are those of docs/calls.md.
"""

from __future__ import annotations

import dataclasses

import pytest

from larchgw.identifiers import RunnerId
from larchgw.routing.interface import AttemptOutcome, Send, Wait
from larchgw.runner_directory.runner_record import RunnerRecord
from tests.support.asyncio_tests import on_loop
from tests.support.edge_stand_ins import (
    HOST,
    STREAM,
    FakeClock,
    ScriptedRunner,
    configuration,
    edge,
    route,
    soon,
    until,
)

SLACK_MS = 500  # by which the time sent to a runner may exceed the client's remaining time


def left(call_headers: dict[str, str]) -> int:
    return int(call_headers["x-time-left-ms"])


# BUDGET: the remaining time


@pytest.mark.parametrize("told", ["4000", "900000", ""])
@on_loop
async def test_a_retry_sends_the_remaining_time(told: str) -> None:
    """It is less than that of the first attempt, and never more than the route allows."""
    first, second = ScriptedRunner("i-1"), ScriptedRunner("i-2")
    async with edge(first, second, clock=FakeClock()) as made:
        most = min(float(told or "inf"), 5000.0)
        client = await made.ask("/read_only/x", X_Time_Left_Ms=told)
        call = await first.call()
        assert most - SLACK_MS < left(call.headers) <= most
        made.move(1.5)
        call.reset()
        call = await second.call()
        assert most - 1500 - SLACK_MS < left(call.headers) <= most - 1500
        call.answer()
        assert (await client.answer()).status == 200


@on_loop
async def test_a_resumed_stream_sends_the_remaining_time() -> None:
    first, second = ScriptedRunner("i-1"), ScriptedRunner("i-2")
    async with edge(first, second, clock=FakeClock()) as made:
        client = await made.ask("/streaming/x")
        call = await first.call()
        call.stream()
        call.events(1)
        assert (await client.head())[0] == 200
        made.move(0.9)
        call.reset()
        call = await second.call()
        assert 2500 < left(call.headers) <= 3100
        call.stream()
        call.events(2)
        call.end()
        assert await client.chunk()
        assert await client.chunk()


@on_loop
async def test_a_request_that_waited_sends_the_remaining_time() -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner, clock=FakeClock()) as made:
        made.selection.script = [Wait(made.loop.clock.now() + 2.0, "full")]
        client = await made.ask("/writing/x")
        await until(lambda: made.selection.asked)
        made.move(2.0)
        call = await runner.call()
        assert 1500 < left(call.headers) <= 2000
        call.answer()
        assert (await client.answer()).status == 200


@on_loop
async def test_the_deadline_of_a_slow_body_counts_from_the_first_byte() -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner, clock=FakeClock()) as made:
        client = await made.client()
        client.writer.write(
            f"POST /writing/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: id1\r\n"
            "X-Time-Left-Ms: 4000\r\nContent-Length: 10\r\n\r\nfirst".encode()
        )
        server = made.proxy._server
        assert server is not None
        await until(lambda: server.body_memory.used_bytes)  # part of the body was read
        made.move(2.0)
        client.writer.write(b"later")
        call = await runner.call()
        assert call.body == b"firstlater"
        assert 1500 < left(call.headers) <= 2000
        made.move(1.99)
        assert (await client.answer()).status == 504


@on_loop
async def test_a_pipelined_request_sends_the_remaining_time() -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner, clock=FakeClock()) as made:
        client = await made.client()
        client.ask(name="id1")
        client.ask("/writing/x", "id2")
        client.ask("/writing/x", "id3", X_Time_Left_Ms="2000")
        first = await runner.call()
        made.move(3.0)
        first.answer()
        call = await runner.call()
        assert call.id == "id2"
        assert 500 < left(call.headers) <= 1000
        call.answer()
        assert [(await client.answer()).status for _ in range(3)] == [200, 200, 503]
        assert runner.unread == 0


# GONE: no work for a client that has disconnected


@on_loop
async def test_a_waiting_request_of_a_disconnected_client_is_not_sent() -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner, clock=FakeClock()) as made:
        made.selection.script = [Wait(float("inf"), "full")]
        client = await made.ask("/writing/x")
        await until(lambda: made.selection.asked)
        client.close()
        await until(lambda: made.proxy.open_count == 0)
        made.proxy.runners_changed()
        made.move(1.0)
        assert made.selection.sends == []
        assert runner.unread == 0


@on_loop
async def test_a_pipelined_request_of_a_disconnected_client_is_not_sent() -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner) as made:
        client = await made.client()
        for number in range(4):
            client.ask("/writing/x", f"id{number}")
        await runner.call()
        client.close()
        await soon(runner.closed.get())
        await until(lambda: made.proxy.open_count == 0)
        assert len(made.selection.sends) == 1
        assert runner.unread == 0


@pytest.mark.parametrize("path", ["/read_only/x", "/writing/x", "/streaming/x", "/once/x"])
@on_loop
async def test_the_runner_connection_is_closed_when_the_client_disconnects(path: str) -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner, clock=FakeClock()) as made:
        client = await made.ask(path)
        call = await runner.call()
        call.stream() if "s" in path.split("/")[1][:1] else call.head()
        await until(lambda: made.selection.sends)
        client.close()
        await soon(runner.closed.get())  # the clock is stopped, so this needs no time-out
        assert made.selection.outcomes == [AttemptOutcome.CANCELLED]


# CONFIG: a response by the route's deadline


@pytest.mark.parametrize("path", ["/read_only/x", "/writing/x", "/streaming/x", "/once/x"])
@pytest.mark.parametrize("state", ["waits", "sent", "head", "begun"])
@on_loop
async def test_every_request_is_answered_by_the_deadline_of_its_route(path: str, state: str) -> None:
    """The route's 5 s apply even if the client would wait longer."""
    runner = ScriptedRunner("i-1")
    async with edge(runner, clock=FakeClock()) as made:
        if state == "waits":
            made.selection.script = [Wait(float("inf"), "full")]
        client = await made.ask(path, X_Time_Left_Ms="60000")
        await until(lambda: made.selection.asked)
        if state != "waits":
            call = await runner.call()
        if state in ("head", "begun"):
            call.stream()
        if state == "begun":
            call.events(1)
            assert (await client.head())[0] == 200
        made.move(4.9)
        assert made.proxy.open_count == 1
        made.move(0.1)
        assert made.proxy.open_count == 0
        if state == "begun":
            assert not (await client.ended()).endswith(b"0\r\n\r\n")
        else:
            assert (await client.answer()).status == (503 if state == "waits" else 504)


# DENIED: no permanent rejection of a request that may be allowed


@on_loop
async def test_an_edge_without_a_configuration_rejects_nothing_permanently() -> None:
    """Includes large bodies and heads, since the limits are not known yet."""
    async with edge(configured=False) as made:
        large = await made.ask(body=bytes(5 << 20))
        assert (await large.answer()).status == 503
        long = await made.ask(X_Extra="x" * 20_000)
        assert (await long.answer()).status == 503


# UNASKED: unchanged headers

PROMPT = {
    "X_Model": "daka510000/a3",
    "X_Token_Count": "1460, 80",
    "X_Prompt_Start": "5c1e07a2:800, 91bd3f06:410,e4402b7d:250",
}


@on_loop
async def test_model_and_prompt_headers_reach_every_runner_unchanged() -> None:
    first, second, third = (ScriptedRunner(f"i-{number}") for number in range(3))
    config = configuration(dataclasses.replace(STREAM, tries=3))
    async with edge(first, second, third, config=config) as made:
        client = await made.ask("/streaming/x", "id1", b"ask", "POST", **PROMPT)
        calls = [await first.call()]
        calls[0].turn_away()
        calls.append(await second.call())
        calls[1].stream()
        calls[1].events(1)
        assert (await client.head())[0] == 200
        calls[1].reset()
        calls.append(await third.call())
        calls[2].stream()
        calls[2].events(2)
        calls[2].end()
        for call in calls:
            for name, value in PROMPT.items():
                name = name.lower().replace("_", "-")
                assert [told for field, told in call.fields if field == name] == [value]


# MIXED and 421: another runner than the intended one


@on_loop
async def test_a_request_rejected_by_a_runner_at_a_reused_address_is_retried() -> None:
    """X-Target-Runner holds the id of the record, whichever runner listens at the address."""
    other, right = ScriptedRunner("i-9"), ScriptedRunner("i-2")
    async with edge(other, right) as made:
        there = made.records.pop("i-9")
        made.records = {"i-1": dataclasses.replace(there, id=RunnerId("i-1"))} | made.records
        client = await made.ask("/writing/x")
        call = await other.call()
        assert call.headers["x-target-runner"] == "i-1"
        call.answer(b"not me", "421 Misdirected")
        (await right.call()).answer(b"right")
        assert (await client.answer()).body == b"right"
        assert made.selection.outcomes == [AttemptOutcome.NOT_HELD, AttemptOutcome.DONE]


@on_loop
async def test_a_connection_is_not_reused_for_another_runner_at_the_same_address() -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner) as made:
        client = await made.ask(name="id1")
        (await runner.call()).answer()
        assert (await client.answer()).status == 200
        record: RunnerRecord = made.records.pop("i-1")
        made.records["i-2"] = dataclasses.replace(record, id=RunnerId("i-2"))
        client.ask(name="id2")
        call = await runner.call()
        assert call.headers["x-target-runner"] == "i-2"
        assert runner.opened == 2
        call.answer()
        assert (await client.answer()).status == 200


@on_loop
async def test_a_request_rejected_for_other_weights_is_retried() -> None:
    first, second = ScriptedRunner("i-1"), ScriptedRunner("i-2")
    config = configuration(route("writing"))
    async with edge(first, second, config=config) as made:
        client = await made.ask("/writing/x", Expect_Version="7")
        call = await first.call()
        assert call.headers["expect-version"] == "7"
        call.answer(b"", "421 Other Version")
        call = await second.call()
        assert call.headers["expect-version"] == "7"
        call.answer(b"second")
        assert (await client.answer()).body == b"second"


# Runners removed without draining


@on_loop
async def test_a_removed_runner_gets_no_more_requests_and_completes_current_ones() -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner) as made:
        resting, running = await made.ask(name="a"), await made.ask(name="b")
        calls = {call.id: call for call in (await runner.call(), await runner.call())}
        calls["a"].answer()
        assert (await resting.answer()).status == 200
        del made.records["i-1"]
        made.proxy.runners_changed()
        await soon(runner.closed.get())  # the idle connection
        resting.ask("/writing/x", "c")
        assert (await resting.answer()).status == 503
        calls["b"].answer(b"served on")
        assert (await running.answer()).body == b"served on"
        assert runner.unread == 0
        assert runner.opened == 2


@on_loop
async def test_a_request_is_retried_if_its_runner_is_removed_while_connecting() -> None:
    first, second = ScriptedRunner("i-1"), ScriptedRunner("i-2")
    async with edge(first, second) as made:

        def leaves(request: object, runners: object) -> Send:
            return Send(made.records.pop("i-1"))

        made.selection.script = [leaves]
        client = await made.ask("/writing/x")
        (await second.call()).answer(b"second")
        assert (await client.answer()).body == b"second"
        assert first.unread == 0
        assert made.selection.outcomes[0] is AttemptOutcome.UNSENT

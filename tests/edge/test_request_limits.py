"""What is promised of each request: the time that is handed on, no work for clients that left, an answer in
time, no refusal for good, and headers that stay as they came. The rows are those of docs/calls.md.
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

SLACK_MS = 500  # by which a runner may be told more than the client has left


def left(call_headers: dict[str, str]) -> int:
    return int(call_headers["x-time-left-ms"])


# BUDGET: the time that is left


@pytest.mark.parametrize("told", ["4000", "900000", ""])
@on_loop
async def test_a_second_send_says_what_is_left_by_then(told: str) -> None:
    """Not what the first one said, and never more than the route allows."""
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
async def test_a_stream_that_goes_on_says_what_is_left_by_then() -> None:
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
async def test_a_request_that_waited_says_what_is_left_when_it_is_sent() -> None:
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
async def test_the_clients_time_runs_from_the_first_byte_of_a_body_that_comes_slowly() -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner, clock=FakeClock()) as made:
        client = await made.client()
        client.writer.write(
            f"POST /writing/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: id1\r\n"
            "X-Time-Left-Ms: 4000\r\nContent-Length: 10\r\n\r\nfirst".encode()
        )
        server = made.proxy._server
        assert server is not None
        await until(lambda: server.body_memory.used_bytes)  # bytes of the body have been read
        made.move(2.0)
        client.writer.write(b"later")
        call = await runner.call()
        assert call.body == b"firstlater"
        assert 1500 < left(call.headers) <= 2000
        made.move(1.99)
        assert (await client.answer()).status == 504


@on_loop
async def test_a_request_sent_ahead_says_what_is_left_once_its_turn_has_come() -> None:
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


# GONE: nobody works for a client that has left


@on_loop
async def test_no_request_of_a_client_that_left_while_it_waited_reaches_a_runner() -> None:
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
async def test_no_request_sent_ahead_reaches_a_runner_once_its_client_has_left() -> None:
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
async def test_a_runner_is_left_when_its_client_has_left_whatever_it_has_sent(path: str) -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner, clock=FakeClock()) as made:
        client = await made.ask(path)
        call = await runner.call()
        call.stream() if "s" in path.split("/")[1][:1] else call.head()
        await until(lambda: made.selection.sends)
        client.close()
        await soon(runner.closed.get())  # the clock stands still: no time is waited for
        assert made.selection.outcomes == [AttemptOutcome.CANCELLED]


# CONFIG: an answer at the route's deadline


@pytest.mark.parametrize("path", ["/read_only/x", "/writing/x", "/streaming/x", "/once/x"])
@pytest.mark.parametrize("state", ["waits", "sent", "head", "begun"])
@on_loop
async def test_every_kind_of_request_has_its_answer_at_the_routes_deadline(path: str, state: str) -> None:
    """However long its client would wait: the route's 5 s hold."""
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


# DENIED: no refusal for good of what may be allowed


@on_loop
async def test_an_edge_without_a_configuration_refuses_nothing_for_good() -> None:
    """Large bodies and heads too: what the limits will be is not known yet."""
    async with edge(configured=False) as made:
        large = await made.ask(body=bytes(5 << 20))
        assert (await large.answer()).status == 503
        long = await made.ask(X_Extra="x" * 20_000)
        assert (await long.answer()).status == 503


# UNASKED: headers as they came

PROMPT = {
    "X_Model": "daka510000/a3",
    "X_Token_Count": "1460, 80",
    "X_Prompt_Start": "5c1e07a2:800, 91bd3f06:410,e4402b7d:250",
}


@on_loop
async def test_what_a_request_says_of_its_model_and_prompt_reaches_every_runner_unchanged() -> None:
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


# MIXED and 421: runners that are not the one that was meant


@on_loop
async def test_a_runner_at_a_reused_address_turns_the_request_away_and_it_goes_elsewhere() -> None:
    """The id in X-Target-Runner is that of the record, not of whoever listens there."""
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
async def test_a_kept_connection_is_not_used_for_the_next_runner_at_the_same_address() -> None:
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
async def test_other_weights_than_expected_are_no_end_of_a_request_that_never_ran() -> None:
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


# Runners that leave without draining


@on_loop
async def test_a_runner_that_left_without_draining_gets_nothing_more_and_ends_what_it_has() -> None:
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
async def test_a_request_whose_runner_leaves_while_its_connection_comes_up_goes_elsewhere() -> None:
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

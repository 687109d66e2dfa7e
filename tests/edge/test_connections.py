"""Client and runner connections: reuse, limits and closing; and the reported demand."""

from __future__ import annotations

import dataclasses
import socket

import pytest

from larchgw.configuration.model import Service, Share
from larchgw.edge.runner_pool import MAX_OVERSUBSCRIPTION, MIN_CONNECTIONS
from larchgw.identifiers import RunnerId
from larchgw.routing.interface import AttemptOutcome, Wait
from larchgw.runner_directory.runner_record import RunnerRecord, Stage
from tests.support.asyncio_tests import on_loop
from tests.support.edge_stand_ins import (
    HOST,
    PINNED,
    READING,
    WRITING,
    Edge,
    FakeClock,
    ScriptedRunner,
    configuration,
    edge,
    route,
    soon,
    until,
)


def counted(made: Edge, event: str) -> float:
    value = made.proxy.net_counters.registry.get_sample_value(
        "larchgw_edge_connections_total", {"event": event}
    )
    return value or 0.0


@on_loop
async def test_the_advertised_keep_alive_time_of_a_runner_is_respected() -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner, clock=FakeClock()) as made:
        client = await made.client()
        for pause, opened in ((0.0, 1), (1.5, 1), (3.0, 1), (3.5, 2)):
            made.move(pause)
            client.ask(name=f"id{pause}")
            (await runner.call()).answer(Keep_Alive="timeout=4")
            assert (await client.answer()).status == 200
            assert runner.opened == opened


@on_loop
async def test_a_non_idempotent_request_gets_a_recently_used_or_new_connection() -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner, clock=FakeClock()) as made:
        client = await made.client()
        for pause, opened in ((1.0, 1), (3.0, 1), (0.0, 2)):
            client.ask("/writing/x", name=f"id{pause}")
            (await runner.call()).answer(Keep_Alive="timeout=5")
            assert (await client.answer()).status == 200
            assert runner.opened == opened
            made.move(pause)


@on_loop
async def test_a_connection_is_not_reused_after_connection_close() -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner) as made:
        client = await made.client()
        for number in range(2):
            client.ask(name=f"id{number}")
            (await runner.call()).answer(Connection="close")
            assert (await client.answer()).status == 200
        assert runner.opened == 2


@on_loop
async def test_connections_to_a_runner_stay_within_the_share_of_this_process() -> None:
    runner = ScriptedRunner("i-1")
    config = configuration(services=(Service("lm", max_conns=8),))
    async with edge(runner, config=config) as made:
        made.proxy.dispatchers = lambda: 100
        most = MAX_OVERSUBSCRIPTION * MIN_CONNECTIONS
        clients = [await made.ask(name=f"id{number}") for number in range(most)]
        calls = [await runner.call() for _ in range(most)]
        late = await made.ask("/writing/x", name="late")
        answer = await late.answer()
        assert answer.status == 503
        assert runner.opened == most
        assert made.selection.outcomes == [AttemptOutcome.UNSENT]
        for call in calls:
            call.answer()
        for client in clients:
            assert (await client.answer()).status == 200
        for _ in range(most - MIN_CONNECTIONS):
            await soon(runner.closed.get())


@on_loop
async def test_idle_connections_to_a_draining_runner_are_closed_and_it_gets_no_more_requests() -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner) as made:
        client = await made.ask()
        (await runner.call()).answer()
        assert (await client.answer()).status == 200
        made.records["i-1"] = dataclasses.replace(made.records["i-1"], stage=Stage.DRAINING)
        made.proxy.runners_changed()
        await soon(runner.closed.get())
        client.ask(name="id2")
        assert (await client.answer()).status == 503


@on_loop
async def test_a_connect_time_out_is_short_and_counts_as_never_run() -> None:
    deaf = socket.create_server(("127.0.0.1", 0), backlog=0)
    fillers = [socket.socket() for _ in range(4)]
    for filler in fillers:
        filler.setblocking(False)
        filler.connect_ex(deaf.getsockname())
    runner = ScriptedRunner("i-2")
    async with edge(runner, clock=FakeClock()) as made:
        host, port = deaf.getsockname()
        made.records = {"i-1": RunnerRecord(RunnerId("i-1"), "lm", f"{host}:{port}", "z")} | made.records
        client = await made.ask("/writing/x")
        await until(lambda: made.selection.sends)
        made.move(0.29)
        assert made.selection.outcomes == []
        made.move(0.02)
        (await runner.call()).answer()
        assert (await client.answer()).status == 200
        assert made.selection.outcomes == [AttemptOutcome.CONNECT_FAILED, AttemptOutcome.DONE]
    for sock in (deaf, *fillers):
        sock.close()


@on_loop
async def test_a_client_disconnect_during_a_stream_cancels_it_at_the_runner() -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner) as made:
        client = await made.ask("/once/x")
        call = await runner.call()
        call.stream()
        call.events(1)
        assert (await client.head())[0] == 200
        client.close()
        await soon(runner.closed.get())
        await until(lambda: made.proxy.open_count == 0)
        assert made.selection.outcomes == [AttemptOutcome.CANCELLED]


@pytest.mark.parametrize("framing", ["length", "chunks"])
@on_loop
async def test_a_truncated_large_response_does_not_look_complete(framing: str) -> None:
    first, second = ScriptedRunner("i-1"), ScriptedRunner("i-2")
    async with edge(first, second) as made:
        client = await made.ask("/read_only/x")
        call = await first.call()
        data = b"x" * 200_000
        if framing == "length":
            call.head(Transfer_Encoding="", Content_Length="300000")
            call.say(data)
        else:
            call.head()
            call.chunk(data)
        await call.writer.drain()
        assert (await client.head())[0] == 200
        call.close()
        body = await client.ended()
        assert not body.endswith(b"0\r\n\r\n")
        assert len(body) < 300_000
        assert second.unread == 0


@on_loop
async def test_a_truncated_short_response_is_retried_if_idempotent() -> None:
    first, second = ScriptedRunner("i-1"), ScriptedRunner("i-2")
    async with edge(first, second) as made:
        client = await made.ask("/read_only/x")
        call = await first.call()
        call.head(Transfer_Encoding="", Content_Length="6")
        call.say(b"ser")
        await call.writer.drain()
        call.close()
        (await second.call()).answer(b"second")
        answer = await client.answer()
        assert (answer.body, answer.whole) == (b"second", True)


@on_loop
async def test_a_request_with_an_old_http_version_gets_505() -> None:
    async with edge() as made:
        client = await made.client()
        client.writer.write(f"GET /read_only/x HTTP/1.0\r\nHost: {HOST}\r\n\r\n".encode())
        assert (await client.head())[0] == 505


@on_loop
async def test_a_request_past_its_deadline_is_not_sent() -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner) as made:
        client = await made.ask("/writing/x", X_Time_Left_Ms="15")
        assert (await client.answer()).status == 503
        assert made.selection.sends == []


@on_loop
async def test_a_smuggled_request_inside_a_body_stays_a_body() -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner) as made:
        inner = f"POST /writing/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: inner\r\n\r\n".encode()
        client = await made.ask("/read_only/x", "outer", body=inner)
        call = await runner.call()
        assert (call.id, call.body) == ("outer", inner)
        call.answer()
        assert (await client.answer()).status == 200
        assert len(made.selection.sends) == 1
        assert runner.unread == 0


@on_loop
async def test_pipelined_requests_are_answered_in_order() -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner) as made:
        client = await made.client()
        for number in range(3):
            client.ask(name=f"id{number}")
        for number in range(3):
            call = await runner.call()
            assert call.id == f"id{number}"
            call.answer(call.id.encode())
            assert (await client.answer()).body == b"id%d" % number


# Interface to the control side


@on_loop
async def test_demand_counts_arrivals_once_and_current_waiting_and_running_requests() -> None:
    runner = ScriptedRunner("i-1")
    config = configuration(
        dataclasses.replace(READING, pinned=True, rank=1),
        dataclasses.replace(WRITING, pinned=True),
        services=(PINNED,),
    )
    async with edge(runner, config=config, clock=FakeClock()) as made:
        running = await made.ask(X_Model="m1/a1", X_Token_Count="10,20", X_Prompt_Start="ab:4,cd:6")
        call = await runner.call()
        traits = made.selection.asked[0][0]
        assert (traits.model, traits.adapter, traits.prompt_tokens, traits.output_tokens) == (
            "m1",
            "a1",
            10,
            20,
        )
        assert [part.tokens for part in traits.parts] == [4, 6]
        made.selection.script = [Wait(float("inf"), "no_holder"), Wait(float("inf"), "no_holder")]
        for number in range(2):
            await made.ask("/writing/x", f"w{number}", X_Model="m2", X_Time_Left_Ms=f"{3000 + number}")
        await until(lambda: len(made.selection.asked) == 3)
        assert made.wanted == [("lm", "m2", ""), ("lm", "m2", "")]
        report = {(x.model, x.adapter): x for x in made.proxy.demand()}
        held, wanted = report["m1", "a1"], report["m2", ""]
        assert (held.arrivals, held.waiting, held.in_flight, held.worth) == (1, 0, 1, 0.5)
        assert (wanted.arrivals, wanted.waiting, wanted.in_flight, wanted.urgency_ms) == (2, 2, 0, 3000)
        assert [x.arrivals for x in made.proxy.demand()] == [0, 0]
        call.answer()
        assert (await running.answer()).status == 200


@on_loop
async def test_a_service_without_models_gets_no_model() -> None:
    runner = ScriptedRunner("i-1")
    split = route("read_only", service="", pinned=True, shares=(Share("lm", 1.0),))
    async with edge(runner, config=configuration(split)) as made:
        client = await made.ask(X_Model="m1")
        (await runner.call()).answer()
        assert (await client.answer()).status == 200
        assert made.selection.asked[0][0].model == ""
        assert made.proxy.demand() == []


@on_loop
async def test_without_a_configuration_clients_get_retry_after() -> None:
    async with edge(configured=False) as made:
        answer = await (await made.ask()).answer()
        assert answer.status == 503
        assert float(answer.fields["retry-after"]) > 0


@on_loop
async def test_expected_loads_are_passed_to_the_selection() -> None:
    runner = ScriptedRunner("i-1")
    config = configuration(dataclasses.replace(READING, pinned=True), services=(PINNED,))
    async with edge(runner, config=config) as made:
        made.proxy.expected = lambda service, model, adapter: {f"{service}/{model}/{adapter}": 4.0}
        client = await made.ask(X_Model="m1/a1")
        (await runner.call()).answer()
        assert (await client.answer()).status == 200
        assert made.selection.asked[0][2] == {"lm/m1/a1": 4.0}


@on_loop
async def test_counters_distinguish_reused_and_new_connections() -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner) as made:
        client = await made.client()
        for number in range(3):
            client.ask(name=f"id{number}")
            (await runner.call()).answer()
            assert (await client.answer()).status == 200
        assert (counted(made, "opened"), counted(made, "reused")) == (1, 2)

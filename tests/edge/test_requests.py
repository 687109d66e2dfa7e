"""Requests with complete responses: routing, retries, status codes, and what reaches the runner."""

from __future__ import annotations

import dataclasses

import pytest

from larchgw.configuration.model import Share
from larchgw.edge.proxy import choose_service
from larchgw.routing.interface import AttemptOutcome, Reject, Send, Wait
from larchgw.runner_directory.runner_record import Stage
from tests.support.asyncio_tests import on_loop
from tests.support.edge_stand_ins import (
    HOST,
    SEAL,
    WRITING,
    FakeClock,
    ScriptedRunner,
    configuration,
    edge,
    route,
    soon,
    until,
)


@on_loop
async def test_a_response_is_forwarded_unchanged_with_its_seal() -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner) as made:
        client = await made.ask(
            "/read_only/a?b=1",
            "id7",
            b"body",
            X_Extra="kept",
            Connection="X-Hop",
            X_Hop="dropped",
            X_Target_Runner="forged",
        )
        call = await runner.call()
        assert call.line == "POST /read_only/a?b=1 HTTP/1.1"
        assert call.body == b"body"
        assert call.id == "id7"
        assert call.headers["x-target-runner"] == "i-1"
        assert call.headers["x-extra"] == "kept"
        assert "x-hop" not in call.headers
        assert [name for name, _ in call.fields].count("x-target-runner") == 1
        assert 0 < int(call.headers["x-time-left-ms"]) <= 4000
        assert call.headers["priority"] == "3"
        call.answer(b"served", "200 Fine", Versions="4", Keep_Alive="timeout=5", X_Runner_Load="3, 1,8")
        answer = await client.answer()
        assert (answer.status, answer.body, answer.whole) == (200, b"served", True)
        assert answer.fields["x-server-seal"] == SEAL
        assert answer.fields["versions"] == "4"
        assert answer.fields["x-attempt-id"] == "id7"
        assert "keep-alive" not in answer.fields
        assert made.selection.outcomes == [AttemptOutcome.DONE]
        assert made.selection.loads == [("i-1", 3, 1, 8)]


@on_loop
async def test_client_and_runner_connections_are_reused() -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner) as made:
        client = await made.client()
        for number in range(5):
            client.ask(name=f"id{number}")
            (await runner.call()).answer(b"%d" % number)
            assert (await client.answer()).body == b"%d" % number
        assert runner.opened == 1


@on_loop
async def test_a_chunked_body_reaches_the_runner_completely() -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner) as made:
        client = await made.ask(body=b"", Transfer_Encoding="chunked")
        client.writer.write(b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
        call = await runner.call()
        assert call.body == b"abcde"
        assert "transfer-encoding" not in call.headers
        call.answer()
        assert (await client.answer()).status == 200


@on_loop
async def test_bodies_up_to_the_limit_are_accepted() -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner) as made:
        body = bytes(range(256)) * 4096 * 4
        client = await made.ask(body=body)
        call = await runner.call()
        assert call.body == body
        call.answer(body)
        assert (await client.answer()).body == body
        made.proxy.configure(configuration(body_bytes=1000))
        assert (await (await made.ask(body=b"x" * 1001)).answer()).status == 413
        assert runner.unread == 0


@pytest.mark.parametrize("fields", [{"Transfer_Encoding": "chunked"}, {"Host": ""}, {"X_Attempt_Id": ""}])
@on_loop
async def test_an_ambiguous_request_reaches_no_runner(
    fields: dict[str, str],
) -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner) as made:
        client = await made.ask("/read_only/x", "id1", b"ask", "POST", **fields)
        assert (await client.answer()).status in (400, 404)
        assert made.selection.sends == []


@on_loop
async def test_a_duplicate_attempt_id_is_rejected() -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner) as made:
        client = await made.client()
        client.writer.write(
            f"GET /read_only/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: a\r\n"
            "x-attempt-id: b\r\n\r\n".encode()
        )
        assert (await client.answer()).status == 400
        assert made.selection.sends == []


@on_loop
async def test_routes_match_host_and_longest_prefix_and_change_immediately() -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner) as made:
        assert (await (await made.ask("/nowhere/x")).answer()).status == 404
        assert (await (await made.ask(Host="other.example")).answer()).status == 404
        made.proxy.configure(configuration(route("writing", path_start="/nowhere/")))
        client = await made.ask("/nowhere/x")
        (await runner.call()).answer()
        assert (await client.answer()).status == 200
        assert (await (await made.ask("/read_only/x")).answer()).status == 404


@pytest.mark.parametrize("status", ["500 Broken", "504 Too Late", "404 Not Here", "400 Bad"])
@pytest.mark.parametrize("path", ["/read_only/x", "/writing/x"])
@on_loop
async def test_a_runners_own_failure_keeps_its_status_and_seal(status: str, path: str) -> None:
    runner, other = ScriptedRunner("i-1"), ScriptedRunner("i-2")
    async with edge(runner, other) as made:
        client = await made.ask(path)
        (await runner.call()).answer(b"its words", status)
        answer = await client.answer()
        assert (answer.status, answer.body) == (int(status[:3]), b"its words")
        assert answer.fields["x-server-seal"] == SEAL
        assert len(made.selection.sends) == 1


# Attempts that never ran: may be retried


@pytest.mark.parametrize(
    ("status", "outcome"),
    [
        ("503 Full", AttemptOutcome.FULL),
        ("429 Full", AttemptOutcome.FULL),
        ("421 Other", AttemptOutcome.NOT_HELD),
    ],
)
@on_loop
async def test_a_request_that_never_ran_is_sent_to_another_runner(
    status: str, outcome: AttemptOutcome
) -> None:
    first, second = ScriptedRunner("i-1"), ScriptedRunner("i-2")
    async with edge(first, second) as made:
        client = await made.ask("/writing/x")
        (await first.call()).turn_away(status)
        call = await second.call()
        assert call.headers["x-target-runner"] == "i-2"
        assert call.id == "id1"
        call.answer(b"second")
        assert (await client.answer()).body == b"second"
        assert made.selection.outcomes == [outcome, AttemptOutcome.DONE]
        assert made.budget.repeats == 1


@on_loop
async def test_without_retry_budget_a_rejection_becomes_503_without_the_runners_seal() -> None:
    first, second = ScriptedRunner("i-1"), ScriptedRunner("i-2")
    async with edge(first, second) as made:
        made.budget.left = 0
        client = await made.ask("/writing/x", X_Time_Left_Ms="1500")
        (await first.call()).turn_away(Retry_After="9")
        answer = await client.answer()
        assert answer.status == 503
        assert "x-server-seal" not in answer.fields
        assert 0 < float(answer.fields["retry-after"]) <= 0.5
        assert len(made.selection.sends) == 1
        assert second.unread == 0


@on_loop
async def test_a_failed_connection_uses_no_retry_budget() -> None:
    dead, second = ScriptedRunner("i-1"), ScriptedRunner("i-2")
    async with edge(dead, second) as made:
        made.budget.left = 0
        dead.close()
        client = await made.ask("/writing/x")
        (await second.call()).answer(b"second")
        assert (await client.answer()).body == b"second"
        assert made.selection.outcomes == [AttemptOutcome.CONNECT_FAILED, AttemptOutcome.DONE]
        assert made.budget.repeats == 0


@on_loop
async def test_a_runner_that_drains_while_connecting_gets_no_request() -> None:
    first, second = ScriptedRunner("i-1"), ScriptedRunner("i-2")
    async with edge(first, second) as made:

        def drains(request: object, runners: object) -> Send:
            record = made.records["i-1"]
            made.records["i-1"] = dataclasses.replace(record, stage=Stage.DRAINING)
            return Send(record)

        made.selection.script = [drains]
        client = await made.ask("/writing/x")
        (await second.call()).answer(b"second")
        assert (await client.answer()).body == b"second"
        assert first.unread == 0
        assert made.selection.outcomes == [AttemptOutcome.UNSENT, AttemptOutcome.DONE]


@on_loop
async def test_a_rejection_without_x_not_run_may_have_run() -> None:
    first, second = ScriptedRunner("i-1"), ScriptedRunner("i-2")
    async with edge(first, second) as made:
        client = await made.ask("/writing/x")
        (await first.call()).answer(b"busy", "503 Busy")
        answer = await client.answer()
        assert answer.status == 502
        assert "x-server-seal" not in answer.fields
        assert second.unread == 0


# Attempts that may have run


@on_loop
async def test_a_request_that_may_have_run_is_retried_only_if_idempotent() -> None:
    first, second = ScriptedRunner("i-1"), ScriptedRunner("i-2")
    async with edge(first, second) as made:
        client = await made.ask("/writing/x")
        (await first.call()).reset()
        answer = await client.answer()
        assert answer.status == 502
        assert "retry-after" not in answer.fields
        assert second.unread == 0
        assert made.selection.outcomes == [AttemptOutcome.RESET]
        client = await made.ask("/read_only/x")
        (await first.call()).reset()
        (await second.call()).answer(b"second")
        assert (await client.answer()).body == b"second"
        assert made.budget.repeats == 1


@on_loop
async def test_attempts_that_may_have_run_are_limited_by_the_tries_of_the_route() -> None:
    runners = [ScriptedRunner(f"i-{number}") for number in range(4)]
    async with edge(*runners) as made:
        client = await made.ask("/read_only/x")
        for runner in runners[:2]:
            (await runner.call()).reset()
        assert (await client.answer()).status == 502
        assert len(made.selection.sends) == 2


@pytest.mark.parametrize(
    "garbage",
    [
        b"\0\0 no answer \r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: id1\r\nContent-Length: 2\r\n\r\nok",
    ],
)
@on_loop
async def test_an_invalid_response_is_not_forwarded(garbage: bytes) -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner) as made:
        client = await made.ask("/writing/x")
        (await runner.call()).say(garbage)
        answer = await client.answer()
        assert answer.status == 502
        assert made.selection.outcomes == [AttemptOutcome.GARBLED]


@on_loop
async def test_a_response_to_another_request_is_skipped_and_its_connection_not_reused() -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner) as made:
        client = await made.ask("/writing/x", "mine")
        call = await runner.call()
        call.id = "another"
        call.answer(b"not yours")
        call.id = "mine"
        call.answer(b"yours")
        assert (await client.answer()).body == b"yours"
        client.ask("/writing/x", "next")
        (await runner.call()).answer(b"fresh")
        assert (await client.answer()).body == b"fresh"
        assert runner.opened == 2


@on_loop
async def test_bytes_after_a_response_belong_to_no_request() -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner) as made:
        client = await made.ask(name="id1")
        call = await runner.call()
        call.answer(b"first")
        call.answer(b"surplus")
        assert (await client.answer()).body == b"first"
        client.ask(name="id2")
        call = await runner.call()
        call.answer(b"second")
        assert (await client.answer()).body == b"second"


@on_loop
async def test_a_non_idempotent_request_on_a_stale_connection_is_not_retried() -> None:
    first, second = ScriptedRunner("i-1"), ScriptedRunner("i-2")
    async with edge(first, second) as made:
        client = await made.ask("/writing/x", "id1")
        (await first.call()).answer()
        assert (await client.answer()).status == 200
        client.ask("/writing/x", "id2")
        (await first.call()).close()
        assert (await client.answer()).status == 502
        assert second.unread == 0


# Deadlines


@pytest.mark.parametrize(
    ("path", "told"), [("/writing/x", "1000"), ("/read_only/x", "1000"), ("/writing/x", "900000")]
)
@on_loop
async def test_a_sent_request_gets_504_at_the_deadline_and_is_cancelled(path: str, told: str) -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner, clock=FakeClock()) as made:
        client = await made.ask(path, X_Time_Left_Ms=told)
        await runner.call()
        seconds = min(float(told) / 1000.0, 5.0)  # the route's deadline
        made.move(seconds - 0.1)
        assert made.proxy.open_count == 1
        made.move(0.09)
        assert (await client.answer()).status == 504
        await soon(runner.closed.get())
        assert made.selection.outcomes == [AttemptOutcome.SILENT]


@on_loop
async def test_a_waiting_request_gets_503_at_the_deadline() -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner, clock=FakeClock()) as made:
        made.selection.script = [Wait(float("inf"), "no_holder")]
        client = await made.ask("/writing/x", X_Time_Left_Ms="1000")
        await until(lambda: made.proxy.open_count)
        made.move(0.99)
        answer = await client.answer()
        assert answer.status == 503
        assert float(answer.fields["retry-after"]) <= 0.01
        assert made.selection.sends == []


@on_loop
async def test_a_rejected_request_is_answered_immediately() -> None:
    async with edge(clock=FakeClock()) as made:
        made.selection.script = [Reject(0.4, "holders_full")]
        answer = await (await made.ask(X_Time_Left_Ms="3000")).answer()
        assert answer.status == 503
        assert 0.4 <= float(answer.fields["retry-after"]) <= 0.5


@on_loop
async def test_a_waiting_request_is_decided_again_in_time_or_when_runners_change() -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner, clock=FakeClock()) as made:
        now = made.loop.clock.now()
        made.selection.script = [Wait(now + 0.5, "full"), Wait(now + 9.0, "full")]
        client = await made.ask()
        await until(lambda: len(made.selection.asked) == 1)
        made.move(0.6)
        assert len(made.selection.asked) == 2
        made.proxy.runners_changed()
        made.move(0.0)
        (await runner.call()).answer()
        assert (await client.answer()).status == 200


@on_loop
async def test_the_end_of_an_attempt_wakes_the_most_urgent_waiting_request() -> None:
    runner = ScriptedRunner("i-1")
    config = configuration(route("read_only", rank=2), route("writing", rank=0))
    async with edge(runner, config=config, clock=FakeClock()) as made:
        busy = await made.ask(name="busy")
        call = await runner.call()
        never = Wait(float("inf"), "full")
        made.selection.script = [never, never]
        late, urgent = await made.ask(name="late"), await made.ask("/writing/x", name="urgent")
        await until(lambda: len(made.selection.asked) == 3)
        call.answer()
        assert (await busy.answer()).status == 200
        made.move(0.0)
        assert [x[0].route.rank for x in made.selection.asked[3:]] == [0, 2]
        for _ in range(2):
            (await runner.call()).answer()
        assert (await urgent.answer()).status == (await late.answer()).status == 200


# Clients


@on_loop
async def test_a_client_disconnect_cancels_its_request() -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner) as made:
        client = await made.ask("/writing/x")
        await runner.call()
        client.close()
        await soon(runner.closed.get())
        await until(lambda: made.proxy.open_count == 0)
        assert made.selection.outcomes == [AttemptOutcome.CANCELLED]


@on_loop
async def test_an_idle_client_is_served_for_most_of_the_idle_time() -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner, config=configuration(idle_ms=10_000), clock=FakeClock()) as made:
        client = await made.client()
        for number in range(3):
            client.ask(name=f"id{number}")
            (await runner.call()).answer()
            assert (await client.answer()).status == 200
            made.move(8.0)
        made.move(2.1)
        assert await client.ended() == b""


@on_loop
async def test_a_drain_ends_once_open_requests_are_answered() -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner) as made:
        client, resting = await made.ask(name="a"), await made.ask(name="b")
        calls = [await runner.call(), await runner.call()]
        calls[1].answer() if calls[1].id == "b" else calls[0].answer()
        assert (await resting.answer()).status == 200
        done: list[bool] = []
        made.proxy.stop_accepting()
        made.proxy.drain(lambda: done.append(True))
        assert await resting.ended() == b""
        assert not done
        (calls[0] if calls[0].id == "a" else calls[1]).answer(b"last")
        answer = await client.answer()
        assert answer.body == b"last"
        assert answer.fields["connection"] == "close"
        client.close()
        resting.close()
        await until(lambda: done)


@on_loop
async def test_a_forced_stop_answers_every_open_request() -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner) as made:
        sent = await made.ask("/writing/x", "sent")
        await runner.call()
        made.selection.script = [Wait(float("inf"), "full")]
        waits = await made.ask("/writing/x", "waits")
        await until(lambda: len(made.selection.asked) == 2)
        made.proxy.abandon()
        assert (await sent.answer()).status == 502
        answer = await waits.answer()
        assert answer.status == 503
        assert float(answer.fields["retry-after"]) > 0
        assert made.proxy.open_count == 0
        assert made.selection.outcomes == [AttemptOutcome.CANCELLED]


def test_a_split_route_follows_its_weights_and_an_attempt_id_keeps_its_service() -> None:
    split = route("writing", shares=(Share("a", 90.0), Share("none", 0.0), Share("b", 10.0)))
    names = [b"%016x" % (number * 2654435761) for number in range(4000)]
    to_b = sum(choose_service(split, name) == "b" for name in names)
    assert 300 < to_b < 500
    assert all(choose_service(split, name) == choose_service(split, name) != "none" for name in names)
    assert choose_service(WRITING, b"x") == "lm"

"""A runner may send an answer twice, the second time late, where the answer to the next request is expected.

All attempts of a request carry one X-Attempt-Id, so on a connection that carries the request a second time
the id does not show which attempt an answer belongs to.
"""

from __future__ import annotations

import pytest

from larchgw.routing.interface import AttemptOutcome, Choice, Reject, Send
from tests.support.asyncio_tests import on_loop
from tests.support.edge_stand_ins import Call, Client, Edge, ScriptedRunner, edge

REJECTIONS = ("503 Busy", "429 Busy", "421 Not Held")
NOT_RUN = "X-Not-Run: 1\r\n"
ONLY_TWO_ATTEMPTS = Reject(0.5, "overload")


async def sent_again(
    made: Edge, runner: ScriptedRunner, path: str, status: str, *further: Choice, fields: str = NOT_RUN
) -> tuple[Client, Call]:
    """Returns the client of a request and its second attempt, which arrives before the first answer's copy.

    `status` and `fields` are those of the answer to the first attempt; `further` are the choices after two.
    """
    made.selection.script = [Send(made.records["i-1"]), Send(made.records["i-1"]), *further]
    client = await made.ask(path, "id1")
    first = await runner.call()
    answer = f"HTTP/1.1 {status}\r\nX-Attempt-Id: id1\r\n{fields}Content-Length: 4\r\n\r\nfull".encode()
    first.say(answer)
    second = await runner.call()
    first.say(answer)
    return client, second


@pytest.mark.parametrize("status", REJECTIONS)
@on_loop
async def test_a_late_second_rejection_does_not_make_a_request_run_twice(status: str) -> None:
    # Guards against TWICE: the late copy was taken for the answer to the second attempt, which was running.
    runner = ScriptedRunner("i-1")
    async with edge(runner) as made:
        third = Send(made.records["i-1"])
        client, second = await sent_again(made, runner, "/writing/x", status, third)
        second.answer(b"ran once")
        answer = await client.answer()
        assert (answer.status, answer.body) == (200, b"ran once")
        assert len(made.selection.sends) == 2


@pytest.mark.parametrize("status", REJECTIONS)
@on_loop
async def test_a_late_second_rejection_does_not_refuse_a_request_that_runs(status: str) -> None:
    # Guards against REFUSED: with no attempt left, the late copy became a 503 while the request was running.
    runner = ScriptedRunner("i-1")
    async with edge(runner) as made:
        client, second = await sent_again(made, runner, "/writing/x", status, ONLY_TWO_ATTEMPTS)
        second.answer(b"ran")
        assert (await client.answer()).status == 200
        rejected = AttemptOutcome.NOT_HELD if status.startswith("421") else AttemptOutcome.FULL
        assert made.selection.outcomes == [rejected, AttemptOutcome.DONE]


@on_loop
async def test_a_late_second_rejection_does_not_refuse_a_stream_that_runs() -> None:
    # Guards against REFUSED for streams that may not be resumed.
    runner = ScriptedRunner("i-1")
    async with edge(runner) as made:
        client, second = await sent_again(made, runner, "/once/x", "503 Busy", ONLY_TWO_ATTEMPTS)
        second.stream()
        second.events(1, 2)
        second.end()
        answer = await client.answer()
        assert (answer.status, answer.whole) == (200, True)


@on_loop
async def test_a_late_second_error_does_not_hide_the_answer_of_the_run_that_follows() -> None:
    # The same for a read-only request, which is sent again after an answer that counts as run.
    runner = ScriptedRunner("i-1")
    async with edge(runner) as made:
        client, second = await sent_again(made, runner, "/read_only/x", "503 Ill", fields="")
        second.answer(b"served")
        assert (await client.answer()).status == 200


@on_loop
async def test_the_connection_of_a_rejected_request_carries_other_requests() -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner) as made:
        made.selection.script = [Send(made.records["i-1"]), Send(made.records["i-1"])]
        client = await made.ask("/writing/x", "id1")
        (await runner.call()).turn_away()
        (await runner.call()).answer()
        assert (await client.answer()).status == 200
        opened = runner.opened
        clients = [await made.ask("/writing/x", name) for name in ("id2", "id3")]
        for call in [await runner.call() for _ in clients]:
            call.answer()
        for client in clients:
            assert (await client.answer()).status == 200
        assert runner.opened == opened

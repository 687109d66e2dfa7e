"""A runner may send an answer twice, the second time late, where the answer to the next request is expected.

All attempts of a request carry one X-Attempt-Id, so on a connection that carries the request a second time
the id does not show which attempt an answer belongs to.
"""

from __future__ import annotations

import pytest

from larchgw.routing.interface import AttemptOutcome, Reject, Send
from tests.support.asyncio_tests import on_loop
from tests.support.edge_stand_ins import Call, ScriptedRunner, edge

REJECTIONS = ("503 Busy", "429 Busy", "421 Not Held")


def rejection(call: Call, status: str) -> bytes:
    fields = f"X-Attempt-Id: {call.id}\r\nX-Not-Run: 1\r\nContent-Length: 4\r\n"
    return f"HTTP/1.1 {status}\r\n{fields}\r\nfull".encode()


@pytest.mark.parametrize("status", REJECTIONS)
@on_loop
async def test_a_late_second_rejection_does_not_make_a_request_run_twice(status: str) -> None:
    # Guards against TWICE: the late copy was taken for the answer to the second attempt, which was running.
    runner = ScriptedRunner("i-1")
    async with edge(runner) as made:
        made.selection.script = [Send(made.records["i-1"]) for _ in range(3)]
        client = await made.ask("/writing/x", "id1")
        first = await runner.call()
        first.say(rejection(first, status))
        second = await runner.call()
        first.say(rejection(first, status))
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
        made.selection.script = [
            Send(made.records["i-1"]),
            Send(made.records["i-1"]),
            Reject(0.5, "overload"),
        ]
        client = await made.ask("/writing/x", "id1")
        first = await runner.call()
        first.say(rejection(first, status))
        second = await runner.call()
        first.say(rejection(first, status))
        second.answer(b"ran")
        assert (await client.answer()).status == 200
        rejected = AttemptOutcome.NOT_HELD if status.startswith("421") else AttemptOutcome.FULL
        assert made.selection.outcomes == [rejected, AttemptOutcome.DONE]


@on_loop
async def test_a_late_second_rejection_does_not_refuse_a_stream_that_runs() -> None:
    # Guards against REFUSED for streams that may not be resumed.
    runner = ScriptedRunner("i-1")
    async with edge(runner) as made:
        made.selection.script = [
            Send(made.records["i-1"]),
            Send(made.records["i-1"]),
            Reject(0.5, "overload"),
        ]
        client = await made.ask("/once/x", "id1")
        first = await runner.call()
        first.say(rejection(first, "503 Busy"))
        second = await runner.call()
        first.say(rejection(first, "503 Busy"))
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
        made.selection.script = [Send(made.records["i-1"]), Send(made.records["i-1"])]
        client = await made.ask("/read_only/x", "id1")
        first = await runner.call()
        error = b"HTTP/1.1 503 Ill\r\nX-Attempt-Id: id1\r\nContent-Length: 3\r\n\r\nill"
        first.say(error)
        second = await runner.call()
        first.say(error)
        second.answer(b"served")
        assert (await client.answer()).status == 200


@on_loop
async def test_the_connection_of_a_rejected_request_carries_other_requests() -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner) as made:
        made.selection.script = [Send(made.records["i-1"]), Send(made.records["i-1"])]
        client = await made.ask("/writing/x", "id1")
        first = await runner.call()
        first.say(rejection(first, "503 Busy"))
        (await runner.call()).answer()
        assert (await client.answer()).status == 200
        opened = runner.opened
        clients = [await made.ask("/writing/x", name) for name in ("id2", "id3")]
        for call in [await runner.call() for _ in clients]:
            call.answer()
        for client in clients:
            assert (await client.answer()).status == 200
        assert runner.opened == opened

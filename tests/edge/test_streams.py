"""Event streams: forwarded event by event, resumed at another runner if allowed, never truncated silently."""

from __future__ import annotations

import asyncio
import dataclasses

import pytest

from larchgw.routing.interface import AttemptOutcome, Reject, Send, Wait
from larchgw.runner_directory.runner_record import HeldModel
from tests.support.asyncio_tests import on_loop
from tests.support.edge_stand_ins import (
    ONCE,
    PINNED,
    STREAM,
    Call,
    Client,
    FakeClock,
    ScriptedRunner,
    configuration,
    edge,
    event,
    soon,
    until,
)


def events(*numbers: int) -> bytes:
    return b"".join(event(number) for number in numbers)


async def start_stream(client: Client, call: Call, *numbers: int, **fields: str) -> None:
    """Starts a stream and waits until its first events reach the client."""
    call.stream(**fields)
    call.events(*numbers)
    assert (await client.head())[0] == 200
    seen = b""
    while seen != events(*numbers):
        seen += await client.chunk()


async def read_rest(client: Client) -> tuple[bytes, bool]:
    """Returns the rest of a stream, and whether its framing marks it as complete."""
    body = b""
    try:
        while data := await client.chunk():
            body += data
    except asyncio.IncompleteReadError:
        return body, False
    return body, True


@on_loop
async def test_events_are_forwarded_as_received_and_only_when_complete() -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner) as made:
        client = await made.ask("/once/x")
        call = await runner.call()
        await start_stream(client, call, 1)
        assert len(made.selection.heads) == 1
        half = event(2)
        call.chunk(half[:5])
        call.chunk(half[5:])
        assert await client.chunk() == half
        call.events(3)
        assert await client.chunk() == event(3)
        call.chunk(b"data: a last one without its empty line")
        call.end()
        assert await read_rest(client) == (b"data: a last one without its empty line", True)
        assert made.selection.outcomes == [AttemptOutcome.DONE]


@pytest.mark.parametrize("reset", [False, True])
@on_loop
async def test_a_truncated_non_resumable_stream_never_looks_complete(reset: bool) -> None:
    first, second = ScriptedRunner("i-1"), ScriptedRunner("i-2")
    async with edge(first, second) as made:
        client = await made.ask("/once/x")
        call = await first.call()
        await start_stream(client, call, 1, 2)
        call.chunk(event(3)[:6])
        await call.writer.drain()
        call.reset() if reset else call.close()
        assert await read_rest(client) == (b"", False)
        assert second.unread == 0
        assert made.selection.outcomes == [AttemptOutcome.CUT]


@on_loop
async def test_an_interrupted_stream_is_resumed_at_another_runner_in_the_same_response() -> None:
    first, second = ScriptedRunner("i-1"), ScriptedRunner("i-2")
    async with edge(first, second) as made:
        client = await made.ask("/streaming/x", "id9", Expect_Version="1")
        call = await first.call()
        assert call.headers["expect-version"] == "1"
        await start_stream(client, call, 1, 2, Versions="7")
        call.chunk(event(3)[:6])
        call.reset()
        call = await second.call()
        assert call.id == "id9"
        assert call.body == b"ask"
        assert call.headers["x-target-runner"] == "i-2"
        assert [value for name, value in call.fields if name == "last-event-id"] == ["2"]
        assert [value for name, value in call.fields if name == "expect-version"] == ["7"]
        call.stream(Versions="7", X_Server_Seal="another")
        call.events(3, 4)
        call.end()
        assert await read_rest(client) == (events(3, 4), True)
        assert made.selection.outcomes == [AttemptOutcome.CUT, AttemptOutcome.DONE]
        assert made.budget.repeats == 1
        assert made.proxy.net_counters.registry.get_sample_value("larchgw_edge_resumed_total") == 1
        at_first, later = (asked[0] for asked in made.selection.asked)
        assert at_first.target_at < later.target_at == later.deadline_at == at_first.deadline_at


@on_loop
async def test_the_clients_last_event_id_is_forwarded() -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner) as made:
        client = await made.ask("/streaming/x", Last_Event_Id="12")
        call = await runner.call()
        assert call.headers["last-event-id"] == "12"
        await start_stream(client, call, 13)
        call.end()
        assert await read_rest(client) == (b"", True)


@on_loop
async def test_a_stream_interrupted_before_its_first_event_uses_the_second_runners_head() -> None:
    first, second = ScriptedRunner("i-1"), ScriptedRunner("i-2")
    async with edge(first, second) as made:
        client = await made.ask("/streaming/x")
        call = await first.call()
        call.stream(X_Server_Seal="first")
        call.chunk(event(1)[:4])
        await call.writer.drain()
        call.reset()
        call = await second.call()
        assert "last-event-id" not in call.headers
        call.stream(X_Server_Seal="second")
        call.events(1)
        call.end()
        answer = await client.answer()
        assert (answer.fields["x-server-seal"], answer.body, answer.whole) == ("second", event(1), True)


@pytest.mark.parametrize("numbers", [(2, 3), (4, 5), (1, 2, 3)])
@on_loop
async def test_a_resumed_run_with_a_gap_or_repetition_is_rejected(numbers: tuple[int, ...]) -> None:
    first, second = ScriptedRunner("i-1"), ScriptedRunner("i-2")
    async with edge(first, second) as made:
        client = await made.ask("/streaming/x")
        call = await first.call()
        await start_stream(client, call, 1, 2)
        call.reset()
        call = await second.call()
        call.stream()
        call.events(*numbers)
        call.end()
        assert await read_rest(client) == (b"", False)
        assert made.selection.outcomes == [AttemptOutcome.CUT, AttemptOutcome.GARBLED]


@on_loop
async def test_a_stream_with_uneven_id_steps_is_resumed() -> None:
    first, second = ScriptedRunner("i-1"), ScriptedRunner("i-2")
    async with edge(first, second) as made:
        client = await made.ask("/streaming/x")
        call = await first.call()
        await start_stream(client, call, 1, 2, 6)
        call.reset()
        call = await second.call()
        assert call.headers["last-event-id"] == "6"
        call.stream()
        call.events(15, 16)
        call.end()
        assert await read_rest(client) == (events(15, 16), True)


@on_loop
async def test_runs_with_different_weights_versions_are_never_joined() -> None:
    runners = [ScriptedRunner(f"i-{number}") for number in range(3)]
    async with edge(*runners) as made:
        client = await made.ask("/streaming/x")
        call = await runners[0].call()
        await start_stream(client, call, 1, Versions="7")
        call.chunk(b"versions: 8\n" + event(2))
        assert await client.chunk() == b"versions: 8\n" + event(2)
        call.reset()
        call = await runners[1].call()
        assert call.headers["expect-version"] == "8"
        call.turn_away("421 Other Version")
        call = await runners[2].call()
        call.stream(Versions="9")
        call.events(3)
        call.end()
        assert await read_rest(client) == (b"", False)
        assert made.selection.outcomes == [
            AttemptOutcome.CUT,
            AttemptOutcome.NOT_HELD,
            AttemptOutcome.GARBLED,
        ]


@on_loop
async def test_a_stream_is_resumed_only_at_runners_known_to_have_the_same_weights() -> None:
    first, other, same = (ScriptedRunner(name) for name in ("i-1", "i-2", "i-3"))
    config = configuration(dataclasses.replace(STREAM, pinned=True), services=(PINNED,))
    async with edge(first, other, same, config=config) as made:
        made.records["i-2"] = dataclasses.replace(made.records["i-2"], models=(HeldModel("m1", 2),))
        client = await made.ask("/streaming/x", X_Model="m1/a1")
        call = await first.call()
        await start_stream(client, call, 1, Versions="1")
        call.reset()
        call = await same.call()
        call.stream(Versions="1")
        call.events(2)
        call.end()
        assert await read_rest(client) == (event(2), True)
        assert made.selection.offered == [("i-1", "i-2", "i-3"), ("i-1", "i-3")]


@pytest.mark.parametrize("status", ["500 Broken", "200 OK"])
@on_loop
async def test_a_non_stream_response_does_not_resume_a_stream(status: str) -> None:
    first, second = ScriptedRunner("i-1"), ScriptedRunner("i-2")
    async with edge(first, second) as made:
        client = await made.ask("/streaming/x")
        call = await first.call()
        await start_stream(client, call, 1, 2)
        call.reset()
        (await second.call()).answer(events(3), status)
        assert await read_rest(client) == (b"", False)


@pytest.mark.parametrize(("left", "tries"), [(0, 2), (9, 1)])
@on_loop
async def test_without_retry_budget_or_tries_an_interrupted_stream_is_truncated(
    left: int, tries: int
) -> None:
    first, second = ScriptedRunner("i-1"), ScriptedRunner("i-2")
    config = configuration(dataclasses.replace(STREAM, tries=tries))
    async with edge(first, second, config=config) as made:
        made.budget.left = left
        client = await made.ask("/streaming/x")
        call = await first.call()
        await start_stream(client, call, 1)
        call.reset()
        assert await read_rest(client) == (b"", False)
        assert second.unread == 0
        assert made.budget.repeats == 0


@on_loop
async def test_a_started_stream_without_another_runner_is_truncated_not_refused() -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner) as made:
        client = await made.ask("/streaming/x")
        call = await runner.call()
        await start_stream(client, call, 1)
        made.selection.script = [Reject(0.2, "no_runner")]
        call.reset()
        assert await client.ended() == b""


@on_loop
async def test_a_stream_without_increasing_ids_is_forwarded_but_never_resumed() -> None:
    first, second = ScriptedRunner("i-1"), ScriptedRunner("i-2")
    async with edge(first, second) as made:
        client = await made.ask("/streaming/x")
        call = await first.call()
        await start_stream(client, call, 1, 2, 2)
        call.reset()
        assert await read_rest(client) == (b"", False)
        assert second.unread == 0


@on_loop
async def test_a_silent_stream_is_moved_after_the_time_out_if_a_retry_is_allowed() -> None:
    first, second = ScriptedRunner("i-1"), ScriptedRunner("i-2")
    async with edge(first, second, clock=FakeClock()) as made:
        client = await made.ask("/streaming/x")
        call = await first.call()
        await start_stream(client, call, 1)
        made.move(1.0)
        call.events(2)
        assert await client.chunk() == event(2)
        made.move(0.9)
        assert made.selection.outcomes == []
        made.move(0.35)
        made.move(0.0)
        assert made.selection.outcomes == [AttemptOutcome.SILENT]
        await soon(first.closed.get())
        call = await second.call()
        call.stream()
        call.events(3)
        call.end()
        assert await read_rest(client) == (event(3), True)


@pytest.mark.parametrize("path", ["/once/x", "/streaming/x"])
@on_loop
async def test_silence_does_not_end_a_stream_that_cannot_be_resumed(path: str) -> None:
    first, second = ScriptedRunner("i-1"), ScriptedRunner("i-2")
    async with edge(first, second, clock=FakeClock()) as made:
        made.budget.left = 0
        client = await made.ask(path)
        call = await first.call()
        await start_stream(client, call, 1)
        for _ in range(30):
            made.move(0.1)
        call.events(2)
        call.end()
        assert await read_rest(client) == (event(2), True)
        assert made.selection.outcomes == [AttemptOutcome.DONE]


@pytest.mark.parametrize("elsewhere", [Reject(0.2, "holders_full"), Wait(float("inf"), "holders_full"), None])
@on_loop
async def test_a_silent_runner_is_kept_while_no_other_would_accept_the_stream(
    elsewhere: Reject | Wait | None,
) -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner, clock=FakeClock()) as made:
        if elsewhere is None:  # the only runner, again
            made.selection.script = [Send(made.records["i-1"])] * 3
        client = await made.ask("/streaming/x")
        call = await runner.call()
        await start_stream(client, call, 1)
        made.selection.script = made.selection.script if elsewhere is None else [elsewhere] * 2
        for _ in range(15):
            made.move(0.2)
        assert made.selection.outcomes == []
        assert not made.selection.script
        call.events(2)
        call.end()
        assert await read_rest(client) == (event(2), True)
        assert runner.opened == 1


@on_loop
async def test_silence_before_the_first_event_is_tolerated_until_the_deadline() -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner, clock=FakeClock()) as made:
        client = await made.ask("/streaming/x", X_Time_Left_Ms="4000")
        call = await runner.call()
        call.stream()
        await until(lambda: made.selection.asked)
        for _ in range(39):
            made.move(0.1)
        assert made.proxy.open_count == 1
        made.move(0.1)
        assert (await client.answer()).status == 504


@on_loop
async def test_a_stream_still_running_at_the_deadline_is_truncated() -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner, clock=FakeClock()) as made:
        client = await made.ask("/once/x", X_Time_Left_Ms="4000")
        await start_stream(client, await runner.call(), 1)
        made.move(4.0)
        assert await read_rest(client) == (b"", False)
        assert made.selection.outcomes == [AttemptOutcome.SILENT]


@on_loop
async def test_an_interrupted_stream_waits_for_a_runner_and_is_truncated_at_the_deadline() -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner, clock=FakeClock()) as made:
        client = await made.ask("/streaming/x", X_Time_Left_Ms="4000")
        call = await runner.call()
        await start_stream(client, call, 1)
        made.selection.script = [Wait(float("inf"), "holders_full")]
        call.reset()
        await until(lambda: made.selection.outcomes)
        made.move(4.0)
        assert await read_rest(client) == (b"", False)


@on_loop
async def test_a_slow_client_applies_back_pressure_to_its_runner_without_data_loss() -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner, clock=FakeClock()) as made:  # however long it takes, its deadline never comes
        client = await made.ask("/once/x")
        call = await runner.call()
        call.stream()
        large = [
            b"id: %d\ndata: %b\n\n" % (number, bytes([97 + number % 26]) * 60_000) for number in range(400)
        ]
        for piece in large:
            call.chunk(piece)
        call.end()
        answer = await client.answer()
        assert answer.whole
        assert answer.body == b"".join(large)
        assert made.proxy.net_counters.registry.get_sample_value("larchgw_edge_cut_total") == 0


@on_loop
async def test_a_once_route_is_not_retried_after_the_response_head() -> None:
    """A request that may run only once is not retried once its runner may have begun."""
    first, second = ScriptedRunner("i-1"), ScriptedRunner("i-2")
    async with edge(first, second) as made:
        client = await made.ask(ONCE.path_start + "x")
        (await first.call()).stream()
        await until(lambda: made.selection.sends)
        first.close()
        assert (await client.answer()).status == 502
        assert second.unread == 0


@on_loop
async def test_a_stream_interrupted_at_any_byte_resumes_without_gap_or_repetition() -> None:
    """Includes cuts within the empty line that ends an event, and within a chunk."""
    first, second = ScriptedRunner("i-1"), ScriptedRunner("i-2")
    whole = events(1, 2, 3)
    async with edge(first, second) as made:
        for size in range(len(event(1)), len(whole)):
            client = await made.ask("/streaming/x", f"id{size}")
            call = await first.call()
            call.stream()
            call.chunk(whole[:size])
            assert (await client.head())[0] == 200
            call.reset()
            call = await second.call()
            last = int(call.headers["last-event-id"])
            assert last == whole[:size].count(b"\n\n")
            call.stream()
            call.events(*range(last + 1, 4))
            call.end()
            assert await read_rest(client) == (whole, True)
            client.close()

"""Streams of events: passed on as they come, taken up elsewhere where they may be, never cut unseen."""

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


async def begun(client: Client, call: Call, *numbers: int, **fields: str) -> None:
    """The stream's first events have reached the client."""
    call.stream(**fields)
    call.events(*numbers)
    assert (await client.head())[0] == 200
    seen = b""
    while seen != events(*numbers):
        seen += await client.chunk()


async def rest(client: Client) -> tuple[bytes, bool]:
    """What is left of a stream, and whether its framing says that it is whole."""
    body = b""
    try:
        while data := await client.chunk():
            body += data
    except asyncio.IncompleteReadError:
        return body, False
    return body, True


@on_loop
async def test_each_event_is_passed_on_when_it_comes_and_none_by_halves() -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner) as made:
        client = await made.ask("/once/x")
        call = await runner.call()
        await begun(client, call, 1)
        assert len(made.selection.heads) == 1
        half = event(2)
        call.chunk(half[:5])
        call.chunk(half[5:])
        assert await client.chunk() == half
        call.events(3)
        assert await client.chunk() == event(3)
        call.chunk(b"data: a last one without its empty line")
        call.end()
        assert await rest(client) == (b"data: a last one without its empty line", True)
        assert made.selection.outcomes == [AttemptOutcome.DONE]


@pytest.mark.parametrize("reset", [False, True])
@on_loop
async def test_a_stream_that_may_not_be_resumed_never_looks_complete_when_cut(reset: bool) -> None:
    first, second = ScriptedRunner("i-1"), ScriptedRunner("i-2")
    async with edge(first, second) as made:
        client = await made.ask("/once/x")
        call = await first.call()
        await begun(client, call, 1, 2)
        call.chunk(event(3)[:6])
        await call.writer.drain()
        call.reset() if reset else call.close()
        assert await rest(client) == (b"", False)
        assert second.unread == 0
        assert made.selection.outcomes == [AttemptOutcome.CUT]


@on_loop
async def test_a_cut_stream_goes_on_at_another_runner_inside_the_same_answer() -> None:
    first, second = ScriptedRunner("i-1"), ScriptedRunner("i-2")
    async with edge(first, second) as made:
        client = await made.ask("/streaming/x", "id9", Expect_Version="1")
        call = await first.call()
        assert call.headers["expect-version"] == "1"
        await begun(client, call, 1, 2, Versions="7")
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
        assert await rest(client) == (events(3, 4), True)
        assert made.selection.outcomes == [AttemptOutcome.CUT, AttemptOutcome.DONE]
        assert made.budget.repeats == 1
        assert made.proxy.net_counters.registry.get_sample_value("larchgw_edge_resumed_total") == 1
        at_first, later = (asked[0] for asked in made.selection.asked)
        assert at_first.target_at < later.target_at == later.deadline_at == at_first.deadline_at


@on_loop
async def test_a_clients_own_place_in_a_stream_is_passed_on() -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner) as made:
        client = await made.ask("/streaming/x", Last_Event_Id="12")
        call = await runner.call()
        assert call.headers["last-event-id"] == "12"
        await begun(client, call, 13)
        call.end()
        assert await rest(client) == (b"", True)


@on_loop
async def test_a_stream_cut_before_its_first_event_begins_anew_with_the_second_runners_head() -> None:
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
async def test_a_second_run_that_leaves_a_gap_or_repeats_is_not_joined(numbers: tuple[int, ...]) -> None:
    first, second = ScriptedRunner("i-1"), ScriptedRunner("i-2")
    async with edge(first, second) as made:
        client = await made.ask("/streaming/x")
        call = await first.call()
        await begun(client, call, 1, 2)
        call.reset()
        call = await second.call()
        call.stream()
        call.events(*numbers)
        call.end()
        assert await rest(client) == (b"", False)
        assert made.selection.outcomes == [AttemptOutcome.CUT, AttemptOutcome.GARBLED]


@on_loop
async def test_a_second_run_goes_on_where_ids_rise_unevenly() -> None:
    first, second = ScriptedRunner("i-1"), ScriptedRunner("i-2")
    async with edge(first, second) as made:
        client = await made.ask("/streaming/x")
        call = await first.call()
        await begun(client, call, 1, 2, 6)
        call.reset()
        call = await second.call()
        assert call.headers["last-event-id"] == "6"
        call.stream()
        call.events(15, 16)
        call.end()
        assert await rest(client) == (events(15, 16), True)


@on_loop
async def test_runs_of_two_versions_of_the_weights_are_never_joined() -> None:
    runners = [ScriptedRunner(f"i-{number}") for number in range(3)]
    async with edge(*runners) as made:
        client = await made.ask("/streaming/x")
        call = await runners[0].call()
        await begun(client, call, 1, Versions="7")
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
        assert await rest(client) == (b"", False)
        assert made.selection.outcomes == [
            AttemptOutcome.CUT,
            AttemptOutcome.NOT_HELD,
            AttemptOutcome.GARBLED,
        ]


@on_loop
async def test_only_runners_with_the_same_weights_are_asked_to_go_on_where_that_is_known() -> None:
    first, other, same = (ScriptedRunner(name) for name in ("i-1", "i-2", "i-3"))
    config = configuration(dataclasses.replace(STREAM, pinned=True), services=(PINNED,))
    async with edge(first, other, same, config=config) as made:
        made.records["i-2"] = dataclasses.replace(made.records["i-2"], models=(HeldModel("m1", 2),))
        client = await made.ask("/streaming/x", X_Model="m1/a1")
        call = await first.call()
        await begun(client, call, 1, Versions="1")
        call.reset()
        call = await same.call()
        call.stream(Versions="1")
        call.events(2)
        call.end()
        assert await rest(client) == (event(2), True)
        assert made.selection.offered == [("i-1", "i-2", "i-3"), ("i-1", "i-3")]


@pytest.mark.parametrize("status", ["500 Broken", "200 OK"])
@on_loop
async def test_an_answer_that_is_no_stream_does_not_go_on_from_one(status: str) -> None:
    first, second = ScriptedRunner("i-1"), ScriptedRunner("i-2")
    async with edge(first, second) as made:
        client = await made.ask("/streaming/x")
        call = await first.call()
        await begun(client, call, 1, 2)
        call.reset()
        (await second.call()).answer(events(3), status)
        assert await rest(client) == (b"", False)


@pytest.mark.parametrize(("left", "tries"), [(0, 2), (9, 1)])
@on_loop
async def test_without_budget_or_tries_a_cut_stream_is_cut_for_the_client_too(left: int, tries: int) -> None:
    first, second = ScriptedRunner("i-1"), ScriptedRunner("i-2")
    config = configuration(dataclasses.replace(STREAM, tries=tries))
    async with edge(first, second, config=config) as made:
        made.budget.left = left
        client = await made.ask("/streaming/x")
        call = await first.call()
        await begun(client, call, 1)
        call.reset()
        assert await rest(client) == (b"", False)
        assert second.unread == 0
        assert made.budget.repeats == 0


@on_loop
async def test_a_stream_with_nowhere_to_go_on_is_cut_and_not_refused() -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner) as made:
        client = await made.ask("/streaming/x")
        call = await runner.call()
        await begun(client, call, 1)
        made.selection.script = [Reject(0.2, "no_runner")]
        call.reset()
        assert await client.ended() == b""


@on_loop
async def test_a_stream_whose_ids_do_not_rise_is_passed_on_but_never_resumed() -> None:
    first, second = ScriptedRunner("i-1"), ScriptedRunner("i-2")
    async with edge(first, second) as made:
        client = await made.ask("/streaming/x")
        call = await first.call()
        await begun(client, call, 1, 2, 2)
        call.reset()
        assert await rest(client) == (b"", False)
        assert second.unread == 0


@on_loop
async def test_a_silent_runner_is_left_only_once_the_pause_is_long_and_elsewhere_is_allowed() -> None:
    first, second = ScriptedRunner("i-1"), ScriptedRunner("i-2")
    async with edge(first, second, clock=FakeClock()) as made:
        client = await made.ask("/streaming/x")
        call = await first.call()
        await begun(client, call, 1)
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
        assert await rest(client) == (event(3), True)


@pytest.mark.parametrize("path", ["/once/x", "/streaming/x"])
@on_loop
async def test_silence_ends_no_answer_that_can_not_go_on_elsewhere(path: str) -> None:
    first, second = ScriptedRunner("i-1"), ScriptedRunner("i-2")
    async with edge(first, second, clock=FakeClock()) as made:
        made.budget.left = 0
        client = await made.ask(path)
        call = await first.call()
        await begun(client, call, 1)
        for _ in range(30):
            made.move(0.1)
        call.events(2)
        call.end()
        assert await rest(client) == (event(2), True)
        assert made.selection.outcomes == [AttemptOutcome.DONE]


@pytest.mark.parametrize("elsewhere", [Reject(0.2, "holders_full"), Wait(float("inf"), "holders_full"), None])
@on_loop
async def test_a_silent_runner_is_borne_while_no_other_would_take_its_stream(
    elsewhere: Reject | Wait | None,
) -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner, clock=FakeClock()) as made:
        if elsewhere is None:  # the only runner there is, again
            made.selection.script = [Send(made.records["i-1"])] * 3
        client = await made.ask("/streaming/x")
        call = await runner.call()
        await begun(client, call, 1)
        made.selection.script = made.selection.script if elsewhere is None else [elsewhere] * 2
        for _ in range(15):
            made.move(0.2)
        assert made.selection.outcomes == []
        assert not made.selection.script
        call.events(2)
        call.end()
        assert await rest(client) == (event(2), True)
        assert runner.opened == 1


@on_loop
async def test_silence_before_the_first_event_is_borne_until_the_deadline() -> None:
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
async def test_a_stream_still_running_at_the_deadline_is_cut() -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner, clock=FakeClock()) as made:
        client = await made.ask("/once/x", X_Time_Left_Ms="4000")
        await begun(client, await runner.call(), 1)
        made.move(4.0)
        assert await rest(client) == (b"", False)
        assert made.selection.outcomes == [AttemptOutcome.SILENT]


@on_loop
async def test_a_stream_waits_for_a_place_to_go_on_and_is_cut_if_none_comes() -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner, clock=FakeClock()) as made:
        client = await made.ask("/streaming/x", X_Time_Left_Ms="4000")
        call = await runner.call()
        await begun(client, call, 1)
        made.selection.script = [Wait(float("inf"), "holders_full")]
        call.reset()
        await until(lambda: made.selection.outcomes)
        made.move(4.0)
        assert await rest(client) == (b"", False)


@on_loop
async def test_a_client_that_does_not_read_holds_its_runner_up_and_loses_nothing() -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner) as made:
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
async def test_a_route_that_is_once_keeps_its_promise_after_the_head() -> None:
    """A stream that may run only once is never sent again once its runner may have begun."""
    first, second = ScriptedRunner("i-1"), ScriptedRunner("i-2")
    async with edge(first, second) as made:
        client = await made.ask(ONCE.path_start + "x")
        (await first.call()).stream()
        await until(lambda: made.selection.sends)
        first.close()
        assert (await client.answer()).status == 502
        assert second.unread == 0


@on_loop
async def test_a_stream_cut_at_any_byte_goes_on_with_no_piece_twice_and_none_missing() -> None:
    """Also within the empty line that ends an event, and between the bytes of a chunk."""
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
            assert await rest(client) == (whole, True)
            client.close()

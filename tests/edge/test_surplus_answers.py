"""What an edge tells of surplus answers, of rejections by runners, and of attempt ids that come again."""

from __future__ import annotations

import pytest
from structlog.testing import capture_logs

from larchgw.edge.recent_ids import RecentIds
from tests.support.asyncio_tests import on_loop
from tests.support.edge_stand_ins import Call, Edge, ScriptedRunner, edge, until


def sample(made: Edge, name: str, **labels: str) -> float:
    return made.proxy.net_counters.registry.get_sample_value(f"larchgw_edge_{name}_total", labels) or 0.0


def answer_of(call: Call, status: str = "200 OK") -> bytes:
    return (
        f"HTTP/1.1 {status}\r\nX-Attempt-Id: {call.id}\r\nX-Server-Seal: s\r\nContent-Length: 2\r\n\r\nok"
    ).encode()


@pytest.mark.parametrize("place", ["before", "elsewhere", "behind", "idle"])
@on_loop
async def test_surplus_answers_are_counted_by_where_they_came(place: str) -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner) as made:
        client = await made.ask("/writing/x", "id1")
        first = await runner.call()
        first.say(answer_of(first) * (2 if place == "behind" else 1))
        assert (await client.answer()).status == 200
        if place == "before":
            client.ask("/writing/x", "id2")
            second = await runner.call()
            second.say(answer_of(first) + answer_of(second))
            assert (await client.answer()).fields["x-attempt-id"] == "id2"
        elif place == "elsewhere":
            client.ask("/writing/x", "id2")
            second = await runner.call()
            second.say(answer_of(first).replace(b"id1", b"id0") + answer_of(second))
            assert (await client.answer()).fields["x-attempt-id"] == "id2"
        elif place == "idle":
            first.say(answer_of(first))
        await until(lambda: sample(made, "surplus_answers", place=place) == 1)
        others = {"before", "elsewhere", "behind", "idle"} - {place}
        assert [sample(made, "surplus_answers", place=other) for other in others] == [0.0, 0.0, 0.0]


@on_loop
async def test_a_refusal_names_the_rejections_that_it_rests_on() -> None:
    runners = [ScriptedRunner("i-1"), ScriptedRunner("i-2")]
    async with edge(*runners) as made:
        with capture_logs() as lines:
            client = await made.ask("/writing/x", "id1")
            (await runners[0].call()).turn_away()
            (await runners[1].call()).turn_away("421 Other")
            assert (await client.answer()).status == 503
            client = await made.ask("/read_only/x", "id2")
            (await runners[0].call()).turn_away()
            (await runners[1].call()).turn_away()
            assert (await client.answer()).status == 503
    assert [line for line in lines if line["event"] == "request.refused_after_rejection"] == [
        {
            "event": "request.refused_after_rejection",
            "log_level": "info",
            "request": "id1",
            "route": "r-writing",
            "reason": "no_runner",
            "rejections": "i-1:FULL:1,i-2:NOT_HELD:2",
        }
    ]


@on_loop
async def test_a_further_attempt_of_what_may_run_once_names_those_before() -> None:
    runners = [ScriptedRunner("i-1"), ScriptedRunner("i-2")]
    async with edge(*runners) as made:
        with capture_logs() as lines:
            client = await made.ask("/writing/x", "id1")
            (await runners[0].call()).turn_away()
            (await runners[1].call()).answer()
            assert (await client.answer()).status == 200
            client = await made.ask("/read_only/x", "id2")
            (await runners[0].call()).turn_away()
            (await runners[1].call()).answer()
            assert (await client.answer()).status == 200
    assert [line for line in lines if line["event"] == "request.sent_again"] == [
        {
            "event": "request.sent_again",
            "log_level": "info",
            "request": "id1",
            "route": "r-writing",
            "runner": "i-2",
            "connection": 2,
            "attempts": "i-1:FULL:1",
        }
    ]


@on_loop
async def test_a_refusal_after_attempts_that_never_left_names_them() -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner) as made:
        runner.close()
        with capture_logs() as lines:
            client = await made.ask("/writing/x", "id1")
            assert (await client.answer()).status == 503
    refusals = [line for line in lines if line["event"].startswith("request.refused")]
    assert [(line["event"], line["attempts"]) for line in refusals] == [
        ("request.refused_unsent", "i-1:CONNECT_FAILED:1")
    ]


@on_loop
async def test_an_attempt_id_that_comes_again_is_counted_and_logged() -> None:
    runner = ScriptedRunner("i-1")
    async with edge(runner) as made:
        with capture_logs() as lines:
            for name in ("id1", "id2", "id1"):
                client = await made.ask("/writing/x", name)
                (await runner.call()).answer()
                assert (await client.answer()).status == 200
        assert sample(made, "repeated_ids") == 1
    repeated = [line["request"] for line in lines if line["event"] == "request.id_repeated"]
    assert repeated == ["id1"]


def test_only_the_newest_ids_are_kept() -> None:
    recent = RecentIds(2)
    assert [recent.add(name) for name in (b"a", b"b", b"a", b"c", b"b", b"a")] == [
        False,
        False,
        True,
        False,
        True,
        False,
    ]

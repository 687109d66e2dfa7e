"""The emulated runners of the system speak the protocol: a trial on ones that do not would prove nothing."""

from __future__ import annotations

import json
import random
from asyncio import timeout
from typing import Any

import pytest

from larchgw.emulator.system.checkins import Checkins
from larchgw.emulator.system.judge_answers import event_number, split_events
from larchgw.emulator.system.records import Records
from larchgw.emulator.system.runner import Mischief
from larchgw.emulator.system.site import STRIDE
from larchgw.placement.orders import decode_report
from larchgw.runner_directory.check_in_parser import parse_check_in
from larchgw.runner_directory.runner_record import Stage
from tests.support.asyncio_tests import PATIENCE, on_loop
from tests.support.system_runners import Caller, Reply, control, engine, plain, started, until

STREAM = {"X_Model": "m1", "X_Token_Count": f"40,{5 * STRIDE}", "X_Prompt_Start": "aa:30,bb:10"}


def numbers(reply: Reply) -> list[int]:
    """The ids of its whole events."""
    return [event_number(event) for event in split_events(reply.body)[0]]


@on_loop
async def test_an_answer_carries_seal_id_and_load_and_is_written_down() -> None:
    records = Records()
    runner = plain(records)
    async with started(runner) as connect:
        reply = await (await connect()).ask("/ask/7?x=1", "id7", b"question")
    (arrival,) = records.arrivals
    assert reply.whole
    assert reply.status == 200
    assert reply.headers["x-attempt-id"] == "id7"
    assert reply.headers["x-server-seal"] == arrival.seal
    assert reply.body == arrival.answer
    assert reply.headers["x-runner-load"].endswith(",2")
    assert (arrival.target, arrival.body, arrival.ran) == ("/ask/7?x=1", b"question", True)


@pytest.mark.parametrize("make", [plain, lambda records: engine(records, "m1")])
@on_loop
async def test_a_request_for_another_runner_or_without_an_id_is_not_run(make: Any) -> None:
    records = Records()
    async with started(make(records)) as connect:
        caller = await connect()
        other = await caller.ask(X_Target_Runner="i-of-another")
        nameless = await caller.ask(id="")
    assert (other.status, nameless.status) == (421, 400)
    assert "x-not-run" in other.headers
    assert "x-not-run" in nameless.headers
    assert not any(arrival.ran for arrival in records.arrivals)


@on_loop
async def test_beyond_slots_and_queue_a_request_is_refused_and_not_run() -> None:
    records = Records()
    runner = plain(records, slots=1, work_s=30.0)
    async with started(runner) as connect:
        for number in range(3):
            (await connect()).send(id=f"id{number}")
        await until(lambda: runner.load() == (1, 2, 1))
        reply = await (await connect()).ask(id="full")
    assert reply.status == 503
    assert "x-not-run" in reply.headers
    assert [arrival.ran for arrival in records.arrivals if arrival.id == "full"] == [False]


@on_loop
async def test_connections_beyond_the_most_are_closed() -> None:
    async with started(plain(Records(), max_conns=1)) as connect:
        first = await connect()
        assert (await first.ask()).status == 200
        assert not (await (await connect()).ask()).whole
        assert (await first.ask()).status == 200


@on_loop
async def test_health_and_the_word_of_a_leaving_runner() -> None:
    runner = plain(Records())
    async with started(runner) as connect:
        caller = await connect()
        well = await caller.ask("/health", "", method="GET")
        assert well.status == 200
        assert well.headers["x-runner-id"] == runner.id
        runner.draining = True
        assert (await caller.ask("/health", "", method="GET")).status == 503
        assert (await caller.ask()).headers["connection"] == "close"


@on_loop
async def test_a_stream_has_every_event_once_and_is_what_was_written_down() -> None:
    records = Records()
    async with started(engine(records, "m1")) as connect:
        reply = await (await connect()).ask(**STREAM)
    (arrival,) = records.arrivals
    assert reply.whole
    assert reply.headers["content-type"] == "text/event-stream"
    assert numbers(reply) == [1, 2, 3, 4, 5]
    assert arrival.last_event == 5
    assert reply.body == arrival.answer
    assert reply.headers["versions"] == "1"


@pytest.mark.parametrize("last", [1, 4, 5])
@on_loop
async def test_a_stream_goes_on_behind_the_event_that_is_told(last: int) -> None:
    async with started(engine(Records(), "m1")) as connect:
        reply = await (await connect()).ask(**STREAM, Last_Event_Id=str(last))
    assert reply.whole
    assert numbers(reply) == list(range(last + 1, 6))


@on_loop
async def test_a_model_or_version_that_is_not_there_is_turned_away() -> None:
    records = Records()
    async with started(engine(records, "m1")) as connect:
        caller = await connect()
        absent = await caller.ask(**{**STREAM, "X_Model": "m2"})
        adapter = await caller.ask(**{**STREAM, "X_Model": "m1/a1"})
        version = await caller.ask(**STREAM, Expect_Version="2")
    assert [one.status for one in (absent, adapter, version)] == [421, 421, 421]
    assert not any(arrival.ran for arrival in records.arrivals)


@on_loop
async def test_orders_load_and_unload_and_answer_by_the_protocol() -> None:
    records = Records()
    runner = engine(records, "m1")
    async with started(runner) as connect:
        caller = await connect()
        assert await caller.order("loading", "m1") == 200
        assert await caller.order("loading", "m2", if_revision=3) == 409
        assert await caller.order("loading", "m2", if_revision=0, fence=4) == 202
        assert await caller.order("unloading", "m1", fence=4) == 409
        await until(lambda: len(runner.held()) == 2)
        assert (await caller.ask(**{**STREAM, "X_Model": "m2"})).status == 200
        assert await caller.order("loading", "m2", fence=3, adapter="a1") == 412
        assert await caller.order("loading", "m2", fence=4, adapter="a1") == 202
        assert await caller.order("reloading", "m2", fence=4) == 400
        assert (await caller.ask("/order", "", b'{"order": "loading", "model": "m2"}')).status == 400
        elsewhere = await caller.ask("/order", "", b"{}", X_Target_Runner="i-of-another")
        assert elsewhere.status == 421
    assert [order.status for order in records.orders] == [200, 409, 202, 409, 412, 202]
    assert len(records.loads) == 1  # adapters do not come from the weight store


@on_loop
async def test_a_request_for_a_model_on_its_way_is_refused_for_now() -> None:
    runner = engine(Records(), "m1")
    async with started(runner) as connect:
        caller = await connect()
        runner.placed.order(runner.time.now() + 600.0, runner.id, "loading", "m2", fence=1)
        reply = await caller.ask(**{**STREAM, "X_Model": "m2"})
        assert reply.status == 503
        assert "x-not-run" in reply.headers


@on_loop
async def test_an_order_beyond_its_memory_fells_a_runner() -> None:
    records = Records()
    runner = engine(records, "m1", "m2")
    old = runner.id
    async with started(runner) as connect:
        caller = await connect()
        old = runner.id
        caller.send(
            "/order", "", json.dumps({"order": "loading", "model": "m3", "owner": "o", "fence": 1}).encode()
        )
        await until(lambda: not runner.up)
    assert [runner for runner, _ in records.overloads] == [old]
    assert records.crashed == {old}


@on_loop
async def test_a_report_is_what_the_system_reads_and_lags() -> None:
    runner = engine(Records(), "m1")
    async with started(runner) as connect:
        reply = await (await connect()).ask("/report", "", method="GET")
    report = decode_report(reply.body)
    assert report is not None
    assert report.models == {"m1": frozenset()}
    assert (report.is_occupied, report.order_count) == (False, 0)


@on_loop
async def test_a_restart_is_another_runner_that_holds_nothing() -> None:
    records = Records()
    runner = engine(records, "m1")
    async with started(runner) as connect:
        old = runner.id
        runner.crash()
        runner.begin()
        caller: Caller = await connect()
        assert runner.id != old
        assert records.crashed == {old}
        assert (await caller.ask(**STREAM)).status == 421
        assert await caller.order("loading", "m1") == 202
        await until(runner.held)
        assert records.loads == []  # from its own disk


@pytest.mark.parametrize("model", [False, True])
@on_loop
async def test_answers_are_spoilt_as_it_is_asked_and_written_down_so(model: bool) -> None:
    records = Records()
    runner = engine(records, "m1") if model else plain(records)
    async with started(runner) as connect:
        runner.mischief = [Mischief.CUT, Mischief.GARBLE, Mischief.SURPLUS]
        headers = STREAM if model else {}
        cut, garbled = [await (await connect()).ask(**headers) for _ in range(2)]
        caller = await connect()
        good, surplus = await caller.ask(**headers), await caller.reply()
    assert (cut.status, cut.whole) == (200, False)
    assert garbled.status == 0
    assert good.whole
    assert surplus.headers["x-attempt-id"] == "nobody"
    assert [one.broke_off for one in records.arrivals] == [True, True, False]
    assert [one.whole for one in records.arrivals] == [False, False, True]


@pytest.mark.parametrize("model", [False, True])
@on_loop
async def test_a_connection_is_reset_as_it_is_asked_and_written_down_so(model: bool) -> None:
    records = Records()
    runner = engine(records, "m1") if model else plain(records)
    async with started(runner) as connect:
        runner.mischief = [Mischief.RESET]
        caller: Caller = await connect()
        caller.send(**(STREAM if model else {}))
        async with timeout(PATIENCE):
            with pytest.raises(ConnectionResetError):
                await caller.reader.read()
    (arrival,) = records.arrivals
    assert arrival.ran
    assert arrival.broke_off
    assert not arrival.whole


@on_loop
async def test_a_request_is_answered_before_its_body_and_read_to_its_end() -> None:
    records = Records()
    runner = plain(records)
    async with started(runner) as connect:
        runner.mischief = [Mischief.EARLY]
        caller: Caller = await connect()
        caller.writer.write(b"POST /ask/1 HTTP/1.1\r\nX-Attempt-Id: id1\r\nContent-Length: 4\r\n\r\nbo")
        early = await caller.reply()
        assert not records.arrivals[0].body_whole
        caller.writer.write(b"dy")
        later = await caller.ask(id="id2")
    assert early.whole
    assert early.headers["x-attempt-id"] == "id1"
    assert later.headers["x-attempt-id"] == "id2"
    assert [(one.body, one.body_whole) for one in records.arrivals] == [(b"body", True), (b"", True)]


@on_loop
async def test_a_stream_whose_caller_leaves_is_given_up() -> None:
    runner = engine(Records(), "m1")
    async with started(runner) as connect:
        caller = await connect()
        caller.send(**{**STREAM, "X_Token_Count": "40,40000"})
        await until(lambda: runner.load()[0] == 1)
        caller.writer.close()
        await until(lambda: runner.load()[0] == 0)


@on_loop
async def test_a_dark_runner_answers_nothing_and_breaks_nothing_until_it_ends() -> None:
    records = Records()
    runner = engine(records, "m1")
    async with started(runner) as connect:
        caller, other = await connect(), await connect()
        caller.send(**{**STREAM, "X_Token_Count": "40,40000"})
        await until(lambda: records.arrivals and records.arrivals[0].ran)
        runner.go_dark()
        before = records.arrivals[0].answer
        other.send(id="unheard")
        await until(lambda: records.arrivals[0].broke_off)
        assert records.arrivals[0].answer == before
        assert len(records.arrivals) == 1
        runner.end()
        assert not (await caller.reply()).whole
        assert not (await other.reply()).whole
        assert len(records.arrivals) == 1


@on_loop
async def test_what_a_runner_says_of_itself_is_read_by_the_system() -> None:
    records = Records()
    runner = engine(records, "m1")
    async with started(runner), control() as first, control() as second:
        checkins = Checkins(runner, lambda: [first.address], 1.0, random.Random(1))
        first.will_answer(200, json.dumps({"beat_to": second.address}).encode())
        assert await checkins.tell()
        assert await checkins.drain(left_ms=500.0)
        assert await checkins.leave()
        checkins.close()
    before, after = (parse_check_in(runner.id, call.body) for call in (first.calls[0], second.calls[0]))
    assert first.calls[0].path == f"/Runners.Checkin/{runner.id}"
    assert before.service == "lm"
    assert before.holds("m1", "")
    assert before.stage is Stage.READY
    assert (after.stage, after.time_left_ms) == (Stage.DRAINING, 500.0)
    assert after.call_count > before.call_count
    assert second.calls[1].path == f"/Runners.Leave/{runner.id}"
    assert [one.runner for one in records.acknowledgements] == [runner.id, runner.id]


@pytest.mark.parametrize("failure", [(503, b"{}"), (200, b"{" + b" " * 5000 + b"}"), (200, b"no json")])
@on_loop
async def test_a_check_in_that_is_not_acknowledged_goes_to_another_control_process(
    failure: tuple[int, bytes],
) -> None:
    records = Records()
    runner = engine(records, "m1")
    async with started(runner), control() as one, control() as other:
        one.will_answer(*failure)
        other.will_answer(*failure)
        checkins = Checkins(runner, lambda: [one.address, other.address], 1.0, random.Random(1))
        assert not await checkins.drain()
        assert records.acknowledgements == []
        assert await checkins.drain()
        checkins.close()
    assert len(records.acknowledgements) == 1


@on_loop
async def test_check_ins_are_kept_apart_from_ends_with_when_they_were_sent() -> None:
    records = Records()
    runner = engine(records, "m1")
    async with started(runner), control() as first, control() as second:
        checkins = Checkins(runner, lambda: [first.address, second.address], 10.0, random.Random(1))
        checkins.prefer(second.address)
        assert await checkins.tell()
        assert await checkins.drain()
        checkins.close()
    assert len(second.calls) == 2
    assert not first.calls
    (kept,), (ended,) = records.checkins, records.acknowledgements
    assert not kept.tells_end
    assert ended.tells_end
    assert kept.sent_at <= kept.at <= ended.sent_at <= ended.at

"""The soak: real processes under disturbances that come in series and overlap, and what its runners do."""

from __future__ import annotations

import asyncio
import random
import re
from pathlib import Path
from typing import Any

import pytest

from larchgw.cli.errors import UsageError
from larchgw.cli.main import call
from larchgw.configuration.settings import TimeLimits
from larchgw.emulator.sockets import RealTime
from larchgw.emulator.system.answer_faults import AnswerFaults
from larchgw.emulator.system.clients import draw
from larchgw.emulator.system.network import Network
from larchgw.emulator.system.records import Records
from larchgw.emulator.system.runner import LONG_BYTES
from larchgw.emulator.system.runners import Runners
from larchgw.emulator.system.site import ENGINES, LONG_PROMPTS, LOOKUP, PROMPT_BYTES, Site
from larchgw.emulator.system.soak import ALL_PARTS, CORE, HERD, PARTS, RUNNERS
from larchgw.emulator.system.trial import SystemSpec, run
from tests.support.asyncio_tests import on_loop
from tests.support.system_runners import engine, plain, started, until

STREAM = {"X_Model": "m1", "X_Token_Count": "40,20", "X_Prompt_Start": "aa:30,bb:10"}


@pytest.mark.parametrize("seed", [2, 3])
def test_a_short_soak_breaks_no_rule(tmp_path: Path, seed: int) -> None:
    # Guards against REFUSED and TWICE of incident 67, which trials without overlapping faults had missed.
    spec = SystemSpec(seconds=20.0, seed=seed, site=Site(rate=40.0), soak=PARTS, folder=tmp_path)
    outcome = asyncio.run(run(spec))
    assert outcome.broken == []
    assert outcome.statuses == [0] * (spec.site.controls + spec.site.edges)
    events = "\n".join(outcome.events)
    for disturbance in ("killed", "frozen", "reloaded", "restarted", "adds a route", "spoilt answers"):
        assert disturbance in events
    assert outcome.records.repeated_answers > 0
    assert outcome.figures()["rejected"] > 0
    assert outcome.total("served") > 0


def test_a_short_soak_of_all_parts_breaks_no_rule(tmp_path: Path) -> None:
    # Guards against REFUSED and TWICE of incident 71: streams that may run once, with long bodies, at models
    # that stand on one runner, while runners restart at their address and clients retry at once.
    site = Site(edges=4, runners=12, rate=40.0).with_long_prompts()
    spec = SystemSpec(seconds=20.0, seed=4, site=site, soak=ALL_PARTS, folder=tmp_path)
    outcome = asyncio.run(run(spec))
    assert outcome.broken == []
    assert outcome.statuses == [0] * (site.controls + site.edges)
    events = "\n".join(outcome.events)
    assert "times at its address" in events or "have each other's address" in events
    assert outcome.results["reprint"].served > 0


def test_a_short_soak_with_all_control_processes_killed_after_a_leave_breaks_no_rule(tmp_path: Path) -> None:
    # Guards against DRAIN of issue 74: a Leave that is acknowledged from memory.
    site = Site(rate=40.0)
    spec = SystemSpec(seconds=25.0, seed=2, site=site, soak=(CORE, RUNNERS, HERD), folder=tmp_path)
    outcome = asyncio.run(run(spec))
    assert outcome.broken == []
    assert re.search("left, all control processes killed", "\n".join(outcome.events))
    assert outcome.total("served") > 0


def faults(**shares: float) -> AnswerFaults:
    return AnswerFaults(random.Random(1), **shares)


def make(kind: str, records: Records) -> Any:
    return plain(records) if kind == "plain" else engine(records, "m1")


@pytest.mark.parametrize("kind", ["plain", "engine"])
@on_loop
async def test_a_runner_rejects_its_share_although_there_is_room(kind: str) -> None:
    records = Records()
    runner = make(kind, records)
    runner.faults = faults(rejected=1.0)
    async with started(runner) as connect:
        reply = await (await connect()).ask(**STREAM)
    assert reply.status == 503
    assert "x-not-run" in reply.headers
    assert not records.arrivals[0].ran


@pytest.mark.parametrize("kind", ["plain", "engine"])
@pytest.mark.parametrize("rejected", [0.0, 1.0])
@on_loop
async def test_a_repeated_answer_comes_with_the_next_request_on_its_connection(
    kind: str, rejected: float
) -> None:
    records = Records()
    runner = make(kind, records)
    runner.faults = faults(repeated=1.0, rejected=rejected)
    async with started(runner) as connect:
        caller, other = await connect(), await connect()
        first = await caller.ask(id="id1", **STREAM)
        assert (await other.ask(id="id2", **STREAM)).headers["x-attempt-id"] == "id2"
        again = await caller.ask(id="id3", **STREAM)
        own = await caller.reply()
    assert (again.status, again.headers, again.body) == (first.status, first.headers, first.body)
    assert again.headers["x-attempt-id"] == "id1"
    assert own.headers["x-attempt-id"] == "id3"
    assert records.repeated_answers == 1


@on_loop
async def test_a_doubled_answer_comes_at_once() -> None:
    runner = plain(Records())
    runner.faults = faults(doubled=1.0)
    async with started(runner) as connect:
        caller = await connect()
        first, second = await caller.ask(id="id1"), await caller.reply()
    assert first.headers["x-attempt-id"] == second.headers["x-attempt-id"] == "id1"


@on_loop
async def test_a_forgotten_connection_is_reset_by_the_next_request() -> None:
    records = Records()
    runner = plain(records)
    runner.faults = faults(forgotten_after_s=0.0)
    async with started(runner) as connect:
        caller = await connect()
        reply = await caller.ask()
    assert not reply.whole
    assert records.arrivals == []


@pytest.mark.parametrize("kind", ["plain", "engine"])
@on_loop
async def test_a_request_may_run_on_although_its_connection_has_closed(kind: str) -> None:
    records = Records()
    runner = make(kind, records)
    runner.faults = faults(carried_on=1.0)
    async with started(runner) as connect:
        caller = await connect()
        caller.send(**STREAM)
        await until(lambda: records.arrivals)
        caller.writer.close()
        await until(lambda: records.arrivals[0].whole)
    assert records.arrivals[0].ran


@on_loop
async def test_an_early_answer_comes_before_the_body_of_its_request() -> None:
    records = Records()
    runner = plain(records)
    runner.faults = faults(early=1.0)
    async with started(runner) as connect:
        caller = await connect()
        caller.writer.write(b"POST /ask/1 HTTP/1.1\r\nX-Attempt-Id: id1\r\nContent-Length: 4\r\n\r\n")
        assert (await caller.reply()).status == 200
        assert not records.arrivals[0].body_whole


@pytest.mark.parametrize("kind", ["plain", "engine"])
@on_loop
async def test_a_long_request_may_be_rejected_before_its_body_has_come(kind: str) -> None:
    records = Records()
    runner = make(kind, records)
    runner.faults = faults(rejected_early=1.0)
    async with started(runner) as connect:
        caller = await connect()
        caller.writer.write(
            b"POST /ask/1 HTTP/1.1\r\nX-Attempt-Id: id1\r\nContent-Length: %d\r\n\r\n" % LONG_BYTES
        )
        reply = await caller.reply()
        assert (reply.status, "x-not-run" in reply.headers) == (503, True)
        assert not records.arrivals[0].body_whole
        caller.writer.write(bytes(LONG_BYTES))
        await until(lambda: records.arrivals[0].body_whole)
        assert (await caller.ask(id="id2", **STREAM)).status == 200
    assert [arrival.ran for arrival in records.arrivals] == [False, True]


@on_loop
async def test_spoilt_answers_are_not_whole_or_are_followed_by_another() -> None:
    records = Records()
    runner = plain(records)
    runner.faults = faults(spoilt=1.0)
    async with started(runner) as connect:
        for number in range(8):
            caller = await connect()
            reply = await caller.ask(id=f"id{number}")
            assert not reply.whole or (await caller.reply()).headers["x-attempt-id"] == "nobody"


@pytest.mark.parametrize(
    "options",
    [{"soak": "edges,moon"}, {"soak": "True", "faults": "True"}, {"soak": "True", "fault": "race"}],
)
def test_a_soak_of_unknown_parts_or_beside_other_faults_is_refused(options: dict[str, str]) -> None:
    with pytest.raises(UsageError, match="--soak"):
        call(["try", "--system", *(f"--{name}={value}" for name, value in options.items())])


def test_long_prompts_have_bodies_of_the_declared_lengths_and_want_rare_models() -> None:
    site = Site(rate=200.0).with_long_prompts()
    names = site.model_names()
    intents = draw(site, 20.0, random.Random(1), lambda due: names)
    long_prompts = [intent for intent in intents if intent.wanted is LONG_PROMPTS]
    lengths = [len(intent.wanted.body(intent.number)) for intent in long_prompts]
    assert PROMPT_BYTES[0] <= min(lengths) < max(lengths) <= PROMPT_BYTES[1]
    assert len(set(lengths)) > len(lengths) / 2
    assert {intent.model.partition("/")[0] for intent in long_prompts} == set(names[len(names) // 2 :])
    assert not LONG_PROMPTS.idempotent
    assert LONG_PROMPTS.route()["tries"] == 1


@on_loop
async def test_swapped_runners_come_back_under_new_ids_at_each_others_address() -> None:
    network = Network.claim(random.Random(1))
    records, limits = Records(), TimeLimits(reuse_after_s=0.0)
    runners = Runners(Site(), network, RealTime(), records, limits, lambda: [], random.Random(1))
    try:
        runners.start()
        first, second = runners.of(ENGINES)[0], runners.of(LOOKUP)[0]
        ids, addresses = [first.id, second.id], [first.described.address, second.described.address]
        await runners.swap_addresses(first, second)
        assert [first.described.address, second.described.address] == addresses[::-1]
        assert {first.id, second.id}.isdisjoint(ids)
        assert records.crashed == set(ids)
        assert first.up
        assert second.up
    finally:
        runners.close()
        network.close()


def test_programs_that_are_not_there_are_refused(tmp_path: Path) -> None:
    with pytest.raises(UsageError, match="--programs"):
        call(["try", "--system", f"--programs={tmp_path}"])

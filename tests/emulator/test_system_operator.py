"""The emulated operator: what it sends again, whom it follows, and what it writes down for the judge."""

from __future__ import annotations

import asyncio
import json
import math
import random

import pytest

from larchgw.configuration.change import apply_change
from larchgw.emulator.system.operator import Operator, canonical, changed
from larchgw.emulator.system.records import Records
from larchgw.emulator.system.site import Site
from tests.support.asyncio_tests import PATIENCE, on_loop
from tests.support.system_runners import control


def operator(records: Records, *addresses: str, lost_share: float = 0.0) -> Operator:
    """An operator that knows these."""
    now = asyncio.get_running_loop().time
    return Operator(lambda: list(addresses), records, now, random.Random(1), lost_share)


@on_loop
async def test_a_call_without_a_clear_answer_is_sent_again_unchanged() -> None:
    records = Records()
    async with control() as server:
        server.will_answer(503)
        server.will_answer(429)
        assert await operator(records, server.address).replace(Site().configuration(3))
    assert len({(call.path, call.body) for call in server.calls}) == 1
    assert len(server.calls) == 3
    assert server.calls[0].headers["X-Built-On"] == "0"
    (call,) = records.configurations
    assert call.acknowledged_at < math.inf
    assert not call.refused


@on_loop
async def test_it_follows_where_it_is_sent_but_only_twice() -> None:
    async with control() as first, control() as second:
        for server, other in ((first, second), (second, first)) * 2:
            server.will_answer(307, Location=f"http://{other.address}/Config.Replace")
        assert await operator(Records(), first.address).replace(Site().configuration(1))
    # The first send ends at its third call; the second one begins where the operator knows to begin.
    assert (len(first.calls), len(second.calls)) == (3, 1)


@pytest.mark.parametrize("status", [400, 409, 412, 413, 422])
@on_loop
async def test_a_refusal_ends_a_call_at_once(status: int) -> None:
    records = Records()
    async with control() as server:
        server.will_answer(status)
        assert not await operator(records, server.address).replace(Site().configuration(1))
    assert len(server.calls) == 1
    assert records.configurations[0].refused


class FirstIsLost(random.Random):
    """Has the answer to the first send get lost, and no other."""

    def __init__(self) -> None:
        super().__init__(1)
        self.asked = 0

    def random(self) -> float:
        """Below every share once."""
        self.asked += 1
        return 0.0 if self.asked == 1 else 1.0

    def getrandbits(self, count: int) -> int:
        """For `choice`, which would use up `random` otherwise."""
        return 0


@on_loop
async def test_a_refusal_of_what_was_taken_unheard_is_written_down() -> None:
    records = Records()
    async with control() as server:
        server.will_answer(200)
        server.will_answer(412)
        now = asyncio.get_running_loop().time
        caller = Operator(lambda: [server.address], records, now, FirstIsLost(), lost_share=0.5)
        assert not await caller.replace(Site().configuration(1))
    (call,) = records.configurations
    assert len(server.calls) == 2
    assert call.refused_after_acknowledgement
    assert not call.refused


@on_loop
async def test_what_was_acknowledged_is_sent_again_and_a_refusal_is_written_down() -> None:
    records = Records()
    async with control() as server:
        caller = operator(records, server.address)
        await caller.replace(Site().configuration(1))
        await caller.send_again()
        assert not records.configurations[0].refused_after_acknowledgement
        server.will_answer(412)
        await caller.send_again()
    assert records.configurations[0].refused_after_acknowledgement
    assert len({call.body for call in server.calls}) == 1


@on_loop
async def test_what_is_read_back_is_kept_for_the_judge() -> None:
    records, whole = Records(), Site().configuration(1)
    async with control() as server:
        server.will_answer(503)
        server.will_answer(200, json.dumps(whole).encode())
        await operator(records, server.address).read(PATIENCE)
    assert records.read_back == canonical(whole)


@on_loop
async def test_each_clear_answer_and_each_read_is_kept_with_who_gave_it() -> None:
    records, whole = Records(), Site().configuration(1)
    async with control() as one, control() as other:
        one.will_answer(307, Location=f"http://{other.address}/Config.Read")
        other.will_answer(200, json.dumps(whole).encode())
        caller = operator(records, one.address)
        assert await caller.look() == canonical(whole)
        one.will_answer(503)
        assert await caller.look() is None
        one.will_answer(404)
        assert await caller.look() == {}
    assert [answer.status for answer in records.operator_answers] == [200, 404]
    assert [(seen.version, seen.sent_at <= seen.at) for seen in records.reads] == [(1, True), (0, True)]
    host = other.address.partition(":")[0]
    assert all(answer.control == host for answer in records.operator_answers)


@on_loop
async def test_a_read_that_never_succeeds_leaves_nothing_of_an_earlier_one() -> None:
    records = Records(read_back=canonical(Site().configuration(1)))
    await operator(records, "127.0.0.1:1").read(0.01)
    assert records.read_back is None


@on_loop
async def test_copies_of_one_call_that_are_answered_differently_are_written_down() -> None:
    records = Records()
    async with control() as server:
        server.will_answer(200)
        server.will_answer(412)
        caller = operator(records, server.address)
        caller.copies = 2
        assert await caller.replace(Site().configuration(1))
    assert records.configurations[0].refused_after_acknowledgement
    assert len(server.calls) == 2
    assert len({call.body for call in server.calls}) == 1


def test_a_change_makes_the_same_whole_as_the_systems_own() -> None:
    whole = Site().configuration(4)
    route = {**whole["routes"][0], "deadline_ms": 1234.0}
    added = {**route, "name": "r-new", "path_start": "/new/"}
    change = {
        "config_version": 9,
        "add": {"routes": [route, added]},
        "remove": {"routes": [whole["routes"][1]["name"]]},
    }
    assert canonical(changed(whole, change)) == canonical(apply_change(whole, change))
    assert whole["config_version"] == 4

"""Long polls: changes are sent at once, and a change outside the requested prefixes does not end a wait."""

from __future__ import annotations

import asyncio

import pytest
import testtools

from larchgw.distribution.pull_service import GATHER_DELAY_S, PullService
from larchgw.distribution.registry import Registry
from larchgw.rpc.generated.ttypes import Entry, PullReply, PullRequest, PushRequest
from tests.support.scripted_peers import ScriptedPeer, now
from tests.support.virtual_time import in_virtual_time


def request(reply: PullReply | None = None, prefixes: tuple[str, ...] = ()) -> PullRequest:
    have = dict(reply.upto) if reply else {}
    return PullRequest(node_name="edge", have=have, wait_ms=500, prefixes=list(prefixes))


class PullServiceTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.peer = ScriptedPeer("a")
        self.registry, self.service = self.peer.registry, self.peer.service

    @in_virtual_time
    async def test_first_pull_of_a_caller_is_answered_at_once_even_without_entries(self) -> None:
        reply = await self.service.pull(request())
        assert (now(), reply.entries) == (0.0, [])

    @in_virtual_time
    async def test_without_a_change_the_answer_comes_at_the_end_of_the_wait(self) -> None:
        first = await self.service.pull(request())
        reply = await self.service.pull(request(first))
        assert reply.entries == []
        assert now() == pytest.approx(0.5, abs=0.0005)

    @in_virtual_time
    async def test_a_waiting_caller_gets_a_change_within_the_gathering_delay(self) -> None:
        first = await self.service.pull(request())
        waiting = asyncio.ensure_future(self.service.pull(request(first)))
        await asyncio.sleep(0.2)
        self.registry.put("view", b"x", 1)
        reply = await waiting
        assert [entry.key for entry in reply.entries] == ["view"]
        assert now() < 0.2 + 2 * GATHER_DELAY_S

    @in_virtual_time
    async def test_changes_that_come_together_go_out_in_one_reply(self) -> None:
        first = await self.service.pull(request())
        waiting = asyncio.ensure_future(self.service.pull(request(first)))
        await asyncio.sleep(0.1)
        for number in range(5):
            self.registry.put(f"runner/{number}", b"x", 1)
            await asyncio.sleep(GATHER_DELAY_S / 10)
        assert len((await waiting).entries) == 5

    @in_virtual_time
    async def test_a_change_outside_the_prefixes_does_not_end_the_wait(self) -> None:
        first = await self.service.pull(request(prefixes=("runner/",)))
        waiting = asyncio.ensure_future(self.service.pull(request(first, ("runner/",))))
        await asyncio.sleep(0.1)
        self.registry.put("view", b"x", 1)
        reply = await waiting
        assert reply.entries == []
        assert now() == pytest.approx(0.5, abs=0.0005)

    @in_virtual_time
    async def test_isolated_process_replies_at_once(self) -> None:
        first = await self.service.pull(request())
        self.peer.is_isolated = True
        reply = await self.service.pull(request(first))
        assert reply.isolated
        assert now() == 0.0

    @in_virtual_time
    async def test_a_waiting_caller_learns_of_isolation_when_woken(self) -> None:
        first = await self.service.pull(request())
        waiting = asyncio.ensure_future(self.service.pull(request(first)))
        await asyncio.sleep(0.1)
        self.peer.is_isolated = True
        self.service.wake()
        assert (await waiting).isolated
        assert now() < 0.2

    @in_virtual_time
    async def test_large_registry_is_sent_in_several_replies(self) -> None:
        service = PullService(self.registry, lambda: False, list, max_reply_bytes=1000)
        for number in range(100):
            self.registry.put(f"runner/{number}", b"x" * 100, 1)
        copy, have, replies = Registry("edge.1"), {}, 0
        while True:
            reply = await service.pull(PullRequest(have=have, wait_ms=0, prefixes=[]))
            replies += 1
            copy.merge(reply.entries)
            have = reply.upto
            if not reply.more:
                break
        assert len(copy) == 100
        assert replies > 10

    @in_virtual_time
    async def test_pushed_entries_reach_waiting_callers(self) -> None:
        first = await self.service.pull(request())
        waiting = asyncio.ensure_future(self.service.pull(request(first)))
        await asyncio.sleep(0.0)
        pushed = Entry("runner/x", 3, 2, "b.1", 9, b"draining")
        await self.service.push(PushRequest(node_name="b", entries=[pushed]))
        assert [pushed] == (await waiting).entries

    @in_virtual_time
    async def test_cancelled_pull_leaves_no_waiting_future(self) -> None:
        first = await self.service.pull(request())
        waiting = asyncio.ensure_future(self.service.pull(request(first)))
        await asyncio.sleep(0.1)
        waiting.cancel()
        await asyncio.sleep(0.0)
        assert self.service._waiting_for_any_change._futures == {}

    async def _pull_own_changes(self, reply: PullReply) -> PullReply:
        asked = request(reply)
        asked.own_changes_only = True
        return await self.service.pull(asked)

    @in_virtual_time
    async def test_a_peer_is_not_woken_by_a_change_that_another_process_made(self) -> None:
        first = await self.service.pull(request())
        waiting = asyncio.ensure_future(self._pull_own_changes(first))
        await asyncio.sleep(0.1)
        self.registry.merge([Entry("runner/r-1", 1, 0, "c.1", 1, b"x")])
        reply = await waiting
        assert reply.entries == []
        assert now() == pytest.approx(0.5, abs=0.0005)

    @in_virtual_time
    async def test_peer_gets_a_change_by_another_process_with_its_next_pull(self) -> None:
        first = await self.service.pull(request())
        waiting = asyncio.ensure_future(self._pull_own_changes(first))
        await asyncio.sleep(0.1)
        self.registry.merge([Entry("runner/r-1", 1, 0, "c.1", 1, b"x")])
        reply = await self._pull_own_changes(await waiting)
        assert [entry.key for entry in reply.entries] == ["runner/r-1"]
        assert now() == pytest.approx(0.5, abs=0.0005)

    @in_virtual_time
    async def test_own_change_is_sent_to_a_peer_at_once_and_only_once_without_changes_by_others(self) -> None:
        first = await self.service.pull(request())
        waiting = asyncio.ensure_future(self._pull_own_changes(first))
        await asyncio.sleep(0.1)
        self.registry.merge([Entry("runner/r-1", 1, 0, "c.1", 1, b"x")])
        self.registry.put("view", b"x", 1)
        reply = await waiting
        assert [entry.key for entry in reply.entries] == ["view"]
        assert now() < 0.1 + 2 * GATHER_DELAY_S
        reply.upto = dict(first.upto) | reply.upto | {"c.1": 1}  # it has received r-1 from c
        again = asyncio.ensure_future(self._pull_own_changes(reply))
        await asyncio.sleep(0.1)
        assert not again.done()
        again.cancel()

    @in_virtual_time
    async def test_reply_claims_nothing_if_another_process_has_superseded_an_own_entry(self) -> None:
        self.registry.put("runner/r-1", b"x", 1)
        first = await self.service.pull(request())
        waiting = asyncio.ensure_future(self._pull_own_changes(first))
        await asyncio.sleep(0.1)
        self.registry.put("runner/r-1", b"y", 2)
        self.registry.merge([Entry("runner/r-1", 3, 0, "c.1", 1, b"z")])
        self.registry.put("view", b"x", 1)
        reply = await waiting
        assert [entry.key for entry in reply.entries] == ["view"]
        assert reply.upto.get(self.registry.origin) is None
        reply.upto = dict(first.upto) | reply.upto
        following = await self._pull_own_changes(reply)
        assert {entry.key for entry in following.entries} == {"runner/r-1", "view"}

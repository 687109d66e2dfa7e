"""Hinted handoff: urgent entries are pushed to all peers, and entries that a peer missed follow later."""

from __future__ import annotations

import asyncio

import pytest
import testtools

from larchgw.distribution.hinted_handoff import BATCH_ENTRIES, BATCH_PAUSE_S, HintedHandoff
from larchgw.rpc.generated.ttypes import Entry
from tests.support.scripted_peers import ScriptedPeer, connect_to, now
from tests.support.virtual_time import in_virtual_time


def entry(key: str, major: int = 1) -> Entry:
    return Entry(key, major, 0, "me.1", major, b"x")


def entries(count: int) -> list[Entry]:
    return [entry(f"runner/{number}", number + 1) for number in range(count)]


class HintedHandoffTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.peers = [ScriptedPeer("a"), ScriptedPeer("b")]
        self.handoff = HintedHandoff(connect_to(self.peers), lambda: ["a", "b"], node_name="me")

    @in_virtual_time
    async def test_all_live_peers_have_the_entry_when_replicate_returns(self) -> None:
        assert {"a", "b"} == await self.handoff.replicate([entry("runner/x")], 0.4)
        for peer in self.peers:
            assert peer.registry.get("runner/x") is not None

    @in_virtual_time
    async def test_hung_peer_delays_an_acknowledgement_no_longer_than_the_timeout(self) -> None:
        self.peers[1].is_hung = True
        assert {"a"} == await self.handoff.replicate([entry("runner/x")], 0.4)
        assert now() == pytest.approx(0.4, abs=0.005)

    @in_virtual_time
    async def test_replicate_waits_for_a_quorum_and_no_longer(self) -> None:
        self.peers[1].is_hung = True
        accepted_by = await self.handoff.replicate(
            [entry("runner/x")], 0.4, lambda accepted_by: "a" in accepted_by
        )
        assert {"a"} == accepted_by
        assert now() < 0.05
        await asyncio.sleep(0.41)
        assert self.handoff.hints.peers() == ["b"]

    @in_virtual_time
    async def test_a_peer_that_is_slow_and_then_accepts_gets_no_hint(self) -> None:
        self.peers[1].is_hung = True
        await self.handoff.replicate([entry("runner/x")], 0.4, lambda accepted_by: "a" in accepted_by)
        await asyncio.sleep(0.2)
        self.peers[1].is_hung = False
        await asyncio.sleep(0.3)
        assert self.peers[1].registry.get("runner/x") is not None
        assert self.handoff.hints.peers() == []

    @in_virtual_time
    async def test_missed_entries_are_delivered_when_the_peer_returns(self) -> None:
        task = asyncio.ensure_future(self.handoff.run())
        self.peers[1].is_down = True
        await self.handoff.replicate([entry("runner/x")], 0.4)
        await asyncio.sleep(5.0)
        self.peers[1].start(2)
        self.peers[1].is_down = False
        await asyncio.sleep(1.0)
        assert self.peers[1].registry.get("runner/x") is not None
        assert self.handoff.hints.peers() == []
        task.cancel()

    @in_virtual_time
    async def test_many_hints_are_delivered_in_paced_batches(self) -> None:
        self.handoff.hints.add("b", entries(5 * BATCH_ENTRIES))
        await self.handoff.hand_over()
        assert len(self.peers[1].registry) == 5 * BATCH_ENTRIES
        times = [at for at, _ in self.peers[1].calls]
        assert len(times) == 5
        assert times[-1] - times[0] >= 4 * BATCH_PAUSE_S - 1e-09

    @in_virtual_time
    async def test_hints_are_not_sent_to_a_process_that_is_no_longer_a_peer(self) -> None:
        self.handoff.hints.add("gone", entries(1))
        await self.handoff.hand_over()
        assert self.handoff.hints.peers() == ["gone"]

    @in_virtual_time
    async def test_without_peers_replicate_returns_at_once(self) -> None:
        alone = HintedHandoff(connect_to([]), list)
        assert set() == await alone.replicate([entry("runner/x")], 0.4)

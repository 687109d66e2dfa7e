"""Hinted handoff: urgent entries are at the peers before they are acknowledged, and what one missed reaches
it.
"""

from __future__ import annotations

import asyncio

import testtools
from hypothesis import given
from hypothesis import strategies as st

from larchgw.distribution.hinted_handoff import BATCH_ENTRIES, BATCH_PAUSE_S, HintedHandoff
from larchgw.distribution.hints import HintStore
from larchgw.emulator.virtual_loop import run
from larchgw.rpc.generated.ttypes import Entry
from tests.support.scripted_peers import ScriptedPeer, connect_to, now


def entry(key: str, major: int = 1) -> Entry:
    return Entry(key, major, 0, "me.1", major, b"x")


def entries(count: int) -> list[Entry]:
    return [entry(f"runner/{number}", number + 1) for number in range(count)]


class HintsTest(testtools.TestCase):
    def test_only_the_newest_of_a_key_is_kept(self) -> None:
        hints = HintStore(10)
        hints.add("a", [entry("runner/x", 3)])
        hints.add("a", [entry("runner/x", 2)])
        self.assertEqual([3], [hint.major for hint in hints.oldest("a", 10)])

    def test_the_oldest_is_dropped_and_counted_where_there_are_too_many(self) -> None:
        hints = HintStore(3)
        hints.add("a", entries(5))
        self.assertEqual([3, 4, 5], [hint.major for hint in hints.oldest("a", 10)])
        self.assertEqual(2, hints.dropped)

    def test_what_changed_during_a_handover_stays(self) -> None:
        hints = HintStore(10)
        hints.add("a", [entry("runner/x", 1)])
        under_way = hints.oldest("a", 10)
        hints.add("a", [entry("runner/x", 2)])
        hints.remove_delivered("a", under_way)
        self.assertEqual([2], [hint.major for hint in hints.oldest("a", 10)])

    def test_hints_for_ever_more_lost_peers_stay_bounded(self) -> None:
        hints = HintStore(10, max_peers=4)
        for number in range(100):
            hints.add(f"peer{number}", entries(2))
        self.assertEqual(["peer96", "peer97", "peer98", "peer99"], hints.peers())
        self.assertEqual(192, hints.dropped)

    @given(st.lists(st.tuples(st.sampled_from("ab"), st.integers(0, 5), st.integers(1, 50)), max_size=60))
    def test_bounds_hold_and_the_newest_survives(self, kept: list[tuple[str, int, int]]) -> None:
        hints = HintStore(3)
        newest: dict[tuple[str, int], int] = {}
        for peer, key, major in kept:
            hints.add(peer, [entry(f"runner/{key}", major)])
            newest[peer, key] = max(major, newest.get((peer, key), 0))
            held = hints.oldest(peer, 100)
            assert len(held) <= 3
            assert all(hint.major <= newest[peer, int(hint.key[-1])] for hint in held)
            assert any(hint.key == f"runner/{key}" for hint in held)


class HandoffTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.peers = [ScriptedPeer("a"), ScriptedPeer("b")]
        self.handoff = HintedHandoff(connect_to(self.peers), lambda: ["a", "b"], node_name="me")

    def test_all_live_peers_have_it_when_replicate_returns(self) -> None:
        async def main() -> None:
            self.assertEqual({"a", "b"}, await self.handoff.replicate([entry("runner/x")], 0.4))
            for peer in self.peers:
                self.assertIsNotNone(peer.registry.get("runner/x"))

        run(main())

    def test_a_hung_peer_holds_an_acknowledgement_up_no_longer_than_the_timeout(self) -> None:
        async def main() -> None:
            self.peers[1].is_hung = True
            self.assertEqual({"a"}, await self.handoff.replicate([entry("runner/x")], 0.4))
            self.assertAlmostEqual(0.4, now(), places=2)

        run(main())

    def test_those_that_are_enough_are_waited_for_and_no_others(self) -> None:
        async def main() -> None:
            self.peers[1].is_hung = True
            taken = await self.handoff.replicate([entry("runner/x")], 0.4, lambda taken: "a" in taken)
            self.assertEqual({"a"}, taken)
            self.assertLess(now(), 0.05)
            await asyncio.sleep(0.41)
            self.assertEqual(["b"], self.handoff.hints.peers())

        run(main())

    def test_one_that_is_slow_and_then_takes_it_gets_no_hint(self) -> None:
        async def main() -> None:
            self.peers[1].is_hung = True
            await self.handoff.replicate([entry("runner/x")], 0.4, lambda taken: "a" in taken)
            await asyncio.sleep(0.2)
            self.peers[1].is_hung = False
            await asyncio.sleep(0.3)
            self.assertIsNotNone(self.peers[1].registry.get("runner/x"))
            self.assertEqual([], self.handoff.hints.peers())

        run(main())

    def test_what_a_peer_missed_is_handed_over_when_it_returns(self) -> None:
        async def main() -> None:
            task = asyncio.ensure_future(self.handoff.run())
            self.peers[1].is_down = True
            await self.handoff.replicate([entry("runner/x")], 0.4)
            await asyncio.sleep(5.0)
            self.peers[1].start(2)
            self.peers[1].is_down = False
            await asyncio.sleep(1.0)
            self.assertIsNotNone(self.peers[1].registry.get("runner/x"))
            self.assertEqual([], self.handoff.hints.peers())
            task.cancel()

        run(main())

    def test_many_hints_are_handed_over_in_paced_batches(self) -> None:
        async def main() -> None:
            self.handoff.hints.add("b", entries(5 * BATCH_ENTRIES))
            await self.handoff.hand_over()
            self.assertEqual(5 * BATCH_ENTRIES, len(self.peers[1].registry))
            times = [at for at, _ in self.peers[1].calls]
            self.assertEqual(5, len(times))
            self.assertGreaterEqual(times[-1] - times[0], 4 * BATCH_PAUSE_S - 1e-9)

        run(main())

    def test_nothing_is_sent_to_a_process_that_is_no_peer_now(self) -> None:
        async def main() -> None:
            self.handoff.hints.add("gone", entries(1))
            await self.handoff.hand_over()
            self.assertEqual(["gone"], self.handoff.hints.peers())

        run(main())

    def test_without_peers_replicate_returns_at_once(self) -> None:
        async def main() -> None:
            alone = HintedHandoff(connect_to([]), list)
            self.assertEqual(set(), await alone.replicate([entry("runner/x")], 0.4))

        run(main())

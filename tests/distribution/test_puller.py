"""Pullers: whom they ask, when they leave, and that what they claim is what they merged."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence

import testtools
from structlog.testing import capture_logs

from larchgw.configuration.settings import TimeLimits
from larchgw.distribution.peer_pullers import PeerPullers
from larchgw.distribution.pull_settings import PullSettings
from larchgw.distribution.puller import Puller
from larchgw.distribution.registry import Registry
from larchgw.distribution.source_selector import SourceSelector
from larchgw.emulator.virtual_loop import run
from tests.support.scripted_peers import ScriptedPeer, connect_to, now

SETTINGS = PullSettings()


def choice(near: Callable[[str], bool] | None = None, seed: int = 1) -> SourceSelector:
    return SourceSelector(SETTINGS, random.Random(seed), near)


class SourceChoiceTest(testtools.TestCase):
    def test_no_address_no_source(self) -> None:
        self.assertIsNone(choice().choose(0.0, []))

    def test_it_stays_with_the_one_that_serves(self) -> None:
        sources = choice()
        sources.record_success(0.0, "b")
        for second in range(50):
            self.assertEqual("b", sources.choose(float(second), ["a", "b", "c"]).address)

    def test_it_tries_every_other_one_before_it_comes_back(self) -> None:
        for seed in range(20):
            sources = choice(seed=seed)
            asked = []
            for _ in range(4):
                source = sources.choose(0.0, ["a", "b", "c", "d"])
                asked.append(source.address)
                sources.record_failure(source.address)
            self.assertEqual({"a", "b", "c", "d"}, set(asked))

    def test_a_second_round_tries_every_one_again(self) -> None:
        sources, asked = choice(), []
        for _ in range(8):
            source = sources.choose(0.0, ["a", "b", "c", "d"])
            asked.append(source.address)
            sources.record_failure(source.address)
        self.assertEqual({"a", "b", "c", "d"}, set(asked[4:]))

    def test_one_that_failed_before_another_served_is_asked_again_without_a_pause(self) -> None:
        sources = choice()
        sources.choose(0.0, ["a", "b"])
        sources.record_failure("a")
        sources.record_success(0.0, "b")
        sources.record_failure("b")
        source = sources.choose(9.0, ["a", "b"])
        self.assertEqual(0.0, source.pause_s)

    def test_after_a_failure_the_next_is_asked_without_a_pause(self) -> None:
        sources = choice()
        sources.record_success(0.0, "a")
        sources.record_failure("a")
        sources.choose(0.0, ["a", "b"])
        sources.record_failure("b")
        self.assertGreater(sources.choose(0.0, ["a", "b"]).pause_s, 0.0)
        sources.record_success(1.0, "a")
        sources.record_failure("a")
        source = sources.choose(1.0, ["a", "b"])
        self.assertEqual((0.0, "b"), (source.pause_s, source.address))

    def test_pauses_grow_up_to_their_bound_while_nobody_serves(self) -> None:
        sources, pauses = choice(), []
        for _ in range(12):
            source = sources.choose(0.0, ["a"])
            pauses.append(source.pause_s)
            sources.record_failure("a")
        self.assertLess(pauses[1], SETTINGS.min_backoff_s + 1e-9)
        self.assertGreaterEqual(pauses[-1], SETTINGS.max_backoff_s / 2)
        self.assertLessEqual(max(pauses), SETTINGS.max_backoff_s)

    def test_processes_that_start_together_do_not_ask_together(self) -> None:
        first = [choice(seed=seed).choose(0.0, ["a", "b", "c"]) for seed in range(100)]
        self.assertGreater(max(source.pause_s for source in first), 0.8 * SETTINGS.start_jitter_s)
        self.assertGreater(min(sum(source.address == name for source in first) for name in "abc"), 15)

    def test_one_in_the_own_zone_comes_first(self) -> None:
        for seed in range(20):
            sources = choice(lambda address: address == "c", seed)
            self.assertEqual("c", sources.choose(0.0, ["a", "b", "c"]).address)
            sources.record_failure("c")
            self.assertNotEqual("c", sources.choose(0.0, ["a", "b", "c"]).address)

    def test_it_comes_back_to_its_zone_after_a_while(self) -> None:
        sources = choice(lambda address: address == "c")
        sources.record_success(0.0, "a")
        self.assertEqual("a", sources.choose(SETTINGS.zone_recheck_s / 2, ["a", "c"]).address)
        self.assertEqual("c", sources.choose(SETTINGS.zone_recheck_s + 1.0, ["a", "c"]).address)

    def test_seeds_are_asked_only_when_those_known_now_have_failed(self) -> None:
        sources = choice()
        self.assertEqual("new", sources.choose(0.0, ["new"], ["seed"]).address)
        sources.record_failure("new")
        self.assertEqual("seed", sources.choose(0.0, ["new"], ["seed"]).address)

    def test_waits_follow_from_the_shorter_of_the_bounds(self) -> None:
        settings = PullSettings.from_time_limits(TimeLimits(apply_ms=2000, drain_end_ms=1000))
        self.assertLess(settings.wait_s + settings.reply_grace_s, 0.7)


class PullerTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.peers = [ScriptedPeer(name) for name in ("a", "b", "c")]
        self.registry = Registry("edge.1")

    def puller(
        self,
        addresses: Sequence[str] = ("a", "b", "c"),
        near_address: str = "",
        hands_back_runners: bool = False,
    ) -> Puller:
        return Puller(
            self.registry,
            connect_to(self.peers),
            lambda: addresses,
            SETTINGS,
            random.Random(3),
            node_name="edge",
            is_near=(lambda address: address == near_address) if near_address else None,
            hands_back_runners=hands_back_runners,
            clock=now,
        )

    def play(self, puller: Puller, seconds: float, *actions: tuple[float, Callable[[], object]]) -> None:
        async def main() -> None:
            task = asyncio.ensure_future(puller.run())
            loop = asyncio.get_running_loop()
            for at, action in actions:
                loop.call_at(at, action)
            await asyncio.sleep(seconds)
            self.assertFalse(task.done(), task)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        run(main())

    def peer(self, name: str) -> ScriptedPeer:
        return next(peer for peer in self.peers if peer.name == name)

    def test_news_is_here_within_its_bound_though_the_source_falls_silent(self) -> None:
        puller = self.puller(near_address="a")
        seen: list[float] = []
        self.registry.watch("configuration", lambda entry: seen.append(now()))

        def change() -> None:
            self.peer("a").is_hung = True
            for peer in self.peers[1:]:
                peer.registry.put("configuration", b"new", 7)

        self.play(puller, 10.0, (3.0, change))
        self.assertEqual(1, len(seen))
        self.assertLess(seen[0] - 3.0, 1.3)

    def test_a_source_that_is_down_is_left_at_once(self) -> None:
        puller = self.puller(near_address="a")

        def change() -> None:
            self.peer("a").is_down = True
            self.peer("b").registry.put("view", b"x", 1)
            self.peer("c").registry.put("view", b"x", 1)

        self.play(puller, 3.0, (2.0, change))
        self.assertIsNotNone(self.registry.get("view"))
        self.assertIn(puller.source, ("b", "c"))

    def test_one_cut_off_from_the_majority_is_left_but_its_runners_are_taken(self) -> None:
        self.peer("a").is_isolated = True
        self.peer("a").registry.put("runner/x", b"x", 1)
        self.peer("a").registry.put("configuration", b"old", 1)
        puller = self.puller(near_address="a")
        self.play(puller, 2.0)
        self.assertIsNotNone(self.registry.get("runner/x"))
        self.assertIsNone(self.registry.get("configuration"))
        self.assertIn(puller.source, ("b", "c"))
        self.assertEqual(1, len(self.peer("a").calls))

    def test_what_a_cut_off_process_had_left_out_comes_once_it_is_in_contact(self) -> None:
        peer = self.peer("a")
        peer.is_isolated = True
        peer.registry.put("configuration", b"c", 1)
        peer.registry.put("runner/x", b"x", 1)
        puller = self.puller(addresses=("a",))
        seen: list[float] = []
        self.registry.watch("configuration", lambda entry: seen.append(now()))
        self.play(puller, 12.0, (9.0, lambda: setattr(peer, "is_isolated", False)))
        self.assertEqual(1, len(seen))
        self.assertTrue(9.0 < seen[0] < 9.0 + SETTINGS.max_backoff_s, seen)

    def test_a_cut_off_process_changes_no_configuration_that_is_in_force(self) -> None:
        peer = self.peer("a")
        peer.registry.put("configuration", b"first", 1)

        def cut_off() -> None:
            peer.is_isolated = True
            peer.registry.put("configuration", b"second", 2)

        self.play(self.puller(addresses=("a",)), 6.0, (2.0, cut_off))
        self.assertEqual(b"first", self.registry.get("configuration").value)

    def test_an_answer_that_lay_unread_over_a_freeze_brings_no_configuration(self) -> None:
        """The source was in contact when it answered; the dispatcher reads that twenty seconds later."""
        ahead = 0.0

        def thaw() -> None:
            nonlocal ahead
            ahead = 20.0

        self.peer("a").registry.put("configuration", b"old", 1)
        self.peer("a").is_hung = True
        puller = Puller(
            self.registry,
            connect_to(self.peers),
            lambda: ["a"],
            SETTINGS,
            random.Random(3),
            clock=lambda: now() + ahead,
        )

        def release() -> None:
            thaw()
            self.peer("a").is_hung = False
            asyncio.get_running_loop().call_later(0.015, lambda: setattr(self.peer("a"), "is_down", True))

        self.play(puller, 2.0, (0.5, release))
        self.assertEqual(1, sum(at < 0.5 for at, _ in self.peer("a").calls))
        self.assertIsNone(self.registry.get("configuration"))

    def test_where_all_are_cut_off_entries_come_and_calls_are_paced(self) -> None:
        for peer in self.peers:
            peer.is_isolated = True
        puller = self.puller()
        self.play(puller, 20.0, (10.0, lambda: self.peer("b").registry.put("runner/x", b"x", 1)))
        self.assertIsNotNone(self.registry.get("runner/x"))
        self.assertIsNone(puller.last_heard_at)
        rounds = 20.0 / (SETTINGS.max_backoff_s / 2)
        self.assertLess(sum(len(peer.calls) for peer in self.peers), 3 * rounds + 30)

    def test_an_idle_puller_asks_about_twice_a_second(self) -> None:
        self.play(self.puller(), 20.0)
        self.assertLess(sum(len(peer.calls) for peer in self.peers), 45)

    def test_last_heard_shows_how_old_its_knowledge_is(self) -> None:
        puller = self.puller()

        def fall() -> None:
            for peer in self.peers:
                peer.is_hung = True

        self.play(puller, 8.0, (3.0, fall))
        self.assertLessEqual(puller.last_heard_at, 3.0)
        self.assertGreater(puller.last_heard_at, 2.0)

    def test_addresses_are_learned_and_the_given_ones_are_the_last_resort(self) -> None:
        self.peer("a").control_addresses = ["b", "c"]
        puller = self.puller(addresses=("a",))
        self.play(puller, 4.0, (1.0, lambda: setattr(self.peer("a"), "is_down", True)))
        self.assertIn(puller.source, ("b", "c"))

    def test_a_restarted_source_is_read_from_its_start(self) -> None:
        puller = self.puller(addresses=("a",))
        peer = self.peer("a")

        def restart() -> None:
            peer.start(2)
            peer.registry.put("view", b"after", 2)

        peer.registry.put("view", b"before", 1)
        self.play(puller, 6.0, (2.0, restart))
        self.assertEqual(b"after", self.registry.get("view").value)

    def test_a_source_that_stays_down_is_told_once_until_it_has_answered(self) -> None:
        puller = self.puller(addresses=("a",))
        self.peer("a").is_down = True
        with capture_logs() as lines:
            self.play(
                puller,
                12.0,
                (5.0, lambda: setattr(self.peer("a"), "is_down", False)),
                (8.0, lambda: setattr(self.peer("a"), "is_down", True)),
            )
        written = [line for line in lines if line["log_level"] != "debug"]
        self.assertEqual(["pull.failed"] * 2, [line["event"] for line in written], lines)

    def test_connections_that_are_left_are_closed(self) -> None:
        puller = self.puller(near_address="a")
        self.play(
            puller,
            10.0,
            (2.0, lambda: setattr(self.peer("a"), "is_hung", True)),
            (5.0, lambda: setattr(self.peer("b"), "is_hung", True)),
        )
        self.assertEqual([0, 0, 0], [peer.connections for peer in self.peers])

    def test_after_a_restart_of_all_control_a_runner_that_nobody_else_knows_is_given_back(self) -> None:
        puller = self.puller(addresses=("a",), hands_back_runners=True)
        peer = self.peer("a")
        peer.registry.put("runner/crashed", b"x", 5)
        peer.registry.put("runner/beats", b"x", 5)

        def restart() -> None:
            peer.start(2)
            peer.registry.put("runner/beats", b"x", 6)

        self.play(puller, 20.0, (2.0, restart))
        pushed = [
            argument
            for (_, method), argument in zip(peer.calls, peer.arguments, strict=True)
            if method == "push"
        ]
        self.assertEqual([["runner/crashed"]], [[entry.key for entry in push.entries] for push in pushed])
        self.assertIsNotNone(peer.registry.get("runner/crashed"))

    def out_of_touch(self, seconds: float, meanwhile: Callable[[], object]) -> None:
        """Knows runners x and y, is out of touch, and in touch again for a while."""
        peer = self.peer("a")
        for name in "xy":
            peer.registry.put(f"runner/{name}", b"ready", 1)
        peer.registry.put("configuration", b"c", 1)
        puller = self.puller(addresses=("a",))
        self.play(
            puller,
            seconds + 20.0,
            (5.0, lambda: setattr(peer, "is_hung", True)),
            (6.0, meanwhile),
            (5.0 + seconds, lambda: setattr(peer, "is_hung", False)),
        )

    def test_a_runner_whose_tombstone_was_forgotten_during_a_long_silence_is_dropped(self) -> None:
        peer = self.peer("a")
        self.out_of_touch(200.0, lambda: peer.registry.remove_if("runner/x", lambda entry: True))
        self.assertEqual(["configuration", "runner/y"], [entry.key for entry in self.registry.items()])

    def test_nothing_is_compared_after_a_short_silence(self) -> None:
        peer = self.peer("a")
        self.out_of_touch(60.0, lambda: peer.registry.remove_if("runner/x", lambda entry: True))
        self.assertIsNotNone(self.registry.get("runner/x"))

    def test_an_empty_control_process_does_not_take_all_runners_away(self) -> None:
        peer = self.peer("a")
        self.out_of_touch(200.0, lambda: peer.start(2))
        self.assertEqual(3, len(self.registry))

    def test_after_a_comparison_pulls_go_on_with_little(self) -> None:
        peer = self.peer("a")
        self.out_of_touch(200.0, lambda: None)
        last = peer.arguments[-1].have
        self.assertIn("@a.1", last)
        self.assertIn("a.1", last)
        self.assertLess(len([at for at, _ in peer.calls if at > 206.0]), 45)


class PeerPullersTest(testtools.TestCase):
    def test_pullers_follow_the_list_of_peers(self) -> None:
        peers = [ScriptedPeer("a"), ScriptedPeer("b")]
        listed = ["a", "b"]
        registry = Registry("me.1")
        pullers = PeerPullers(
            registry, connect_to(peers), lambda: list(listed), SETTINGS, random.Random(1), clock=now
        )

        async def main() -> None:
            task = asyncio.ensure_future(pullers.run())
            await asyncio.sleep(1.0)
            peers[0].registry.put("runner/a", b"x", 1)
            peers[1].registry.put("runner/b", b"x", 1)
            await asyncio.sleep(1.0)
            listed.remove("b")
            await asyncio.sleep(1.0)
            peers[1].registry.put("runner/late", b"x", 1)
            await asyncio.sleep(1.0)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            await asyncio.sleep(0.0)

        run(main())
        self.assertEqual(["runner/a", "runner/b"], [entry.key for entry in registry.items()])
        self.assertEqual([0, 0], [peer.connections for peer in peers])

"""Pullers: whom they ask, when they leave, and that what they claim is what they merged."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence

import testtools
from structlog.testing import capture_logs

from larchgw.distribution.pull_settings import PullSettings
from larchgw.distribution.puller import Puller
from larchgw.distribution.registry import Registry
from larchgw.emulator.virtual_loop import run
from tests.support.scripted_peers import ScriptedPeer, connect_to, now

SETTINGS = PullSettings()


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
            assert not task.done(), task
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        run(main())

    def peer(self, name: str) -> ScriptedPeer:
        return next(peer for peer in self.peers if peer.name == name)

    def test_a_change_arrives_within_its_bound_though_the_source_falls_silent(self) -> None:
        puller = self.puller(near_address="a")
        seen: list[float] = []
        self.registry.watch("configuration", lambda entry: seen.append(now()))

        def change() -> None:
            self.peer("a").is_hung = True
            for peer in self.peers[1:]:
                peer.registry.put("configuration", b"new", 7)

        self.play(puller, 10.0, (3.0, change))
        assert len(seen) == 1
        assert seen[0] - 3.0 < 1.3

    def test_a_source_that_is_down_is_left_at_once(self) -> None:
        puller = self.puller(near_address="a")

        def change() -> None:
            self.peer("a").is_down = True
            self.peer("b").registry.put("view", b"x", 1)
            self.peer("c").registry.put("view", b"x", 1)

        self.play(puller, 3.0, (2.0, change))
        assert self.registry.get("view") is not None
        assert puller.source in ("b", "c")

    def test_one_cut_off_from_the_majority_is_left_but_its_runners_are_taken(self) -> None:
        self.peer("a").is_isolated = True
        self.peer("a").registry.put("runner/x", b"x", 1)
        self.peer("a").registry.put("configuration", b"old", 1)
        puller = self.puller(near_address="a")
        self.play(puller, 2.0)
        assert self.registry.get("runner/x") is not None
        assert self.registry.get("configuration") is None
        assert puller.source in ("b", "c")
        assert len(self.peer("a").calls) == 1

    def test_what_a_cut_off_process_left_out_comes_once_it_is_in_contact(self) -> None:
        peer = self.peer("a")
        peer.is_isolated = True
        peer.registry.put("configuration", b"c", 1)
        peer.registry.put("runner/x", b"x", 1)
        puller = self.puller(addresses=("a",))
        seen: list[float] = []
        self.registry.watch("configuration", lambda entry: seen.append(now()))
        self.play(puller, 12.0, (9.0, lambda: setattr(peer, "is_isolated", False)))
        assert len(seen) == 1
        assert 9.0 < seen[0] < 9.0 + SETTINGS.max_backoff_s, seen

    def test_a_cut_off_process_changes_no_configuration_that_is_in_force(self) -> None:
        peer = self.peer("a")
        peer.registry.put("configuration", b"first", 1)

        def cut_off() -> None:
            peer.is_isolated = True
            peer.registry.put("configuration", b"second", 2)

        self.play(self.puller(addresses=("a",)), 6.0, (2.0, cut_off))
        assert self.registry.get("configuration").value == b"first"

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
        assert sum(at < 0.5 for at, _ in self.peer("a").calls) == 1
        assert self.registry.get("configuration") is None

    def test_where_all_are_cut_off_entries_come_and_calls_are_paced(self) -> None:
        for peer in self.peers:
            peer.is_isolated = True
        puller = self.puller()
        self.play(puller, 20.0, (10.0, lambda: self.peer("b").registry.put("runner/x", b"x", 1)))
        assert self.registry.get("runner/x") is not None
        assert puller.last_heard_at is None
        rounds = 20.0 / (SETTINGS.max_backoff_s / 2)
        assert sum(len(peer.calls) for peer in self.peers) < 3 * rounds + 30

    def test_an_idle_puller_asks_about_twice_a_second(self) -> None:
        self.play(self.puller(), 20.0)
        assert sum(len(peer.calls) for peer in self.peers) < 45

    def test_last_heard_shows_how_old_its_knowledge_is(self) -> None:
        puller = self.puller()

        def fall() -> None:
            for peer in self.peers:
                peer.is_hung = True

        self.play(puller, 8.0, (3.0, fall))
        assert puller.last_heard_at <= 3.0
        assert puller.last_heard_at > 2.0

    def test_addresses_are_learned_and_the_given_ones_are_the_last_resort(self) -> None:
        self.peer("a").control_addresses = ["b", "c"]
        puller = self.puller(addresses=("a",))
        self.play(puller, 4.0, (1.0, lambda: setattr(self.peer("a"), "is_down", True)))
        assert puller.source in ("b", "c")

    def test_a_restarted_source_is_read_from_its_start(self) -> None:
        puller = self.puller(addresses=("a",))
        peer = self.peer("a")

        def restart() -> None:
            peer.start(2)
            peer.registry.put("view", b"after", 2)

        peer.registry.put("view", b"before", 1)
        self.play(puller, 6.0, (2.0, restart))
        assert self.registry.get("view").value == b"after"

    def test_a_source_that_stays_down_is_logged_once_until_it_has_answered(self) -> None:
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
        assert [line["event"] for line in written] == ["pull.failed"] * 2, lines

    def test_connections_that_are_left_are_closed(self) -> None:
        puller = self.puller(near_address="a")
        self.play(
            puller,
            10.0,
            (2.0, lambda: setattr(self.peer("a"), "is_hung", True)),
            (5.0, lambda: setattr(self.peer("b"), "is_hung", True)),
        )
        assert [peer.connections for peer in self.peers] == [0, 0, 0]

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
        assert [[entry.key for entry in push.entries] for push in pushed] == [["runner/crashed"]]
        assert peer.registry.get("runner/crashed") is not None

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
        assert [entry.key for entry in self.registry.items()] == ["configuration", "runner/y"]

    def test_nothing_is_compared_after_a_short_silence(self) -> None:
        peer = self.peer("a")
        self.out_of_touch(60.0, lambda: peer.registry.remove_if("runner/x", lambda entry: True))
        assert self.registry.get("runner/x") is not None

    def test_an_empty_control_process_does_not_take_all_runners_away(self) -> None:
        peer = self.peer("a")
        self.out_of_touch(200.0, lambda: peer.start(2))
        assert len(self.registry) == 3

    def test_after_a_comparison_pulls_go_on_with_little(self) -> None:
        peer = self.peer("a")
        self.out_of_touch(200.0, lambda: None)
        last = peer.arguments[-1].have
        assert "@a.1" in last
        assert "a.1" in last
        assert len([at for at, _ in peer.calls if at > 206.0]) < 45

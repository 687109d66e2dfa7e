"""Pullers: the choice and change of sources, and that they only claim entries that they have merged."""

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

    def run_puller(
        self, puller: Puller, seconds: float, *actions: tuple[float, Callable[[], object]]
    ) -> None:
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

    def test_change_arrives_in_time_although_the_source_hangs(self) -> None:
        puller = self.puller(near_address="a")
        changed_at: list[float] = []
        self.registry.watch("configuration", lambda entry: changed_at.append(now()))

        def change() -> None:
            self.peer("a").is_hung = True
            for peer in self.peers[1:]:
                peer.registry.put("configuration", b"new", 7)

        self.run_puller(puller, 10.0, (3.0, change))
        assert len(changed_at) == 1
        assert changed_at[0] - 3.0 < 1.3

    def test_puller_switches_at_once_from_a_source_that_is_down(self) -> None:
        puller = self.puller(near_address="a")

        def change() -> None:
            self.peer("a").is_down = True
            self.peer("b").registry.put("view", b"x", 1)
            self.peer("c").registry.put("view", b"x", 1)

        self.run_puller(puller, 3.0, (2.0, change))
        assert self.registry.get("view") is not None
        assert puller.source in ("b", "c")

    def test_puller_merges_only_the_runners_of_an_isolated_source_and_switches(self) -> None:
        self.peer("a").is_isolated = True
        self.peer("a").registry.put("runner/x", b"x", 1)
        self.peer("a").registry.put("configuration", b"old", 1)
        puller = self.puller(near_address="a")
        self.run_puller(puller, 2.0)
        assert self.registry.get("runner/x") is not None
        assert self.registry.get("configuration") is None
        assert puller.source in ("b", "c")
        assert len(self.peer("a").calls) == 1

    def test_entries_skipped_from_an_isolated_process_arrive_once_it_is_in_contact(self) -> None:
        peer = self.peer("a")
        peer.is_isolated = True
        peer.registry.put("configuration", b"c", 1)
        peer.registry.put("runner/x", b"x", 1)
        puller = self.puller(addresses=("a",))
        changed_at: list[float] = []
        self.registry.watch("configuration", lambda entry: changed_at.append(now()))
        self.run_puller(puller, 12.0, (9.0, lambda: setattr(peer, "is_isolated", False)))
        assert len(changed_at) == 1
        assert 9.0 < changed_at[0] < 9.0 + SETTINGS.max_backoff_s, changed_at

    def test_isolated_process_does_not_change_the_configuration_in_force(self) -> None:
        peer = self.peer("a")
        peer.registry.put("configuration", b"first", 1)

        def cut_off() -> None:
            peer.is_isolated = True
            peer.registry.put("configuration", b"second", 2)

        self.run_puller(self.puller(addresses=("a",)), 6.0, (2.0, cut_off))
        assert self.registry.get("configuration").value == b"first"

    def test_reply_left_unread_during_a_pause_does_not_change_the_configuration(self) -> None:
        """The source was in contact when it replied, but the dispatcher reads the reply 20 s later."""
        clock_offset_s = 0.0

        def advance_clock() -> None:
            nonlocal clock_offset_s
            clock_offset_s = 20.0

        self.peer("a").registry.put("configuration", b"old", 1)
        self.peer("a").is_hung = True
        puller = Puller(
            self.registry,
            connect_to(self.peers),
            lambda: ["a"],
            SETTINGS,
            random.Random(3),
            clock=lambda: now() + clock_offset_s,
        )

        def release() -> None:
            advance_clock()
            self.peer("a").is_hung = False
            asyncio.get_running_loop().call_later(0.015, lambda: setattr(self.peer("a"), "is_down", True))

        self.run_puller(puller, 2.0, (0.5, release))
        assert sum(at < 0.5 for at, _ in self.peer("a").calls) == 1
        assert self.registry.get("configuration") is None

    def test_entries_arrive_and_calls_are_paced_while_all_sources_are_isolated(self) -> None:
        for peer in self.peers:
            peer.is_isolated = True
        puller = self.puller()
        self.run_puller(puller, 20.0, (10.0, lambda: self.peer("b").registry.put("runner/x", b"x", 1)))
        assert self.registry.get("runner/x") is not None
        assert puller.last_heard_at is None
        rounds = 20.0 / (SETTINGS.max_backoff_s / 2)
        assert sum(len(peer.calls) for peer in self.peers) < 3 * rounds + 30

    def test_idle_puller_pulls_about_twice_per_second(self) -> None:
        self.run_puller(self.puller(), 20.0)
        assert sum(len(peer.calls) for peer in self.peers) < 45

    def test_last_heard_at_is_the_time_of_the_last_reply(self) -> None:
        puller = self.puller()

        def hang_all() -> None:
            for peer in self.peers:
                peer.is_hung = True

        self.run_puller(puller, 8.0, (3.0, hang_all))
        assert puller.last_heard_at <= 3.0
        assert puller.last_heard_at > 2.0

    def test_addresses_are_learned_from_replies_and_the_initial_ones_are_a_fallback(self) -> None:
        self.peer("a").control_addresses = ["b", "c"]
        puller = self.puller(addresses=("a",))
        self.run_puller(puller, 4.0, (1.0, lambda: setattr(self.peer("a"), "is_down", True)))
        assert puller.source in ("b", "c")

    def test_restarted_source_is_read_from_its_beginning(self) -> None:
        puller = self.puller(addresses=("a",))
        peer = self.peer("a")

        def restart() -> None:
            peer.start(2)
            peer.registry.put("view", b"after", 2)

        peer.registry.put("view", b"before", 1)
        self.run_puller(puller, 6.0, (2.0, restart))
        assert self.registry.get("view").value == b"after"

    def test_a_source_that_stays_down_is_logged_once_until_it_has_answered(self) -> None:
        puller = self.puller(addresses=("a",))
        self.peer("a").is_down = True
        with capture_logs() as lines:
            self.run_puller(
                puller,
                12.0,
                (5.0, lambda: setattr(self.peer("a"), "is_down", False)),
                (8.0, lambda: setattr(self.peer("a"), "is_down", True)),
            )
        written = [line for line in lines if line["log_level"] != "debug"]
        assert [line["event"] for line in written] == ["pull.failed"] * 2, lines

    def test_connections_to_previous_sources_are_closed(self) -> None:
        puller = self.puller(near_address="a")
        self.run_puller(
            puller,
            10.0,
            (2.0, lambda: setattr(self.peer("a"), "is_hung", True)),
            (5.0, lambda: setattr(self.peer("b"), "is_hung", True)),
        )
        assert [peer.connections for peer in self.peers] == [0, 0, 0]

    def test_runner_unknown_to_a_restarted_control_process_is_handed_back_to_it(self) -> None:
        puller = self.puller(addresses=("a",), hands_back_runners=True)
        peer = self.peer("a")
        peer.registry.put("runner/crashed", b"x", 5)
        peer.registry.put("runner/beats", b"x", 5)

        def restart() -> None:
            peer.start(2)
            peer.registry.put("runner/beats", b"x", 6)

        self.run_puller(puller, 20.0, (2.0, restart))
        pushed = [
            argument
            for (_, method), argument in zip(peer.calls, peer.arguments, strict=True)
            if method == "push"
        ]
        assert [[entry.key for entry in push.entries] for push in pushed] == [["runner/crashed"]]
        assert peer.registry.get("runner/crashed") is not None

    def pull_with_disconnection(self, seconds: float, meanwhile: Callable[[], object]) -> None:
        """Learns runners x and y, is disconnected for `seconds`, and then connected again for a while."""
        peer = self.peer("a")
        for name in "xy":
            peer.registry.put(f"runner/{name}", b"ready", 1)
        peer.registry.put("configuration", b"c", 1)
        puller = self.puller(addresses=("a",))
        self.run_puller(
            puller,
            seconds + 20.0,
            (5.0, lambda: setattr(peer, "is_hung", True)),
            (6.0, meanwhile),
            (5.0 + seconds, lambda: setattr(peer, "is_hung", False)),
        )

    def test_runner_whose_tombstone_was_removed_during_a_long_disconnection_is_dropped(self) -> None:
        peer = self.peer("a")
        self.pull_with_disconnection(200.0, lambda: peer.registry.remove_if("runner/x", lambda entry: True))
        assert [entry.key for entry in self.registry.items()] == ["configuration", "runner/y"]

    def test_no_resync_after_a_short_disconnection(self) -> None:
        peer = self.peer("a")
        self.pull_with_disconnection(60.0, lambda: peer.registry.remove_if("runner/x", lambda entry: True))
        assert self.registry.get("runner/x") is not None

    def test_resync_with_an_empty_control_process_drops_no_runners(self) -> None:
        peer = self.peer("a")
        self.pull_with_disconnection(200.0, lambda: peer.start(2))
        assert len(self.registry) == 3

    def test_pulls_after_a_resync_are_incremental(self) -> None:
        peer = self.peer("a")
        self.pull_with_disconnection(200.0, lambda: None)
        last = peer.arguments[-1].have
        assert "@a.1" in last
        assert "a.1" in last
        assert len([at for at, _ in peer.calls if at > 206.0]) < 45

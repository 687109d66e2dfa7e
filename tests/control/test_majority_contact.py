"""A control process knows whether a majority of the witnesses has answered pulls that it began lately.

Takes the place of the tests of `isolation.py`, whose first seconds after a start counted as contact.
"""

from __future__ import annotations

import asyncio
import random

import testtools

from larchgw.control.latest_view import LatestView
from larchgw.control.majority_contact import MAX_CONTACT_AGE_S, PullContact
from larchgw.distribution.peer_pullers import PeerPullers
from larchgw.distribution.pull_settings import PullSettings
from larchgw.distribution.registry import Registry
from larchgw.emulator.virtual_loop import run
from larchgw.replication.view import View, first_view
from larchgw.rpc.generated.ttypes import Entry
from tests.support.scripted_peers import ScriptedPeer, connect_to, now

SETTINGS = PullSettings().for_control_peers()
ANSWER_IN_TIME_S = SETTINGS.wait_s + SETTINGS.reply_grace_s


class PullContactTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.now = 100.0
        self.proven: dict[str, float] = {}
        self.view: View | None = first_view(["a", "b", "c"])
        self.contact = self.of("a")

    def of(self, me: str) -> PullContact:
        return PullContact(me, lambda: self.view, self.proven.get, lambda: self.now)

    def joint(self) -> View:
        addresses = {name: name for name in "abcdef"}
        return View(9, "a", ("b",), ("a", "b", "c"), ("d", "e", "f"), addresses)

    def test_one_of_three_alone_is_isolated(self) -> None:
        assert self.contact.is_isolated()

    def test_a_start_is_isolated_until_a_majority_has_answered(self) -> None:
        assert self.of("a").is_isolated()
        self.proven["b"] = self.now
        assert not self.of("a").is_isolated()

    def test_two_of_three_are_not_isolated(self) -> None:
        self.proven["b"] = self.now
        assert not self.contact.is_isolated()

    def test_two_of_four_are_isolated(self) -> None:
        self.view = first_view(["a", "b", "c", "d"])
        self.proven["b"] = self.now
        assert self.contact.is_isolated()

    def test_two_of_five_that_hear_each_other_are_isolated(self) -> None:
        self.view = first_view(["a", "b", "c", "d", "e"])
        self.proven["b"] = self.now
        assert self.contact.is_isolated()
        self.proven["e"] = self.now
        assert not self.contact.is_isolated()

    def test_an_answer_to_a_call_that_began_long_ago_does_not_count(self) -> None:
        self.proven["b"] = self.now - MAX_CONTACT_AGE_S - 0.01
        assert self.contact.is_isolated()

    def test_a_thawed_process_is_isolated_until_it_has_asked_again(self) -> None:
        self.proven["b"] = self.proven["c"] = self.now
        self.now += 20.0
        assert self.contact.is_isolated()

    def test_one_that_is_alone_by_configuration_is_not_isolated(self) -> None:
        self.view = first_view(["a"])
        assert not self.contact.is_isolated()

    def test_one_that_knows_no_view_is_isolated_whoever_answers(self) -> None:
        self.view = None
        self.proven["b"] = self.proven["c"] = self.now
        assert self.contact.is_isolated()
        assert not self.contact.is_majority({"b", "c"})
        assert LatestView(lambda: None, Registry("a.1")).other_witnesses("a") == []

    def test_one_that_is_no_witness_does_not_count_itself(self) -> None:
        standby = self.of("d")
        self.proven["b"] = self.now
        assert standby.is_isolated()
        self.proven["c"] = self.now
        assert not standby.is_isolated()

    def test_one_whose_disk_was_lost_does_not_count_as_the_witness_it_was(self) -> None:
        replaced = self.of("a#another")
        self.proven["b"] = self.now
        assert replaced.is_isolated()
        assert not replaced.is_majority({"b"})

    def test_both_sets_of_witnesses_count_while_they_change(self) -> None:
        self.view = self.joint()
        self.proven.update(b=self.now, c=self.now)
        assert self.contact.is_isolated()
        assert not self.contact.is_majority({"b", "c", "d"})
        self.proven.update(d=self.now, e=self.now)
        assert not self.contact.is_isolated()
        assert self.contact.is_majority({"b", "d", "e"})
        newest = LatestView(lambda: self.view, Registry("a.1"))
        assert newest.other_witnesses("a") == ["b", "c", "d", "e", "f"]

    def test_processes_that_are_no_witnesses_make_no_majority(self) -> None:
        assert not self.contact.is_majority({"x", "y", "z"})
        assert self.contact.is_majority({"c"})


class ProofByPullsTest(testtools.TestCase):
    """The pulls of a control process as proof, over scripted peers in virtual time."""

    def setUp(self) -> None:
        super().setUp()
        self.peers = [ScriptedPeer("b"), ScriptedPeer("c")]
        self.registry = Registry("a.1")
        self.pullers = PeerPullers(
            self.registry, connect_to(self.peers), lambda: ["b", "c"], SETTINGS, random.Random(1), clock=now
        )
        self.view = LatestView(lambda: first_view(["a", "b", "c"]), self.registry)
        self.contact = PullContact("a", self.view.get, self.pullers.contact_proven_at, now)

    def play(self, main: object) -> None:
        async def played() -> None:
            task = asyncio.ensure_future(self.pullers.run())
            try:
                await main()  # type: ignore[operator]
            finally:
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)

        run(played())

    def both(self, fault: str, value: bool) -> None:
        for peer in self.peers:
            setattr(peer, fault, value)

    def test_contact_is_proven_soon_after_a_start_and_stays_proven(self) -> None:
        async def main() -> None:
            await asyncio.sleep(SETTINGS.start_jitter_s + 0.01)
            for _ in range(1000):
                assert not self.contact.is_isolated(), now()
                await asyncio.sleep(0.01)

        self.play(main)

    def test_peers_that_are_themselves_isolated_prove_contact(self) -> None:
        """Else nobody could be the first after a start of all at once."""
        self.both("is_isolated", True)

        async def main() -> None:
            await asyncio.sleep(SETTINGS.start_jitter_s + 0.01)
            for _ in range(500):
                assert not self.contact.is_isolated(), now()
                await asyncio.sleep(0.01)

        self.play(main)

    def test_partition_is_detected_within_the_maximum_contact_age_and_its_end_soon(self) -> None:
        async def main() -> None:
            await asyncio.sleep(3.0)
            self.both("is_hung", True)
            await asyncio.sleep(MAX_CONTACT_AGE_S)
            assert self.contact.is_isolated()
            await asyncio.sleep(20.0)
            assert self.contact.is_isolated()
            self.both("is_hung", False)
            await asyncio.sleep(ANSWER_IN_TIME_S)
            assert not self.contact.is_isolated()

        self.play(main)

    def test_one_silent_witness_of_three_isolates_nobody(self) -> None:
        self.peers[0].is_hung = True

        async def main() -> None:
            await asyncio.sleep(1.0)
            for _ in range(500):
                assert not self.contact.is_isolated(), now()
                await asyncio.sleep(0.01)

        self.play(main)

    def test_entry_held_by_a_majority_is_known_here_within_the_maximum_contact_age(self) -> None:
        """An entry is at peer b when a pull from there that proves contact begins after it."""

        async def main() -> None:
            await asyncio.sleep(2.0)
            self.peers[0].registry.merge([Entry("runner/x", 1, 2, "z.1", 1, b"x")])
            put = now()
            while (began := self.pullers.contact_proven_at("b")) is None or began < put:
                await asyncio.sleep(0.001)
            assert self.registry.get("runner/x") is not None
            assert now() - put < MAX_CONTACT_AGE_S

        self.play(main)

    def test_one_that_was_left_out_of_the_view_is_not_in_contact_by_the_view_it_knows(self) -> None:
        """Left out while it was frozen, then cut off together with one witness out of three."""
        later = View(7, "b", ("d", "e"), ("b", "d", "e"), ("b", "d", "e"), {name: name for name in "bde"})
        self.peers[1].is_down = True

        async def main() -> None:
            await asyncio.sleep(2.0)
            assert not self.contact.is_isolated()
            LatestView(lambda: later, self.peers[0].registry).publish()
            await asyncio.sleep(0.1)
            assert self.contact.is_isolated()
            assert self.view.other_witnesses("a") == ["b", "d", "e"]

        self.play(main)

    def test_older_view_does_not_replace_a_later_one(self) -> None:
        later = View(7, "b", ("d", "e"), ("b", "d", "e"), ("b", "d", "e"), {name: name for name in "bde"})
        LatestView(lambda: later, self.registry).publish()
        self.view.publish()
        assert later == self.view.get()
        assert self.registry.get("view").major == 7  # type: ignore[union-attr]

    def test_an_answer_that_was_held_up_proves_contact_at_its_begin_alone(self) -> None:
        async def main() -> None:
            await asyncio.sleep(2.0)
            self.both("is_hung", True)
            held_up_from = now()
            await asyncio.sleep(0.6)
            self.both("is_hung", False)  # the answers to pulls from before arrive now
            await asyncio.sleep(0.02)
            for peer in self.peers:
                began = self.pullers.contact_proven_at(peer.name)
                assert began is not None
                assert began <= held_up_from

        self.play(main)

"""A control process is isolated unless a majority of the witnesses has answered its recent pulls.

These tests also guard against counting the first seconds after a start as contact, which a previous
implementation did.
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

    def test_one_process_of_three_is_isolated(self) -> None:
        assert self.contact.is_isolated()

    def test_process_is_isolated_after_its_start_until_a_majority_has_answered(self) -> None:
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

    def test_two_of_five_in_contact_with_each_other_are_isolated(self) -> None:
        self.view = first_view(["a", "b", "c", "d", "e"])
        self.proven["b"] = self.now
        assert self.contact.is_isolated()
        self.proven["e"] = self.now
        assert not self.contact.is_isolated()

    def test_an_answer_to_a_call_that_began_long_ago_does_not_count(self) -> None:
        self.proven["b"] = self.now - MAX_CONTACT_AGE_S - 0.01
        assert self.contact.is_isolated()

    def test_process_is_isolated_after_a_pause_until_it_has_pulled_again(self) -> None:
        self.proven["b"] = self.proven["c"] = self.now
        self.now += 20.0
        assert self.contact.is_isolated()

    def test_only_process_of_a_system_is_not_isolated(self) -> None:
        self.view = first_view(["a"])
        assert not self.contact.is_isolated()

    def test_process_without_a_view_is_isolated_whichever_peers_answer(self) -> None:
        self.view = None
        self.proven["b"] = self.proven["c"] = self.now
        assert self.contact.is_isolated()
        assert not self.contact.is_majority({"b", "c"})
        assert LatestView(lambda: None, Registry("a.1")).other_witnesses("a") == []

    def test_process_that_is_not_a_witness_does_not_count_itself(self) -> None:
        standby = self.of("d")
        self.proven["b"] = self.now
        assert standby.is_isolated()
        self.proven["c"] = self.now
        assert not standby.is_isolated()

    def test_process_whose_disk_was_lost_no_longer_counts_as_a_witness(self) -> None:
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

    def test_processes_that_are_not_witnesses_form_no_majority(self) -> None:
        assert not self.contact.is_majority({"x", "y", "z"})
        assert self.contact.is_majority({"c"})


class ProofByPullsTest(testtools.TestCase):
    """Proof of contact by the pulls of a control process from scripted peers, in virtual time."""

    def setUp(self) -> None:
        super().setUp()
        self.peers = [ScriptedPeer("b"), ScriptedPeer("c")]
        self.registry = Registry("a.1")
        self.pullers = PeerPullers(
            self.registry, connect_to(self.peers), lambda: ["b", "c"], SETTINGS, random.Random(1), clock=now
        )
        self.view = LatestView(lambda: first_view(["a", "b", "c"]), self.registry)
        self.contact = PullContact("a", self.view.get, self.pullers.contact_proven_at, now)

    def run_with_pullers(self, main: object) -> None:
        async def main_with_pullers() -> None:
            task = asyncio.ensure_future(self.pullers.run())
            try:
                await main()  # type: ignore[operator]
            finally:
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)

        run(main_with_pullers())

    def set_fault_on_all_peers(self, fault: str, value: bool) -> None:
        for peer in self.peers:
            setattr(peer, fault, value)

    def test_contact_is_proven_soon_after_a_start_and_stays_proven(self) -> None:
        async def main() -> None:
            await asyncio.sleep(SETTINGS.start_jitter_s + 0.01)
            for _ in range(1000):
                assert not self.contact.is_isolated(), now()
                await asyncio.sleep(0.01)

        self.run_with_pullers(main)

    def test_peers_that_are_themselves_isolated_prove_contact(self) -> None:
        """Otherwise no process could be the first to gain contact after all have started at once."""
        self.set_fault_on_all_peers("is_isolated", True)

        async def main() -> None:
            await asyncio.sleep(SETTINGS.start_jitter_s + 0.01)
            for _ in range(500):
                assert not self.contact.is_isolated(), now()
                await asyncio.sleep(0.01)

        self.run_with_pullers(main)

    def test_partition_is_detected_within_the_maximum_contact_age_and_its_end_soon(self) -> None:
        async def main() -> None:
            await asyncio.sleep(3.0)
            self.set_fault_on_all_peers("is_hung", True)
            await asyncio.sleep(MAX_CONTACT_AGE_S)
            assert self.contact.is_isolated()
            await asyncio.sleep(20.0)
            assert self.contact.is_isolated()
            self.set_fault_on_all_peers("is_hung", False)
            await asyncio.sleep(ANSWER_IN_TIME_S)
            assert not self.contact.is_isolated()

        self.run_with_pullers(main)

    def test_one_unresponsive_witness_of_three_does_not_isolate_the_others(self) -> None:
        self.peers[0].is_hung = True

        async def main() -> None:
            await asyncio.sleep(1.0)
            for _ in range(500):
                assert not self.contact.is_isolated(), now()
                await asyncio.sleep(0.01)

        self.run_with_pullers(main)

    def test_entry_held_by_a_majority_is_known_within_the_maximum_contact_age(self) -> None:
        """The entry is at peer b before a pull from b starts that proves contact."""

        async def main() -> None:
            await asyncio.sleep(2.0)
            self.peers[0].registry.merge([Entry("runner/x", 1, 2, "z.1", 1, b"x")])
            put_at = now()
            while (began := self.pullers.contact_proven_at("b")) is None or began < put_at:
                await asyncio.sleep(0.001)
            assert self.registry.get("runner/x") is not None
            assert now() - put_at < MAX_CONTACT_AGE_S

        self.run_with_pullers(main)

    def test_process_removed_from_the_view_is_not_in_contact_by_its_old_view(self) -> None:
        """It was removed while it was paused, then partitioned together with one witness out of three."""
        later = View(7, "b", ("d", "e"), ("b", "d", "e"), ("b", "d", "e"), {name: name for name in "bde"})
        self.peers[1].is_down = True

        async def main() -> None:
            await asyncio.sleep(2.0)
            assert not self.contact.is_isolated()
            LatestView(lambda: later, self.peers[0].registry).publish()
            await asyncio.sleep(0.1)
            assert self.contact.is_isolated()
            assert self.view.other_witnesses("a") == ["b", "d", "e"]

        self.run_with_pullers(main)

    def test_older_view_does_not_replace_a_later_one(self) -> None:
        later = View(7, "b", ("d", "e"), ("b", "d", "e"), ("b", "d", "e"), {name: name for name in "bde"})
        LatestView(lambda: later, self.registry).publish()
        self.view.publish()
        assert later == self.view.get()
        assert self.registry.get("view").major == 7  # type: ignore[union-attr]

    def test_delayed_reply_proves_contact_only_at_the_start_of_its_pull(self) -> None:
        async def main() -> None:
            await asyncio.sleep(2.0)
            self.set_fault_on_all_peers("is_hung", True)
            hung_at = now()
            await asyncio.sleep(0.6)
            self.set_fault_on_all_peers("is_hung", False)  # the replies to the earlier pulls arrive now
            await asyncio.sleep(0.02)
            for peer in self.peers:
                began = self.pullers.contact_proven_at(peer.name)
                assert began is not None
                assert began <= hung_at

        self.run_with_pullers(main)

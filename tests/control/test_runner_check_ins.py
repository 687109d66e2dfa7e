"""Acknowledgement of check-ins and leaves by a control process, with scripted peers in virtual time."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Collection, Coroutine, Sequence
from typing import Any

import testtools

from larchgw.control.runner_check_ins import HANDOFF_TIMEOUT_S, RunnerCheckIns
from larchgw.distribution.hinted_handoff import HintedHandoff
from larchgw.distribution.pull_service import PullService
from larchgw.distribution.registry import Registry
from larchgw.emulator.virtual_loop import run
from larchgw.rpc.generated.ttypes import Entry, PushReply, PushRequest
from larchgw.runner_directory.directory import SILENCE_TIMEOUT_HEARTBEATS, RunnerDirectory
from larchgw.runner_directory.runner_record import Stage
from tests.support.scripted_peers import ScriptedPeer, connect_to, now

HEARTBEAT_S = 1.2
PROMPT_S = 0.05  # upper bound for an acknowledgement that does not wait for an unresponsive peer
RUNNER_TIMEOUT_S = 1.0  # by the protocol, an acknowledgement counts only if it arrives within 1 s


class ScriptedContact:
    """Scripted majority contact; the witnesses are a (this process), b and c."""

    def __init__(self) -> None:
        self.is_cut_off = False

    def is_isolated(self) -> bool:
        return self.is_cut_off

    def is_majority(self, addresses: Collection[str], *, with_this_process: bool = True) -> bool:
        return len({"b", "c"} & set(addresses)) + with_this_process >= 2


class ScriptedStore:
    """Scripted durable copies: a disk that works, stands still or refuses writes."""

    def __init__(self) -> None:
        self.entries: list[Entry] = []
        self.is_hung = self.refuses_writes = False

    async def make_durable(self, entries: Sequence[Entry]) -> bool:
        while self.is_hung:
            await asyncio.sleep(0.01)
        if self.refuses_writes:
            return False
        self.entries.extend(entries)
        return True


class RunnerCheckInsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.peers = [ScriptedPeer("b"), ScriptedPeer("c")]
        self.stores = {name: ScriptedStore() for name in "abc"}
        for peer in self.peers:
            self.install_store(peer)
        self.contact = ScriptedContact()
        self.registry = Registry("a.1")
        self.count = 0

    def run_with_components(self, main: Coroutine[Any, Any, None]) -> None:
        async def main_with_components() -> None:
            self.handoff = HintedHandoff(
                connect_to(self.peers), lambda: ["b", "c"], durable_entries=self.stores["a"]
            )
            self.directory = RunnerDirectory(self.registry, now, HEARTBEAT_S, "a/1")
            self.check_ins = RunnerCheckIns(self.directory, self.registry, self.contact, self.handoff)
            try:
                await main
            finally:
                self.handoff.close()

        run(main_with_components())

    async def check_in(self, state: str = "ready") -> bool:
        self.count += 1
        body = {"service": "s", "address": "10.0.0.9:80", "state": state, "call_count": self.count}
        return await self.check_ins.check_in("i-1", json.dumps(body).encode())

    def install_store(self, peer: ScriptedPeer) -> None:
        peer.service = PullService(
            peer.registry, lambda: False, lambda: [], durable_entries=self.stores[peer.name]
        )

    def copies(self, stage: Stage) -> set[str]:
        """The processes that have a departure of this stage on disk."""
        return {
            name
            for name, store in self.stores.items()
            if any(entry.minor == int(stage) for entry in store.entries)
        }

    def stage_at(self, peer: ScriptedPeer) -> Stage | None:
        entry = peer.registry.get("runner/i-1")
        return Stage(entry.minor) if entry is not None else None

    def test_isolated_process_records_a_check_in_but_does_not_acknowledge_it(self) -> None:
        async def main() -> None:
            self.contact.is_cut_off = True
            assert not await self.check_in()
            record = self.directory.get("i-1")
            assert record is not None
            self.contact.is_cut_off = False
            assert await self.check_in()

        self.run_with_components(main())

    def test_drain_and_leave_are_not_acknowledged_before_another_witness_has_them(self) -> None:
        """At the start of a partition, this process still counts as being in contact."""

        async def main() -> None:
            assert await self.check_in()
            for peer in self.peers:
                peer.is_hung = True
            assert not await self.check_in("draining")
            assert not await self.check_in("draining")  # still urgent
            assert not await self.check_ins.leave("i-1")
            assert now() < 3 * RUNNER_TIMEOUT_S

        self.run_with_components(main())

    def test_drain_and_leave_are_replicated_to_a_majority_before_they_are_acknowledged(self) -> None:
        async def main() -> None:
            self.peers[0].is_down = True
            assert await self.check_in("draining")
            assert Stage.DRAINING is self.stage_at(self.peers[1])
            assert await self.check_ins.leave("i-1")
            assert Stage.GONE is self.stage_at(self.peers[1])

        self.run_with_components(main())

    def test_drain_and_leave_are_on_the_disks_of_a_majority_before_they_are_acknowledged(self) -> None:
        """Guards against acknowledgements from memory, which a restart of all processes forgets."""

        async def main() -> None:
            self.stores["b"].is_hung = True
            assert await self.check_in("draining")
            assert self.copies(Stage.DRAINING) == {"a", "c"}
            self.stores["c"].is_hung = True
            assert not await self.check_ins.leave("i-1")
            assert now() < RUNNER_TIMEOUT_S

        self.run_with_components(main())

    def test_a_process_whose_disk_stands_or_is_full_acknowledges_with_the_copies_of_two_others(self) -> None:
        async def main() -> None:
            self.stores["a"].is_hung = True
            assert await self.check_in("draining")
            assert now() < PROMPT_S
            self.stores["a"].is_hung, self.stores["a"].refuses_writes = False, True
            assert await self.check_ins.leave("i-1")
            assert now() < 2 * PROMPT_S
            assert "a" not in self.copies(Stage.GONE)

        self.run_with_components(main())

    def test_nothing_is_acknowledged_while_a_majority_of_the_disks_is_full(self) -> None:
        async def main() -> None:
            self.stores["a"].refuses_writes = self.stores["c"].refuses_writes = True
            assert not await self.check_in("draining")
            assert not await self.check_ins.leave("i-1")
            self.stores["a"].refuses_writes = False
            assert await self.check_ins.leave("i-1")

        self.run_with_components(main())

    def test_a_standing_disk_holds_up_no_check_in_of_a_ready_runner(self) -> None:
        async def main() -> None:
            for store in self.stores.values():
                store.is_hung = True
            assert await self.check_in()
            assert now() == 0.0

        self.run_with_components(main())

    def test_stopping_process_records_check_ins_but_acknowledges_none(self) -> None:
        async def main() -> None:
            assert await self.check_in()
            self.check_ins.close()
            assert not await self.check_in("draining")
            assert Stage.DRAINING is self.stage()
            assert not await self.check_ins.leave("i-1")

        self.run_with_components(main())

    def test_hung_peer_does_not_delay_an_acknowledgement_and_gets_a_hint(self) -> None:
        async def main() -> None:
            self.peers[0].is_hung = True
            assert await self.check_in("draining")
            assert now() < PROMPT_S
            await asyncio.sleep(HANDOFF_TIMEOUT_S + 0.01)
            assert self.handoff.hints.peers() == ["b"]

        self.run_with_components(main())

    def test_a_leave_during_a_drains_replication_is_replicated_itself(self) -> None:
        async def main() -> None:
            slow = SlowPush(self.peers[0])
            self.peers[1].is_down = True
            draining = asyncio.ensure_future(self.check_in("draining"))
            await asyncio.sleep(0.01)
            self.directory.leave("i-1")  # as if received over another connection
            slow.proceed.set()
            assert await draining
            assert self.directory.leave("i-1").needs_replication
            assert await self.check_ins.leave("i-1")
            assert Stage.GONE is self.stage_at(self.peers[0])

        self.run_with_components(main())

    def test_isolated_process_does_not_mark_the_runners_that_it_rejects_as_silent(self) -> None:
        async def main() -> None:
            assert await self.check_in()
            await self.tick_for(20.0, isolated=True)
            assert Stage.READY is self.stage()
            await self.tick_for(SILENCE_TIMEOUT_HEARTBEATS * HEARTBEAT_S + 0.5, isolated=False)
            assert Stage.SILENT is self.stage()

        self.run_with_components(main())

    async def tick_for(self, seconds: float, isolated: bool) -> None:
        until = now() + seconds
        while now() < until:
            self.directory.tick(now(), isolated)
            await asyncio.sleep(0.25)

    def stage(self) -> Stage | None:
        record = self.directory.get("i-1")
        return record.stage if record is not None else None


class SlowPush:
    """Delays pushes to a peer until `proceed` is set."""

    def __init__(self, peer: ScriptedPeer) -> None:
        self.proceed = asyncio.Event()
        self._push = peer.service.push
        peer.service.push = self.push  # type: ignore[method-assign]

    async def push(self, request: PushRequest) -> PushReply:
        await self.proceed.wait()
        return await self._push(request)

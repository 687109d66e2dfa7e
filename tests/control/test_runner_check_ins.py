"""Which check-ins and Leaves a control process acknowledges, with its peers scripted and in virtual time."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Collection, Coroutine
from typing import Any

import testtools

from larchgw.control.runner_check_ins import HANDOFF_TIMEOUT_S, RunnerCheckIns
from larchgw.distribution.hinted_handoff import HintedHandoff
from larchgw.distribution.registry import Registry
from larchgw.emulator.virtual_loop import run
from larchgw.rpc.generated.ttypes import PushReply, PushRequest
from larchgw.runner_directory.directory import SILENCE_TIMEOUT_HEARTBEATS, RunnerDirectory
from larchgw.runner_directory.runner_record import Stage
from tests.support.scripted_peers import ScriptedPeer, connect_to, now

BEAT_S = 1.2
PROMPT_S = 0.05  # an acknowledgement that waits for nobody
RUNNER_PATIENCE_S = 1.0  # PROTOCOL: an acknowledgement counts if it comes within a second


class Contact:
    """The witnesses are a (this process), b and c."""

    def __init__(self) -> None:
        self.cut_off = False

    def is_isolated(self) -> bool:
        return self.cut_off

    def is_majority(self, addresses: Collection[str]) -> bool:
        return bool({"b", "c"} & set(addresses))


class RunnerCheckInsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.peers = [ScriptedPeer("b"), ScriptedPeer("c")]
        self.contact = Contact()
        self.registry = Registry("a.1")
        self.count = 0

    def play(self, main: Coroutine[Any, Any, None]) -> None:
        async def played() -> None:
            self.handoff = HintedHandoff(connect_to(self.peers), lambda: ["b", "c"])
            self.directory = RunnerDirectory(self.registry, now, BEAT_S, "a/1")
            self.check_ins = RunnerCheckIns(self.directory, self.registry, self.contact, self.handoff)
            try:
                await main
            finally:
                self.handoff.close()

        run(played())

    async def check_in(self, state: str = "ready") -> bool:
        self.count += 1
        body = {"service": "s", "address": "10.0.0.9:80", "state": state, "call_count": self.count}
        return await self.check_ins.check_in("i-1", json.dumps(body).encode())

    def stage_at(self, peer: ScriptedPeer) -> Stage | None:
        entry = peer.registry.get("runner/i-1")
        return Stage(entry.minor) if entry is not None else None

    def test_a_check_in_is_not_acknowledged_by_a_process_that_is_cut_off_but_it_is_kept(self) -> None:
        async def main() -> None:
            self.contact.cut_off = True
            assert not await self.check_in()
            record = self.directory.get("i-1")
            assert record is not None
            self.contact.cut_off = False
            assert await self.check_in()

        self.play(main())

    def test_a_drain_and_a_leave_that_no_other_witness_has_are_not_acknowledged(self) -> None:
        """The first moments of a cut, in which this process still counts as in contact."""

        async def main() -> None:
            assert await self.check_in()
            for peer in self.peers:
                peer.is_hung = True
            assert not await self.check_in("draining")
            assert not await self.check_in("draining")  # still urgent
            assert not await self.check_ins.leave("i-1")
            assert now() < 3 * RUNNER_PATIENCE_S

        self.play(main())

    def test_a_drain_and_a_leave_are_at_a_majority_when_they_are_acknowledged(self) -> None:
        async def main() -> None:
            self.peers[0].is_down = True
            assert await self.check_in("draining")
            assert Stage.DRAINING is self.stage_at(self.peers[1])
            assert await self.check_ins.leave("i-1")
            assert Stage.GONE is self.stage_at(self.peers[1])

        self.play(main())

    def test_a_process_that_is_about_to_end_keeps_check_ins_and_acknowledges_none(self) -> None:
        async def main() -> None:
            assert await self.check_in()
            self.check_ins.close()
            assert not await self.check_in("draining")
            assert Stage.DRAINING is self.stage()
            assert not await self.check_ins.leave("i-1")

        self.play(main())

    def test_frozen_process_does_not_delay_an_acknowledgement_and_gets_a_hint(self) -> None:
        async def main() -> None:
            self.peers[0].is_hung = True
            assert await self.check_in("draining")
            assert now() < PROMPT_S
            await asyncio.sleep(HANDOFF_TIMEOUT_S + 0.01)
            assert self.handoff.hints.peers() == ["b"]

        self.play(main())

    def test_a_leave_during_a_drains_replication_is_replicated_itself(self) -> None:
        async def main() -> None:
            slow = SlowPush(self.peers[0])
            self.peers[1].is_down = True
            draining = asyncio.ensure_future(self.check_in("draining"))
            await asyncio.sleep(0.01)
            self.directory.leave("i-1")  # as it comes in over another connection
            slow.proceed.set()
            assert await draining
            assert self.directory.leave("i-1").needs_replication
            assert await self.check_ins.leave("i-1")
            assert Stage.GONE is self.stage_at(self.peers[0])

        self.play(main())

    def test_isolated_process_marks_no_runner_silent_that_it_turns_away(self) -> None:
        async def main() -> None:
            assert await self.check_in()
            await self.tick_for(20.0, isolated=True)
            assert Stage.READY is self.stage()
            await self.tick_for(SILENCE_TIMEOUT_HEARTBEATS * BEAT_S + 0.5, isolated=False)
            assert Stage.SILENT is self.stage()

        self.play(main())

    async def tick_for(self, seconds: float, isolated: bool) -> None:
        until = now() + seconds
        while now() < until:
            self.directory.tick(now(), isolated)
            await asyncio.sleep(0.25)

    def stage(self) -> Stage | None:
        record = self.directory.get("i-1")
        return record.stage if record is not None else None


class SlowPush:
    """Holds the pushes to a peer up until told to proceed."""

    def __init__(self, peer: ScriptedPeer) -> None:
        self.proceed = asyncio.Event()
        self._push = peer.service.push
        peer.service.push = self.push  # type: ignore[method-assign]

    async def push(self, request: PushRequest) -> PushReply:
        await self.proceed.wait()
        return await self._push(request)

"""Control processes and dispatchers under random faults: nothing is lost and no entry stays outdated."""

from __future__ import annotations

import asyncio
import random

import pytest

from larchgw.distribution.hinted_handoff import HintedHandoff
from larchgw.distribution.peer_pullers import PeerPullers
from larchgw.distribution.pull_settings import PullSettings
from larchgw.distribution.puller import Puller
from larchgw.distribution.registry import Registry, rank
from larchgw.emulator.virtual_loop import run
from tests.support.scripted_peers import ScriptedPeer, connect_to, now

SETTINGS = PullSettings()
SETTLE_S = 4.0  # convergence time after the last fault: the longest backoff, a timeout and a pull
STEPS = ("put", "put", "urgent", "urgent", "hang", "down", "isolate", "restart", "heal")
FAULTS = {"hang": "is_hung", "down": "is_down", "isolate": "is_isolated"}
HEALTHY_FOR_S = SETTINGS.wait_s + SETTINGS.reply_grace_s + 2 * SETTINGS.max_backoff_s


class ControlProcess(ScriptedPeer):
    """A control process that pulls from the others and pushes urgent entries to them."""

    def begin(self, others: list[ScriptedPeer], random_source: random.Random) -> None:
        names = [peer.name for peer in others]
        self.control_addresses = [self.name, *names]
        self.pullers = PeerPullers(
            self.registry, connect_to(others), lambda: names, SETTINGS, random_source, clock=now
        )
        self.handoff = HintedHandoff(connect_to(others), lambda: names)
        self.tasks = [asyncio.ensure_future(self.pullers.run()), asyncio.ensure_future(self.handoff.run())]

    async def end(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class Deployment:
    """Three control processes and four dispatchers, with random steps from a seed."""

    def __init__(self, seed: int) -> None:
        self.random_source = random.Random(seed)
        self.control = [ControlProcess(name) for name in "abc"]
        self.edges = [Registry(f"edge{number}.1") for number in range(4)]
        self.pullers = [
            Puller(
                registry,
                connect_to(self.control),
                lambda: ["a", "b", "c"],
                SETTINGS,
                random.Random(seed * 100 + number),
                hands_back_runners=True,
                clock=now,
            )
            for number, registry in enumerate(self.edges)
        ]
        self.incarnations, self.major = 1, 0
        self.acknowledged: dict[str, int] = {}  # key -> major held by two control processes

    def begin(self) -> None:
        for process in self.control:
            process.begin([peer for peer in self.control if peer is not process], self.random_source)
        self.tasks = [asyncio.ensure_future(puller.run()) for puller in self.pullers]

    async def step(self) -> None:
        step = self.random_source.choice(STEPS)
        process = self.random_source.choice(self.control)
        if step in ("put", "urgent"):
            await self.publish(process, is_urgent=step == "urgent")
        elif step == "restart" and self.is_healthy():
            await self.restart(process)
        elif step == "heal":
            self.heal()
        elif step != "restart" and self.is_healthy():
            setattr(process, FAULTS[step], True)
        self.check_freshness()
        await asyncio.sleep(self.random_source.choice([0.0, 0.01, 0.3, 2.0]))

    async def publish(self, process: ControlProcess, is_urgent: bool) -> None:
        if process.is_down or process.is_hung:
            return
        self.major += 1
        key, major = f"runner/{self.random_source.randrange(5)}", self.major
        process.registry.put(key, b"x", major)
        if is_urgent:
            entry = process.registry.get(key)
            if await process.handoff.replicate([entry], 0.4):
                self.acknowledged[key] = max(major, self.acknowledged.get(key, 0))

    async def restart(self, process: ControlProcess) -> None:
        """Restarts one process at a time; the others have time to catch up before the next fault."""
        await process.end()
        self.incarnations += 1
        process.start(self.incarnations)
        process.begin([peer for peer in self.control if peer is not process], self.random_source)
        await asyncio.sleep(SETTLE_S)

    def is_healthy(self) -> bool:
        return not any(process.is_down or process.is_hung or process.is_isolated for process in self.control)

    def heal(self) -> None:
        for process in self.control:
            process.is_down = process.is_hung = process.is_isolated = False

    def check_freshness(self) -> None:
        """Every dispatcher has a recent reply, because at most one control process is faulty at a time."""
        for puller in self.pullers:
            if now() > HEALTHY_FOR_S:
                assert puller.last_heard_at is not None
                assert now() - puller.last_heard_at < HEALTHY_FOR_S

    def check_agreement(self) -> None:
        highest_ranks: dict[str, tuple[int, int, str, int]] = {}
        registries = [process.registry for process in self.control] + self.edges
        for registry in registries:
            for entry in registry.items():
                highest_ranks[entry.key] = max(highest_ranks.get(entry.key, rank(entry)), rank(entry))
        for registry in registries:
            assert {entry.key: rank(entry) for entry in registry.items()} == highest_ranks
        for key, major in self.acknowledged.items():
            assert highest_ranks[key][0] >= major

    async def end(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for process in self.control:
            await process.end()


@pytest.mark.parametrize("seed", range(12))
def test_registries_converge_after_faults_and_keep_acknowledged_entries(seed: int) -> None:
    async def main() -> None:
        deployment = Deployment(seed)
        deployment.begin()
        for _ in range(60):
            await deployment.step()
        deployment.heal()
        await asyncio.sleep(SETTLE_S)
        await asyncio.sleep(SETTINGS.hand_back_after_s * 1.5 + SETTLE_S)  # dispatchers may know more
        deployment.check_agreement()
        await deployment.end()

    run(main())

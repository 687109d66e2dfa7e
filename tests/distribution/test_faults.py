"""Control processes and dispatchers together, under drawn faults: nothing is lost, nothing stays old."""

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
from tests.support.scripted_peers import Peer, connecting, now

SETTINGS = PullSettings()
SETTLE_S = 4.0  # after the last fault: the longest backoff, a silence and a pull
KINDS = ("put", "put", "urgent", "urgent", "hang", "down", "isolated", "restart", "well")
HEALTHY_FOR_S = SETTINGS.wait_s + SETTINGS.reply_grace_s + 2 * SETTINGS.max_backoff_s


class Control(Peer):
    """A control process that pulls from the others and pushes what is urgent to them."""

    def begin(self, others: list[Peer], dice: random.Random) -> None:
        names = [peer.name for peer in others]
        self.known = [self.name, *names]
        self.pullers = PeerPullers(
            self.registry, connecting(others), lambda: names, SETTINGS, dice, clock=now
        )
        self.handoff = HintedHandoff(connecting(others), lambda: names)
        self.tasks = [asyncio.ensure_future(self.pullers.run()), asyncio.ensure_future(self.handoff.run())]

    async def end(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class World:
    """Three control processes, four dispatchers, and a seed."""

    def __init__(self, seed: int) -> None:
        self.dice = random.Random(seed)
        self.control = [Control(name) for name in "abc"]
        self.edges = [Registry(f"edge{number}.1") for number in range(4)]
        self.pullers = [
            Puller(
                registry,
                connecting(self.control),
                lambda: ["a", "b", "c"],
                SETTINGS,
                random.Random(seed * 100 + number),
                hands_back_runners=True,
                clock=now,
            )
            for number, registry in enumerate(self.edges)
        ]
        self.lives, self.major = 1, 0
        self.acknowledged: dict[str, int] = {}  # key -> major that two control processes have
        self.healthy_since = 0.0

    def begin(self) -> None:
        for one in self.control:
            one.begin([peer for peer in self.control if peer is not one], self.dice)
        self.tasks = [asyncio.ensure_future(puller.run()) for puller in self.pullers]

    async def step(self) -> None:
        kind = self.dice.choice(KINDS)
        one = self.dice.choice(self.control)
        if kind in ("put", "urgent"):
            await self.publish(one, urgent=kind == "urgent")
        elif kind == "restart" and self.all_well():
            await self.restart(one)
        elif kind == "well":
            self.heal()
        elif kind != "restart" and self.all_well():
            setattr(one, {"hang": "hung"}.get(kind, kind), True)
        self.check_freshness()
        await asyncio.sleep(self.dice.choice([0.0, 0.01, 0.3, 2.0]))

    async def publish(self, one: Control, urgent: bool) -> None:
        if one.down or one.hung:
            return
        self.major += 1
        key, major = f"runner/{self.dice.randrange(5)}", self.major
        one.registry.put(key, b"x", major)
        if urgent:
            entry = one.registry.get(key)
            if await one.handoff.replicate([entry], 0.4):
                self.acknowledged[key] = max(major, self.acknowledged.get(key, 0))

    async def restart(self, one: Control) -> None:
        """One at a time, and long enough after the last fault that the others have all that is urgent."""
        await one.end()
        self.lives += 1
        one.start(self.lives)
        one.begin([peer for peer in self.control if peer is not one], self.dice)
        await asyncio.sleep(SETTLE_S)

    def all_well(self) -> bool:
        return not any(one.down or one.hung or one.isolated for one in self.control)

    def heal(self) -> None:
        for one in self.control:
            one.down = one.hung = one.isolated = False

    def check_freshness(self) -> None:
        """At most one control process is in trouble at a time, so every dispatcher hears of another soon."""
        for puller in self.pullers:
            if now() > HEALTHY_FOR_S:
                assert puller.last_heard_at is not None
                assert now() - puller.last_heard_at < HEALTHY_FOR_S

    def check_agreement(self) -> None:
        best: dict[str, tuple[int, int, str, int]] = {}
        everyone = [one.registry for one in self.control] + self.edges
        for registry in everyone:
            for entry in registry.items():
                best[entry.key] = max(best.get(entry.key, rank(entry)), rank(entry))
        for registry in everyone:
            assert {entry.key: rank(entry) for entry in registry.items()} == best
        for key, major in self.acknowledged.items():
            assert best[key][0] >= major

    async def end(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for one in self.control:
            await one.end()


@pytest.mark.parametrize("seed", range(12))
def test_all_agree_after_any_faults_and_what_was_acknowledged_is_there(seed: int) -> None:
    async def main() -> None:
        world = World(seed)
        world.begin()
        for _ in range(60):
            await world.step()
        world.heal()
        await asyncio.sleep(SETTLE_S)
        await asyncio.sleep(SETTINGS.hand_back_after_s * 1.5 + SETTLE_S)  # dispatchers may know more
        world.check_agreement()
        await world.end()

    run(main())

"""One puller for each peer that is listed."""

from __future__ import annotations

import asyncio
import random

import testtools

from larchgw.distribution.peer_pullers import PeerPullers
from larchgw.distribution.pull_settings import PullSettings
from larchgw.distribution.registry import Registry
from larchgw.emulator.virtual_loop import run
from tests.support.scripted_peers import ScriptedPeer, connect_to, now

SETTINGS = PullSettings()


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
        assert [entry.key for entry in registry.items()] == ["runner/a", "runner/b"]
        assert [peer.connections for peer in peers] == [0, 0]

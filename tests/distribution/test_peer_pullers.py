"""Pulls between control processes, with one puller per peer."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from typing import Any

import testtools

from larchgw.distribution.peer_pullers import PeerPullers
from larchgw.distribution.pull_settings import PullSettings
from larchgw.distribution.registry import Registry
from larchgw.emulator.virtual_loop import run
from larchgw.rpc.errors import RpcConnectionError
from tests.support.scripted_peers import ScriptedConnection, ScriptedPeer, connect_to, now

SETTINGS = PullSettings()
PROCESSES = 9
CHANGES = 20


class CountingConnection:
    """A connection that counts the entries in replies."""

    def __init__(self, connection: ScriptedConnection, sent: Counter[str]) -> None:
        self._connection, self._sent = connection, sent

    async def call(self, method: str, argument: object, timeout_s: float) -> Any:
        reply = await self._connection.call(method, argument, timeout_s)
        self._sent.update(entry.key for entry in reply.entries or [])
        return reply

    def close(self) -> None:
        self._connection.close()


def simulate_changes(
    unreachable: frozenset[tuple[str, str]] = frozenset(),
) -> tuple[Counter[str], list[set[str]]]:
    """Simulates nine control processes that publish changes one after another.

    Args:
        unreachable: Pairs of caller and peer between which all calls fail.

    Returns:
        How often each entry was sent, and the keys that each process holds half a second after the last
        change.
    """
    peers = [ScriptedPeer(f"c{number}") for number in range(PROCESSES)]
    sent: Counter[str] = Counter()
    held: list[set[str]] = []

    def connect_from(caller: str) -> Callable[[str], CountingConnection]:
        def connect(address: str) -> CountingConnection:
            if (caller, address) in unreachable:
                raise RpcConnectionError(f"{address} is unreachable", was_sent=False)
            return CountingConnection(connect_to(peers)(address), sent)

        return connect

    async def main() -> None:
        tasks = []
        for number, peer in enumerate(peers):
            others = [
                other.name
                for other in peers
                if other is not peer and (peer.name, other.name) not in unreachable
            ]
            pullers = PeerPullers(
                peer.registry,
                connect_from(peer.name),
                lambda others=others: others,  # type: ignore[misc]
                SETTINGS.for_control_peers(),
                random.Random(number),
                clock=now,
            )
            tasks.append(asyncio.ensure_future(pullers.run()))
        await asyncio.sleep(1.0)
        for number in range(CHANGES):
            peers[number % PROCESSES].registry.put(f"runner/{number}", b"x", 1)
            await asyncio.sleep(0.03)
        await asyncio.sleep(0.5)
        held.extend({entry.key for entry in peer.registry.items()} for peer in peers)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    run(main())
    return sent, held


def test_each_change_is_sent_to_each_peer_about_once() -> None:
    sent, held = simulate_changes()
    assert all(len(keys) == CHANGES for keys in held)
    assert sum(sent.values()) < 1.5 * CHANGES * (PROCESSES - 1)


def test_change_is_forwarded_by_other_processes_if_its_origin_is_unreachable() -> None:
    cut_off = frozenset((f"c{number}", "c0") for number in range(2, PROCESSES))
    _, held = simulate_changes(cut_off)
    assert all(len(keys) == CHANGES for keys in held)


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

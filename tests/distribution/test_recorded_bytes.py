"""The registry publishes and sends the same bytes as before identifiers in the code were renamed.

The fixtures were recorded with commit 0d35ed7. Recorded bytes must be decoded and encoded as at that time,
because processes of both versions run side by side during an upgrade. `peer_pulls.json` was recorded later,
when control processes began to set `own_changes_only` in pulls from each other; the earlier exchange is
simulated without this field.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from larchgw.configuration.packing import pack, unpack
from larchgw.control.latest_view import LatestView
from larchgw.distribution import keys
from larchgw.distribution.hinted_handoff import HintedHandoff
from larchgw.distribution.peer_pullers import PeerPullers
from larchgw.distribution.placer_entry import Placer, known_placer, publish_placer
from larchgw.distribution.pull_service import PullService
from larchgw.distribution.pull_settings import PullSettings
from larchgw.distribution.puller import Puller
from larchgw.distribution.registry import Registry, encoded_size_bytes
from larchgw.distribution.version_vectors import cursors, new_origin, without_cursors
from larchgw.edge.expected_loads import ExpectedLoads
from larchgw.emulator.virtual_loop import run
from larchgw.replication.view import View
from larchgw.rpc.codec import decode_struct, encode_struct
from larchgw.rpc.errors import RpcConnectionError, RpcTimeoutError
from larchgw.rpc.generated.ttypes import Entry, PullReply, PullRequest, PushReply, PushRequest
from larchgw.runner_directory.runner_record import HeldModel, RunnerRecord, Stage

FIXTURES = Path(__file__).parents[1] / "fixtures" / "distribution"
CONFIGURATION = {"version": "v7", "services": [{"name": "llm", "models": ["m1", "m2"]}], "limit": 0.5}
VIEW = View(4, "c-1", ("c-2",), ("c-1", "c-2", "c-3"), ("c-1", "c-2", "c-3"), {"c-1": "10.0.0.1:7000"})
EXPECTED = {"m1": 1500.0, "m1/a1": 0.0, "m2": -1}
RUNNER = RunnerRecord(
    "r-1", "llm", "10.0.0.9:8080", "z1", Stage.DRAINING, 8, "v7", "both", 250.5, 9000.0, 12,
    (HeldModel("m1", 3, ("a1", "ä2")), HeldModel("m2")), "control-1.0123abcd",
)  # fmt: skip
MAX_REPLY_BYTES = 150  # so small that replies are truncated


def recorded(name: str) -> Any:
    return json.loads((FIXTURES / name).read_text(encoding="utf-8"))


def filled_registry() -> Registry:
    """Returns a registry with one entry of every kind, as published by the processes."""
    registry = Registry(new_origin("control-1", random.Random(7)))
    registry.put(keys.CONFIGURATION_KEY, pack(CONFIGURATION), 31)
    registry.put(keys.RUNNER_PREFIX + RUNNER.id, RUNNER.encode(), RUNNER.call_count, int(RUNNER.stage))
    publish_placer(registry, "10.0.0.1:7000", 5)
    LatestView(lambda: VIEW, registry).publish()
    registry.put(keys.EXPECTED_LOADS_PREFIX + "r-1", json.dumps(EXPECTED).encode(), 5, 2)
    return registry


def encode_entries() -> dict[str, Any]:
    registry = filled_registry()
    return {
        "origin": registry.origin,
        "vector": registry.vector(),
        "entries": {entry.key: encode_struct(entry).hex() for entry in registry.items()},
        "sizes": {entry.key: encoded_size_bytes(entry) for entry in registry.items()},
    }


class Transcript:
    """Records the calls between processes in virtual time: times, callers, addresses, and bytes both ways."""

    def __init__(self) -> None:
        self.calls: list[list[Any]] = []
        self.omits_own_changes_only = False  # like older processes, which do not know the field
        self.services: dict[str, PullService] = {}
        self.unreachable: set[str] = set()
        self.hung: set[str] = set()

    def connect_from(self, caller: str) -> Callable[[str], RecordingConnection]:
        return lambda address: RecordingConnection(self, caller, address)


class RecordingConnection:
    """Transfers a call as bytes and records it."""

    def __init__(self, transcript: Transcript, caller: str, address: str) -> None:
        self.transcript, self.caller, self.address = transcript, caller, address

    async def call(self, method: str, argument: Any, timeout_s: float) -> Any:
        if self.transcript.omits_own_changes_only and isinstance(argument, PullRequest):
            argument.own_changes_only = None
        sent = encode_struct(argument)
        now = round(asyncio.get_running_loop().time(), 6)
        line = [now, self.caller, self.address, method, timeout_s, sent.hex(), ""]
        self.transcript.calls.append(line)
        if self.address in self.transcript.unreachable:
            raise RpcConnectionError(f"{self.address} is down", was_sent=False)
        service = self.transcript.services[self.address]
        try:
            async with asyncio.timeout(timeout_s):
                reply = await getattr(service, method)(decode_struct(type(argument), sent))
                while self.address in self.transcript.hung:
                    await asyncio.sleep(0.01)
        except TimeoutError:
            raise RpcTimeoutError(f"{self.address} took too long") from None
        answer = encode_struct(reply)
        line[-1] = answer.hex()
        return decode_struct(type(reply), answer)

    def close(self) -> None:
        pass


def now() -> float:
    return asyncio.get_running_loop().time()


class EdgeScenario:
    """A dispatcher that pulls from two control processes, a and b; a is in its zone."""

    def __init__(self) -> None:
        self.transcript = Transcript()
        self.isolated: set[str] = set()
        self.registries: dict[str, Registry] = {}
        for number, name in enumerate("ab"):
            self.start(name, incarnation=1)
            for runner in range(3):
                self.registries[name].put(f"runner/{name}{runner}", b"x" * 60, runner + 1, number)
        self.puller = Puller(
            Registry("edge.1"),
            self.transcript.connect_from("edge"),
            lambda: ["a", "b"],
            PullSettings(),
            random.Random(11),
            node_name="edge-1",
            prefixes=("configuration", "runner/"),
            is_near=lambda address: address == "a",
            hands_back_runners=True,
            clock=now,
        )

    def start(self, name: str, incarnation: int) -> None:
        self.registries[name] = Registry(f"{name}.{incarnation}")
        self.transcript.services[name] = PullService(
            self.registries[name],
            lambda: name in self.isolated,
            lambda: ["a", "b"],
            max_reply_bytes=MAX_REPLY_BYTES,
        )

    async def simulate(self) -> None:
        task = asyncio.ensure_future(self.puller.run())
        await self.pull_until_the_source_fails()
        await self.pull_from_an_isolated_process()
        await self.restart_the_source()
        await self.disconnect()
        await self.resync()
        self.transcript.calls.append([entry.key for entry in self.puller.registry.items()])
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def pull_until_the_source_fails(self) -> None:
        await asyncio.sleep(1.2)
        self.registries["a"].put("configuration", b"first", 1)
        await asyncio.sleep(0.4)
        self.transcript.unreachable.add("a")
        await asyncio.sleep(1.0)

    async def pull_from_an_isolated_process(self) -> None:
        self.isolated.add("b")
        self.registries["b"].put("runner/b0", b"y", 9)
        self.registries["b"].put("configuration", b"second", 2)
        self.transcript.services["b"].wake()
        await asyncio.sleep(1.5)
        self.isolated.clear()
        self.transcript.unreachable.clear()

    async def restart_the_source(self) -> None:
        """Starts a new incarnation without entries, to which the dispatcher pushes the runners it knows."""
        self.start("a", incarnation=2)
        await asyncio.sleep(8.0)

    async def disconnect(self) -> None:
        """Disconnects long enough to miss tombstones; only the first calls of that time are recorded."""
        self.transcript.hung.update("ab")
        await asyncio.sleep(2.0)
        self.transcript.unreachable.update("ab")
        self.transcript.hung.clear()
        calls_before = len(self.transcript.calls)
        await asyncio.sleep(155.0)
        del self.transcript.calls[calls_before + 10 :]

    async def resync(self) -> None:
        self.registries["a"].remove_if("runner/b1", lambda entry: True)
        self.registries["a"].put("runner/new", b"z", 1)
        self.transcript.unreachable.clear()
        await asyncio.sleep(2.0)


def record_edge_pulls() -> list[list[Any]]:
    """Records truncated replies, a failed and an isolated source, a restart, and a resync."""
    scenario = EdgeScenario()
    run(scenario.simulate())
    return scenario.transcript.calls


def record_control_exchange() -> list[list[Any]]:
    """Records an exchange of two control processes that do not know `own_changes_only`."""
    return simulate_control_exchange(omits_own_changes_only=True)


def record_peer_pulls() -> list[list[Any]]:
    """Records the same exchange with the current fields."""
    return simulate_control_exchange(omits_own_changes_only=False)


def simulate_control_exchange(omits_own_changes_only: bool) -> list[list[Any]]:
    """Simulates two control processes that pull from each other and deliver hints."""
    transcript = Transcript()
    transcript.omits_own_changes_only = omits_own_changes_only

    async def main() -> None:
        registries = {name: Registry(f"{name}.1") for name in "ab"}
        tasks = []
        handoffs = {}
        for seed, (name, registry) in enumerate(registries.items()):
            transcript.services[name] = PullService(registry, lambda: False, list)
            others = [other for other in "ab" if other != name]
            connect = transcript.connect_from(name)
            pullers = PeerPullers(
                registry,
                connect,
                lambda others=others: others,
                PullSettings().for_control_peers(),
                random.Random(seed),
                node_name=name,
                clock=now,
            )
            handoffs[name] = HintedHandoff(connect, lambda others=others: others, node_name=name)
            tasks += [asyncio.ensure_future(pullers.run()), asyncio.ensure_future(handoffs[name].run())]
        await asyncio.sleep(0.3)
        registries["a"].put("runner/r-1", RUNNER.encode(), RUNNER.call_count, int(RUNNER.stage))
        await handoffs["a"].replicate([registries["a"].get("runner/r-1")], 0.4)
        transcript.unreachable.add("b")
        registries["a"].put("runner/r-2", b"y", 2, 3)
        await handoffs["a"].replicate([registries["a"].get("runner/r-2")], 0.4)
        await asyncio.sleep(0.7)
        transcript.unreachable.clear()
        await asyncio.sleep(1.2)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    run(main())
    return transcript.calls


def test_entries_of_every_kind_are_encoded_as_recorded() -> None:
    assert encode_entries() == recorded("entries.json")


def test_recorded_entries_are_decoded_to_the_published_values() -> None:
    registry = Registry("edge.1")
    saved = recorded("entries.json")
    entries = [decode_struct(Entry, bytes.fromhex(data)) for data in saved["entries"].values()]
    clock = [100.0]
    expected = ExpectedLoads(registry, lambda: clock[0])
    latest = LatestView(lambda: None, registry)
    assert registry.merge(entries) == entries
    configuration = registry.get("configuration")
    runner = registry.get("runner/r-1")
    assert configuration is not None
    assert runner is not None
    assert (configuration.major, json.loads(unpack(configuration.value))) == (31, CONFIGURATION)
    assert (runner.major, runner.minor, RunnerRecord.decode(runner.value)) == (12, 2, RUNNER)
    assert known_placer(registry) == Placer("10.0.0.1:7000", 5)
    assert latest.get() == VIEW
    assert expected.expected("m1", "") == {"r-1": 101.5}
    assert expected.expected("m1", "a1") == {"r-1": 100.0}
    assert expected.expected("m2", "") == {}


def test_registry_keys_are_as_recorded() -> None:
    assert sorted(recorded("entries.json")["entries"]) == [
        "configuration", "expected/r-1", "placer", "runner/r-1", "view"
    ]  # fmt: skip
    assert (keys.CONFIGURATION_KEY, keys.RUNNER_PREFIX, keys.PLACER_KEY) == (
        "configuration", "runner/", "placer"
    )  # fmt: skip
    assert (keys.VIEW_KEY, keys.EXPECTED_LOADS_PREFIX) == ("view", "expected/")


@pytest.mark.parametrize(
    ("fixture", "record"),
    [
        ("edge_pulls.json", record_edge_pulls),
        ("control_exchange.json", record_control_exchange),
        ("peer_pulls.json", record_peer_pulls),
    ],
)
def test_pulls_and_pushes_are_sent_at_the_times_and_with_the_bytes_recorded(
    fixture: str, record: Callable[[], list[list[Any]]]
) -> None:
    calls, saved = record(), recorded(fixture)
    for call, expected in zip(calls, saved, strict=False):
        assert call == expected
    assert len(calls) == len(saved)


def test_recorded_messages_are_decoded_to_their_fields() -> None:
    calls = [call for call in recorded("edge_pulls.json") if len(call) == 7]
    first = calls[0]
    request = decode_struct(PullRequest, bytes.fromhex(first[5]))
    assert request == PullRequest(
        node_name="edge-1", have={}, wait_ms=500, prefixes=["configuration", "runner/"]
    )
    reply = decode_struct(PullReply, bytes.fromhex(first[6]))
    assert (reply.more, reply.isolated, reply.control) == (True, False, ["a", "b"])
    assert (cursors(reply.upto), without_cursors(reply.upto)) == ({"@a.1": 1}, {})
    assert [(entry.key, entry.major, entry.origin) for entry in reply.entries] == [("runner/a0", 1, "a.1")]
    pushes = [call for call in recorded("control_exchange.json") if call[3] == "push" and call[6]]
    push = decode_struct(PushRequest, bytes.fromhex(pushes[0][5]))
    assert push.node_name == "a"
    assert RunnerRecord.decode(push.entries[0].value) == RUNNER
    assert decode_struct(PushReply, bytes.fromhex(pushes[0][6])) == PushReply(have={})

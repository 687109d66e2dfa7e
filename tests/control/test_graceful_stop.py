"""Graceful shutdown of a control process: it waits until the others continue without it, but not forever."""

from __future__ import annotations

import asyncio
import tempfile
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from testtools import TestCase

from larchgw.configuration.settings import NodeSettings, TimeLimits
from larchgw.control.node import ControlNode
from larchgw.emulator.virtual_loop import run

GRACE_S = 8.0
BODY = b'{"service":"s","address":"10.0.0.9:1","zone":"a","slots":1,"state":"ready","call_count":1}'


class RecordingStub:
    """Replaces a component of the node and records its calls."""

    def __init__(self, name: str, events: list[str]) -> None:
        self._name, self._events = name, events

    def __getattr__(self, call: str) -> Callable[..., None]:
        return lambda *arguments: self._events.append(f"{self._name}.{call}")


class ReplicatedLogStub(RecordingStub):
    """Replaces the replicated log; the others agree to the shutdown after `agreed_after` seconds."""

    def __init__(self, events: list[str], agreed_after: float) -> None:
        super().__init__("log", events)
        self._agreed_after = agreed_after

    @property
    def has_left(self) -> bool:
        return asyncio.get_running_loop().time() >= self._agreed_after


class ControlStopTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.node = ControlNode(
            NodeSettings(
                "core-1",
                "127.0.0.1",
                "a",
                spare_ports=[7660, 7675],
                first_boot=True,
                seed_list=["127.0.0.1:8146"],
                data_dir=folder.name,
                time_limits=TimeLimits(grace_period_s=GRACE_S),
            )
        )
        self.events: list[str] = []

    def stop_node(self, agreed_after: float) -> float:
        """Stops the process; returns how many seconds this took."""
        node: Any = self.node
        log: Any = ReplicatedLogStub(self.events, agreed_after)
        clients: Any = RecordingStub("clients", self.events)
        node.components = replace(
            node.components, clients=clients, replication=replace(node.components.replication, log=log)
        )
        for name in ("_gossip", "_http", "_rpc", "tasks"):
            setattr(node, name, RecordingStub(name.strip("_"), self.events))

        async def stop() -> float:
            await self.node.stop()
            return asyncio.get_running_loop().time()

        return run(stop())

    def test_process_stops_soon_after_the_others_have_agreed(self) -> None:
        assert self.stop_node(agreed_after=0.2) < 0.5

    def test_process_keeps_serving_until_the_others_have_agreed(self) -> None:
        self.stop_node(agreed_after=2.0)
        assert self.events[:3] == ["log.leave", "gossip.leave", "http.stop"]
        assert {"tasks.stop", "rpc.stop", "clients.close"} == set(self.events[3:])

    def test_process_stops_within_the_grace_period_if_the_others_do_not_agree(self) -> None:
        duration_s = self.stop_node(agreed_after=1000.0)
        assert duration_s > GRACE_S / 4
        assert duration_s < GRACE_S * 0.6

    def test_check_ins_are_not_acknowledged_while_the_process_stops(self) -> None:
        async def check_in() -> bool:
            return await self.node.components.runners.check_ins.check_in("i-1", BODY)

        assert asyncio.run(check_in())
        self.stop_node(agreed_after=0.2)
        assert not asyncio.run(check_in())

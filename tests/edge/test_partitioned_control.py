"""An edge that reaches only an isolated control process, on real sockets."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from tornado.httpclient import AsyncHTTPClient

from larchgw.configuration.packing import pack
from larchgw.configuration.settings import Listen, NodeSettings
from larchgw.distribution.keys import CONFIGURATION_KEY, RUNNER_PREFIX
from larchgw.distribution.pull_service import PullService
from larchgw.distribution.registry import Registry
from larchgw.edge.node import EdgeNode
from larchgw.identifiers import RunnerId
from larchgw.rpc.server import RpcServer
from larchgw.runner_directory.runner_record import RunnerRecord
from tests.support.asyncio_tests import PATIENCE, on_loop
from tests.support.configurations import example

HOST = "127.0.0.1"
UNCONFIGURED, NO_ROUTE = 503, 404


def free_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    try:
        for one in sockets:
            one.bind((HOST, 0))
        return [int(one.getsockname()[1]) for one in sockets]
    finally:
        for one in sockets:
            one.close()


class System:
    """A scripted control process, and an edge with it as its seed."""

    def __init__(self) -> None:
        self.isolated = True
        self.registry = Registry("core.1")
        service = PullService(self.registry, lambda: self.isolated, lambda: [])
        self.server = RpcServer(service)
        front, ready, self.rpc = free_ports(3)
        self.front, self.ready = f"{HOST}:{front}", f"{HOST}:{ready}"
        self.edge = EdgeNode(
            NodeSettings(
                "edge-1",
                HOST,
                "a",
                listen=Listen(front=self.front, ready=self.ready),
                spare_ports=[self.rpc, self.rpc + 15],
                seed_list=[f"{HOST}:1"],
            )
        )

    def publish(self, version: int) -> None:
        raw = example(config_version=version)
        self.registry.put(CONFIGURATION_KEY, pack(raw), version)
        record = RunnerRecord(RunnerId("i-1"), "models", f"{HOST}:9", "a", call_count=version)
        self.registry.put(RUNNER_PREFIX + "i-1", record.encode(), version)

    async def until(self, status: int) -> None:
        """Waits until the readiness probe has this result."""
        async with asyncio.timeout(PATIENCE):
            while await self.get(self.ready, "/ready") != status:
                await asyncio.sleep(0.02)

    async def until_runner_is_known(self, call_count: int) -> None:
        async with asyncio.timeout(PATIENCE):
            while (record := self.edge.view.get("i-1")) is None or record.call_count < call_count:
                await asyncio.sleep(0.02)

    async def get(self, address: str, path: str) -> int:
        answer = await AsyncHTTPClient().fetch(
            f"http://{address}{path}", headers={"X-Attempt-Id": "id1"}, raise_error=False
        )
        return answer.code


@asynccontextmanager
async def started() -> AsyncIterator[System]:
    system = System()
    await system.server.start(HOST, system.rpc)
    await system.edge.start()
    try:
        yield system
    finally:
        system.edge.proxy.stop_accepting()
        system.edge.tasks.stop()
        system.edge.clients.close()
        system.server.stop()


@on_loop
async def test_an_edge_that_reaches_only_an_isolated_process_refuses_requests_and_is_not_ready() -> None:
    async with started() as system:
        system.publish(version=3)
        await system.until_runner_is_known(call_count=3)
        assert await system.get(system.ready, "/ready") == 503
        assert await system.get(system.front, "/plan/x") == UNCONFIGURED
        assert await system.get(system.front, "/nowhere") == UNCONFIGURED
        system.isolated = False
        await system.until(200)
        assert await system.get(system.front, "/nowhere") == NO_ROUTE


@on_loop
async def test_a_serving_edge_keeps_its_state_while_its_source_is_isolated() -> None:
    async with started() as system:
        system.isolated = False
        system.publish(version=3)
        await system.until(200)
        system.isolated = True
        system.publish(version=4)
        await system.until_runner_is_known(call_count=4)
        assert await system.get(system.ready, "/ready") == 200
        assert await system.get(system.front, "/nowhere") == NO_ROUTE
        held = system.edge.registry.get(CONFIGURATION_KEY)
        assert held is not None
        assert held.major == 3

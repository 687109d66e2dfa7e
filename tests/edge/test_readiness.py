"""DRAIN: from SIGTERM on, an edge is not ready and completes its open requests; uses a real port."""

from __future__ import annotations

import asyncio

import pytest
from tornado.httpclient import AsyncHTTPClient

from larchgw.configuration.packing import pack
from larchgw.configuration.settings import Listen, NodeSettings
from larchgw.distribution.keys import CONFIGURATION_KEY, RUNNER_PREFIX
from larchgw.edge import node as node_module
from larchgw.edge.node import READINESS_NOTICE_S, EdgeNode
from larchgw.identifiers import RunnerId
from larchgw.runner_directory.runner_record import RunnerRecord
from tests.support.asyncio_tests import on_loop
from tests.support.configurations import example
from tests.support.edge_stand_ins import soon

IP = "127.55.0.1"  # used by this test only
UNREADY_WITHIN_S = 4.0  # seconds from SIGTERM within which two probes must fail
PROBE_INTERVAL_S = 1.0


async def status(node: EdgeNode) -> int:
    port = next(iter(node._ready_server._sockets.values())).getsockname()[1]
    client = AsyncHTTPClient(force_instance=True)
    try:
        answer = await soon(client.fetch(f"http://{IP}:{port}/ready", raise_error=False))
        return int(answer.code)
    finally:
        client.close()


@on_loop
async def test_an_edge_is_ready_with_configuration_and_runners_until_sigterm(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(node_module, "READINESS_NOTICE_S", 0.0)
    settings = NodeSettings(
        "edge-1",
        IP,
        "z",
        listen=Listen(front=f"{IP}:0", ready=f"{IP}:0"),
        spare_ports=[17660, 17675],
        seed_list=[f"{IP}:1"],
    )
    node = EdgeNode(settings)
    await node.start()
    assert await status(node) == 503
    node.registry.put(CONFIGURATION_KEY, pack(example()), 1)
    assert await status(node) == 503  # no runner is known
    node.registry.put(
        RUNNER_PREFIX + "i-1", RunnerRecord(RunnerId("i-1"), "s", "10.0.0.1:1", "z").encode(), 1
    )
    assert await status(node) == 200
    stopping = asyncio.ensure_future(node.stop())
    await asyncio.sleep(0)  # only the signal handler has run
    assert not node.is_ready()
    assert await status(node) == 503
    await soon(stopping)
    assert await status(node) == 503


def test_the_platform_probes_twice_before_an_edge_stops_listening() -> None:
    assert 2 * PROBE_INTERVAL_S <= READINESS_NOTICE_S < UNREADY_WITHIN_S

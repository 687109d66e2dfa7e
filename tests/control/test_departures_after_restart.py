"""Real control processes: what a runner was acknowledged is known after all of them were killed at once."""

from __future__ import annotations

import asyncio
import json
import random
import time
from pathlib import Path

import pytest
from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from larchgw.configuration.settings import TimeLimits
from larchgw.emulator.system.network import Network
from larchgw.emulator.system.records import Records
from larchgw.emulator.system.rig import Rig
from larchgw.rpc.client import RpcClient
from larchgw.rpc.errors import RpcError
from larchgw.rpc.generated.ttypes import PullReply, PullRequest
from larchgw.runner_directory.runner_record import Stage
from larchgw.runtime.addresses import RPC_PORT
from tests.support.asyncio_tests import PATIENCE, on_loop

RUNNER = "i-1"


async def call_until_acknowledged(rig: Rig, path: str, body: dict[str, object]) -> None:
    """Calls one control process after the other, as runners do, until one answers 200."""
    client = AsyncHTTPClient(force_instance=True)
    until = time.monotonic() + PATIENCE
    while True:
        for address in rig.control_addresses():
            try:
                url = f"http://{address}{path}"
                await client.fetch(url, method="POST", body=json.dumps(body), request_timeout=1.0)
            except (HTTPClientError, OSError):
                assert time.monotonic() < until, f"{path} was not acknowledged"
                continue
            return
        await asyncio.sleep(0.05)


async def known_stage(address: str) -> Stage | None:
    """What the process at this RPC address knows of the runner; None while it cannot be asked."""
    client = RpcClient(address)
    request = PullRequest(node_name="test", have={}, wait_ms=0, prefixes=["runner/"], own_changes_only=None)
    try:
        reply: PullReply = await client.call("pull", request, 1.0)
    except RpcError:
        return None
    finally:
        client.close()
    return next((Stage(entry.minor) for entry in reply.entries or []), None)


@pytest.mark.parametrize("stage", [Stage.DRAINING, Stage.GONE])
@on_loop
async def test_an_acknowledged_departure_survives_a_kill_of_all_control_processes_right_after_it(
    tmp_path: Path, stage: Stage
) -> None:
    """Guards against acknowledging a drain or Leave that is in the memory of control processes only."""
    network = Network.claim(random.Random())
    rig = Rig(network, tmp_path, Records(), TimeLimits(), time.monotonic, controls=3, edges=0)
    check_in = {"service": "s", "address": "127.0.0.1:9", "zone": "a", "slots": 1, "state": "ready"}
    try:
        await rig.start()
        await call_until_acknowledged(rig, f"/Runners.Checkin/{RUNNER}", check_in | {"call_count": 1})
        if stage is Stage.GONE:
            await call_until_acknowledged(rig, f"/Runners.Leave/{RUNNER}", {})
        else:
            draining = check_in | {"state": "draining", "call_count": 2}
            await call_until_acknowledged(rig, f"/Runners.Checkin/{RUNNER}", draining)
        await rig.kill_all(rig.controls, for_s=0.0)
        rpc_port = network.spare_ports()[0] + RPC_PORT
        for machine in rig.controls:
            until = time.monotonic() + PATIENCE
            while (known := await known_stage(f"{machine.ip}:{rpc_port}")) is not stage:
                assert time.monotonic() < until, f"{machine.place.name} knows {known}"
                await asyncio.sleep(0.05)
    finally:
        await rig.abandon()
        network.close()

"""Members that catch up by a snapshot during changes, and the transport that carries the snapshot."""

from __future__ import annotations

import asyncio

import pytest

from larchgw.model_checking.replication.cluster import SimulatedCluster
from larchgw.model_checking.replication.machine import Machine
from larchgw.replication.snapshot_transfer import CHUNK_BYTES
from larchgw.rpc.client import RpcClient
from larchgw.rpc.codec import MAX_FRAME_BYTES
from larchgw.rpc.errors import RpcError
from larchgw.rpc.generated.ttypes import ControlStatus, PeerMessage, StatusRequest
from larchgw.rpc.server import RpcServer

CHANGE_PERIOD_S = 0.25  # an operator changes the configuration four times a second at most


def started(padding_bytes: int) -> SimulatedCluster:
    cluster = SimulatedCluster(1, 3, 3, 1)
    cluster.snapshot_padding_bytes = padding_bytes
    for address in cluster.machines:
        cluster.start(address, first_boot=True)
    serve(cluster, 6.0)
    return cluster


def serve(cluster: SimulatedCluster, seconds: float) -> int:
    """Sends four changes a second; returns how many were acknowledged."""
    before, end = cluster.acknowledged, cluster.now + seconds
    while cluster.now < end:
        for machine in cluster.primaries():
            cluster.change(machine)
        cluster.run(CHANGE_PERIOD_S)
    return cluster.acknowledged - before


def backup(cluster: SimulatedCluster) -> Machine:
    (primary,) = cluster.primaries()
    return next(machine for machine in cluster.running if machine is not primary)


def in_sync(cluster: SimulatedCluster, address: str) -> bool:
    (primary,) = cluster.primaries()
    return cluster.machines[address].id in primary.member.view.in_sync


def test_the_size_of_messages_does_not_grow_with_the_snapshot() -> None:
    """Guards against snapshots in one message: a member that needed one over the limit could never join."""
    cluster = started(padding_bytes=4000)
    cluster.links.max_body_bytes = 1000
    lost = backup(cluster).address
    cluster.wipe(lost)
    serve(cluster, 1.0)
    cluster.start(lost)
    serve(cluster, 6.0)
    assert in_sync(cluster, lost)


@pytest.mark.parametrize(("loss", "double"), [(0.0, 0.0), (0.1, 0.1), (0.0, 0.5)])
def test_a_wiped_member_catches_up_during_four_changes_a_second(loss: float, double: float) -> None:
    cluster = started(padding_bytes=1000)
    lost = backup(cluster).address
    cluster.wipe(lost)
    serve(cluster, 1.0)
    cluster.links.loss_rate, cluster.links.duplication_rate = loss, double
    cluster.start(lost)
    assert serve(cluster, 20.0) >= 60
    cluster.links.loss_rate = cluster.links.duplication_rate = 0.0
    serve(cluster, 4.0)
    assert in_sync(cluster, lost)


def test_a_member_killed_during_a_transfer_starts_again_and_joins() -> None:
    cluster = started(padding_bytes=4000)
    lost = backup(cluster).address
    cluster.wipe(lost)
    serve(cluster, 1.0)
    cluster.start(lost)
    for _ in range(3):
        cluster.run(0.5)
        cluster.kill(lost)
        cluster.start(lost)
    serve(cluster, 6.0)
    assert in_sync(cluster, lost)


# ---- the transport ----


class _StubHandler:
    async def deliver(self, message: PeerMessage) -> None:
        """Accepts any message."""

    async def status(self, request: StatusRequest) -> ControlStatus:
        """Answers any request."""
        return ControlStatus()


def test_a_frame_over_the_limit_closes_the_shared_connection() -> None:
    """Shows why the size of replication messages must not grow with the state."""

    async def run() -> None:
        server = RpcServer(_StubHandler())
        port = await server.start("127.0.0.1", 0)
        client = RpcClient(f"127.0.0.1:{port}")
        await client.call("status", StatusRequest(), 5.0)
        body = b"x" * (MAX_FRAME_BYTES + 1)
        try:
            client.post("deliver", PeerMessage("a", "b", "install", body))
            with pytest.raises(RpcError):
                await client.call("status", StatusRequest(), 5.0)
        finally:
            client.close()
            server.stop()

    asyncio.run(run())


def test_a_chunk_is_much_smaller_than_a_frame() -> None:
    assert CHUNK_BYTES * 16 <= MAX_FRAME_BYTES

"""Members that catch up by a snapshot while changes go on, and the transport that the snapshot goes over."""

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


def started(filling_bytes: int) -> SimulatedCluster:
    world = SimulatedCluster(1, 3, 3, 1)
    world.snapshot_padding_bytes = filling_bytes
    for address in world.machines:
        world.start(address, first_boot=True)
    serve(world, 6.0)
    return world


def serve(world: SimulatedCluster, seconds: float) -> int:
    """Four changes a second; returns how many were acknowledged."""
    before, end = world.acknowledged, world.now + seconds
    while world.now < end:
        for machine in world.primaries():
            world.change(machine)
        world.run(CHANGE_PERIOD_S)
    return world.acknowledged - before


def backup(world: SimulatedCluster) -> Machine:
    (primary,) = world.primaries()
    return next(machine for machine in world.running if machine is not primary)


def in_sync(world: SimulatedCluster, address: str) -> bool:
    (primary,) = world.primaries()
    return world.machines[address].id in primary.member.view.in_sync


def test_no_message_grows_with_the_snapshot() -> None:
    """Before snapshots went in pieces a member that needed a larger one was never taken in again."""
    world = started(filling_bytes=4000)
    world.links.max_body_bytes = 1000
    lost = backup(world).address
    world.wipe(lost)
    serve(world, 1.0)
    world.start(lost)
    serve(world, 6.0)
    assert in_sync(world, lost)


@pytest.mark.parametrize(("loss", "double"), [(0.0, 0.0), (0.1, 0.1), (0.0, 0.5)])
def test_a_wiped_member_catches_up_while_four_changes_a_second_go_on(loss: float, double: float) -> None:
    world = started(filling_bytes=1000)
    lost = backup(world).address
    world.wipe(lost)
    serve(world, 1.0)
    world.links.loss_rate, world.links.duplication_rate = loss, double
    world.start(lost)
    assert serve(world, 20.0) >= 60
    world.links.loss_rate = world.links.duplication_rate = 0.0
    serve(world, 4.0)
    assert in_sync(world, lost)


def test_a_member_that_is_killed_in_the_middle_of_a_transfer_begins_anew_and_is_taken_in() -> None:
    world = started(filling_bytes=4000)
    lost = backup(world).address
    world.wipe(lost)
    serve(world, 1.0)
    world.start(lost)
    for _ in range(3):
        world.run(0.5)
        world.kill(lost)
        world.start(lost)
    serve(world, 6.0)
    assert in_sync(world, lost)


# ---- the transport ----


class _Silent:
    async def deliver(self, message: PeerMessage) -> None:
        """Takes anything."""

    async def status(self, request: StatusRequest) -> ControlStatus:
        """Answers anything."""
        return ControlStatus()


def test_a_frame_over_the_limit_ends_the_connection_that_all_other_messages_use() -> None:
    """Why no message of replication may grow with the state."""

    async def play() -> None:
        server = RpcServer(_Silent())
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

    asyncio.run(play())


def test_a_piece_fits_a_frame_many_times_over() -> None:
    assert CHUNK_BYTES * 16 <= MAX_FRAME_BYTES

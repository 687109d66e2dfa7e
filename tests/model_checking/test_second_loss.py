"""A second loss after a repair, catch_up_s after the first: always a majority, always a copy."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from larchgw.model_checking.replication.cluster import Machine, World
from larchgw.model_checking.replication.redundancy import is_redundant

CATCH_UP = 4.0  # seconds after a machine's return in which it counts as lost


def started(machines: int = 3, seeds: int = 3, survive: int = 1, seed: int = 1) -> World:
    world = World(seed, machines, seeds, survive)
    for address in world.machines:
        world.start(address, first_boot=True)
    serve(world, 3.0)
    return world


def serve(world: World, seconds: float) -> int:
    """Sends a change every 50 ms; returns how many were acknowledged. The world checks that none is lost."""
    before = world.acknowledged
    end = world.now + seconds
    while world.now < end:
        world.run(0.05)
        for machine in world.primaries():
            world.change(machine)
    return world.acknowledged - before


def serves(world: World) -> bool:
    """Whether changes are acknowledged after a failover's time, on top of all that was acknowledged."""
    newest = world.checks.newest_acknowledged
    serve(world, 2.0)
    return serve(world, 1.0) > 5 and all(machine.version >= newest for machine in world.primaries())


def primary(world: World) -> Machine:
    (only,) = world.primaries()
    return only


def backup(world: World) -> Machine:
    return next(machine for machine in world.running if machine is not primary(world))


def lose_disk(world: World, address: str) -> None:
    """The machine comes back with an empty disk a second later, and the time to catch up passes."""
    world.wipe(address)
    serve(world, 1.0)
    world.start(address)
    serve(world, CATCH_UP)
    assert is_redundant(world)


def replace(world: World, address: str) -> None:
    world.destroy(address)
    serve(world, 1.0)
    world.start(world.new_machine().address)
    serve(world, CATCH_UP)
    assert is_redundant(world)


@pytest.mark.parametrize("whose", [primary, backup])
def test_a_machine_loses_its_disk_twice_in_a_row(whose: Callable[[World], Machine]) -> None:
    world = started()
    address = whose(world).address
    for _ in range(3):
        lose_disk(world, address)
        assert serves(world)


@pytest.mark.parametrize("shape", [(3, 3, 1), (5, 3, 2)])
def test_the_machine_that_lent_its_copy_is_lost_next(shape: tuple[int, int, int]) -> None:
    world = started(*shape)
    for _ in range(6):
        lose_disk(world, primary(world).address)
        assert serves(world)


def test_every_machine_is_replaced_again_and_again() -> None:
    world = started(5, 3, 2)
    for _ in range(8):
        replace(world, primary(world).address)
        assert serves(world)
    assert not set(world.seeds) & set(primary(world).member.view.members)


def test_the_two_oldest_disks_are_lost_together_and_the_others_lose_power() -> None:
    world = started(5, 3, 2)
    lose_disk(world, list(world.machines)[4])
    oldest = list(world.machines)[:2]
    for address in world.machines:
        world.lose_power(address)
    for address in oldest:
        world.wipe(address)
    for address in world.machines:
        world.start(address)
    assert serves(world)
    serve(world, CATCH_UP)
    assert is_redundant(world)


def test_a_witness_and_a_backup_are_lost_in_one_moment() -> None:
    world = started(5, 5, 2)
    first, second, *_ = [machine for machine in world.running if machine is not primary(world)]
    world.freeze(first.address)  # out of sync, and still a witness
    serve(world, 1.0)
    world.thaw(first.address)
    serve(world, CATCH_UP)
    world.wipe(second.address)
    world.destroy(first.address)
    assert serves(world)
    world.start(second.address)
    world.start(world.new_machine().address)
    serve(world, CATCH_UP)
    assert is_redundant(world)


@pytest.mark.parametrize("seed", range(20))
def test_a_machine_is_lost_while_joint_quorums_are_in_force(seed: int) -> None:
    world = started(5, 5, 2, seed)
    world.destroy(backup(world).address)
    world.start(world.new_machine().address)
    waited = 0.0
    while not (world.newest_view is not None and world.newest_view.is_joint) and waited < 4.0:
        world.run(0.002)
        waited += 0.002
    assert world.newest_view is not None and world.newest_view.is_joint
    assert world.may_lose_a_disk()
    world.wipe(world.random.choice(world.running).address)
    assert serves(world)


@pytest.mark.parametrize("busy", [True, False])
def test_all_are_restarted_in_order_while_changes_go_on(busy: bool) -> None:
    world = started(5, 3, 2)
    for address in list(world.machines):
        world.leave(address)
        began = world.now
        while not world.end_if_left(address):
            assert world.now - began < 4.0
            serve(world, 0.05)
        serve(world, 1.0 if busy else 2.0)
        world.start(address)
        serve(world, 1.0)
    assert is_redundant(world) and serves(world)


def test_members_are_removed_in_order_down_to_as_few_as_the_copies_need() -> None:
    world = started(5, 5, 1)
    for _ in range(2):
        leaver = primary(world).address
        world.leave(leaver)
        began = world.now
        while not world.end_if_left(leaver):
            assert world.now - began < 1.0
            serve(world, 0.05)
        world.destroy(leaver)
        assert serves(world)
    assert len(primary(world).member.view.in_sync) == 3

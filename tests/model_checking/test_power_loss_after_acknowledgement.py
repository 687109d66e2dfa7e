"""Disks are lost and all other machines lose power, in the moment after a record was acknowledged.

As many disks go as the deployment survives. Everything comes back; no acknowledged record may be missing, and
the members must converge to full redundancy.
"""

from __future__ import annotations

from itertools import combinations

import pytest

from larchgw.model_checking.replication.cluster import World
from larchgw.model_checking.replication.fault_injection import Course
from larchgw.model_checking.replication.redundancy import calm, is_redundant

SHAPES = ((3, 3, 1), (4, 3, 1), (5, 3, 2), (5, 5, 2))  # machines, seeds among them, machines that may be lost
LOSSES = [(shape, lost) for shape in SHAPES for lost in combinations(range(shape[0]), shape[2])]
SEEDS = range(4)

FAULTS_S = 4.0
FAULT_EVERY_S = 0.6
CONVERGENCE_LIMIT_S = 4.0  # catch_up_s of the larger deployments is 6 s, of the smaller ones 4 s
ACKNOWLEDGEMENT_LIMIT_S = 5.0
MAX_CONCURRENT_CHANGES = 4


def run_steadily(world: World) -> None:
    """First boot, then two to three seconds of changes."""
    for address in world.machines:
        world.start(address, first_boot=True)
    calm(world, world.random.uniform(2.0, 3.0))


def run_through_faults(world: World) -> None:
    """A day of faults, after which members, witnesses and addresses differ from those of the first boot."""
    day = Course(world)
    day.play(FAULTS_S, FAULT_EVERY_S)
    day.recover()


def converge(world: World) -> None:
    began = world.now
    while not is_redundant(world):
        assert world.now - began < CONVERGENCE_LIMIT_S, f"not redundant: {world.newest_view}"
        calm(world, 0.1)


def run_until_acknowledged(world: World) -> int:
    """Submits changes, some at once, and stops right after an acknowledgement; returns its index."""
    world.delay = world.random.choice(((0.0005, 0.004), (0.0005, 0.03)))
    world.write_seconds = world.random.choice((0.001, 0.01))
    began, acknowledged = world.now, world.acknowledged
    while world.acknowledged == acknowledged:
        assert world.now - began < ACKNOWLEDGEMENT_LIMIT_S, "no change is acknowledged"
        for machine in world.primaries():
            for _ in range(world.random.randint(1, MAX_CONCURRENT_CHANGES)):
                world.change(machine)
        world.run_until(lambda: world.acknowledged > acknowledged, 0.05)
    return world.checks.newest_acknowledged


def lose_disks_and_power(world: World, addresses: list[str], lost: tuple[int, ...]) -> None:
    for address in addresses:
        world.lose_power(address)
    for number in lost:
        world.wipe(addresses[number])


def start_in_any_order(world: World, addresses: list[str]) -> None:
    world.delay, world.write_seconds = (0.0005, 0.004), 0.001
    for address in world.random.sample(addresses, len(addresses)):
        world.run(world.random.choice((0.0, 0.0, 0.05, 0.5)))
        world.start(address)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(("shape", "lost"), LOSSES, ids=str)
def test_acknowledged_records_survive_lost_disks_and_a_power_loss_of_all_others(
    shape: tuple[int, int, int], lost: tuple[int, ...], seed: int
) -> None:
    world = World(seed, *shape)
    (run_through_faults if seed % 2 else run_steadily)(world)
    converge(world)
    newest = run_until_acknowledged(world)
    addresses = [address for address in world.machines if address not in world.gone]

    lose_disks_and_power(world, addresses, lost)
    start_in_any_order(world, addresses)
    converge(world)

    assert len(world.running) == len(addresses)
    assert all(machine.version >= newest for machine in world.running)
    acknowledged = world.acknowledged
    calm(world, 1.0)
    assert world.acknowledged > acknowledged

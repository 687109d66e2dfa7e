"""Some disks are lost and all other machines lose power immediately after a record was acknowledged.

The number of lost disks is the largest that the deployment tolerates. After a restart of all machines no
acknowledged record may be missing, and the members must return to full redundancy.
"""

from __future__ import annotations

from itertools import combinations

import pytest

from larchgw.model_checking.replication.cluster import SimulatedCluster
from larchgw.model_checking.replication.fault_injection import FaultInjector
from larchgw.model_checking.replication.redundancy import is_redundant, run_with_changes

SHAPES = ((3, 3, 1), (4, 3, 1), (5, 3, 2), (5, 5, 2))  # machines, seeds among them, machines that may be lost
LOSSES = [(shape, lost) for shape in SHAPES for lost in combinations(range(shape[0]), shape[2])]
SEEDS = range(4)

FAULTS_S = 4.0
MEAN_FAULT_INTERVAL_S = 0.6
CONVERGENCE_LIMIT_S = 4.0  # catch_up_s of the larger deployments is 6 s, of the smaller ones 4 s
ACKNOWLEDGEMENT_LIMIT_S = 5.0
MAX_CONCURRENT_CHANGES = 4


def run_steadily(cluster: SimulatedCluster) -> None:
    """First boot, and two to three seconds of changes without faults."""
    for address in cluster.machines:
        cluster.start(address, first_boot=True)
    run_with_changes(cluster, cluster.random.uniform(2.0, 3.0))


def run_through_faults(cluster: SimulatedCluster) -> None:
    """Injects faults, after which members, witnesses and addresses differ from those of the first boot."""
    injector = FaultInjector(cluster)
    injector.play(FAULTS_S, MEAN_FAULT_INTERVAL_S)
    injector.recover()


def converge(cluster: SimulatedCluster) -> None:
    began = cluster.now
    while not is_redundant(cluster):
        assert cluster.now - began < CONVERGENCE_LIMIT_S, f"not redundant: {cluster.latest_view}"
        run_with_changes(cluster, 0.1)


def run_until_acknowledged(cluster: SimulatedCluster) -> int:
    """Submits concurrent changes until right after an acknowledgement; returns its index."""
    cluster.links.delay_range_s = cluster.random.choice(((0.0005, 0.004), (0.0005, 0.03)))
    cluster.write_s = cluster.random.choice((0.001, 0.01))
    began, acknowledged = cluster.now, cluster.acknowledged
    while cluster.acknowledged == acknowledged:
        assert cluster.now - began < ACKNOWLEDGEMENT_LIMIT_S, "no change is acknowledged"
        for machine in cluster.primaries():
            for _ in range(cluster.random.randint(1, MAX_CONCURRENT_CHANGES)):
                cluster.change(machine)
        cluster.run_until(lambda: cluster.acknowledged > acknowledged, 0.05)
    return cluster.checks.newest_acknowledged


def lose_disks_and_power(cluster: SimulatedCluster, addresses: list[str], lost: tuple[int, ...]) -> None:
    for address in addresses:
        cluster.lose_power(address)
    for number in lost:
        cluster.wipe(addresses[number])


def start_in_random_order(cluster: SimulatedCluster, addresses: list[str]) -> None:
    cluster.links.delay_range_s, cluster.write_s = (0.0005, 0.004), 0.001
    for address in cluster.random.sample(addresses, len(addresses)):
        cluster.run(cluster.random.choice((0.0, 0.0, 0.05, 0.5)))
        cluster.start(address)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(("shape", "lost"), LOSSES, ids=str)
def test_acknowledged_records_survive_lost_disks_and_a_power_loss_of_all_others(
    shape: tuple[int, int, int], lost: tuple[int, ...], seed: int
) -> None:
    cluster = SimulatedCluster(seed, *shape)
    (run_through_faults if seed % 2 else run_steadily)(cluster)
    converge(cluster)
    newest = run_until_acknowledged(cluster)
    addresses = [address for address in cluster.machines if address not in cluster.removed_addresses]

    lose_disks_and_power(cluster, addresses, lost)
    start_in_random_order(cluster, addresses)
    converge(cluster)

    assert len(cluster.running) == len(addresses)
    assert all(machine.version >= newest for machine in cluster.running)
    acknowledged = cluster.acknowledged
    run_with_changes(cluster, 1.0)
    assert cluster.acknowledged > acknowledged

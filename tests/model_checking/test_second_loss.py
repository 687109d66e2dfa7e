"""A second loss catch_up_s after the first was repaired: a majority and a copy of the data must remain."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from larchgw.model_checking.replication.cluster import SimulatedCluster
from larchgw.model_checking.replication.machine import Machine
from larchgw.model_checking.replication.redundancy import is_redundant

CATCH_UP_S = 4.0  # after a machine's return, during which it still counts as lost


def start_cluster(machines: int = 3, seeds: int = 3, survive: int = 1, seed: int = 1) -> SimulatedCluster:
    cluster = SimulatedCluster(seed, machines, seeds, survive)
    for address in cluster.machines:
        cluster.start(address, first_boot=True)
    run_with_changes(cluster, 3.0)
    return cluster


def run_with_changes(cluster: SimulatedCluster, seconds: float) -> int:
    """Submits a change every 50 ms; returns the number acknowledged. The invariants detect lost ones."""
    before = cluster.acknowledged
    end = cluster.now + seconds
    while cluster.now < end:
        cluster.run(0.05)
        for machine in cluster.primaries():
            cluster.change(machine)
    return cluster.acknowledged - before


def is_serving(cluster: SimulatedCluster) -> bool:
    """Whether changes are acknowledged after the time of a failover, without loss of earlier ones."""
    newest = cluster.checks.newest_acknowledged
    run_with_changes(cluster, 2.0)
    return run_with_changes(cluster, 1.0) > 5 and all(
        machine.version >= newest for machine in cluster.primaries()
    )


def primary(cluster: SimulatedCluster) -> Machine:
    (only,) = cluster.primaries()
    return only


def backup(cluster: SimulatedCluster) -> Machine:
    return next(machine for machine in cluster.running if machine is not primary(cluster))


def lose_disk(cluster: SimulatedCluster, address: str) -> None:
    """Restarts the machine with an empty disk after a second, and waits for CATCH_UP_S."""
    cluster.wipe(address)
    run_with_changes(cluster, 1.0)
    cluster.start(address)
    run_with_changes(cluster, CATCH_UP_S)
    assert is_redundant(cluster)


def replace(cluster: SimulatedCluster, address: str) -> None:
    cluster.destroy(address)
    run_with_changes(cluster, 1.0)
    cluster.start(cluster.new_machine().address)
    run_with_changes(cluster, CATCH_UP_S)
    assert is_redundant(cluster)


@pytest.mark.parametrize("pick", [primary, backup])
def test_a_machine_may_lose_its_disk_three_times_in_a_row(
    pick: Callable[[SimulatedCluster], Machine],
) -> None:
    cluster = start_cluster()
    address = pick(cluster).address
    for _ in range(3):
        lose_disk(cluster, address)
        assert is_serving(cluster)


@pytest.mark.parametrize("shape", [(3, 3, 1), (5, 3, 2)])
def test_the_machine_that_sent_its_snapshot_may_be_lost_next(shape: tuple[int, int, int]) -> None:
    cluster = start_cluster(*shape)
    for _ in range(6):
        lose_disk(cluster, primary(cluster).address)
        assert is_serving(cluster)


def test_every_machine_is_replaced_again_and_again() -> None:
    cluster = start_cluster(5, 3, 2)
    for _ in range(8):
        replace(cluster, primary(cluster).address)
        assert is_serving(cluster)
    assert not set(cluster.seeds) & set(primary(cluster).member.view.members)


def test_the_two_oldest_disks_are_lost_together_and_the_others_lose_power() -> None:
    cluster = start_cluster(5, 3, 2)
    lose_disk(cluster, list(cluster.machines)[4])
    oldest = list(cluster.machines)[:2]
    for address in cluster.machines:
        cluster.lose_power(address)
    for address in oldest:
        cluster.wipe(address)
    for address in cluster.machines:
        cluster.start(address)
    assert is_serving(cluster)
    run_with_changes(cluster, CATCH_UP_S)
    assert is_redundant(cluster)


def test_a_witness_and_a_backup_are_lost_in_one_moment() -> None:
    cluster = start_cluster(5, 5, 2)
    first, second, *_ = [machine for machine in cluster.running if machine is not primary(cluster)]
    cluster.freeze(first.address)  # no longer in sync, but still a witness
    run_with_changes(cluster, 1.0)
    cluster.thaw(first.address)
    run_with_changes(cluster, CATCH_UP_S)
    cluster.wipe(second.address)
    cluster.destroy(first.address)
    assert is_serving(cluster)
    cluster.start(second.address)
    cluster.start(cluster.new_machine().address)
    run_with_changes(cluster, CATCH_UP_S)
    assert is_redundant(cluster)


@pytest.mark.parametrize("seed", range(20))
def test_a_machine_is_lost_while_joint_quorums_are_in_force(seed: int) -> None:
    cluster = start_cluster(5, 5, 2, seed)
    cluster.destroy(backup(cluster).address)
    cluster.start(cluster.new_machine().address)
    waited = 0.0
    while not (cluster.latest_view is not None and cluster.latest_view.is_joint) and waited < 4.0:
        cluster.run(0.002)
        waited += 0.002
    assert cluster.latest_view is not None
    assert cluster.latest_view.is_joint
    assert cluster.may_lose_a_disk()
    cluster.wipe(cluster.random.choice(cluster.running).address)
    assert is_serving(cluster)


@pytest.mark.parametrize("busy", [True, False])
def test_all_are_restarted_in_order_while_changes_go_on(busy: bool) -> None:
    cluster = start_cluster(5, 3, 2)
    for address in list(cluster.machines):
        cluster.leave(address)
        began = cluster.now
        while not cluster.end_if_left(address):
            assert cluster.now - began < 4.0
            run_with_changes(cluster, 0.05)
        run_with_changes(cluster, 1.0 if busy else 2.0)
        cluster.start(address)
        run_with_changes(cluster, 1.0)
    assert is_redundant(cluster)
    assert is_serving(cluster)


def test_members_are_removed_in_order_down_to_as_few_as_the_copies_need() -> None:
    cluster = start_cluster(5, 5, 1)
    for _ in range(2):
        leaver = primary(cluster).address
        cluster.leave(leaver)
        began = cluster.now
        while not cluster.end_if_left(leaver):
            assert cluster.now - began < 1.0
            run_with_changes(cluster, 0.05)
        cluster.destroy(leaver)
        assert is_serving(cluster)
    assert len(primary(cluster).member.view.in_sync) == 3

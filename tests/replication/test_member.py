"""Complete members in virtual time: failover, replacement, planned shutdown and lost disks."""

from __future__ import annotations

import pytest

from larchgw.model_checking.replication.cluster import DELIVER_BYTES, SimulatedCluster
from larchgw.model_checking.replication.machine import Machine
from larchgw.replication.effects import Effects


def started(machines: int = 3, seeds: int = 3, tolerated_failures: int = 1) -> SimulatedCluster:
    cluster = SimulatedCluster(1, machines, seeds, tolerated_failures)
    for address in cluster.machines:
        cluster.start(address, first_boot=True)
    serve(cluster, 2.0)
    return cluster


def serve(cluster: SimulatedCluster, seconds: float) -> int:
    """Sends a change and a read every 50 ms; returns how many changes were acknowledged."""
    before = cluster.acknowledged
    end = cluster.now + seconds
    while cluster.now < end:
        cluster.run(0.05)
        for machine in cluster.primaries():
            cluster.change(machine)
            cluster.read(machine)
    return cluster.acknowledged - before


def primary(cluster: SimulatedCluster) -> Machine:
    (only,) = cluster.primaries()
    return only


def backups(cluster: SimulatedCluster) -> list[Machine]:
    return [machine for machine in cluster.running if machine is not primary(cluster)]


def test_a_first_boot_has_a_primary_within_a_second() -> None:
    cluster = SimulatedCluster(1, 3, 3, 1)
    for address in cluster.machines:
        cluster.start(address, first_boot=True)
    assert serve(cluster, 1.0) > 0


@pytest.mark.parametrize("fault", ["kill", "lose_power", "wipe", "freeze"])
def test_a_lost_primary_is_replaced_within_1500_ms(fault: str) -> None:
    cluster = started()
    getattr(cluster, fault)(primary(cluster).address)
    cluster.run(1.5)
    assert serve(cluster, 1.0) > 5


@pytest.mark.parametrize("fault", ["kill", "lose_power", "wipe", "freeze"])
def test_a_lost_backup_does_not_stop_changes_for_a_second(fault: str) -> None:
    cluster = started()
    getattr(cluster, fault)(backups(cluster)[0].address)
    cluster.run(1.0)
    assert serve(cluster, 1.0) > 10


def test_the_members_form_a_view_again_after_all_lost_power() -> None:
    cluster = started()
    for address in cluster.machines:
        cluster.lose_power(address)
    for address in cluster.machines:
        cluster.start(address)
    assert serve(cluster, 2.0) > 10


@pytest.mark.parametrize("killed", [1, 2, 3])
def test_members_killed_at_once_continue_with_all_acknowledged_records(
    killed: int,
) -> None:
    cluster = started()
    serve(cluster, 1.0)
    committed = primary(cluster).member.committed_index
    for address in list(cluster.machines)[:killed]:
        cluster.kill(address)
    for address in list(cluster.machines)[:killed]:
        cluster.start(address)
    assert serve(cluster, 2.0) > 10
    assert primary(cluster).member.committed_index >= committed + 10


def test_the_loss_of_one_disk_while_all_others_lose_power_is_tolerated() -> None:
    cluster = started()
    cluster.wipe(primary(cluster).address)
    for machine in list(cluster.running):
        cluster.lose_power(machine.address)
    for address in cluster.machines:
        cluster.start(address)
    assert serve(cluster, 3.0) > 10
    assert len(primary(cluster).member.view.in_sync) == 3


def test_a_replaced_machine_is_a_backup_and_witness_in_time_for_the_next_loss() -> None:
    cluster = started()
    lost = backups(cluster)[0].address
    cluster.kill(lost)
    new = cluster.new_machine().address
    cluster.start(new)
    serve(cluster, 4.0)
    view = primary(cluster).member.view
    assert f"{new}#1" in view.in_sync
    assert f"{new}#1" in view.witnesses
    assert lost not in view.all_witnesses
    cluster.wipe(primary(cluster).address)
    cluster.run(1.5)
    assert serve(cluster, 1.0) > 5


def test_all_three_machines_are_replaced_one_after_the_other() -> None:
    cluster = started()
    for old in list(cluster.machines):
        cluster.kill(old)
        cluster.start(cluster.new_machine().address)
        serve(cluster, 4.0)
    assert not set(cluster.seeds) & set(primary(cluster).member.view.members)


def test_a_seed_that_did_not_start_does_not_block_the_others() -> None:
    cluster = SimulatedCluster(1, 3, 3, 1)
    for address in list(cluster.machines)[1:]:
        cluster.start(address, first_boot=True)
    serve(cluster, 2.0)
    cluster.start(cluster.seeds[0])
    serve(cluster, 2.0)
    assert f"{cluster.seeds[0]}#1" in primary(cluster).member.view.in_sync


def test_five_machines_from_three_seeds_tolerate_the_loss_of_two() -> None:
    cluster = started(5, 3, 2)
    serve(cluster, 2.0)
    view = primary(cluster).member.view
    assert len(view.in_sync) == len(view.witnesses) == 5
    cluster.wipe(primary(cluster).address)
    cluster.kill(cluster.running[0].address)
    cluster.run(2.0)
    assert serve(cluster, 1.0) > 5


def test_stepping_down_replaces_the_primary_within_200_ms() -> None:
    cluster = started()
    cluster.step_down(primary(cluster))
    cluster.run(0.2)
    assert serve(cluster, 0.5) > 3


def test_a_restarted_primary_forms_a_new_view_before_it_acts() -> None:
    cluster = started()
    machine = primary(cluster)
    epoch = machine.member.acting_epoch
    cluster.kill(machine.address)
    cluster.start(machine.address)
    assert not machine.member.is_primary
    serve(cluster, 1.0)
    assert primary(cluster).member.acting_epoch > epoch


def test_a_resumed_primary_confirms_no_read_of_its_old_view() -> None:
    cluster = started()
    machine = primary(cluster)
    cluster.freeze(machine.address)
    serve(cluster, 2.0)
    cluster.thaw(machine.address)
    assert cluster.read(machine)
    cluster.run(0.3)
    assert not machine.member.is_primary


def test_a_full_disk_makes_the_primary_hand_over() -> None:
    cluster = started()
    machine = primary(cluster)
    machine.disk.is_full = True
    assert not cluster.change(machine)
    cluster.run(1.5)
    assert primary(cluster) is not machine
    assert serve(cluster, 0.5) > 3


def test_a_restarted_member_with_a_large_state_delivers_a_few_records_at_a_time() -> None:
    """Applying a record takes time in proportion to the state, and heartbeats must continue in between."""
    cluster = started()
    cluster.kill(backups(cluster)[0].address)
    serve(cluster, 1.0)
    restarted = next(machine for machine in cluster.machines.values() if machine.member is None)
    delivered_counts: list[int] = []
    carry_out = cluster._carry_out

    def watched(machine: Machine, effects: Effects, written: float = 0.0) -> None:
        if machine is restarted:
            delivered_counts.append(len(effects.committed))
        carry_out(machine, effects, written)

    cluster._carry_out = watched  # type: ignore[method-assign]
    cluster.start(restarted.address)
    serve(cluster, 3.0)
    assert restarted.version == primary(cluster).version
    assert max(delivered_counts) <= DELIVER_BYTES // cluster.snapshot_padding_bytes


def test_a_primary_does_not_count_records_that_it_left_unsynced_before_a_restart() -> None:
    """A record was acknowledged with an unsynced copy, which a loss of power replaced by another record."""
    cluster = SimulatedCluster(1, 1, 1, 0)
    (machine,) = cluster.machines.values()
    cluster.start(machine.address, first_boot=True)
    serve(cluster, 0.4)
    cluster.kill(machine.address)
    assert machine.disk.synced_count == len(machine.disk.records) > 0
    machine.disk.synced_count -= 1  # as if killed between the append and the sync
    cluster.start(machine.address)
    while not cluster.primaries():
        cluster.run(0.001)
    assert machine.member.committed_index == machine.member.last_index
    assert machine.disk.synced_count == len(machine.disk.records)

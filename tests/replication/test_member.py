"""Whole members in virtual time: failover, replacement, planned ends and losses of disks."""

from __future__ import annotations

import pytest

from larchgw.model_checking.replication.cluster import DELIVER_BYTES, SimulatedCluster
from larchgw.model_checking.replication.machine import Machine
from larchgw.replication.effects import Effects


def started(machines: int = 3, seeds: int = 3, survive: int = 1) -> SimulatedCluster:
    cluster = SimulatedCluster(1, machines, seeds, survive)
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


def test_a_first_boot_has_a_primary_before_a_second_is_over() -> None:
    cluster = SimulatedCluster(1, 3, 3, 1)
    for address in cluster.machines:
        cluster.start(address, first_boot=True)
    assert serve(cluster, 1.0) > 0


@pytest.mark.parametrize("how", ["kill", "lose_power", "wipe", "freeze"])
def test_a_lost_primary_is_replaced_within_1500_ms(how: str) -> None:
    cluster = started()
    getattr(cluster, how)(primary(cluster).address)
    cluster.run(1.5)
    assert serve(cluster, 1.0) > 5


@pytest.mark.parametrize("how", ["kill", "lose_power", "wipe", "freeze"])
def test_a_lost_backup_does_not_stop_changes_for_a_second(how: str) -> None:
    cluster = started()
    getattr(cluster, how)(backups(cluster)[0].address)
    cluster.run(1.0)
    assert serve(cluster, 1.0) > 10


def test_after_the_loss_of_all_power_the_last_view_forms_again() -> None:
    cluster = started()
    for address in cluster.machines:
        cluster.lose_power(address)
    for address in cluster.machines:
        cluster.start(address)
    assert serve(cluster, 2.0) > 10


@pytest.mark.parametrize("killed", [1, 2, 3])
def test_members_killed_at_once_serve_on_with_all_that_was_acknowledged(
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


def test_one_disk_is_lost_while_all_others_lose_power() -> None:
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


def test_a_seed_that_never_came_up_does_not_stop_the_others() -> None:
    cluster = SimulatedCluster(1, 3, 3, 1)
    for address in list(cluster.machines)[1:]:
        cluster.start(address, first_boot=True)
    serve(cluster, 2.0)
    cluster.start(cluster.seeds[0])
    serve(cluster, 2.0)
    assert f"{cluster.seeds[0]}#1" in primary(cluster).member.view.in_sync


def test_five_machines_from_three_seeds_bear_the_loss_of_two() -> None:
    cluster = started(5, 3, 2)
    serve(cluster, 2.0)
    view = primary(cluster).member.view
    assert len(view.in_sync) == len(view.witnesses) == 5
    cluster.wipe(primary(cluster).address)
    cluster.kill(cluster.running[0].address)
    cluster.run(2.0)
    assert serve(cluster, 1.0) > 5


def test_a_planned_end_of_the_primary_takes_less_than_200_ms() -> None:
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


def test_a_thawed_primary_confirms_no_read_of_its_old_view() -> None:
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


def test_a_restarted_member_is_handed_a_large_state_s_records_a_few_at_a_time() -> None:
    """To take a record in takes time in proportion to the state, and heartbeats must go on between them."""
    cluster = started()
    cluster.kill(backups(cluster)[0].address)
    serve(cluster, 1.0)
    late = next(machine for machine in cluster.machines.values() if machine.member is None)
    handed_out: list[int] = []
    carry_out = cluster._carry_out

    def watched(machine: Machine, effects: Effects, written: float = 0.0) -> None:
        if machine is late:
            handed_out.append(len(effects.committed))
        carry_out(machine, effects, written)

    cluster._carry_out = watched  # type: ignore[method-assign]
    cluster.start(late.address)
    serve(cluster, 3.0)
    assert late.version == primary(cluster).version
    assert max(handed_out) <= DELIVER_BYTES // cluster.snapshot_padding_bytes


def test_a_primary_counts_no_record_of_its_own_that_an_earlier_life_left_unsynced() -> None:
    """It was acknowledged with such a copy, then lost with the power, and another one put in its place."""
    cluster = SimulatedCluster(1, 1, 1, 0)
    (machine,) = cluster.machines.values()
    cluster.start(machine.address, first_boot=True)
    serve(cluster, 0.4)
    cluster.kill(machine.address)
    assert machine.disk.synced_count == len(machine.disk.records) > 0
    machine.disk.synced_count -= 1  # killed between the append and the sync
    cluster.start(machine.address)
    while not cluster.primaries():
        cluster.run(0.001)
    assert machine.member.committed_index == machine.member.last_index
    assert machine.disk.synced_count == len(machine.disk.records)

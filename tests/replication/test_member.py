"""Whole members in virtual time: failover, replacement, planned ends and losses of disks."""

from __future__ import annotations

import pytest

from larchgw.model_checking.replication.cluster import DELIVER_BYTES, SimulatedCluster
from larchgw.model_checking.replication.machine import Machine
from larchgw.replication.effects import Effects


def started(machines: int = 3, seeds: int = 3, survive: int = 1) -> SimulatedCluster:
    world = SimulatedCluster(1, machines, seeds, survive)
    for address in world.machines:
        world.start(address, first_boot=True)
    serve(world, 2.0)
    return world


def serve(world: SimulatedCluster, seconds: float) -> int:
    """Sends a change and a read every 50 ms; returns how many changes were acknowledged."""
    before = world.acknowledged
    end = world.now + seconds
    while world.now < end:
        world.run(0.05)
        for machine in world.primaries():
            world.change(machine)
            world.read(machine)
    return world.acknowledged - before


def primary(world: SimulatedCluster) -> Machine:
    (only,) = world.primaries()
    return only


def backups(world: SimulatedCluster) -> list[Machine]:
    return [machine for machine in world.running if machine is not primary(world)]


def test_a_first_boot_has_a_primary_before_a_second_is_over() -> None:
    world = SimulatedCluster(1, 3, 3, 1)
    for address in world.machines:
        world.start(address, first_boot=True)
    assert serve(world, 1.0) > 0


@pytest.mark.parametrize("how", ["kill", "lose_power", "wipe", "freeze"])
def test_a_lost_primary_is_replaced_within_1500_ms(how: str) -> None:
    world = started()
    getattr(world, how)(primary(world).address)
    world.run(1.5)
    assert serve(world, 1.0) > 5


@pytest.mark.parametrize("how", ["kill", "lose_power", "wipe", "freeze"])
def test_a_lost_backup_does_not_stop_changes_for_a_second(how: str) -> None:
    world = started()
    getattr(world, how)(backups(world)[0].address)
    world.run(1.0)
    assert serve(world, 1.0) > 10


def test_after_the_loss_of_all_power_the_last_view_forms_again() -> None:
    world = started()
    for address in world.machines:
        world.lose_power(address)
    for address in world.machines:
        world.start(address)
    assert serve(world, 2.0) > 10


def test_one_disk_is_lost_while_all_others_lose_power() -> None:
    world = started()
    world.wipe(primary(world).address)
    for machine in list(world.running):
        world.lose_power(machine.address)
    for address in world.machines:
        world.start(address)
    assert serve(world, 3.0) > 10
    assert len(primary(world).member.view.in_sync) == 3


def test_a_replaced_machine_is_a_backup_and_witness_in_time_for_the_next_loss() -> None:
    world = started()
    lost = backups(world)[0].address
    world.kill(lost)
    new = world.new_machine().address
    world.start(new)
    serve(world, 4.0)
    view = primary(world).member.view
    assert f"{new}#1" in view.in_sync
    assert f"{new}#1" in view.witnesses
    assert lost not in view.electors
    world.wipe(primary(world).address)
    world.run(1.5)
    assert serve(world, 1.0) > 5


def test_all_three_machines_are_replaced_one_after_the_other() -> None:
    world = started()
    for old in list(world.machines):
        world.kill(old)
        world.start(world.new_machine().address)
        serve(world, 4.0)
    assert not set(world.seeds) & set(primary(world).member.view.members)


def test_a_seed_that_never_came_up_does_not_stop_the_others() -> None:
    world = SimulatedCluster(1, 3, 3, 1)
    for address in list(world.machines)[1:]:
        world.start(address, first_boot=True)
    serve(world, 2.0)
    world.start(world.seeds[0])
    serve(world, 2.0)
    assert f"{world.seeds[0]}#1" in primary(world).member.view.in_sync


def test_five_machines_from_three_seeds_bear_the_loss_of_two() -> None:
    world = started(5, 3, 2)
    serve(world, 2.0)
    view = primary(world).member.view
    assert len(view.in_sync) == len(view.witnesses) == 5
    world.wipe(primary(world).address)
    world.kill(world.running[0].address)
    world.run(2.0)
    assert serve(world, 1.0) > 5


def test_a_planned_end_of_the_primary_takes_less_than_200_ms() -> None:
    world = started()
    world.step_down(primary(world))
    world.run(0.2)
    assert serve(world, 0.5) > 3


def test_a_restarted_primary_forms_a_new_view_before_it_acts() -> None:
    world = started()
    machine = primary(world)
    epoch = machine.member.acting_epoch
    world.kill(machine.address)
    world.start(machine.address)
    assert not machine.member.is_primary
    serve(world, 1.0)
    assert primary(world).member.acting_epoch > epoch


def test_a_thawed_primary_confirms_no_read_of_its_old_view() -> None:
    world = started()
    machine = primary(world)
    world.freeze(machine.address)
    serve(world, 2.0)
    world.thaw(machine.address)
    assert world.read(machine)
    world.run(0.3)
    assert not machine.member.is_primary


def test_a_full_disk_makes_the_primary_hand_over() -> None:
    world = started()
    machine = primary(world)
    machine.disk.is_full = True
    assert not world.change(machine)
    world.run(1.5)
    assert primary(world) is not machine
    assert serve(world, 0.5) > 3


def test_a_restarted_member_is_handed_a_large_state_s_records_a_few_at_a_time() -> None:
    """To take a record in takes time in proportion to the state, and heartbeats must go on between them."""
    world = started()
    world.kill(backups(world)[0].address)
    serve(world, 1.0)
    late = next(machine for machine in world.machines.values() if machine.member is None)
    handed_out: list[int] = []
    carry_out = world._carry_out

    def watched(machine: Machine, effects: Effects, written: float = 0.0) -> None:
        if machine is late:
            handed_out.append(len(effects.committed))
        carry_out(machine, effects, written)

    world._carry_out = watched  # type: ignore[method-assign]
    world.start(late.address)
    serve(world, 3.0)
    assert late.version == primary(world).version
    assert max(handed_out) <= DELIVER_BYTES // world.snapshot_padding_bytes


def test_a_primary_counts_no_record_of_its_own_that_an_earlier_life_left_unsynced() -> None:
    """It was acknowledged with such a copy, then lost with the power, and another one put in its place."""
    world = SimulatedCluster(1, 1, 1, 0)
    (machine,) = world.machines.values()
    world.start(machine.address, first_boot=True)
    serve(world, 0.4)
    world.kill(machine.address)
    assert machine.disk.synced_count == len(machine.disk.records) > 0
    machine.disk.synced_count -= 1  # killed between the append and the sync
    world.start(machine.address)
    while not world.primaries():
        world.run(0.001)
    assert machine.member.committed_index == machine.member.last_index
    assert machine.disk.synced_count == len(machine.disk.records)

"""Planned ends: a member that leaves hands over by agreement, and the others lose nothing by it."""

from __future__ import annotations

import pytest

from larchgw.model_checking.replication.cluster import LEASE_NAME, SimulatedCluster
from larchgw.model_checking.replication.machine import Machine
from larchgw.replication.planning import ObservedMembers, failover_view, next_view
from larchgw.replication.view import View, first_view


def started(machines: int = 3, seeds: int = 3, survive: int = 1) -> SimulatedCluster:
    world = SimulatedCluster(1, machines, seeds, survive)
    for address in world.machines:
        world.start(address, first_boot=True)
    serve(world, 3.0)
    return world


def serve(world: SimulatedCluster, seconds: float) -> int:
    """Sends a change every 50 ms; returns how many were acknowledged."""
    before = world.acknowledged
    end = world.now + seconds
    while world.now < end:
        world.run(0.05)
        for machine in world.primaries():
            world.change(machine)
    return world.acknowledged - before


def view_of(world: SimulatedCluster) -> View:
    (only,) = world.primaries()
    assert only.member is not None
    assert only.member.view is not None
    return only.member.view


def primary(world: SimulatedCluster) -> Machine:
    (only,) = world.primaries()
    return only


def backup(world: SimulatedCluster) -> Machine:
    return next(machine for machine in world.running if machine is not primary(world))


def seconds_to_leave(world: SimulatedCluster, address: str, most: float = 5.0) -> float:
    """Asks the process to end, and ends it once it has left."""
    began = world.now
    world.leave(address)
    while not world.end_if_left(address):
        assert world.now - began < most, "it has not left"
        world.run(0.01)
        for machine in world.primaries():
            world.change(machine)
    return world.now - began


def lease_holders(world: SimulatedCluster) -> list[str]:
    return [
        machine.address
        for machine in world.running
        if machine.member is not None and machine.member.lease(world.clock(machine), LEASE_NAME) is not None
    ]


# ---- the end ----


@pytest.mark.parametrize("shape", [(3, 3, 1), (4, 3, 1), (5, 3, 2), (5, 5, 2)])
@pytest.mark.parametrize("whose", [primary, backup])
def test_in_calm_times_a_member_has_left_within_300_ms(shape: tuple[int, int, int], whose: object) -> None:
    world = started(*shape)
    leaver = (primary if whose is primary else backup)(world)
    assert seconds_to_leave(world, leaver.address) < 0.3
    assert leaver.id not in view_of(world).in_sync
    assert leaver.id in view_of(world).witnesses or len(world.running) >= len(view_of(world).witnesses)
    assert serve(world, 0.3) >= 3


def test_a_leaving_primary_passes_its_lease_on() -> None:
    world = started()
    world.run(2.0)
    leaver = primary(world)
    for machine in world.running:
        assert machine.member is not None
        machine.member.lease(world.clock(machine), LEASE_NAME)
    serve(world, 4.0)
    assert lease_holders(world) == [leaver.address]
    seconds_to_leave(world, leaver.address)
    serve(world, 4.0)
    assert lease_holders(world) not in ([], [leaver.address])


def test_a_member_that_left_in_order_is_in_sync_again_within_half_a_second_of_its_return() -> None:
    world = started()
    leaver = backup(world)
    seconds_to_leave(world, leaver.address)
    serve(world, 0.7)
    world.start(leaver.address)
    serve(world, 0.5)
    assert leaver.id in view_of(world).in_sync


def test_a_member_stays_until_another_can_take_its_place() -> None:
    world = started()
    down, leaver = (machine for machine in world.running if machine is not primary(world))
    world.kill(down.address)
    serve(world, 1.0)
    world.leave(leaver.address)
    serve(world, 2.0)
    assert leaver.member is not None
    assert not leaver.member.has_left
    assert serve(world, 0.5) > 3
    world.start(down.address)
    assert seconds_to_leave(world, leaver.address) < 1.0
    assert serve(world, 0.5) > 3


def test_of_two_that_leave_at_once_only_as_many_are_let_go_as_the_others_can_spare() -> None:
    world = started()
    leavers = [machine for machine in world.running if machine is not primary(world)]
    for leaver in leavers:
        world.leave(leaver.address)
    serve(world, 1.0)
    ended = [leaver for leaver in leavers if world.end_if_left(leaver.address)]
    assert len(ended) == 1
    assert serve(world, 1.0) > 3


def test_a_vote_that_the_others_need_is_not_taken_away() -> None:
    world = started(5, 5, 1)
    leaver, *silent = [machine for machine in world.running if machine is not primary(world)][:3]
    for machine in silent:
        world.freeze(machine.address)
    world.run(0.9)
    world.leave(leaver.address)
    world.run(0.5)
    assert leaver.id not in view_of(world).in_sync
    assert leaver.member is not None
    assert not leaver.member.has_left
    world.thaw(silent[0].address)
    assert seconds_to_leave(world, leaver.address) < 0.5


def test_a_member_killed_while_it_leaves_is_a_member_killed() -> None:
    for cut_short in range(12):
        world = started()
        leaver = primary(world)
        world.leave(leaver.address)
        world.run(0.004 * cut_short)
        world.kill(leaver.address)
        world.run(1.5)
        assert serve(world, 0.5) > 3
        world.start(leaver.address)
        serve(world, 3.0)
        assert leaver.id in view_of(world).in_sync


def test_a_new_machine_first_and_then_the_end_of_the_old_one() -> None:
    world = started()
    new = world.new_machine()
    world.start(new.address)
    serve(world, 0.5)
    leaver = primary(world)
    seconds_to_leave(world, leaver.address)
    world.destroy(leaver.address)
    serve(world, 2.0)
    view = view_of(world)
    assert set(view.in_sync) == set(view.witnesses) == {machine.id for machine in world.running}
    world.wipe(primary(world).address)
    world.run(1.5)
    assert serve(world, 0.5) > 3


def test_two_planned_replacements_at_once_leave_a_group_that_bears_the_next_loss() -> None:
    world = started()
    old = [machine for machine in world.running if machine is not primary(world)]
    for _ in old:
        world.start(world.new_machine().address)
    serve(world, 1.0)
    for machine in old:
        world.leave(machine.address)
    serve(world, 1.0)
    for machine in old:
        assert world.end_if_left(machine.address)
        world.destroy(machine.address)
    assert len(view_of(world).witnesses) == 3
    world.wipe(primary(world).address)
    world.run(1.5)
    assert serve(world, 0.5) > 3


def test_a_learner_leaves_at_once() -> None:
    world = started()
    new = world.new_machine()
    world.start(new.address)
    world.run(0.001)
    assert seconds_to_leave(world, new.address) < 0.3


# ---- plans ----


def standing(healthy: str, ready: str = "", gone: str = "", leaving: str = "") -> ObservedMembers:
    addresses = {member: member for member in "abcd"}
    return ObservedMembers(frozenset(healthy), tuple(ready), frozenset(gone), frozenset(leaving), addresses)


VIEW = first_view(["a", "b", "c"])


def test_a_leaving_backup_is_left_out_only_while_enough_copies_remain() -> None:
    changed = next_view(2, VIEW, standing("bc", leaving="b"), 2, 5)
    assert changed is not None
    assert changed.backups == ("c",)
    assert changed.witnesses == VIEW.witnesses
    assert next_view(2, VIEW, standing("bc", leaving="b"), 3, 5) is None


def test_a_leaving_backup_is_a_better_copy_than_a_silent_one() -> None:
    changed = next_view(2, VIEW, standing("b", leaving="b"), 2, 5)
    assert changed is not None
    assert changed.backups == ("b",)


def test_a_leaving_backup_is_exchanged_for_one_that_is_ready() -> None:
    changed = next_view(2, VIEW, standing("bcd", ready="d", leaving="b"), 3, 5)
    assert changed is not None
    assert set(changed.backups) == {"c", "d"}


def test_a_new_primary_goes_on_without_the_one_that_leaves() -> None:
    assert failover_view(2, "b", VIEW, {"a", "b", "c"}, {"a"}, 2).in_sync == ("b", "c")
    assert set(failover_view(2, "b", VIEW, {"a", "b"}, {"a"}, 2).in_sync) == {"a", "b"}

"""Planned ends: a member that leaves hands over by agreement, and the others lose nothing by it."""

from __future__ import annotations

import pytest

from larchgw.model_checking.replication.cluster import LEASE_NAME, SimulatedCluster
from larchgw.model_checking.replication.machine import Machine
from larchgw.replication.planning import ObservedMembers, failover_view, next_view
from larchgw.replication.view import View, first_view


def started(machines: int = 3, seeds: int = 3, survive: int = 1) -> SimulatedCluster:
    cluster = SimulatedCluster(1, machines, seeds, survive)
    for address in cluster.machines:
        cluster.start(address, first_boot=True)
    serve(cluster, 3.0)
    return cluster


def serve(cluster: SimulatedCluster, seconds: float) -> int:
    """Sends a change every 50 ms; returns how many were acknowledged."""
    before = cluster.acknowledged
    end = cluster.now + seconds
    while cluster.now < end:
        cluster.run(0.05)
        for machine in cluster.primaries():
            cluster.change(machine)
    return cluster.acknowledged - before


def view_of(cluster: SimulatedCluster) -> View:
    (only,) = cluster.primaries()
    assert only.member is not None
    assert only.member.view is not None
    return only.member.view


def primary(cluster: SimulatedCluster) -> Machine:
    (only,) = cluster.primaries()
    return only


def backup(cluster: SimulatedCluster) -> Machine:
    return next(machine for machine in cluster.running if machine is not primary(cluster))


def seconds_to_leave(cluster: SimulatedCluster, address: str, most: float = 5.0) -> float:
    """Asks the process to end, and ends it once it has left."""
    began = cluster.now
    cluster.leave(address)
    while not cluster.end_if_left(address):
        assert cluster.now - began < most, "it has not left"
        cluster.run(0.01)
        for machine in cluster.primaries():
            cluster.change(machine)
    return cluster.now - began


def lease_holders(cluster: SimulatedCluster) -> list[str]:
    return [
        machine.address
        for machine in cluster.running
        if machine.member is not None and machine.member.lease(cluster.clock(machine), LEASE_NAME) is not None
    ]


# ---- the end ----


@pytest.mark.parametrize("shape", [(3, 3, 1), (4, 3, 1), (5, 3, 2), (5, 5, 2)])
@pytest.mark.parametrize("whose", [primary, backup])
def test_in_calm_times_a_member_has_left_within_300_ms(shape: tuple[int, int, int], whose: object) -> None:
    cluster = started(*shape)
    leaver = (primary if whose is primary else backup)(cluster)
    assert seconds_to_leave(cluster, leaver.address) < 0.3
    assert leaver.id not in view_of(cluster).in_sync
    assert leaver.id in view_of(cluster).witnesses or len(cluster.running) >= len(view_of(cluster).witnesses)
    assert serve(cluster, 0.3) >= 3


def test_a_leaving_primary_passes_its_lease_on() -> None:
    cluster = started()
    cluster.run(2.0)
    leaver = primary(cluster)
    for machine in cluster.running:
        assert machine.member is not None
        machine.member.lease(cluster.clock(machine), LEASE_NAME)
    serve(cluster, 4.0)
    assert lease_holders(cluster) == [leaver.address]
    seconds_to_leave(cluster, leaver.address)
    serve(cluster, 4.0)
    assert lease_holders(cluster) not in ([], [leaver.address])


def test_a_member_that_left_in_order_is_in_sync_again_within_half_a_second_of_its_return() -> None:
    cluster = started()
    leaver = backup(cluster)
    seconds_to_leave(cluster, leaver.address)
    serve(cluster, 0.7)
    cluster.start(leaver.address)
    serve(cluster, 0.5)
    assert leaver.id in view_of(cluster).in_sync


def test_a_member_stays_until_another_can_take_its_place() -> None:
    cluster = started()
    down, leaver = (machine for machine in cluster.running if machine is not primary(cluster))
    cluster.kill(down.address)
    serve(cluster, 1.0)
    cluster.leave(leaver.address)
    serve(cluster, 2.0)
    assert leaver.member is not None
    assert not leaver.member.has_left
    assert serve(cluster, 0.5) > 3
    cluster.start(down.address)
    assert seconds_to_leave(cluster, leaver.address) < 1.0
    assert serve(cluster, 0.5) > 3


def test_of_two_that_leave_at_once_only_as_many_are_let_go_as_the_others_can_spare() -> None:
    cluster = started()
    leavers = [machine for machine in cluster.running if machine is not primary(cluster)]
    for leaver in leavers:
        cluster.leave(leaver.address)
    serve(cluster, 1.0)
    ended = [leaver for leaver in leavers if cluster.end_if_left(leaver.address)]
    assert len(ended) == 1
    assert serve(cluster, 1.0) > 3


def test_a_vote_that_the_others_need_is_not_taken_away() -> None:
    cluster = started(5, 5, 1)
    leaver, *silent = [machine for machine in cluster.running if machine is not primary(cluster)][:3]
    for machine in silent:
        cluster.freeze(machine.address)
    cluster.run(0.9)
    cluster.leave(leaver.address)
    cluster.run(0.5)
    assert leaver.id not in view_of(cluster).in_sync
    assert leaver.member is not None
    assert not leaver.member.has_left
    cluster.thaw(silent[0].address)
    assert seconds_to_leave(cluster, leaver.address) < 0.5


def test_a_member_killed_while_it_leaves_is_a_member_killed() -> None:
    for cut_short in range(12):
        cluster = started()
        leaver = primary(cluster)
        cluster.leave(leaver.address)
        cluster.run(0.004 * cut_short)
        cluster.kill(leaver.address)
        cluster.run(1.5)
        assert serve(cluster, 0.5) > 3
        cluster.start(leaver.address)
        serve(cluster, 3.0)
        assert leaver.id in view_of(cluster).in_sync


def test_a_new_machine_first_and_then_the_end_of_the_old_one() -> None:
    cluster = started()
    new = cluster.new_machine()
    cluster.start(new.address)
    serve(cluster, 0.5)
    leaver = primary(cluster)
    seconds_to_leave(cluster, leaver.address)
    cluster.destroy(leaver.address)
    serve(cluster, 2.0)
    view = view_of(cluster)
    assert set(view.in_sync) == set(view.witnesses) == {machine.id for machine in cluster.running}
    cluster.wipe(primary(cluster).address)
    cluster.run(1.5)
    assert serve(cluster, 0.5) > 3


def test_two_planned_replacements_at_once_leave_a_group_that_bears_the_next_loss() -> None:
    cluster = started()
    old = [machine for machine in cluster.running if machine is not primary(cluster)]
    for _ in old:
        cluster.start(cluster.new_machine().address)
    serve(cluster, 1.0)
    for machine in old:
        cluster.leave(machine.address)
    serve(cluster, 1.0)
    for machine in old:
        assert cluster.end_if_left(machine.address)
        cluster.destroy(machine.address)
    assert len(view_of(cluster).witnesses) == 3
    cluster.wipe(primary(cluster).address)
    cluster.run(1.5)
    assert serve(cluster, 0.5) > 3


def test_a_learner_leaves_at_once() -> None:
    cluster = started()
    new = cluster.new_machine()
    cluster.start(new.address)
    cluster.run(0.001)
    assert seconds_to_leave(cluster, new.address) < 0.3


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

"""Planned shutdown: a leaving member hands over by agreement, without a loss of redundancy or records."""

from __future__ import annotations

import pytest

from larchgw.model_checking.replication.cluster import LEASE_NAME, SimulatedCluster
from larchgw.model_checking.replication.machine import Machine
from larchgw.replication.planning import ObservedMembers, failover_view, next_view
from larchgw.replication.view import View, first_view


def started(machines: int = 3, seeds: int = 3, tolerated_failures: int = 1) -> SimulatedCluster:
    cluster = SimulatedCluster(1, machines, seeds, tolerated_failures)
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


def seconds_to_leave(cluster: SimulatedCluster, address: str, limit_s: float = 5.0) -> float:
    """Asks the member to leave, and ends it once it has left; returns how long that took."""
    started_at = cluster.now
    cluster.leave(address)
    while not cluster.end_if_left(address):
        assert cluster.now - started_at < limit_s, "the member has not left in time"
        cluster.run(0.01)
        for machine in cluster.primaries():
            cluster.change(machine)
    return cluster.now - started_at


def lease_holders(cluster: SimulatedCluster) -> list[str]:
    return [
        machine.address
        for machine in cluster.running
        if machine.member is not None and machine.member.lease(cluster.clock(machine), LEASE_NAME) is not None
    ]


# ---- leaving ----


@pytest.mark.parametrize("cluster_shape", [(3, 3, 1), (4, 3, 1), (5, 3, 2), (5, 5, 2)])
@pytest.mark.parametrize("select", [primary, backup])
def test_without_faults_a_member_leaves_within_300_ms(
    cluster_shape: tuple[int, int, int], select: object
) -> None:
    cluster = started(*cluster_shape)
    leaver = (primary if select is primary else backup)(cluster)
    assert seconds_to_leave(cluster, leaver.address) < 0.3
    assert leaver.id not in view_of(cluster).in_sync
    assert leaver.id in view_of(cluster).witnesses or len(cluster.running) >= len(view_of(cluster).witnesses)
    assert serve(cluster, 0.3) >= 3


def test_another_member_acquires_the_lease_of_a_leaving_primary() -> None:
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


def test_a_member_that_left_is_in_sync_again_within_half_a_second_of_its_return() -> None:
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


def test_of_two_members_that_leave_at_once_only_one_is_released() -> None:
    cluster = started()
    leavers = [machine for machine in cluster.running if machine is not primary(cluster)]
    for leaver in leavers:
        cluster.leave(leaver.address)
    serve(cluster, 1.0)
    ended = [leaver for leaver in leavers if cluster.end_if_left(leaver.address)]
    assert len(ended) == 1
    assert serve(cluster, 1.0) > 3


def test_a_member_whose_vote_is_needed_for_a_quorum_is_not_released() -> None:
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


def test_a_member_killed_while_it_leaves_can_return() -> None:
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


def test_a_new_machine_replaces_an_old_one_that_leaves_afterwards() -> None:
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


def test_after_two_simultaneous_planned_replacements_the_next_loss_is_tolerated() -> None:
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


# ---- planning of the next view ----


def observed(healthy: str, ready: str = "", lost: str = "", leaving: str = "") -> ObservedMembers:
    addresses = {member: member for member in "abcd"}
    return ObservedMembers(frozenset(healthy), tuple(ready), frozenset(lost), frozenset(leaving), addresses)


VIEW = first_view(["a", "b", "c"])


def test_a_leaving_backup_is_left_out_only_while_enough_copies_remain() -> None:
    changed = next_view(2, VIEW, observed("bc", leaving="b"), 2, 5)
    assert changed is not None
    assert changed.backups == ("c",)
    assert changed.witnesses == VIEW.witnesses
    assert next_view(2, VIEW, observed("bc", leaving="b"), 3, 5) is None


def test_a_leaving_backup_is_preferred_to_a_silent_one() -> None:
    changed = next_view(2, VIEW, observed("b", leaving="b"), 2, 5)
    assert changed is not None
    assert changed.backups == ("b",)


def test_a_leaving_backup_is_replaced_by_a_ready_member() -> None:
    changed = next_view(2, VIEW, observed("bcd", ready="d", leaving="b"), 3, 5)
    assert changed is not None
    assert set(changed.backups) == {"c", "d"}


def test_a_new_primary_leaves_out_a_leaving_member() -> None:
    assert failover_view(2, "b", VIEW, {"a", "b", "c"}, {"a"}, 2).in_sync == ("b", "c")
    assert set(failover_view(2, "b", VIEW, {"a", "b"}, {"a"}, 2).in_sync) == {"a", "b"}

"""Leases: one holder at a time, fences that only rise, and a term between two holders."""

from __future__ import annotations

from larchgw.model_checking.replication.cluster import LEASE_NAME, LEASE_TERM_S, SimulatedCluster
from larchgw.model_checking.simulated_disk import SimulatedDisk
from larchgw.replication.lease import Lease
from larchgw.replication.lease_acceptor import NOBODY, UNKNOWN, LeaseAcceptor
from larchgw.replication.messages import LeaseRelease, LeaseRequest
from larchgw.replication.view import first_view

VIEW = first_view(["a", "b", "c"])


def ask(fence: int, renewal: bool = False, epoch: int = 1) -> LeaseRequest:
    return LeaseRequest("placer", fence, renewal, epoch, 1, False)


def witness(disk: SimulatedDisk, first_boot: bool = True) -> LeaseAcceptor:
    made = LeaseAcceptor(disk.ports().leases, LEASE_TERM_S)
    if disk.ports().leases.load() is None:
        made.reset(first_boot)
    return made


def test_a_granted_lease_is_refused_to_others_for_its_term() -> None:
    held = witness(SimulatedDisk())
    assert held.handle_request(0.0, "x", ask(1), VIEW).granted
    refused = held.handle_request(1.0, "y", ask(2), VIEW)
    assert not refused.granted
    assert refused.remaining_s == LEASE_TERM_S - 1.0
    assert held.handle_request(LEASE_TERM_S, "y", ask(2), VIEW).granted


def test_a_fence_is_never_granted_twice_to_different_holders() -> None:
    disk = SimulatedDisk()
    witness(disk).handle_request(0.0, "x", ask(5), VIEW)
    assert not witness(disk).handle_request(10 * LEASE_TERM_S, "y", ask(5), VIEW).granted
    assert not witness(disk).handle_request(10 * LEASE_TERM_S, "y", ask(4), VIEW).granted
    assert witness(disk).handle_request(10 * LEASE_TERM_S, "y", ask(6), VIEW).granted


def test_a_restarted_witness_has_forgotten_its_grants_and_waits_a_term() -> None:
    disk = SimulatedDisk()
    witness(disk).handle_request(0.0, "x", ask(1), VIEW)
    again = witness(disk)
    again.observe_restart(1.0)
    assert not again.handle_request(1.5, "y", ask(2), VIEW).granted
    assert again.handle_request(1.5, "x", ask(1, renewal=True), VIEW).granted


def test_a_new_witness_grants_nothing_for_a_term_not_even_to_a_holder_of_old() -> None:
    seated = witness(SimulatedDisk())
    seated.handle_request(0.0, "x", ask(1), VIEW)
    seated.join_as_witness(0.5)
    assert not seated.handle_request(1.0, "x", ask(2), VIEW).granted
    assert seated.handle_request(0.5 + LEASE_TERM_S, "x", ask(2), VIEW).granted


def test_an_asker_of_an_older_view_is_told_the_newer_one() -> None:
    answer = witness(SimulatedDisk()).handle_request(0.0, "x", ask(1, epoch=0), VIEW)
    assert not answer.granted
    assert answer.view == VIEW


def test_a_late_release_does_not_free_a_newer_grant() -> None:
    held = witness(SimulatedDisk())
    held.handle_request(0.0, "x", ask(2), VIEW)
    held.release("x", LeaseRelease("placer", 1))
    assert not held.handle_request(0.1, "y", ask(3), VIEW).granted
    held.release("x", LeaseRelease("placer", 2))
    assert held.handle_request(0.1, "y", ask(3), VIEW).granted


def test_only_a_witness_from_the_first_boot_knows_that_nobody_acted() -> None:
    assert witness(SimulatedDisk()).handle_request(0.0, "x", ask(1), VIEW).actor == NOBODY
    assert witness(SimulatedDisk(), first_boot=False).handle_request(0.0, "x", ask(1), VIEW).actor == UNKNOWN


def test_a_full_disk_grants_nothing() -> None:
    disk = SimulatedDisk()
    held = witness(disk)
    disk.is_full = True
    try:
        held.handle_request(0.0, "x", ask(1), VIEW)
    except OSError:
        disk.is_full = False
    assert held.handle_request(0.0, "y", ask(1), VIEW).granted


# ---- with whole members ----


def started() -> SimulatedCluster:
    cluster = SimulatedCluster(3, 3, 3, 1)
    for address in cluster.machines:
        cluster.start(address, first_boot=True)
    cluster.run(1.0)
    return cluster


def holders(cluster: SimulatedCluster) -> dict[str, Lease]:
    found = {
        machine.address: machine.member.lease(cluster.clock(machine), LEASE_NAME)
        for machine in cluster.running
    }
    return {address: lease for address, lease in found.items() if lease is not None}


def test_the_first_holder_is_the_primary_and_need_not_wait() -> None:
    cluster = started()
    assert list(holders(cluster)) == [machine.address for machine in cluster.primaries()]


def test_a_new_holder_acts_a_term_after_the_old_one_could_last() -> None:
    cluster = started()
    (old,) = holders(cluster)
    cluster.kill(old)
    lost_at = cluster.now
    while not holders(cluster):
        cluster.run(0.05)
        assert cluster.now < lost_at + 3 * LEASE_TERM_S
    assert cluster.now - lost_at > LEASE_TERM_S


def test_a_thawed_holder_knows_at_once_that_its_lease_is_over() -> None:
    cluster = started()
    (old,) = holders(cluster)
    cluster.freeze(old)
    cluster.run(LEASE_TERM_S)
    machine = cluster.machines[old]
    cluster.thaw(old)
    assert machine.member.lease(cluster.clock(machine), LEASE_NAME) is None


def test_a_restarted_holder_goes_on_without_the_wait_and_with_a_higher_fence() -> None:
    cluster = started()
    ((old, lease),) = holders(cluster).items()
    cluster.kill(old)
    cluster.start(old)
    cluster.run(1.0)
    assert holders(cluster)[old].fencing_token > lease.fencing_token


def test_a_holder_that_steps_down_gives_its_lease_up() -> None:
    cluster = started()
    (old,) = holders(cluster)
    cluster.step_down(cluster.machines[old])
    cluster.run(LEASE_TERM_S + 1.0)
    assert holders(cluster)
    assert old not in holders(cluster)

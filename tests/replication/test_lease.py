"""Leases: one holder at a time, increasing fencing tokens, and a term between actions of two holders."""

from __future__ import annotations

from math import inf

import pytest

from larchgw.model_checking.replication import cluster as cluster_module
from larchgw.model_checking.replication.cluster import LEASE_NAME, LEASE_TERM_S, SimulatedCluster
from larchgw.model_checking.simulated_disk import SimulatedDisk
from larchgw.replication.lease import Lease
from larchgw.replication.lease_acceptor import NOBODY, UNKNOWN, LeaseAcceptor
from larchgw.replication.lease_actions import (
    ACTION_DELIVERY_S,
    ACTION_START_WINDOW_S,
    ActionAnnouncement,
    ActionHistory,
    KnownActions,
    PredecessorActions,
    separation_s,
)
from larchgw.replication.messages import LeaseRelease, LeaseRequest
from larchgw.replication.view import first_view

VIEW = first_view(["a", "b", "c"])


def lease_request(fencing_token: int, is_renewal: bool = False, epoch: int = 1) -> LeaseRequest:
    return LeaseRequest("placer", fencing_token, is_renewal, epoch, 1, False)


def lease_acceptor(disk: SimulatedDisk, first_boot: bool = True) -> LeaseAcceptor:
    acceptor = LeaseAcceptor(disk.ports().leases, LEASE_TERM_S)
    if disk.ports().leases.load() is None:
        acceptor.reset(first_boot)
    return acceptor


def test_a_granted_lease_is_refused_to_others_for_its_term() -> None:
    granting_acceptor = lease_acceptor(SimulatedDisk())
    assert granting_acceptor.handle_request(0.0, "x", lease_request(1), VIEW).granted
    refused = granting_acceptor.handle_request(1.0, "y", lease_request(2), VIEW)
    assert not refused.granted
    assert refused.remaining_s == LEASE_TERM_S - 1.0
    assert granting_acceptor.handle_request(LEASE_TERM_S, "y", lease_request(2), VIEW).granted


def test_a_fencing_token_is_never_granted_to_two_holders() -> None:
    disk = SimulatedDisk()
    lease_acceptor(disk).handle_request(0.0, "x", lease_request(5), VIEW)
    assert not lease_acceptor(disk).handle_request(10 * LEASE_TERM_S, "y", lease_request(5), VIEW).granted
    assert not lease_acceptor(disk).handle_request(10 * LEASE_TERM_S, "y", lease_request(4), VIEW).granted
    assert lease_acceptor(disk).handle_request(10 * LEASE_TERM_S, "y", lease_request(6), VIEW).granted


def test_a_restarted_witness_grants_a_lease_to_nobody_but_the_stored_holder_for_a_term() -> None:
    disk = SimulatedDisk()
    lease_acceptor(disk).handle_request(0.0, "x", lease_request(1), VIEW)
    again = lease_acceptor(disk)
    again.observe_restart(1.0)
    assert not again.handle_request(1.5, "y", lease_request(2), VIEW).granted
    assert again.handle_request(1.5, "x", lease_request(1, is_renewal=True), VIEW).granted


def test_a_new_witness_grants_nothing_for_a_term_not_even_to_an_earlier_holder() -> None:
    new_witness = lease_acceptor(SimulatedDisk())
    new_witness.handle_request(0.0, "x", lease_request(1), VIEW)
    new_witness.join_as_witness(0.5)
    assert not new_witness.handle_request(1.0, "x", lease_request(2), VIEW).granted
    assert new_witness.handle_request(0.5 + LEASE_TERM_S, "x", lease_request(2), VIEW).granted


def test_the_reply_to_a_request_of_an_older_view_carries_the_newer_one() -> None:
    answer = lease_acceptor(SimulatedDisk()).handle_request(0.0, "x", lease_request(1, epoch=0), VIEW)
    assert not answer.granted
    assert answer.view == VIEW


def test_a_late_release_does_not_free_a_newer_grant() -> None:
    granting_acceptor = lease_acceptor(SimulatedDisk())
    granting_acceptor.handle_request(0.0, "x", lease_request(2), VIEW)
    granting_acceptor.release("x", LeaseRelease("placer", 1))
    assert not granting_acceptor.handle_request(0.1, "y", lease_request(3), VIEW).granted
    granting_acceptor.release("x", LeaseRelease("placer", 2))
    assert granting_acceptor.handle_request(0.1, "y", lease_request(3), VIEW).granted


def test_only_a_witness_from_the_first_boot_reports_that_nobody_has_acted() -> None:
    assert lease_acceptor(SimulatedDisk()).handle_request(0.0, "x", lease_request(1), VIEW).actor == NOBODY
    assert (
        lease_acceptor(SimulatedDisk(), first_boot=False)
        .handle_request(0.0, "x", lease_request(1), VIEW)
        .actor
        == UNKNOWN
    )


def test_a_full_disk_grants_nothing() -> None:
    disk = SimulatedDisk()
    granting_acceptor = lease_acceptor(disk)
    disk.is_full = True
    try:
        granting_acceptor.handle_request(0.0, "x", lease_request(1), VIEW)
    except OSError:
        disk.is_full = False
    assert granting_acceptor.handle_request(0.0, "y", lease_request(1), VIEW).granted


# ---- complete members ----


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


def test_the_first_holder_is_the_primary_and_does_not_wait() -> None:
    cluster = started()
    assert list(holders(cluster)) == [machine.address for machine in cluster.primaries()]


def announce(cluster: SimulatedCluster, address: str, target: str) -> bool:
    """Announces an action of a holder; returns whether it is permitted."""
    machine = cluster.machines[address]
    member = machine.member
    assert member is not None
    call, effects = member.announce(cluster.clock(machine), LEASE_NAME, (target,))
    machine.announcements.add(call.number)
    cluster._carry_out(machine, effects)
    cluster.run(0.05)
    return member.action_permitted_until(cluster.clock(machine), LEASE_NAME, target) > cluster.clock(machine)


@pytest.fixture
def idle_cluster(monkeypatch: pytest.MonkeyPatch) -> SimulatedCluster:
    """A cluster whose holder announces no actions by itself."""
    monkeypatch.setattr(cluster_module, "ACTION_RATE", 0.0)
    return started()


def successor_of(cluster: SimulatedCluster, lost: str) -> str:
    assert cluster.run_until(lambda: bool(holders(cluster).keys() - {lost}), 3 * LEASE_TERM_S)
    (holder,) = holders(cluster).keys() - {lost}
    return holder


def test_a_lost_holder_is_replaced_within_two_seconds_for_targets_without_actions(
    idle_cluster: SimulatedCluster,
) -> None:
    (old,) = holders(idle_cluster)
    assert announce(idle_cluster, old, "runner-1")
    idle_cluster.kill(old)
    lost_at = idle_cluster.now
    new = successor_of(idle_cluster, old)
    assert announce(idle_cluster, new, "runner-2")
    assert idle_cluster.now - lost_at < 2.0


def test_a_successor_does_not_act_on_a_target_until_a_term_after_the_last_action_on_it(
    idle_cluster: SimulatedCluster,
) -> None:
    (old,) = holders(idle_cluster)
    assert announce(idle_cluster, old, "runner-1")
    acted_at = idle_cluster.now
    idle_cluster.kill(old)
    new = successor_of(idle_cluster, old)
    while not announce(idle_cluster, new, "runner-1"):
        assert idle_cluster.now < acted_at + 2 * LEASE_TERM_S
    assert idle_cluster.now - acted_at >= LEASE_TERM_S + ACTION_DELIVERY_S


def test_an_announced_action_is_not_permitted_after_its_window(idle_cluster: SimulatedCluster) -> None:
    (holder,) = holders(idle_cluster)
    assert announce(idle_cluster, holder, "runner-1")
    idle_cluster.run(ACTION_START_WINDOW_S)
    machine = idle_cluster.machines[holder]
    assert holders(idle_cluster)
    assert machine.member.action_permitted_until(
        idle_cluster.clock(machine), LEASE_NAME, "runner-1"
    ) <= idle_cluster.clock(machine)


def test_an_action_that_was_not_announced_to_a_quorum_is_not_permitted(
    idle_cluster: SimulatedCluster,
) -> None:
    (holder,) = holders(idle_cluster)
    idle_cluster.links.is_cut = lambda sender, receiver: holder in (sender, receiver)
    assert not announce(idle_cluster, holder, "runner-1")


def test_a_member_without_the_lease_is_not_permitted_any_action(idle_cluster: SimulatedCluster) -> None:
    (holder,) = holders(idle_cluster)
    other = next(address for address in idle_cluster.machines if address != holder)
    assert not announce(idle_cluster, other, "runner-1")
    assert idle_cluster.machines[other].announcements == set()


def test_a_successor_waits_at_every_target_if_the_witnesses_were_restarted(
    idle_cluster: SimulatedCluster,
) -> None:
    (old,) = holders(idle_cluster)
    assert announce(idle_cluster, old, "runner-1")
    idle_cluster.kill(old)
    others = [address for address in idle_cluster.machines if address != old]
    for address in others:
        idle_cluster.kill(address)
        idle_cluster.start(address)
    restarted_at = idle_cluster.now
    new = successor_of(idle_cluster, old)
    while not announce(idle_cluster, new, "runner-2"):
        assert idle_cluster.now < restarted_at + 3 * LEASE_TERM_S
    assert idle_cluster.now - restarted_at >= LEASE_TERM_S + ACTION_DELIVERY_S


def test_the_same_holder_acts_without_a_wait_after_a_restart_of_all_members(
    idle_cluster: SimulatedCluster,
) -> None:
    (old,) = holders(idle_cluster)
    assert announce(idle_cluster, old, "runner-1")
    idle_cluster.run(1.0)
    for address in idle_cluster.machines:
        idle_cluster.kill(address)
        idle_cluster.start(address)
    restarted_at = idle_cluster.now
    assert idle_cluster.run_until(lambda: old in holders(idle_cluster), LEASE_TERM_S)
    assert announce(idle_cluster, old, "runner-1")
    assert idle_cluster.now - restarted_at < 2.0


# ---- reports to a new holder ----


def known_actions_since(known_s: float, **ages_s: float) -> KnownActions:
    ages = {target.replace("_", "-"): age_s for target, age_s in ages_s.items()}
    return KnownActions(known_s, ages, known_s, {})


def test_targets_are_free_only_once_a_quorum_of_witnesses_has_reported() -> None:
    predecessors = PredecessorActions(separation_s(LEASE_TERM_S))
    predecessors.observe(10.0, "a", known_actions_since(9.0))
    predecessors.evaluate(VIEW)
    assert predecessors.free_at("runner-1") == inf
    predecessors.observe(10.0, "b", known_actions_since(1.0, runner_2=0.5))
    predecessors.evaluate(VIEW)
    assert predecessors.free_at("runner-1") == pytest.approx(9.0 + separation_s(LEASE_TERM_S))
    assert predecessors.free_at("runner-2") == pytest.approx(9.5 + separation_s(LEASE_TERM_S))


def test_a_late_report_with_more_knowledge_shortens_the_wait() -> None:
    predecessors = PredecessorActions(separation_s(LEASE_TERM_S))
    predecessors.observe(10.0, "a", known_actions_since(9.0))
    predecessors.observe(10.0, "b", known_actions_since(1.0))
    predecessors.evaluate(VIEW)
    predecessors.observe(10.2, "c", known_actions_since(9.0, runner_1=2.0))
    predecessors.evaluate(VIEW)
    assert predecessors.unreported_targets_free_at <= 10.2
    assert (
        predecessors.all_targets_free_at
        == predecessors.free_at("runner-1")
        == pytest.approx(8.2 + separation_s(LEASE_TERM_S))
    )


def test_a_new_holder_waits_for_actions_that_may_start_without_an_announcement() -> None:
    predecessors = PredecessorActions(separation_s(LEASE_TERM_S))
    for each in ("a", "b"):
        predecessors.observe(10.0, each, known_actions_since(-2.0))
    predecessors.evaluate(VIEW)
    assert predecessors.unreported_targets_free_at == pytest.approx(12.0 + separation_s(LEASE_TERM_S))


def test_the_action_history_includes_own_actions_before_a_restart_as_far_as_a_quorum_remembers() -> None:
    predecessors = PredecessorActions(separation_s(LEASE_TERM_S))
    predecessors.observe(10.0, "a", KnownActions(9.0, {"runner-1": 2.0}, 6.0, {"store-load/1": 3.0}))
    predecessors.observe(10.0, "b", KnownActions(9.0, {}, 1.0, {}))
    predecessors.evaluate(VIEW)
    assert predecessors.history() == ActionHistory(9.0, {"runner-1": 8.0, "store-load/1": 7.0})
    predecessors.observe(10.0, "c", KnownActions(9.0, {}, 6.5, {"store-load/2": 1.0}))
    predecessors.evaluate(VIEW)
    assert predecessors.history().complete_since == 4.0
    assert "store-load/2" in predecessors.history().announced_at
    assert predecessors.free_at("store-load/1") < 10.0  # a holder does not wait for its own actions


# ---- announced actions at a witness ----


def announcing_request(
    token: int, *targets: str, is_renewal: bool = True, is_sole_actor: bool = False
) -> LeaseRequest:
    return LeaseRequest(
        "placer", token, is_renewal, 1, 1, is_renewal, ActionAnnouncement(targets, is_sole_actor)
    )


def test_a_witness_reports_to_a_new_holder_the_actions_of_others_separately_from_its_own() -> None:
    granting_witness = lease_acceptor(SimulatedDisk())
    granting_witness.handle_request(0.0, "x", announcing_request(1, is_renewal=False), VIEW)
    granting_witness.handle_request(0.1, "x", announcing_request(1, "runner-1"), VIEW)
    granted = granting_witness.handle_request(1.2, "y", announcing_request(2, is_renewal=False), VIEW)
    assert granted.granted
    assert granted.known_actions is not None
    assert granted.known_actions.ages_s == {"runner-1": pytest.approx(1.1)}
    assert granted.known_actions.known_s >= separation_s(LEASE_TERM_S)
    assert (
        granting_witness.handle_request(1.3, "y", announcing_request(2), VIEW).known_actions is None
    )  # not repeated with each renewal
    again = granting_witness.handle_request(2.5, "x", announcing_request(3, is_renewal=False), VIEW)
    assert again.known_actions is not None
    assert again.known_actions.ages_s == {}


def test_a_witness_refuses_announcements_under_a_token_below_the_one_it_granted_last() -> None:
    granting_witness = lease_acceptor(SimulatedDisk())
    granting_witness.handle_request(0.0, "x", announcing_request(1, is_renewal=False), VIEW)
    assert granting_witness.handle_request(1.1, "y", announcing_request(2, is_renewal=False), VIEW).granted
    granting_witness.release("y", LeaseRelease("placer", 2))
    assert not granting_witness.handle_request(1.2, "x", announcing_request(1, "runner-1"), VIEW).granted


def test_a_restarted_witness_reports_since_when_it_knows_announcements_except_to_a_sole_actor() -> None:
    disk = SimulatedDisk()
    before = lease_acceptor(disk)
    before.handle_request(0.0, "x", announcing_request(1, is_renewal=False), VIEW)
    before.handle_request(0.1, "x", announcing_request(1, "runner-1", is_sole_actor=True), VIEW)
    after = lease_acceptor(disk)
    after.observe_restart(1.0)
    own = after.handle_request(1.5, "x", announcing_request(2, is_renewal=False), VIEW)
    assert own.known_actions is not None
    assert own.known_actions.known_s >= separation_s(LEASE_TERM_S)
    other = after.handle_request(4.5, "y", announcing_request(3, is_renewal=False), VIEW)
    assert other.known_actions is not None
    assert other.known_actions.known_s == pytest.approx(3.5)


def test_a_holder_of_an_earlier_version_may_act_on_any_target_for_a_whole_term() -> None:
    granting_witness = lease_acceptor(SimulatedDisk())
    granting_witness.handle_request(0.0, "x", LeaseRequest("placer", 1, False, 1, 1, True), VIEW)
    assert not granting_witness.handle_request(
        2.9, "y", announcing_request(2, is_renewal=False), VIEW
    ).granted
    granted = granting_witness.handle_request(3.5, "y", announcing_request(2, is_renewal=False), VIEW)
    assert granted.known_actions is not None
    assert granted.known_actions.known_s == pytest.approx(0.5)


def test_a_member_of_an_earlier_version_gets_no_report_of_actions_and_waits_a_term_for_the_lease() -> None:
    granting_witness = lease_acceptor(SimulatedDisk())
    granting_witness.handle_request(0.0, "x", announcing_request(1, is_renewal=False), VIEW)
    assert not granting_witness.handle_request(2.9, "y", lease_request(2), VIEW).granted
    reply = granting_witness.handle_request(3.0, "y", lease_request(2), VIEW)
    assert reply.granted
    assert reply.known_actions is None


def test_a_resumed_holder_detects_at_once_that_its_lease_has_expired() -> None:
    cluster = started()
    (old,) = holders(cluster)
    cluster.freeze(old)
    cluster.run(LEASE_TERM_S)
    machine = cluster.machines[old]
    cluster.thaw(old)
    assert machine.member.lease(cluster.clock(machine), LEASE_NAME) is None


def test_a_restarted_holder_continues_without_a_wait_and_with_a_higher_token() -> None:
    cluster = started()
    ((old, lease),) = holders(cluster).items()
    cluster.kill(old)
    cluster.start(old)
    cluster.run(1.0)
    assert holders(cluster)[old].fencing_token > lease.fencing_token


def test_a_holder_that_steps_down_releases_its_lease() -> None:
    cluster = started()
    (old,) = holders(cluster)
    cluster.step_down(cluster.machines[old])
    cluster.run(LEASE_TERM_S + 1.0)
    assert holders(cluster)
    assert old not in holders(cluster)

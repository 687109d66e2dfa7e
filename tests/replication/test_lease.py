"""Leases: one holder at a time, fences that only rise, and a term between two holders."""

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


def announce(cluster: SimulatedCluster, address: str, target: str) -> bool:
    """Announces an act of a holder; returns whether it may be begun."""
    machine = cluster.machines[address]
    member = machine.member
    assert member is not None
    call, effects = member.announce(cluster.clock(machine), LEASE_NAME, (target,))
    machine.announcements.add(call.number)
    cluster._carry_out(machine, effects)
    cluster.run(0.05)
    return member.action_permitted_until(cluster.clock(machine), LEASE_NAME, target) > cluster.clock(machine)


@pytest.fixture
def quiet(monkeypatch: pytest.MonkeyPatch) -> SimulatedCluster:
    """A cluster whose holder announces nothing of itself."""
    monkeypatch.setattr(cluster_module, "ACT_RATE", 0.0)
    return started()


def successor_of(cluster: SimulatedCluster, lost: str) -> str:
    assert cluster.run_until(lambda: bool(holders(cluster).keys() - {lost}), 3 * LEASE_TERM_S)
    (holder,) = holders(cluster).keys() - {lost}
    return holder


def test_a_lost_holder_has_a_successor_within_two_seconds_that_may_act_where_nobody_did(
    quiet: SimulatedCluster,
) -> None:
    (old,) = holders(quiet)
    assert announce(quiet, old, "runner-1")
    quiet.kill(old)
    lost_at = quiet.now
    new = successor_of(quiet, old)
    assert announce(quiet, new, "runner-2")
    assert quiet.now - lost_at < 2.0


def test_a_successor_leaves_a_target_alone_until_a_term_after_the_last_act_on_it(
    quiet: SimulatedCluster,
) -> None:
    (old,) = holders(quiet)
    assert announce(quiet, old, "runner-1")
    acted_at = quiet.now
    quiet.kill(old)
    new = successor_of(quiet, old)
    while not announce(quiet, new, "runner-1"):
        assert quiet.now < acted_at + 2 * LEASE_TERM_S
    assert quiet.now - acted_at >= LEASE_TERM_S + ACTION_DELIVERY_S


def test_an_act_is_begun_within_its_window_or_not_at_all(quiet: SimulatedCluster) -> None:
    (holder,) = holders(quiet)
    assert announce(quiet, holder, "runner-1")
    quiet.run(ACTION_START_WINDOW_S)
    machine = quiet.machines[holder]
    assert holders(quiet)
    assert machine.member.action_permitted_until(quiet.clock(machine), LEASE_NAME, "runner-1") <= quiet.clock(
        machine
    )


def test_an_act_that_no_quorum_heard_of_is_not_permitted(quiet: SimulatedCluster) -> None:
    (holder,) = holders(quiet)
    quiet.links.is_cut = lambda sender, receiver: holder in (sender, receiver)
    assert not announce(quiet, holder, "runner-1")


def test_who_holds_no_lease_is_permitted_nothing(quiet: SimulatedCluster) -> None:
    (holder,) = holders(quiet)
    other = next(address for address in quiet.machines if address != holder)
    assert not announce(quiet, other, "runner-1")
    assert quiet.machines[other].announcements == set()


def test_a_successor_whose_witnesses_have_forgotten_waits_at_every_target(quiet: SimulatedCluster) -> None:
    (old,) = holders(quiet)
    assert announce(quiet, old, "runner-1")
    quiet.kill(old)
    others = [address for address in quiet.machines if address != old]
    for address in others:
        quiet.kill(address)
        quiet.start(address)
    restarted_at = quiet.now
    new = successor_of(quiet, old)
    while not announce(quiet, new, "runner-2"):
        assert quiet.now < restarted_at + 3 * LEASE_TERM_S
    assert quiet.now - restarted_at >= LEASE_TERM_S + ACTION_DELIVERY_S


def test_the_same_holder_acts_at_once_after_a_restart_of_all(quiet: SimulatedCluster) -> None:
    (old,) = holders(quiet)
    assert announce(quiet, old, "runner-1")
    quiet.run(1.0)
    for address in quiet.machines:
        quiet.kill(address)
        quiet.start(address)
    restarted_at = quiet.now
    assert quiet.run_until(lambda: old in holders(quiet), LEASE_TERM_S)
    assert announce(quiet, old, "runner-1")
    assert quiet.now - restarted_at < 2.0


# ---- what a new holder learns ----


def knows(since_s: float, **ages_s: float) -> KnownActions:
    ages = {target.replace("_", "-"): age_s for target, age_s in ages_s.items()}
    return KnownActions(since_s, ages, since_s, {})


def test_targets_are_free_only_once_a_quorum_of_witnesses_has_told_what_it_knows() -> None:
    learned = PredecessorActions(separation_s(LEASE_TERM_S))
    learned.observe(10.0, "a", knows(9.0))
    learned.evaluate(VIEW)
    assert learned.free_at("runner-1") == inf
    learned.observe(10.0, "b", knows(1.0, runner_2=0.5))
    learned.evaluate(VIEW)
    assert learned.free_at("runner-1") == pytest.approx(9.0 + separation_s(LEASE_TERM_S))
    assert learned.free_at("runner-2") == pytest.approx(9.5 + separation_s(LEASE_TERM_S))


def test_a_late_witness_that_knows_more_ends_the_wait_for_one_that_has_forgotten() -> None:
    learned = PredecessorActions(separation_s(LEASE_TERM_S))
    learned.observe(10.0, "a", knows(9.0))
    learned.observe(10.0, "b", knows(1.0))
    learned.evaluate(VIEW)
    learned.observe(10.2, "c", knows(9.0, runner_1=2.0))
    learned.evaluate(VIEW)
    assert learned.unreported_targets_free_at <= 10.2
    assert (
        learned.all_targets_free_at
        == learned.free_at("runner-1")
        == pytest.approx(8.2 + separation_s(LEASE_TERM_S))
    )


def test_acts_that_may_go_on_without_an_announcement_are_waited_for() -> None:
    learned = PredecessorActions(separation_s(LEASE_TERM_S))
    for each in ("a", "b"):
        learned.observe(10.0, each, knows(-2.0))
    learned.evaluate(VIEW)
    assert learned.unreported_targets_free_at == pytest.approx(12.0 + separation_s(LEASE_TERM_S))


def test_the_history_of_acts_holds_own_ones_of_an_earlier_life_as_far_as_a_quorum_remembers() -> None:
    learned = PredecessorActions(separation_s(LEASE_TERM_S))
    learned.observe(10.0, "a", KnownActions(9.0, {"runner-1": 2.0}, 6.0, {"store-load/1": 3.0}))
    learned.observe(10.0, "b", KnownActions(9.0, {}, 1.0, {}))
    learned.evaluate(VIEW)
    assert learned.history() == ActionHistory(9.0, {"runner-1": 8.0, "store-load/1": 7.0})
    learned.observe(10.0, "c", KnownActions(9.0, {}, 6.5, {"store-load/2": 1.0}))
    learned.evaluate(VIEW)
    assert learned.history().complete_since == 4.0
    assert "store-load/2" in learned.history().announced_at
    assert learned.free_at("store-load/1") < 10.0  # an own act is waited for by nobody


# ---- a witness and announced acts ----


def ask_with_acts(
    token: int, *targets: str, is_renewal: bool = True, is_sole_actor: bool = False
) -> LeaseRequest:
    return LeaseRequest(
        "placer", token, is_renewal, 1, 1, is_renewal, ActionAnnouncement(targets, is_sole_actor)
    )


def test_a_witness_tells_a_new_holder_of_the_acts_of_others_and_of_no_own_ones() -> None:
    asked = witness(SimulatedDisk())
    asked.handle_request(0.0, "x", ask_with_acts(1, is_renewal=False), VIEW)
    asked.handle_request(0.1, "x", ask_with_acts(1, "runner-1"), VIEW)
    granted = asked.handle_request(1.2, "y", ask_with_acts(2, is_renewal=False), VIEW)
    assert granted.granted
    assert granted.known_actions is not None
    assert granted.known_actions.ages_s == {"runner-1": pytest.approx(1.1)}
    assert granted.known_actions.known_s >= separation_s(LEASE_TERM_S)
    assert (
        asked.handle_request(1.3, "y", ask_with_acts(2), VIEW).known_actions is None
    )  # not with each renewal
    again = asked.handle_request(2.5, "x", ask_with_acts(3, is_renewal=False), VIEW)
    assert again.known_actions is not None
    assert again.known_actions.ages_s == {}


def test_a_witness_refuses_announcements_under_a_token_below_the_one_it_granted_last() -> None:
    asked = witness(SimulatedDisk())
    asked.handle_request(0.0, "x", ask_with_acts(1, is_renewal=False), VIEW)
    assert asked.handle_request(1.1, "y", ask_with_acts(2, is_renewal=False), VIEW).granted
    asked.release("y", LeaseRelease("placer", 2))
    assert not asked.handle_request(1.2, "x", ask_with_acts(1, "runner-1"), VIEW).granted


def test_a_restarted_witness_says_since_when_it_knows_announcements_unless_the_asker_alone_acted() -> None:
    disk = SimulatedDisk()
    before = witness(disk)
    before.handle_request(0.0, "x", ask_with_acts(1, is_renewal=False), VIEW)
    before.handle_request(0.1, "x", ask_with_acts(1, "runner-1", is_sole_actor=True), VIEW)
    after = witness(disk)
    after.observe_restart(1.0)
    own = after.handle_request(1.5, "x", ask_with_acts(2, is_renewal=False), VIEW)
    assert own.known_actions is not None
    assert own.known_actions.known_s >= separation_s(LEASE_TERM_S)
    other = after.handle_request(4.5, "y", ask_with_acts(3, is_renewal=False), VIEW)
    assert other.known_actions is not None
    assert other.known_actions.known_s == pytest.approx(3.5)


def test_a_holder_of_an_earlier_version_has_a_whole_term_in_which_it_may_act_on_anything() -> None:
    asked = witness(SimulatedDisk())
    asked.handle_request(0.0, "x", LeaseRequest("placer", 1, False, 1, 1, True), VIEW)
    assert not asked.handle_request(2.9, "y", ask_with_acts(2, is_renewal=False), VIEW).granted
    granted = asked.handle_request(3.5, "y", ask_with_acts(2, is_renewal=False), VIEW)
    assert granted.known_actions is not None
    assert granted.known_actions.known_s == pytest.approx(0.5)


def test_an_earlier_version_asks_for_no_acts_is_told_none_and_waits_a_term_for_the_lease() -> None:
    asked = witness(SimulatedDisk())
    asked.handle_request(0.0, "x", ask_with_acts(1, is_renewal=False), VIEW)
    assert not asked.handle_request(2.9, "y", ask(2), VIEW).granted
    reply = asked.handle_request(3.0, "y", ask(2), VIEW)
    assert reply.granted
    assert reply.known_actions is None


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

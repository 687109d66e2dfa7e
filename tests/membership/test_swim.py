"""The membership protocol of many processes on a simulated network in virtual time."""

from random import Random

import pytest

from larchgw.emulator.datagrams import DatagramNetwork, Link
from larchgw.membership.member import MemberState
from larchgw.membership.settings import SwimSettings
from larchgw.membership.swim import Swim

SETTINGS = SwimSettings()


def address(number: int) -> str:
    return f"10.0.{number // 200}.{number % 200 + 1}:7661"


SEEDS = [address(n) for n in range(3)]


def start_network(
    count: int, seed: int = 1, link: Link | None = None, run_s: float = 10.0
) -> tuple[DatagramNetwork, list[Swim]]:
    """Starts three control processes, which are the seeds, and edges, all within 0.3 s."""
    network = DatagramNetwork(seed, link)
    random = Random(seed)
    swims = [
        network.start(
            address(n),
            "control" if n < 3 else "edge",
            SEEDS,
            random.uniform(0.0, 0.3),
            f"10.0.0.{n + 1}:7660" if n < 3 else "",
        )
        for n in range(count)
    ]
    network.run(run_s)
    return network, swims


def member_counts(network: DatagramNetwork) -> set[int]:
    """Returns the distinct numbers of members that the running processes see."""
    return {len(process.swim.members()) for process in network.processes.values() if process.running}


def observed_states(network: DatagramNetwork, of: str, since: float = 0.0) -> set[MemberState]:
    """Returns the states of a process that others have observed."""
    return {member.state for time, _, member in network.changes if member.address == of and time >= since}


def processes_that_observed_death(network: DatagramNetwork, of: str) -> set[str]:
    return {
        who for _, who, member in network.changes if member.address == of and member.state is MemberState.DEAD
    }


def test_processes_started_together_find_each_other_from_seeds() -> None:
    network, swims = start_network(11)
    assert member_counts(network) == {11}
    assert all((swim.count("edge"), swim.count("control")) == (8, 3) for swim in swims)
    assert {member.address_rpc for member in swims[5].members("control")} == {
        f"10.0.0.{n + 1}:7660" for n in range(3)
    }


def test_hundred_processes_that_join_at_once_do_not_overload_the_seeds() -> None:
    network, _ = start_network(100)
    assert member_counts(network) == {100}
    assert max(process.bytes for process in network.processes.values()) < 200_000


def test_traffic_of_an_idle_member_is_low_at_any_number_of_members() -> None:
    for count in (11, 80):
        network, _ = start_network(count, run_s=20.0)
        before = {a: (p.datagrams, p.bytes) for a, p in network.processes.items()}
        network.run(30.0)
        for a, process in network.processes.items():
            assert (process.datagrams - before[a][0]) / 30.0 < 4.0
            assert (process.bytes - before[a][1]) / 30.0 < 500.0


def test_only_the_killed_process_is_declared_dead_by_all() -> None:
    network, _ = start_network(20)
    network.kill(address(7))
    network.run(15.0)
    assert member_counts(network) == {19}
    dead = {member.address for _, _, member in network.changes if member.state is MemberState.DEAD}
    assert dead == {address(7)}
    assert [m.name for m in network.processes[address(0)].swim.dead("edge")] == [f"edge-{address(7)}"]


def test_suspect_counts_as_member_until_it_is_dead() -> None:
    network, swims = start_network(11)
    network.kill(address(10))
    while not any(m.state is MemberState.SUSPECT for m in swims[3].members()):
        network.run(0.1)
    assert swims[3].count("edge") == 8


def test_suspicion_after_a_short_pause_is_refuted_and_nobody_is_declared_dead() -> None:
    network, _ = start_network(11)
    network.freeze(address(6), 3.0)
    network.run(30.0)
    assert observed_states(network, address(6)) >= {MemberState.ALIVE, MemberState.SUSPECT}
    assert not any(member.state is MemberState.DEAD for _, _, member in network.changes)
    assert member_counts(network) == {11}


def test_member_behind_one_bad_link_is_kept_alive_by_indirect_probes() -> None:
    network, swims = start_network(11)
    network.lost_paths.add((address(4), address(5)))
    network.lost_paths.add((address(5), address(4)))
    network.run(120.0)
    assert not observed_states(network, address(5), since=110.0)
    assert not observed_states(network, address(4), since=110.0)


def test_nobody_is_declared_dead_while_one_link_loses_one_way() -> None:
    network, _ = start_network(11)
    network.lost_paths.add((address(4), address(5)))
    network.run(120.0)
    assert not any(member.state is MemberState.DEAD for _, _, member in network.changes)


def test_process_resumed_after_a_long_pause_declares_nobody_dead_and_rejoins() -> None:
    network, _ = start_network(20)
    network.freeze(address(3), 40.0)
    network.run(39.0)
    assert len(processes_that_observed_death(network, address(3))) == 19
    network.run(31.0)
    assert all(
        member.address == address(3)
        for _, _, member in network.changes
        if member.state in (MemberState.SUSPECT, MemberState.DEAD)
    )
    assert member_counts(network) == {20}


def test_processes_that_are_all_paused_at_once_stay_members() -> None:
    network, _ = start_network(20)
    for n in range(20):
        network.freeze(address(n), 20.0)
    network.run(60.0)
    assert not any(member.state is MemberState.DEAD for _, _, member in network.changes)


def test_restarted_process_is_a_new_incarnation_at_the_same_address() -> None:
    network, swims = start_network(11)
    old = network.processes[address(8)].swim.local_member.incarnation
    network.kill(address(8))
    new = network.start(address(8), "edge", SEEDS, delay=0.5)
    network.run(10.0)
    seen = [
        (member.incarnation, member.state)
        for _, who, member in network.changes
        if who == address(2) and member.address == address(8)
    ]
    assert seen[-2:] == [(old, MemberState.DEAD), (new.local_member.incarnation, MemberState.ALIVE)]
    assert member_counts(network) == {11}
    assert swims[0].count("edge") == 8


def test_restart_with_a_clock_set_back_is_accepted() -> None:
    network, _ = start_network(5)
    network.kill(address(4))
    swim = network.start(address(4), "edge", SEEDS, clock_error=-50.0)
    network.run(10.0)
    assert member_counts(network) == {5}
    assert swim.local_member in network.processes[address(1)].swim.members()


def test_graceful_leave_is_notified_at_once_and_is_not_a_death() -> None:
    network, _ = start_network(30)
    network.leave(address(12))
    network.run(3.0)
    assert member_counts(network) == {29}
    assert observed_states(network, address(12), since=network.now - 3.0) == {MemberState.LEFT}


def test_partition_heals() -> None:
    network, swims = start_network(20)
    network.part([address(n) for n in range(10)], [address(n) for n in range(10, 20)])
    network.run(60.0)
    assert member_counts(network) == {10}
    network.part()
    network.run(40.0)
    assert member_counts(network) == {20}


def test_partition_heals_after_dead_members_were_forgotten() -> None:
    network, swims = start_network(11)
    network.part([address(n) for n in range(5)], [address(n) for n in range(5, 11)])
    network.run(SETTINGS.dead_retention_s + 60.0)
    assert swims[0].dead() == []
    network.part()
    network.run(40.0)
    assert member_counts(network) == {11}


def test_process_that_was_partitioned_declares_nobody_dead_after_its_return() -> None:
    network, _ = start_network(20)
    network.part([address(5)])
    network.run(90.0)
    healed = network.now
    network.part()
    network.run(40.0)
    assert member_counts(network) == {20}
    declared_dead = {
        m.address
        for t, who, m in network.changes
        if m.state is MemberState.DEAD and t >= healed and who != address(5)
    }
    assert declared_dead == set()


def test_seeds_that_are_stale_or_not_yet_listening_are_tried_again() -> None:
    network = DatagramNetwork(1)
    stale = [address(100), address(101), address(2)]
    swims = [network.start(address(n), "edge", stale) for n in range(3, 6)]
    network.run(20.0)
    assert member_counts(network) == {1}
    network.start(address(2), "control", stale)
    network.run(15.0)
    assert member_counts(network) == {4}
    assert {m.address for m in swims[0].members()} == {address(n) for n in range(2, 6)}  # no stale seed


def test_replaced_seeds_are_contacted_at_once() -> None:
    network = DatagramNetwork(1)
    network.start(address(2), "control", [])
    joining = network.start(address(3), "edge", [address(100)])
    network.run(30.0)
    joining.join([address(2)])
    network.run(1.5)
    assert member_counts(network) == {2}


def test_unresponsive_seed_is_contacted_with_backoff() -> None:
    network = DatagramNetwork(1)
    network.start(address(3), "edge", [address(100)])
    network.run(100.0)
    assert 100.0 / SETTINGS.max_join_period_s * 0.7 < network.processes[address(3)].datagrams < 60


def test_a_replaced_control_process_is_known_at_its_new_address() -> None:
    network, swims = start_network(11)
    network.kill(address(1))
    network.start(address(50), "control", [address(1), address(0), address(2)], address_rpc="10.0.0.51:7660")
    network.run(20.0)
    assert {m.address for m in swims[0].members("control")} == {address(0), address(2), address(50)}
    assert [m.address for m in swims[0].dead("control")] == [address(1)]


@pytest.mark.parametrize("seed", range(4))
def test_loss_duplicates_and_reordering_lose_no_member(seed: int) -> None:
    network, _ = start_network(30, seed, Link(delay=0.002, spread=0.2, loss=0.05, duplicates=0.1))
    network.run(180.0)
    assert not any(member.state is MemberState.DEAD for _, _, member in network.changes)
    assert member_counts(network) == {30}
    network.kill(address(20))
    network.run(25.0)
    assert member_counts(network) == {29}


def test_same_random_seed_gives_the_same_run() -> None:
    first, _ = start_network(15, seed=3, link=Link(loss=0.1))
    second, _ = start_network(15, seed=3, link=Link(loss=0.1))
    assert first.changes == second.changes
    assert first.kinds == second.kinds


def test_invariants_of_member_states_hold_through_faults() -> None:
    network, swims = start_network(12, seed=5, link=Link(loss=0.1, spread=0.05, duplicates=0.05))
    network.kill(address(7))
    network.freeze(address(4), 4.0)
    network.leave(address(9))
    network.part([address(n) for n in range(5)], [address(n) for n in range(5, 12)])
    for second in range(int(SETTINGS.dead_retention_s) + 60):
        if second == 60:
            network.part()
            network.start(address(7), "edge", SEEDS)
        network.run(1.0)
        for swim in swims:
            swim.validate()

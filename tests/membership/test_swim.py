"""The membership protocol among processes on a network in virtual time."""

from dataclasses import replace
from random import Random

import pytest

from larchgw.emulator.datagrams import DatagramNetwork, Link
from larchgw.membership.codec import Draft, Kind, Message, Update, decode
from larchgw.membership.member import Member, MemberState
from larchgw.membership.settings import SwimSettings
from larchgw.membership.swim import Swim

SETTINGS = SwimSettings()


def address(number):
    return f"10.0.{number // 200}.{number % 200 + 1}:7661"


SEEDS = [address(n) for n in range(3)]


def fleet(count, seed=1, link=None, settled=10.0):
    """Three control processes, which are the seeds, and edges; all started within 0.3 s."""
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
    network.run(settled)
    return network, swims


def sizes(network):
    return {len(process.swim.members()) for process in network.processes.values() if process.running}


def states(network, of, since=0.0):
    """Which states of a process the others were told of."""
    return {member.state for time, _, member in network.changes if member.address == of and time >= since}


def others_that_saw_dead(network, of):
    return {
        who for _, who, member in network.changes if member.address == of and member.state is MemberState.DEAD
    }


def test_processes_started_together_find_each_other_from_seeds():
    network, swims = fleet(11)
    assert sizes(network) == {11}
    assert all((swim.count("edge"), swim.count("control")) == (8, 3) for swim in swims)
    assert {member.address_rpc for member in swims[5].members("control")} == {
        f"10.0.0.{n + 1}:7660" for n in range(3)
    }


def test_a_hundred_join_at_once_without_a_storm_at_the_seeds():
    network, _ = fleet(100)
    assert sizes(network) == {100}
    assert max(process.bytes for process in network.processes.values()) < 200_000


def test_a_quiet_member_costs_little_and_the_same_at_any_size():
    for count in (11, 80):
        network, _ = fleet(count, settled=20.0)
        before = {a: (p.datagrams, p.bytes) for a, p in network.processes.items()}
        network.run(30.0)
        for a, process in network.processes.items():
            assert (process.datagrams - before[a][0]) / 30.0 < 4.0
            assert (process.bytes - before[a][1]) / 30.0 < 500.0


def test_a_killed_process_is_found_dead_by_all_and_no_other():
    network, _ = fleet(20)
    network.kill(address(7))
    network.run(15.0)
    assert sizes(network) == {19}
    dead = {member.address for _, _, member in network.changes if member.state is MemberState.DEAD}
    assert dead == {address(7)}
    assert [m.name for m in network.processes[address(0)].swim.dead("edge")] == [f"edge-{address(7)}"]


def test_a_suspect_counts_until_it_is_dead():
    network, swims = fleet(11)
    network.kill(address(10))
    while not any(m.state is MemberState.SUSPECT for m in swims[3].members()):
        network.run(0.1)
    assert swims[3].count("edge") == 8


def test_a_short_silence_is_refuted_and_nobody_is_declared_dead():
    network, _ = fleet(11)
    network.freeze(address(6), 3.0)
    network.run(30.0)
    assert states(network, address(6)) >= {MemberState.ALIVE, MemberState.SUSPECT}
    assert not any(member.state is MemberState.DEAD for _, _, member in network.changes)
    assert sizes(network) == {11}


def test_indirect_probes_keep_a_member_alive_behind_one_bad_link():
    network, swims = fleet(11)
    network.lost_paths.add((address(4), address(5)))
    network.lost_paths.add((address(5), address(4)))
    network.run(120.0)
    assert not states(network, address(5), since=110.0) and not states(network, address(4), since=110.0)


def test_a_one_way_loss_is_survived_too():
    network, _ = fleet(11)
    network.lost_paths.add((address(4), address(5)))
    network.run(120.0)
    assert not any(member.state is MemberState.DEAD for _, _, member in network.changes)


def test_a_thawed_process_declares_nobody_dead_and_comes_back():
    network, _ = fleet(20)
    network.freeze(address(3), 40.0)
    network.run(39.0)
    assert len(others_that_saw_dead(network, address(3))) == 19
    network.run(31.0)
    assert all(
        member.address == address(3)
        for _, _, member in network.changes
        if member.state in (MemberState.SUSPECT, MemberState.DEAD)
    )
    assert sizes(network) == {20}


def test_all_processes_frozen_at_once_stay_members():
    network, _ = fleet(20)
    for n in range(20):
        network.freeze(address(n), 20.0)
    network.run(60.0)
    assert not any(member.state is MemberState.DEAD for _, _, member in network.changes)


def test_a_restarted_process_is_a_new_life_at_the_same_address():
    network, swims = fleet(11)
    old = network.processes[address(8)].swim.me.incarnation
    network.kill(address(8))
    new = network.start(address(8), "edge", SEEDS, delay=0.5)
    network.run(10.0)
    seen = [
        (member.incarnation, member.state)
        for _, who, member in network.changes
        if who == address(2) and member.address == address(8)
    ]
    assert seen[-2:] == [(old, MemberState.DEAD), (new.me.incarnation, MemberState.ALIVE)]
    assert sizes(network) == {11}
    assert swims[0].count("edge") == 8


def test_a_restart_with_a_clock_that_went_back_is_believed():
    network, _ = fleet(5)
    network.kill(address(4))
    swim = network.start(address(4), "edge", SEEDS, clock_error=-50.0)
    network.run(10.0)
    assert sizes(network) == {5}
    assert swim.me in network.processes[address(1)].swim.members()


def test_a_planned_end_is_told_at_once_and_is_no_death():
    network, _ = fleet(30)
    network.leave(address(12))
    network.run(3.0)
    assert sizes(network) == {29}
    assert states(network, address(12), since=network.now - 3.0) == {MemberState.LEFT}


def test_parted_halves_find_each_other_again():
    network, swims = fleet(20)
    network.part([address(n) for n in range(10)], [address(n) for n in range(10, 20)])
    network.run(60.0)
    assert sizes(network) == {10}
    network.part()
    network.run(40.0)
    assert sizes(network) == {20}


def test_parted_halves_heal_after_the_dead_were_forgotten():
    network, swims = fleet(11)
    network.part([address(n) for n in range(5)], [address(n) for n in range(5, 11)])
    network.run(SETTINGS.dead_retention_s + 60.0)
    assert swims[0].dead() == []
    network.part()
    network.run(40.0)
    assert sizes(network) == {11}


def test_one_that_was_cut_off_kills_nobody_when_it_is_back():
    network, _ = fleet(20)
    network.part([address(5)])
    network.run(90.0)
    healed = network.now
    network.part()
    network.run(40.0)
    assert sizes(network) == {20}
    blamed = {
        m.address
        for t, who, m in network.changes
        if m.state is MemberState.DEAD and t >= healed and who != address(5)
    }
    assert blamed == set()


def test_seeds_that_are_stale_or_not_yet_listening_are_tried_again():
    network = DatagramNetwork(1)
    stale = [address(100), address(101), address(2)]
    swims = [network.start(address(n), "edge", stale) for n in range(3, 6)]
    network.run(20.0)
    assert sizes(network) == {1}
    network.start(address(2), "control", stale)
    network.run(15.0)
    assert sizes(network) == {4}
    assert {m.address for m in swims[0].members()} == {address(n) for n in range(2, 6)}  # no stale seed


def test_exchanged_seeds_are_asked_at_once():
    network = DatagramNetwork(1)
    network.start(address(2), "control", [])
    lost = network.start(address(3), "edge", [address(100)])
    network.run(30.0)
    lost.join([address(2)])
    network.run(1.5)
    assert sizes(network) == {2}


def test_a_seed_that_answers_nothing_useful_is_asked_ever_more_seldom():
    network = DatagramNetwork(1)
    network.start(address(3), "edge", [address(100)])
    network.run(100.0)
    assert 100.0 / SETTINGS.max_join_period_s * 0.7 < network.processes[address(3)].datagrams < 60


def test_a_replaced_control_process_is_known_at_its_new_address():
    network, swims = fleet(11)
    network.kill(address(1))
    network.start(address(50), "control", [address(1), address(0), address(2)], address_rpc="10.0.0.51:7660")
    network.run(20.0)
    assert {m.address for m in swims[0].members("control")} == {address(0), address(2), address(50)}
    assert [m.address for m in swims[0].dead("control")] == [address(1)]


@pytest.mark.parametrize("seed", range(4))
def test_loss_duplicates_and_disorder_lose_no_member(seed):
    network, _ = fleet(30, seed, Link(delay=0.002, spread=0.2, loss=0.05, duplicates=0.1))
    network.run(180.0)
    assert not any(member.state is MemberState.DEAD for _, _, member in network.changes)
    assert sizes(network) == {30}
    network.kill(address(20))
    network.run(25.0)
    assert sizes(network) == {29}


def test_the_same_seed_plays_the_same_way():
    first, _ = fleet(15, seed=3, link=Link(loss=0.1))
    second, _ = fleet(15, seed=3, link=Link(loss=0.1))
    assert first.changes == second.changes
    assert first.kinds == second.kinds


# One process against a scripted peer


ME = Member("edge-1", "10.0.0.1:7662", "edge", 1000, "zone-a")
PEER = Member("control-1", "10.0.0.2:7661", "control", 2000)


def alone(settings=SETTINGS):
    swim = Swim(ME, settings, Random(1))
    swim.tick(0.0)
    return swim


def told(swim, now, *members, accuser="", kind=Kind.GOSSIP, sender=PEER):
    message = Message(kind, 5, sender, updates=[Update(member, accuser) for member in members])
    return swim.receive(now, sender.address, Draft(message).finish())


def test_a_suspicion_of_oneself_is_refuted_in_the_next_datagram():
    swim = alone()
    told(swim, 0.1, replace(ME, state=MemberState.SUSPECT), accuser=PEER.address)
    answers = [decode(d.data) for d in swim.tick(0.2)]
    assert answers and all(a.sender.refutations == 1 and a.sender.state is MemberState.ALIVE for a in answers)
    assert swim.health_score == 1


def test_an_old_suspicion_of_oneself_is_ignored():
    swim = alone()
    told(swim, 0.1, replace(ME, state=MemberState.SUSPECT, refutations=4))
    told(swim, 0.1, replace(ME, state=MemberState.SUSPECT, refutations=2))
    told(swim, 0.1, replace(ME, state=MemberState.DEAD, incarnation=900))
    assert (swim.me.refutations, swim.me.incarnation) == (5, 1000)


def test_a_death_that_no_suspicion_preceded_is_asked_about_and_then_a_suspicion():
    swim = alone()
    victim = replace(ME, address="10.0.0.9:7662")
    dead = replace(victim, state=MemberState.DEAD)
    told(swim, 0.1, victim)
    told(swim, 0.2, dead)
    assert victim in swim.members()
    asked = [decode(d.data).updates[0] for d in swim.tick(0.3) if d.address == victim.address]
    assert Update(dead) in asked
    for step in range(4, 15):
        swim.tick(step / 10)
    assert [m.state for m in swim.members() if m.address == victim.address] == [MemberState.SUSPECT]


def test_a_death_that_its_member_contradicts_changes_nothing():
    swim = alone()
    victim = replace(ME, address="10.0.0.9:7662")
    told(swim, 0.1, victim)
    told(swim, 0.2, replace(victim, state=MemberState.DEAD))
    swim.tick(0.3)
    refuted = replace(victim, refutations=1)
    told(swim, 0.4, kind=Kind.ACK, sender=refuted)
    changes = []
    swim.on_change = changes.append
    for step in range(5, 15):
        swim.tick(step / 10)
    assert refuted in swim.members()
    assert [member for member in changes if member.address == victim.address] == []


def test_a_death_of_a_suspect_is_believed():
    swim = alone()
    victim = replace(ME, address="10.0.0.9:7662")
    told(swim, 0.1, replace(victim, state=MemberState.SUSPECT), accuser=PEER.address)
    told(swim, 0.2, replace(victim, state=MemberState.DEAD))
    assert swim.dead() == []  # too soon: it had no time to refute the suspicion
    for step in range(3, 23):
        swim.tick(step / 10)
    told(swim, 2.3, replace(victim, state=MemberState.DEAD))
    assert [m.address for m in swim.dead()] == [victim.address]


def test_a_stale_report_does_not_bring_a_forgotten_member_back():
    swim = alone()
    told(swim, 0.1, replace(ME, address="10.0.0.9:7662", state=MemberState.DEAD))
    assert swim.members() == [ME, PEER] and swim.dead() == []


def time_to_death(accusers):
    swim = alone()
    victim = replace(ME, address="10.0.0.99:7662")
    told(swim, 0.1, *(replace(ME, address=f"10.0.0.{n}:7662") for n in range(10, 16)))
    for accuser in accusers:
        told(swim, 0.1, replace(victim, state=MemberState.SUSPECT), accuser=accuser)
    step = 1
    while swim.dead() == []:
        swim.tick(step / 10)
        step += 1
    return step / 10


def test_a_suspicion_ends_sooner_as_independent_members_confirm_it():
    lone = time_to_death(["10.0.0.10:7662"])
    repeated = time_to_death(["10.0.0.10:7662"] * 4)
    confirmed = time_to_death([f"10.0.0.{n}:7662" for n in range(10, 14)])
    assert lone == repeated
    assert confirmed < lone / 2.5


def test_a_suspect_is_asked_itself_before_it_is_declared_dead():
    swim = alone()
    victim = replace(ME, address="10.0.0.9:7662")
    for n in range(20):  # so many that the round of probes does not come to the victim by chance
        told(swim, 0.1, *(replace(ME, address=f"10.1.{n}.{m}:7662") for m in range(10)))
    told(swim, 0.1, replace(victim, state=MemberState.SUSPECT), accuser=PEER.address)
    asked = []
    step = 2
    while not swim.dead():
        asked += [
            step / 10
            for d in swim.tick(step / 10)
            if d.address == victim.address and decode(d.data).updates[:1]
        ]
        step += 1
    assert asked and step / 10 - asked[-1] <= SETTINGS.final_ping_lead_s + 0.2


def test_however_many_are_suspect_none_is_declared_dead_before_it_was_asked():
    swim = alone()
    victims = [replace(ME, address=f"10.0.1.{n}:7662", state=MemberState.SUSPECT) for n in range(40)]
    for n in range(0, 40, 10):
        told(swim, 0.1, *victims[n : n + 10], accuser=PEER.address)
    asked = set()
    step = 2
    while len(swim.dead()) < 40:
        asked |= {d.address for d in swim.tick(step / 10)}
        assert {member.address for member in swim.dead()} <= asked
        step += 1


def test_an_answer_to_a_frozen_probe_or_its_lack_accuses_nobody():
    swim = alone()
    told(swim, 0.1, replace(PEER, refutations=1))
    swim.tick(0.2)  # begins a probe of the peer
    swim.tick(30.0)
    swim.tick(30.1)
    assert all(m.state is MemberState.ALIVE for m in swim.members())
    assert swim.health_score > 0


def test_an_unhealthy_member_probes_more_slowly():
    swim = alone()
    told(swim, 0.1, PEER)
    for refutations in range(3):
        told(swim, 0.1, replace(ME, state=MemberState.SUSPECT, refutations=refutations))
    pings = []
    for step in range(2, 62):
        pings += [step for d in swim.tick(step / 10) if decode(d.data).kind is Kind.PING]
    assert len(pings) <= 2


def test_a_helper_says_when_its_probe_has_no_answer():
    swim = alone()
    request = Message(Kind.PING_REQUEST, 77, PEER, target="10.0.0.9:7662")
    first = swim.receive(0.1, PEER.address, Draft(request).finish())
    assert [(d.address, decode(d.data).kind) for d in first] == [("10.0.0.9:7662", Kind.PING)]
    later = [decode(d.data) for step in range(2, 9) for d in swim.tick(step / 10)]
    assert [m.sequence for m in later if m.kind is Kind.NACK] == [77]


def test_a_helper_passes_the_answer_on():
    swim = alone()
    request = Message(Kind.PING_REQUEST, 77, PEER, target="10.0.0.9:7662")
    ping = decode(swim.receive(0.1, PEER.address, Draft(request).finish())[0].data)
    target = replace(ME, address="10.0.0.9:7662")
    answer = swim.receive(0.2, target.address, Draft(Message(Kind.ACK, ping.sequence, target)).finish())
    assert [(d.address, decode(d.data).kind, decode(d.data).sequence) for d in answer] == [
        (PEER.address, Kind.ACK, 77)
    ]


def test_one_that_left_says_nothing_more():
    swim = alone()
    told(swim, 0.1, PEER)
    assert [decode(d.data).sender.state for d in swim.leave(0.2)] == [MemberState.LEFT]
    assert swim.tick(0.3) == [] and told(swim, 0.4, PEER, kind=Kind.PING) == []

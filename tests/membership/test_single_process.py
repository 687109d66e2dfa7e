"""One process of the membership protocol against a scripted peer."""

from collections.abc import Iterable
from dataclasses import replace
from random import Random

import pytest

from larchgw.membership.codec import DatagramBuilder, decode
from larchgw.membership.member import Member, MemberState
from larchgw.membership.messages import Ack, Gossip, Message, MessageKind, Ping, PingRequest, Update
from larchgw.membership.settings import SwimSettings
from larchgw.membership.swim import Datagram, Swim

SETTINGS = SwimSettings()
ME = Member("edge-1", "10.0.0.1:7662", "edge", 1000, "zone-a")
PEER = Member("control-1", "10.0.0.2:7661", "control", 2000)


def started_swim() -> Swim:
    swim = Swim(ME, SETTINGS, Random(1))
    swim.tick(0.0)
    return swim


@pytest.fixture
def swim() -> Swim:
    """Returns the protocol state of a process that knows no other."""
    return started_swim()


def deliver(
    swim: Swim,
    now: float,
    *members: Member,
    accuser: str = "",
    message_type: type[Message] = Gossip,
    sender: Member = PEER,
) -> list[Datagram]:
    """Delivers a message from `sender` with one update per member; returns the answers."""
    updates = tuple(Update(member, accuser) for member in members)
    message = message_type(5, sender, updates=updates)
    return swim.receive(now, sender.address, DatagramBuilder(message).build())


def test_suspicion_of_this_process_is_refuted_in_the_next_datagram(swim: Swim) -> None:
    deliver(swim, 0.1, replace(ME, state=MemberState.SUSPECT), accuser=PEER.address)
    answers = [decode(d.data) for d in swim.tick(0.2)]
    assert answers
    assert all(a.sender.refutations == 1 and a.sender.state is MemberState.ALIVE for a in answers)
    assert swim.health_score == 1


def test_outdated_suspicion_of_this_process_is_ignored(swim: Swim) -> None:
    deliver(swim, 0.1, replace(ME, state=MemberState.SUSPECT, refutations=4))
    deliver(swim, 0.1, replace(ME, state=MemberState.SUSPECT, refutations=2))
    deliver(swim, 0.1, replace(ME, state=MemberState.DEAD, incarnation=900))
    assert (swim.local_member.refutations, swim.local_member.incarnation) == (5, 1000)


def test_death_without_a_preceding_suspicion_is_verified_and_then_becomes_a_suspicion(swim: Swim) -> None:
    victim = replace(ME, address="10.0.0.9:7662")
    dead = replace(victim, state=MemberState.DEAD)
    deliver(swim, 0.1, victim)
    deliver(swim, 0.2, dead)
    assert victim in swim.members()
    reported = [decode(d.data).updates[0] for d in swim.tick(0.3) if d.address == victim.address]
    assert Update(dead) in reported
    for step in range(4, 15):
        swim.tick(step / 10)
    assert [m.state for m in swim.members() if m.address == victim.address] == [MemberState.SUSPECT]


def test_death_refuted_by_its_member_has_no_effect(swim: Swim) -> None:
    victim = replace(ME, address="10.0.0.9:7662")
    deliver(swim, 0.1, victim)
    deliver(swim, 0.2, replace(victim, state=MemberState.DEAD))
    swim.tick(0.3)
    refuted = replace(victim, refutations=1)
    deliver(swim, 0.4, message_type=Ack, sender=refuted)
    changes: list[Member] = []
    swim.on_change = changes.append
    for step in range(5, 15):
        swim.tick(step / 10)
    assert refuted in swim.members()
    assert [member for member in changes if member.address == victim.address] == []


def test_death_of_a_mature_suspect_is_accepted(swim: Swim) -> None:
    victim = replace(ME, address="10.0.0.9:7662")
    deliver(swim, 0.1, replace(victim, state=MemberState.SUSPECT), accuser=PEER.address)
    deliver(swim, 0.2, replace(victim, state=MemberState.DEAD))
    assert swim.dead() == []  # too soon: the member had no time to refute the suspicion
    for step in range(3, 23):
        swim.tick(step / 10)
    deliver(swim, 2.3, replace(victim, state=MemberState.DEAD))
    assert [m.address for m in swim.dead()] == [victim.address]


def test_stale_death_does_not_bring_a_forgotten_member_back(swim: Swim) -> None:
    deliver(swim, 0.1, replace(ME, address="10.0.0.9:7662", state=MemberState.DEAD))
    assert swim.members() == [ME, PEER]
    assert swim.dead() == []


def time_to_death(accusers: Iterable[str]) -> float:
    swim = started_swim()
    victim = replace(ME, address="10.0.0.99:7662")
    deliver(swim, 0.1, *(replace(ME, address=f"10.0.0.{n}:7662") for n in range(10, 16)))
    for accuser in accusers:
        deliver(swim, 0.1, replace(victim, state=MemberState.SUSPECT), accuser=accuser)
    step = 1
    while swim.dead() == []:
        swim.tick(step / 10)
        step += 1
    return step / 10


def test_suspicion_ends_sooner_as_independent_members_confirm_it() -> None:
    one_accuser = time_to_death(["10.0.0.10:7662"])
    repeated_accuser = time_to_death(["10.0.0.10:7662"] * 4)
    several_accusers = time_to_death([f"10.0.0.{n}:7662" for n in range(10, 14)])
    assert one_accuser == repeated_accuser
    assert several_accusers < one_accuser / 2.5


def test_suspect_is_pinged_before_it_is_declared_dead(swim: Swim) -> None:
    victim = replace(ME, address="10.0.0.9:7662")
    for n in range(20):  # so many that a regular probe does not reach the victim by chance
        deliver(swim, 0.1, *(replace(ME, address=f"10.1.{n}.{m}:7662") for m in range(10)))
    deliver(swim, 0.1, replace(victim, state=MemberState.SUSPECT), accuser=PEER.address)
    pinged = []
    step = 2
    while not swim.dead():
        pinged += [
            step / 10
            for d in swim.tick(step / 10)
            if d.address == victim.address and decode(d.data).updates[:1]
        ]
        step += 1
    assert pinged
    assert step / 10 - pinged[-1] <= SETTINGS.final_ping_lead_s + 0.2


def test_no_suspect_of_many_is_declared_dead_before_it_was_pinged(swim: Swim) -> None:
    victims = [replace(ME, address=f"10.0.1.{n}:7662", state=MemberState.SUSPECT) for n in range(40)]
    for n in range(0, 40, 10):
        deliver(swim, 0.1, *victims[n : n + 10], accuser=PEER.address)
    pinged = set()
    step = 2
    while len(swim.dead()) < 40:
        pinged |= {d.address for d in swim.tick(step / 10)}
        assert {member.address for member in swim.dead()} <= pinged
        step += 1


def test_probe_interrupted_by_a_pause_accuses_nobody(swim: Swim) -> None:
    deliver(swim, 0.1, replace(PEER, refutations=1))
    swim.tick(0.2)  # starts a probe of the peer
    swim.tick(30.0)
    swim.tick(30.1)
    assert all(m.state is MemberState.ALIVE for m in swim.members())
    assert swim.health_score > 0


def test_unhealthy_member_probes_more_slowly(swim: Swim) -> None:
    deliver(swim, 0.1, PEER)
    for refutations in range(3):
        deliver(swim, 0.1, replace(ME, state=MemberState.SUSPECT, refutations=refutations))
    pings = []
    for step in range(2, 62):
        pings += [step for d in swim.tick(step / 10) if decode(d.data).kind is MessageKind.PING]
    assert len(pings) <= 2


def test_relay_sends_a_nack_when_its_probe_has_no_answer(swim: Swim) -> None:
    request = PingRequest(77, PEER, target="10.0.0.9:7662")
    first = swim.receive(0.1, PEER.address, DatagramBuilder(request).build())
    assert [(d.address, decode(d.data).kind) for d in first] == [("10.0.0.9:7662", MessageKind.PING)]
    later = [decode(d.data) for step in range(2, 9) for d in swim.tick(step / 10)]
    assert [m.sequence for m in later if m.kind is MessageKind.NACK] == [77]


def test_relay_forwards_the_ack(swim: Swim) -> None:
    request = PingRequest(77, PEER, target="10.0.0.9:7662")
    ping = decode(swim.receive(0.1, PEER.address, DatagramBuilder(request).build())[0].data)
    target = replace(ME, address="10.0.0.9:7662")
    answer = swim.receive(0.2, target.address, DatagramBuilder(Ack(ping.sequence, target)).build())
    assert [(d.address, decode(d.data).kind, decode(d.data).sequence) for d in answer] == [
        (PEER.address, MessageKind.ACK, 77)
    ]


def test_process_that_left_sends_nothing_more(swim: Swim) -> None:
    deliver(swim, 0.1, PEER)
    assert [decode(d.data).sender.state for d in swim.leave(0.2)] == [MemberState.LEFT]
    assert swim.tick(0.3) == []
    assert deliver(swim, 0.4, PEER, message_type=Ping) == []

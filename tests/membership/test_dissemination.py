"""Dissemination of updates: how often, in which order and at what rate they are sent."""

from dataclasses import replace

from larchgw.membership.codec import encode_update
from larchgw.membership.dissemination import Dissemination
from larchgw.membership.member import Member, MemberState
from larchgw.membership.messages import Update
from larchgw.membership.settings import SwimSettings

ME = Member("edge-1", "10.0.0.1:7662", "edge", 1000, "zone-a")


def test_update_is_sent_a_bounded_number_of_times() -> None:
    dissemination = Dissemination(SwimSettings(retransmit_multiplier=4))
    dissemination.add(Update(ME))
    sends = 0
    while dissemination.next_records(1000, 500):
        sends += 1
    assert sends == 12  # 4 x ceil(log10(501))


def test_full_queue_drops_the_update_sent_most_and_keeps_those_not_yet_sent() -> None:
    dissemination = Dissemination(SwimSettings(max_queued_updates=3))
    members = [replace(ME, address=f"10.0.0.{n}:1") for n in range(4)]
    for member in members[:3]:
        dissemination.add(Update(member))
    dissemination.next_records(len(encode_update(Update(members[0]))), 10)  # sends the first one only
    dissemination.add(Update(members[3]))
    assert dissemination.next_records(1000, 10) == [encode_update(Update(member)) for member in members[1:]]


def test_many_updates_at_once_are_sent_at_a_bounded_rate() -> None:
    dissemination = Dissemination(SwimSettings(update_bytes_per_s=100.0, update_burst_bytes=300.0))
    for n in range(60):
        dissemination.add(Update(replace(ME, address=f"10.0.0.{n}:1")))
    sent = 0
    for tenth in range(101):
        dissemination.refill(tenth / 10)
        sent += sum(len(record) for record in dissemination.next_records(1000, 500))
    assert 1000 < sent <= 300 + 10 * 100


def test_refutation_is_sent_before_a_suspicion() -> None:
    dissemination = Dissemination(SwimSettings())
    suspect = Update(replace(ME, address="10.0.0.8:1", state=MemberState.SUSPECT), "10.0.0.7:1")
    refuted = Update(replace(ME, address="10.0.0.9:1", refutations=1))
    dissemination.add(suspect)
    dissemination.add(refuted)
    assert dissemination.next_records(1000, 10) == [encode_update(refuted), encode_update(suspect)]

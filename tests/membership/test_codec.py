"""Datagrams of the membership protocol: what is read back, and bytes that must be ignored."""

from dataclasses import replace
from random import Random
from zlib import crc32

import pytest
from hypothesis import given
from hypothesis import strategies as st

from larchgw.membership.codec import (
    BUCKETS,
    MAX_DATAGRAM_BYTES,
    Cursor,
    DecodeError,
    Draft,
    Kind,
    Message,
    Update,
    decode,
    encode_update,
)
from larchgw.membership.dissemination import Dissemination
from larchgw.membership.member import InvalidMemberError, Member, MemberState, check_member
from larchgw.membership.settings import SwimSettings
from larchgw.membership.swim import Swim

ADDRESSES = st.builds(
    lambda a, b, port: f"10.{a}.{b}.1:{port}", st.integers(0, 255), st.integers(0, 255), st.integers(1, 65535)
)
MEMBERS = st.builds(
    Member,
    name=st.text(max_size=16),
    address=ADDRESSES,
    role=st.sampled_from(["edge", "control"]),
    incarnation=st.integers(0, (1 << 63) - 1),
    zone=st.text(max_size=16),
    address_rpc=st.one_of(st.just(""), ADDRESSES),
    refutations=st.integers(0, 1000),
    state=st.sampled_from(list(MemberState)),
)
UPDATES = st.builds(Update, MEMBERS, st.one_of(st.just(""), ADDRESSES))
ME = Member("edge-1", "10.0.0.1:7662", "edge", 1000, "zone-a")


def ping(**fields):
    return Message(Kind.PING, 7, ME, **fields)


@given(
    st.sampled_from([Kind.PING, Kind.ACK, Kind.NACK, Kind.GOSSIP]),
    st.integers(0, (1 << 32) - 1),
    MEMBERS,
    st.lists(UPDATES, max_size=4),
)
def test_a_datagram_reads_as_it_was_written(kind, sequence, sender, updates):
    message = Message(kind, sequence, sender, digest=sequence, updates=updates)
    assert decode(Draft(message).finish()) == message


@pytest.mark.parametrize(
    "message",
    [
        Message(Kind.PING_REQUEST, 1, ME, target="10.0.0.9:7661"),
        Message(Kind.PULL, 2, ME, buckets=tuple(range(BUCKETS)), cursor=Cursor(3, "10.0.0.9:7661")),
        Message(Kind.PULL, 2, ME, buckets=tuple(range(BUCKETS)), cursor=Cursor()),
        Message(Kind.PAGE, 3, ME, cursor=Cursor(31, "10.0.0.9:7661")),
        Message(Kind.PAGE, 3, ME, cursor=None),
    ],
)
def test_the_fields_of_each_kind_read_as_written(message):
    assert decode(Draft(message).finish()) == message


def test_a_datagram_never_grows_over_its_bound():
    draft = Draft(Message(Kind.PAGE, 1, ME, cursor=Cursor()))
    record = encode_update(Update(replace(ME, name="n" * 64, zone="z" * 64, address_rpc="10.0.0.1:7660")))
    taken = [draft.add(record) for _ in range(20)]
    assert any(taken) and not taken[-1]
    assert len(draft.finish()) <= MAX_DATAGRAM_BYTES


@given(st.binary(max_size=1300))
def test_bytes_of_others_are_no_datagram(data):
    with pytest.raises(DecodeError):
        decode(data)


@given(UPDATES, st.data())
def test_a_datagram_with_a_changed_byte_is_refused(update, data):
    whole = Draft(ping(updates=[update])).finish()
    place = data.draw(st.integers(0, len(whole) - 1))
    changed = bytes((whole[place] ^ data.draw(st.integers(1, 255)),))
    if place == 3:
        return  # the kind alone is outside the checksum; the next test covers it
    with pytest.raises(DecodeError):
        decode(whole[:place] + changed + whole[place + 1 :])


@given(st.binary(min_size=0, max_size=200), st.integers(0, 255))
def test_a_right_checksum_over_garbage_raises_nothing_else(body, kind):
    data = b"lM" + bytes((1, kind)) + crc32(body).to_bytes(4, "big") + body
    try:
        decode(data)
    except DecodeError:
        pass


def test_garbage_is_answered_by_nothing_and_changes_nothing():
    swim = Swim(ME, SwimSettings(), Random(1))
    random = Random(2)
    for _ in range(500):
        assert swim.receive(1.0, "10.0.0.9:1", random.randbytes(random.randrange(300))) == []
    assert swim.members() == [ME]


@pytest.mark.parametrize(
    "member",
    [
        replace(ME, name="n" * 65),
        replace(ME, zone="z" * 65),
        replace(ME, address="host.example:80"),
        replace(ME, address="10.0.0.1"),
        replace(ME, address="10.0.0.1:99999"),
        replace(ME, address_rpc="x"),
        replace(ME, incarnation=-1),
    ],
)
def test_a_member_that_no_datagram_can_describe_is_refused_at_the_start(member):
    with pytest.raises(InvalidMemberError):
        check_member(member)


def test_an_update_is_sent_a_bounded_number_of_times():
    news = Dissemination(SwimSettings(retransmit_multiplier=4))
    news.add(Update(ME))
    sends = 0
    while news.take(1000, 500):
        sends += 1
    assert sends == 12  # 4 x ceil(log10(501))


def test_a_flood_of_updates_is_bounded_and_keeps_those_not_yet_sent():
    news = Dissemination(SwimSettings(max_queued_updates=3))
    members = [replace(ME, address=f"10.0.0.{n}:1") for n in range(4)]
    for member in members[:3]:
        news.add(Update(member))
    news.take(len(encode_update(Update(members[0]))), 10)  # sends the first one only
    news.add(Update(members[3]))
    assert news.take(1000, 10) == [encode_update(Update(member)) for member in members[1:]]


def test_many_updates_at_once_are_sent_at_a_bounded_rate():
    news = Dissemination(SwimSettings(update_bytes_per_s=100.0, update_burst_bytes=300.0))
    for n in range(60):
        news.add(Update(replace(ME, address=f"10.0.0.{n}:1")))
    sent = 0
    for tenth in range(101):
        news.refill(tenth / 10)
        sent += sum(len(record) for record in news.take(1000, 500))
    assert 1000 < sent <= 300 + 10 * 100


def test_refutations_go_before_suspicions():
    news = Dissemination(SwimSettings())
    suspect = Update(replace(ME, address="10.0.0.8:1", state=MemberState.SUSPECT), "10.0.0.7:1")
    refuted = Update(replace(ME, address="10.0.0.9:1", refutations=1))
    news.add(suspect)
    news.add(refuted)
    assert news.take(1000, 10) == [encode_update(refuted), encode_update(suspect)]

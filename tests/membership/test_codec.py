"""Datagrams of the membership protocol: messages are decoded as encoded, and invalid bytes are ignored."""

from contextlib import suppress
from dataclasses import replace
from random import Random
from zlib import crc32

import pytest
from hypothesis import given
from hypothesis import strategies as st

from larchgw.identifiers import RpcAddress
from larchgw.membership.codec import (
    BUCKETS,
    MAX_DATAGRAM_BYTES,
    DatagramBuilder,
    decode,
    encode_update,
)
from larchgw.membership.errors import DatagramDecodeError, InvalidMemberError
from larchgw.membership.member import Member, MemberState, check_member
from larchgw.membership.messages import (
    Ack,
    Cursor,
    Gossip,
    Message,
    Nack,
    Page,
    Ping,
    PingRequest,
    Pull,
    Update,
)
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


@given(
    st.sampled_from([Ping, Ack, Nack, Gossip]),
    st.integers(0, (1 << 32) - 1),
    MEMBERS,
    st.lists(UPDATES, max_size=4),
)
def test_message_is_decoded_as_it_was_encoded(
    message_type: type[Message], sequence: int, sender: Member, updates: list[Update]
) -> None:
    message = message_type(sequence, sender, digest=sequence, updates=tuple(updates))
    assert decode(DatagramBuilder(message).build()) == message


@pytest.mark.parametrize(
    "message",
    [
        PingRequest(1, ME, target="10.0.0.9:7661"),
        Pull(2, ME, buckets=tuple(range(BUCKETS)), cursor=Cursor(3, "10.0.0.9:7661")),
        Pull(2, ME, buckets=tuple(range(BUCKETS)), cursor=Cursor()),
        Page(3, ME, next_cursor=Cursor(31, "10.0.0.9:7661")),
        Page(3, ME, next_cursor=None),
    ],
)
def test_fields_of_each_kind_are_decoded_as_encoded(message: Message) -> None:
    assert decode(DatagramBuilder(message).build()) == message


def test_datagram_never_exceeds_its_size_limit() -> None:
    builder = DatagramBuilder(Page(1, ME, next_cursor=Cursor()))
    record = encode_update(
        Update(replace(ME, name="n" * 64, zone="z" * 64, address_rpc=RpcAddress("10.0.0.1:7660")))
    )
    accepted = [builder.add(record) for _ in range(20)]
    assert any(accepted)
    assert not accepted[-1]
    assert len(builder.build()) <= MAX_DATAGRAM_BYTES


@given(st.binary(max_size=1300))
def test_arbitrary_bytes_are_rejected(data: bytes) -> None:
    with pytest.raises(DatagramDecodeError):
        decode(data)


@given(UPDATES, st.data())
def test_datagram_with_a_changed_byte_is_rejected(update: Update, data: st.DataObject) -> None:
    datagram = DatagramBuilder(Ping(7, ME, updates=(update,))).build()
    offset = data.draw(st.integers(0, len(datagram) - 1))
    changed = bytes((datagram[offset] ^ data.draw(st.integers(1, 255)),))
    if offset == 3:
        return  # the checksum does not cover the kind; the next test does
    with pytest.raises(DatagramDecodeError):
        decode(datagram[:offset] + changed + datagram[offset + 1 :])


@given(st.binary(min_size=0, max_size=200), st.integers(0, 255))
def test_invalid_body_with_a_valid_checksum_raises_only_a_decode_error(body: bytes, kind: int) -> None:
    data = b"lM" + bytes((1, kind)) + crc32(body).to_bytes(4, "big") + body
    with suppress(DatagramDecodeError):
        decode(data)


def test_invalid_datagrams_are_not_answered_and_have_no_effect() -> None:
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
        replace(ME, address_rpc=RpcAddress("x")),
        replace(ME, incarnation=-1),
    ],
)
def test_member_that_cannot_be_encoded_is_rejected_at_the_start(member: Member) -> None:
    with pytest.raises(InvalidMemberError):
        check_member(member)

"""The datagrams that this process is about to send, each with as many piggybacked updates as fit."""

from __future__ import annotations

from dataclasses import dataclass, replace

from .codec import DatagramBuilder, encode_update
from .member import Member, MemberState
from .member_states import MemberStates
from .messages import Ack, Cursor, Gossip, Message, Nack, Page, Ping, PingRequest, Pull, Update

SEQUENCE_MASK = 0xFFFFFFFF


@dataclass(frozen=True, slots=True)
class Datagram:
    """Bytes to send to `address` ("host:port")."""

    address: str
    data: bytes


class OutboundDatagrams:
    """Builds messages and queues their datagrams until `take`.

    The components of the protocol add messages, and `Swim` returns the datagrams to its caller. `about`, if
    given, is this process's record of the receiver. Unless its state is ALIVE, it is placed before all
    updates, so that the receiver can refute it.
    """

    def __init__(self, states: MemberStates, first_sequence: int) -> None:
        """Starts empty; request numbers follow `first_sequence`."""
        self._states = states
        self._sequence = first_sequence
        self._datagrams: list[Datagram] = []

    def next_sequence(self) -> int:
        """Returns a new request number."""
        self._sequence = (self._sequence + 1) & SEQUENCE_MASK
        return self._sequence

    def take(self) -> list[Datagram]:
        """Removes and returns the datagrams added since the last call."""
        datagrams, self._datagrams = self._datagrams, []
        return datagrams

    def add_ping(self, address: str, about: Member | None, sequence: int | None = None) -> None:
        """Adds a ping with the given sequence number, or with a new one."""
        number = self.next_sequence() if sequence is None else sequence
        self._add(address, Ping(number, self._states.local_member, self._states.table.digest), about)

    def add_ack(self, address: str, sequence: int, about: Member | None = None) -> None:
        """Adds an answer to the ping or ping request with that sequence number."""
        self._add(address, Ack(sequence, self._states.local_member, self._states.table.digest), about)

    def add_nack(self, address: str, sequence: int) -> None:
        """Adds a report that the target of the ping request with that number has not answered yet."""
        self._add(address, Nack(sequence, self._states.local_member, self._states.table.digest))

    def add_ping_request(self, address: str, sequence: int, target: str) -> None:
        """Adds a request to ping `target`."""
        message = PingRequest(sequence, self._states.local_member, self._states.table.digest, target=target)
        self._add(address, message)

    def add_gossip(self, address: str) -> None:
        """Adds a message that carries only updates."""
        self._add(address, Gossip(self.next_sequence(), self._states.local_member, self._states.table.digest))

    def add_pull(self, address: str, sequence: int, cursor: Cursor) -> None:
        """Adds a request for the page after `cursor`."""
        table = self._states.table
        buckets = tuple(table.buckets)
        self._add(
            address, Pull(sequence, self._states.local_member, table.digest, buckets=buckets, cursor=cursor)
        )

    def add_page(self, address: str, pull: Pull) -> None:
        """Adds the answer to a pull: as many differing records after its cursor as fit."""
        table = self._states.table
        page = Page(pull.sequence, self._states.local_member, table.digest)
        builder = DatagramBuilder(page)
        last = pull.cursor
        for member in table.differing(pull.buckets, last):
            if not builder.add(encode_update(Update(member))):
                builder.message = replace(page, next_cursor=last)
                break
            last = table.cursor_at(member.address)
        self._datagrams.append(Datagram(address, builder.build()))

    def _add(self, address: str, message: Message, about: Member | None = None) -> None:
        builder = DatagramBuilder(message)
        if about is not None and about.state is not MemberState.ALIVE:
            builder.add(encode_update(Update(about)))
        states = self._states
        for record in states.dissemination.next_records(builder.free_bytes, states.table.present_count()):
            builder.add(record)
        self._datagrams.append(Datagram(address, builder.build()))

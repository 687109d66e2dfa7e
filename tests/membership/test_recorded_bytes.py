"""Recorded datagrams of every kind are decoded and encoded as at the time of the recording."""

from __future__ import annotations

import hashlib
import json
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from random import Random

import pytest

from larchgw.emulator.datagrams import DatagramNetwork, Link
from larchgw.identifiers import RpcAddress
from larchgw.membership.codec import BUCKETS, DatagramBuilder, decode
from larchgw.membership.member import NO_RPC_ADDRESS, Member, MemberState
from larchgw.membership.messages import (
    Ack,
    Cursor,
    Gossip,
    Message,
    MessageKind,
    Nack,
    Page,
    Ping,
    PingRequest,
    Pull,
    Update,
)
from larchgw.membership.swim import Datagram, Swim

FIXTURES = Path(__file__).parents[1] / "fixtures" / "membership"
RECORDED: dict[str, str] = json.loads((FIXTURES / "datagrams.json").read_text())
RECORDED_RUN = json.loads((FIXTURES / "virtual_run.json").read_text())

EDGE = Member("edge-1", "10.0.0.1:7662", "edge", 1_764_600_000_123, "zone-a", NO_RPC_ADDRESS, 3)
CONTROL = Member(
    "core-2", "10.0.0.2:7661", "control", 1_764_600_001_000, "zone-b", RpcAddress("10.0.0.2:7660")
)
UPDATES = (
    Update(
        Member("edge-9", "10.0.0.9:7662", "edge", 77, "zone-é", NO_RPC_ADDRESS, 2, MemberState.SUSPECT),
        "10.0.0.2:7661",
    ),
    Update(
        Member("core-3", "10.0.0.3:7661", "control", 78, "", RpcAddress("10.0.0.3:7660"), 0, MemberState.DEAD)
    ),
    Update(Member("edge-8", "10.0.0.8:7662", "edge", 79, "zone-a", NO_RPC_ADDRESS, 1, MemberState.LEFT)),
)
DIGESTS = tuple(number * 0x01010101 for number in range(BUCKETS))
CURSOR = Cursor(17, "10.0.0.9:7662")

DATAGRAMS: dict[str, Message] = {
    "ping": Ping(1, EDGE, 0xDEADBEEF),
    "ping with updates": Ping(2, CONTROL, 5, updates=UPDATES),
    "ack": Ack(0xFFFFFFFF, CONTROL, 6, updates=UPDATES[:1]),
    "ping request": PingRequest(3, EDGE, 7, target="10.0.0.9:7662", updates=UPDATES[1:]),
    "nack": Nack(4, EDGE, 8),
    "gossip": Gossip(5, EDGE, 9, updates=UPDATES),
    "pull": Pull(6, EDGE, 10, buckets=DIGESTS, cursor=CURSOR),
    "first pull": Pull(7, EDGE, 11, buckets=DIGESTS, cursor=Cursor()),
    "page": Page(8, CONTROL, 12, next_cursor=CURSOR, updates=UPDATES),
    "last page": Page(9, CONTROL, 13, updates=UPDATES),
}


@pytest.mark.parametrize("name", sorted(DATAGRAMS))
def test_recorded_datagram_is_decoded_to_the_same_message(name: str) -> None:
    assert decode(bytes.fromhex(RECORDED[name])) == DATAGRAMS[name]


@pytest.mark.parametrize("name", sorted(DATAGRAMS))
def test_message_is_encoded_as_the_recorded_datagram(name: str) -> None:
    assert DatagramBuilder(DATAGRAMS[name]).build().hex() == RECORDED[name]


def test_every_kind_of_datagram_is_recorded() -> None:
    assert {message.kind for message in DATAGRAMS.values()} == set(MessageKind)
    assert set(RECORDED) == set(DATAGRAMS)


class RecordedRun:
    """Fifteen processes with message loss, a pause, a crash, a partition, a restart and a graceful leave.

    The digest covers sender, time, receiver and bytes of every datagram, so that any change in the order of
    random numbers or iterations results in another digest.
    """

    def __init__(self) -> None:
        self.sent: Counter[str] = Counter()
        self._digest = hashlib.sha256()
        self._network = DatagramNetwork(11, Link(delay=0.002, spread=0.05, loss=0.08, duplicates=0.05))
        self._seeds = [self._address(number) for number in range(3)]

    def simulate(self) -> dict[str, object]:
        """Runs the simulation; returns the values to compare with the recording."""
        network, starts = self._network, Random(11)
        for number in range(15):
            self._start(number, starts.uniform(0.0, 0.3))
        network.run(10.0)
        network.freeze(self._address(6), 4.0)
        network.kill(self._address(7))
        network.run(25.0)
        network.part([self._address(n) for n in range(5)], [self._address(n) for n in range(5, 15)])
        network.run(40.0)
        network.part()
        network.run(40.0)
        self._start(7, 0.0)
        network.leave(self._address(9))
        network.run(20.0)
        changes = repr([(t, who, m.address, m.incarnation, int(m.state)) for t, who, m in network.changes])
        return {
            "datagrams": {kind.name: self.sent[kind.name] for kind in MessageKind},
            "datagrams_sha256": self._digest.hexdigest(),
            "changes": len(network.changes),
            "changes_sha256": hashlib.sha256(changes.encode()).hexdigest(),
        }

    @staticmethod
    def _address(number: int) -> str:
        return f"10.0.0.{number + 1}:7661"

    def _start(self, number: int, delay: float) -> None:
        address = self._address(number)
        if number < 3:
            swim = self._network.start(address, "control", self._seeds, delay, f"10.0.0.{number + 1}:7660")
        else:
            swim = self._network.start(address, "edge", self._seeds, delay)
        self._record(swim)

    def _record(self, swim: Swim) -> None:
        for name in ("tick", "receive", "leave"):
            setattr(swim, name, self._recording(swim.local_member.address, getattr(swim, name)))

    def _recording(self, sender: str, method: Callable[..., list[Datagram]]) -> Callable[..., list[Datagram]]:
        def recorded(now: float, *arguments: object) -> list[Datagram]:
            datagrams = method(now, *arguments)
            for datagram in datagrams:
                self.sent[MessageKind(datagram.data[3]).name] += 1
                self._digest.update(f"{now!r} {sender} {datagram.address} {datagram.data.hex()}\n".encode())
            return datagrams

        return recorded


def test_processes_in_virtual_time_send_the_recorded_datagrams_at_the_recorded_times() -> None:
    assert RecordedRun().simulate() == RECORDED_RUN

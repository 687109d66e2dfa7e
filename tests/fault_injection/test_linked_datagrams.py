"""Datagrams on faulty links are dropped by state and seed; orders survive encoding and decoding."""

from __future__ import annotations

import asyncio
import random

import pytest

from larchgw.fault_injection.datagrams import LinkedDatagrams
from larchgw.fault_injection.links import Links
from larchgw.fault_injection.orders import Link, Order
from tests.fault_injection.stand_ins import ANSWERS_HELD, HOST, OTHER, SENT_HELD, hold


class Datagrams(asyncio.DatagramProtocol):
    """Records its transport."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport


class FakeDatagramSocket:
    """Records sent datagrams."""

    def __init__(self) -> None:
        self.sent: list[tuple[bytes, object]] = []

    def sendto(self, data: bytes, addr: object = None) -> None:
        self.sent.append((data, addr))


@pytest.mark.parametrize(
    ("link", "arrive"), [(Link(), 40), (SENT_HELD, 0), (ANSWERS_HELD, 40), (Link(loss=1.0), 0)]
)
def test_datagrams_of_a_held_or_lossy_link_are_lost(link: Link, arrive: int) -> None:
    links, real, program = Links(random.Random(1)), FakeDatagramSocket(), Datagrams()
    LinkedDatagrams(program, links).connection_made(real)  # type: ignore[arg-type]
    hold(links, link)
    for number in range(40):
        program.transport.sendto(b"%d" % number, (HOST, 9))  # type: ignore[attr-defined]
    assert len(real.sent) == arrive


def test_a_seed_decides_which_datagrams_are_lost() -> None:
    def lost() -> list[bool]:
        links = Links(random.Random(4))
        hold(links, Link(loss=0.5))
        return [links.drops_datagram(HOST) for _ in range(40)]

    assert lost() == lost()
    assert 0 < sum(lost()) < 40


def test_an_order_is_read_as_it_was_written() -> None:
    order = Order({HOST: Link(True, False, 2.5, 0.25)}, (OTHER,))
    assert Order.decode(order.encode()) == order

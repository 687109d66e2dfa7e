"""Connections on a faulty link: held data is not visible to the peer, and is delivered later and complete."""

from __future__ import annotations

import asyncio
import errno
import random
import socket

from larchgw.fault_injection.links import Links
from larchgw.fault_injection.orders import Link, Order
from larchgw.fault_injection.streams import LinkedProtocol
from tests.fault_injection.stand_ins import ANSWERS_HELD, HOST, OTHER, SENT_HELD, Peer, hold
from tests.support.asyncio_tests import PATIENCE, on_loop


class FakeSocket:
    """A socket with a TCP_USER_TIMEOUT that records the options set."""

    def __init__(self, timeout_ms: int) -> None:
        self._timeout_ms = timeout_ms
        self.options: list[tuple[object, ...]] = []

    def getsockopt(self, *option: int) -> int:
        return self._timeout_ms

    def setsockopt(self, *option: object) -> None:
        self.options.append(option)


class FakeTransport:
    """Records the calls of a connection to its socket's transport."""

    def __init__(self, timeout_ms: int = 0) -> None:
        self.socket = FakeSocket(timeout_ms)
        self.written: list[bytes] = []
        self.reading, self.closed, self.aborted = True, False, False

    def write(self, data: bytes) -> None:
        self.written.append(data)

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True

    def close(self) -> None:
        self.closed = True

    def abort(self) -> None:
        self.aborted = True

    def is_closing(self) -> bool:
        return self.closed or self.aborted

    def get_extra_info(self, name: str, default: object = None) -> FakeSocket:
        return self.socket


def connected(timeout_ms: int = 0) -> tuple[Links, FakeTransport, Peer, LinkedProtocol]:
    """Returns the links, the transport, the program and the wrapper of a connection to HOST."""
    links, real, program = Links(random.Random(1)), FakeTransport(timeout_ms), Peer()
    linked = LinkedProtocol(program, links, HOST)
    linked.connection_made(real)  # type: ignore[arg-type]
    return links, real, program, linked


@on_loop
async def test_bytes_on_a_held_link_come_later_whole_and_in_order() -> None:
    links, real, program, _ = connected()
    assert program.transport is not None
    program.transport.write(b"a")
    hold(links, SENT_HELD)
    program.transport.write(b"b")
    program.transport.write(b"c")
    assert real.written == [b"a"]
    hold(links, Link())
    program.transport.write(b"d")
    assert b"".join(real.written) == b"abcd"


@on_loop
async def test_a_link_to_another_host_holds_nothing_here() -> None:
    links, real, program, _ = connected()
    assert program.transport is not None
    links.apply(Order({OTHER: Link(hold_sent=True, hold_received=True)}))
    program.transport.write(b"a")
    assert real.written == [b"a"]
    assert real.reading


@on_loop
async def test_held_answers_are_not_read_until_the_link_is_healthy() -> None:
    links, real, _, _ = connected()
    hold(links, ANSWERS_HELD)
    assert not real.reading
    hold(links, Link())
    assert real.reading


@on_loop
async def test_a_program_that_wants_no_bytes_gets_none_when_the_link_heals() -> None:
    links, real, program, _ = connected()
    assert program.transport is not None
    hold(links, ANSWERS_HELD)
    program.transport.pause_reading()
    hold(links, Link())
    assert not real.reading
    program.transport.resume_reading()
    assert real.reading


@on_loop
async def test_an_end_on_a_held_link_is_told_to_the_program_but_not_to_the_peer() -> None:
    links, real, program, linked = connected()
    assert program.transport is not None
    hold(links, SENT_HELD)
    program.transport.abort()
    await program.wait_until(lambda: program.lost)
    assert not real.closed
    assert not real.aborted
    linked.data_received(b"late")
    assert program.received == b""
    hold(links, Link())
    assert real.closed
    linked.connection_lost(None)
    assert program.lost == [None]


@on_loop
async def test_bytes_that_stay_unacknowledged_end_the_connection_as_a_kernel_would() -> None:
    links, real, program, _ = connected(timeout_ms=1)
    assert program.transport is not None
    hold(links, SENT_HELD)
    program.transport.write(b"a")
    await program.wait_until(lambda: program.lost)
    (error,) = program.lost
    assert isinstance(error, OSError)
    assert error.errno == errno.ETIMEDOUT
    hold(links, Link())
    assert real.written == []
    assert real.closed


@on_loop
async def test_a_reset_ends_both_ends_at_once() -> None:
    links, real, program, _ = connected()
    hold(links, Link(), reset=[HOST])
    (error,) = program.lost
    assert isinstance(error, ConnectionResetError)
    assert real.aborted
    assert any(socket.SO_LINGER in option for option in real.socket.options)


@on_loop
async def test_late_bytes_keep_their_order_when_the_delay_ends() -> None:
    links, real, program, _ = connected()
    assert program.transport is not None
    hold(links, Link(delay_ms=1.0))
    program.transport.write(b"a")
    program.transport.write(b"b")
    assert real.written == []
    hold(links, Link())
    program.transport.write(b"c")
    async with asyncio.timeout(PATIENCE):
        while b"".join(real.written) != b"abc":
            await asyncio.sleep(0)

"""Links under test: what is held stays unseen by the peer and comes later; nothing is lost but datagrams."""

from __future__ import annotations

import asyncio
import errno
import random
import socket
from collections.abc import Callable, Coroutine, Iterable
from typing import Any

import pytest

from larchgw.fault_injection.datagrams import LinkedDatagrams
from larchgw.fault_injection.links import Links
from larchgw.fault_injection.loop import LinkedLoop
from larchgw.fault_injection.orders import Link, Order
from larchgw.fault_injection.streams import LinkedProtocol
from larchgw.fault_injection.switchboard import Switchboard
from tests.support.asyncio_tests import PATIENCE, TEST_TIME, on_loop

HOST, OTHER = "127.0.0.1", "127.0.0.2"
SENT_HELD, ANSWERS_HELD = Link(hold_sent=True), Link(hold_received=True)


class Peer(asyncio.Protocol):
    """Keeps what comes, and how the connection ended."""

    def __init__(self) -> None:
        self.received = b""
        self.transport: asyncio.Transport | None = None
        self.lost: list[Exception | None] = []
        self.changed = asyncio.Event()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.changed.set()

    def data_received(self, data: bytes) -> None:
        self.received += data
        self.changed.set()

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost.append(exc)
        self.changed.set()

    async def until(self, condition: Callable[[], Any]) -> None:
        """Returns once it holds."""
        async with asyncio.timeout(PATIENCE):
            while not condition():
                self.changed.clear()
                await self.changed.wait()


class FakeSocket:
    """A socket that tells its TCP_USER_TIMEOUT."""

    def __init__(self, bound_ms: int) -> None:
        self._bound_ms = bound_ms
        self.options: list[tuple[Any, ...]] = []

    def getsockopt(self, *option: int) -> int:
        return self._bound_ms

    def setsockopt(self, *option: Any) -> None:
        self.options.append(option)


class FakeTransport:
    """What a connection does with its socket."""

    def __init__(self, bound_ms: int = 0) -> None:
        self.socket = FakeSocket(bound_ms)
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

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self.socket


def connected(bound_ms: int = 0) -> tuple[Links, FakeTransport, Peer, LinkedProtocol]:
    """A connection to HOST, its socket and the program at its end."""
    links, real, program = Links(random.Random(1)), FakeTransport(bound_ms), Peer()
    linked = LinkedProtocol(program, links, HOST)
    linked.connection_made(real)  # type: ignore[arg-type]
    return links, real, program, linked


def hold(links: Links, link: Link, reset: Iterable[str] = ()) -> None:
    """Orders this of the link to HOST."""
    links.apply(Order({HOST: link}, reset))


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
    assert real.written == [b"a"] and real.reading


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
    await program.until(lambda: program.lost)
    assert not real.closed and not real.aborted
    linked.data_received(b"late")
    assert program.received == b""
    hold(links, Link())
    assert real.closed
    linked.connection_lost(None)
    assert program.lost == [None]


@on_loop
async def test_bytes_that_stay_unacknowledged_end_the_connection_as_a_kernel_would() -> None:
    links, real, program, _ = connected(bound_ms=1)
    assert program.transport is not None
    hold(links, SENT_HELD)
    program.transport.write(b"a")
    await program.until(lambda: program.lost)
    (error,) = program.lost
    assert isinstance(error, OSError) and error.errno == errno.ETIMEDOUT
    hold(links, Link())
    assert real.written == [] and real.closed


@on_loop
async def test_a_reset_ends_both_ends_at_once() -> None:
    links, real, program, _ = connected()
    hold(links, Link(), reset=[HOST])
    (error,) = program.lost
    assert isinstance(error, ConnectionResetError) and real.aborted
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


class Datagrams(asyncio.DatagramProtocol):
    """Keeps the transport that it is given."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport


class FakeDatagramSocket:
    """Keeps what is sent."""

    def __init__(self) -> None:
        self.sent: list[tuple[bytes, Any]] = []

    def sendto(self, data: bytes, addr: Any = None) -> None:
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
        return [links.loses(HOST) for _ in range(40)]

    assert lost() == lost() and 0 < sum(lost()) < 40


def test_an_order_is_read_as_it_was_written() -> None:
    order = Order({HOST: Link(True, False, 2.5, 0.25)}, (OTHER,))
    assert Order.decode(order.encode()) == order


def on_linked_loop(scenario: Callable[[Switchboard], Coroutine[Any, Any, None]]) -> None:
    """Runs it in a process that is under the switchboard's links as host OTHER."""
    switchboard, links = Switchboard(), Links(random.Random(1))
    with switchboard.attach(OTHER) as orders:
        links.apply(Order.decode(orders.recv(65536)))
        loop = LinkedLoop(links, orders, lambda: None)
        try:
            loop.run_until_complete(asyncio.wait_for(scenario(switchboard), TEST_TIME))
        finally:
            switchboard.close()
            loop.close()


async def serve() -> tuple[asyncio.Server, int, list[Peer]]:
    """A server, its port and the connections that it took."""
    peers: list[Peer] = []

    def take() -> Peer:
        peers.append(Peer())
        return peers[-1]

    server = await asyncio.get_running_loop().create_server(take, HOST, 0)
    return server, server.sockets[0].getsockname()[1], peers


def test_a_cut_is_silent_at_both_ends_and_what_was_held_comes_after_it() -> None:
    async def scenario(switchboard: Switchboard) -> None:
        server, port, peers = await serve()
        loop = asyncio.get_running_loop()
        transport, program = await loop.create_connection(Peer, HOST, port)
        transport.write(b"before")
        async with asyncio.timeout(PATIENCE):
            while not peers:
                await asyncio.sleep(0)
        (peer,) = peers
        await peer.until(lambda: peer.received == b"before")
        await switchboard.isolate([OTHER], [HOST, OTHER])
        transport.write(b" during")
        assert peer.transport is not None
        peer.transport.write(b"answer")
        connecting = asyncio.ensure_future(loop.create_connection(Peer, HOST, port))
        for _ in range(50):  # turns of the loop, in which bytes would come
            await asyncio.sleep(0)
        assert (peer.received, program.received, connecting.done()) == (b"before", b"", False)
        assert not peer.lost and not program.lost
        await switchboard.rejoin([OTHER], [HOST, OTHER])
        await peer.until(lambda: peer.received == b"before during")
        await program.until(lambda: program.received == b"answer")
        second, _ = await connecting
        second.close()
        transport.close()
        server.close()

    on_linked_loop(scenario)


def test_a_cut_of_one_direction_lets_the_other_one_through() -> None:
    async def scenario(switchboard: Switchboard) -> None:
        server, port, peers = await serve()
        transport, program = await asyncio.get_running_loop().create_connection(Peer, HOST, port)
        await switchboard.cut([HOST], [OTHER])
        transport.write(b"sent")
        async with asyncio.timeout(PATIENCE):
            while not peers:
                await asyncio.sleep(0)
        (peer,) = peers
        await peer.until(lambda: peer.received == b"sent")
        assert peer.transport is not None
        peer.transport.write(b"answer")
        for _ in range(50):
            await asyncio.sleep(0)
        assert program.received == b""
        await switchboard.heal([HOST], [OTHER])
        await program.until(lambda: program.received == b"answer")
        transport.close()
        server.close()

    on_linked_loop(scenario)


def test_a_reset_is_seen_at_both_ends() -> None:
    async def scenario(switchboard: Switchboard) -> None:
        server, port, peers = await serve()
        _, program = await asyncio.get_running_loop().create_connection(Peer, HOST, port)
        async with asyncio.timeout(PATIENCE):
            while not peers:
                await asyncio.sleep(0)
        await switchboard.reset(OTHER, [HOST])
        await peers[0].until(lambda: peers[0].lost)
        assert isinstance(peers[0].lost[0], ConnectionResetError)
        assert isinstance(program.lost[0], ConnectionResetError)
        server.close()

    on_linked_loop(scenario)


def orders_of(hold_outgoing: bool, hold_incoming: bool) -> list[dict[str, Link]]:
    """What two processes of a group and one outside are told when the group is cut off."""

    async def scenario() -> list[dict[str, Link]]:
        switchboard = Switchboard()
        await switchboard.isolate(["a", "b"], ["a", "b", "c"], hold_outgoing, hold_incoming)
        told = []
        for host in "abc":
            with switchboard.attach(host) as orders:
                told.append(dict(Order.decode(orders.recv(65536)).links))
        await switchboard.rejoin(["a", "b"], ["a", "b", "c"])
        with switchboard.attach("c") as orders:
            assert Order.decode(orders.recv(65536)).links == {}
        switchboard.close()
        return told

    return asyncio.run(asyncio.wait_for(scenario(), TEST_TIME))


def test_a_group_that_is_cut_off_keeps_its_own_links() -> None:
    both = Link(hold_sent=True, hold_received=True)
    assert orders_of(hold_outgoing=True, hold_incoming=True) == [
        {"c": both},
        {"c": both},
        {"a": both, "b": both},
    ]


def test_a_group_that_is_not_heard_still_hears() -> None:
    assert orders_of(hold_outgoing=True, hold_incoming=False) == [
        {"c": SENT_HELD},
        {"c": SENT_HELD},
        {"a": ANSWERS_HELD, "b": ANSWERS_HELD},
    ]


def test_a_group_that_hears_nothing_is_still_heard() -> None:
    assert orders_of(hold_outgoing=False, hold_incoming=True) == [
        {"c": ANSWERS_HELD},
        {"c": ANSWERS_HELD},
        {"a": SENT_HELD, "b": SENT_HELD},
    ]


def test_a_bad_link_is_healthy_again_when_it_is_told_so() -> None:
    async def scenario() -> None:
        switchboard = Switchboard()
        await switchboard.impair(OTHER, [HOST], delay_ms=5.0, loss=0.5)
        with switchboard.attach(OTHER) as orders:
            assert Order.decode(orders.recv(65536)).links == {HOST: Link(delay_ms=5.0, loss=0.5)}
        switchboard.detach(OTHER)
        await switchboard.impair(OTHER, [HOST], delay_ms=0.0, loss=0.0)
        with switchboard.attach(OTHER) as orders:
            assert Order.decode(orders.recv(65536)).links == {}
        switchboard.close()

    asyncio.run(asyncio.wait_for(scenario(), TEST_TIME))


def test_a_process_that_starts_anew_is_under_the_links_of_before() -> None:
    async def scenario() -> None:
        switchboard = Switchboard()
        await switchboard.isolate([OTHER], [HOST])
        with switchboard.attach(OTHER) as orders:
            order = Order.decode(orders.recv(65536))
        assert order.links == {HOST: Link(hold_sent=True, hold_received=True)}
        await switchboard.rejoin([OTHER], [HOST])  # its process has ended meanwhile: nobody is waited for
        switchboard.close()

    asyncio.run(asyncio.wait_for(scenario(), TEST_TIME))


def test_a_process_whose_test_has_ended_is_told_so() -> None:
    left: list[bool] = []
    switchboard = Switchboard()
    with switchboard.attach(OTHER) as orders:
        orders.recv(65536)
        loop = LinkedLoop(Links(random.Random(1)), orders, lambda: (left.append(True), loop.stop())[0])
        switchboard.close()
        loop.call_later(TEST_TIME, loop.stop)
        loop.run_forever()
        loop.close()
    assert left == [True]

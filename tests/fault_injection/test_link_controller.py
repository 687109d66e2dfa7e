"""Orders of the link controller and their effect in processes: cuts, resets and impaired links."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any

from larchgw.fault_injection.link_controller import LinkController
from larchgw.fault_injection.links import Links
from larchgw.fault_injection.loop import LinkedLoop
from larchgw.fault_injection.orders import Link, Order
from tests.fault_injection.stand_ins import ANSWERS_HELD, HOST, OTHER, SENT_HELD, Peer
from tests.support.asyncio_tests import PATIENCE, TEST_TIME


def on_linked_loop(scenario: Callable[[LinkController], Coroutine[Any, Any, None]]) -> None:
    """Runs a scenario on an event loop whose links are those of host OTHER."""
    link_controller, links = LinkController(), Links(random.Random(1))
    with link_controller.attach(OTHER) as orders:
        links.apply(Order.decode(orders.recv(65536)))
        loop = LinkedLoop(links, orders, lambda: None)
        try:
            loop.run_until_complete(asyncio.wait_for(scenario(link_controller), TEST_TIME))
        finally:
            link_controller.close()
            loop.close()


async def serve() -> tuple[asyncio.Server, int, list[Peer]]:
    """Starts a server; returns it, its port and its accepted connections."""
    peers: list[Peer] = []

    def make_peer() -> Peer:
        peers.append(Peer())
        return peers[-1]

    server = await asyncio.get_running_loop().create_server(make_peer, HOST, 0)
    return server, server.sockets[0].getsockname()[1], peers


def test_a_cut_is_silent_at_both_ends_and_what_was_held_comes_after_it() -> None:
    async def scenario(link_controller: LinkController) -> None:
        server, port, peers = await serve()
        loop = asyncio.get_running_loop()
        transport, program = await loop.create_connection(Peer, HOST, port)
        transport.write(b"before")
        async with asyncio.timeout(PATIENCE):
            while not peers:
                await asyncio.sleep(0)
        (peer,) = peers
        await peer.wait_until(lambda: peer.received == b"before")
        await link_controller.isolate([OTHER], [HOST, OTHER])
        transport.write(b" during")
        assert peer.transport is not None
        peer.transport.write(b"answer")
        connecting = asyncio.ensure_future(loop.create_connection(Peer, HOST, port))
        for _ in range(50):  # iterations of the event loop in which data would arrive
            await asyncio.sleep(0)
        assert (peer.received, program.received, connecting.done()) == (b"before", b"", False)
        assert not peer.lost
        assert not program.lost
        await link_controller.rejoin([OTHER], [HOST, OTHER])
        await peer.wait_until(lambda: peer.received == b"before during")
        await program.wait_until(lambda: program.received == b"answer")
        second, _ = await connecting
        second.close()
        transport.close()
        server.close()

    on_linked_loop(scenario)


def test_a_cut_of_one_direction_lets_the_other_one_through() -> None:
    async def scenario(link_controller: LinkController) -> None:
        server, port, peers = await serve()
        transport, program = await asyncio.get_running_loop().create_connection(Peer, HOST, port)
        await link_controller.cut([HOST], [OTHER])
        transport.write(b"sent")
        async with asyncio.timeout(PATIENCE):
            while not peers:
                await asyncio.sleep(0)
        (peer,) = peers
        await peer.wait_until(lambda: peer.received == b"sent")
        assert peer.transport is not None
        peer.transport.write(b"answer")
        for _ in range(50):
            await asyncio.sleep(0)
        assert program.received == b""
        await link_controller.heal([HOST], [OTHER])
        await program.wait_until(lambda: program.received == b"answer")
        transport.close()
        server.close()

    on_linked_loop(scenario)


def test_a_reset_is_seen_at_both_ends() -> None:
    async def scenario(link_controller: LinkController) -> None:
        server, port, peers = await serve()
        _, program = await asyncio.get_running_loop().create_connection(Peer, HOST, port)
        async with asyncio.timeout(PATIENCE):
            while not peers:
                await asyncio.sleep(0)
        await link_controller.reset(OTHER, [HOST])
        await peers[0].wait_until(lambda: peers[0].lost)
        assert isinstance(peers[0].lost[0], ConnectionResetError)
        assert isinstance(program.lost[0], ConnectionResetError)
        server.close()

    on_linked_loop(scenario)


def orders_of(hold_outgoing: bool, hold_incoming: bool) -> list[dict[str, Link]]:
    """Returns the links sent to a and b, which are isolated as a group, and to c."""

    async def scenario() -> list[dict[str, Link]]:
        link_controller = LinkController()
        await link_controller.isolate(["a", "b"], ["a", "b", "c"], hold_outgoing, hold_incoming)
        link_states = []
        for host in "abc":
            with link_controller.attach(host) as orders:
                link_states.append(dict(Order.decode(orders.recv(65536)).links))
        await link_controller.rejoin(["a", "b"], ["a", "b", "c"])
        with link_controller.attach("c") as orders:
            assert Order.decode(orders.recv(65536)).links == {}
        link_controller.close()
        return link_states

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
        link_controller = LinkController()
        await link_controller.impair(OTHER, [HOST], delay_ms=5.0, loss=0.5)
        with link_controller.attach(OTHER) as orders:
            assert Order.decode(orders.recv(65536)).links == {HOST: Link(delay_ms=5.0, loss=0.5)}
        link_controller.detach(OTHER)
        await link_controller.impair(OTHER, [HOST], delay_ms=0.0, loss=0.0)
        with link_controller.attach(OTHER) as orders:
            assert Order.decode(orders.recv(65536)).links == {}
        link_controller.close()

    asyncio.run(asyncio.wait_for(scenario(), TEST_TIME))


def test_a_process_that_starts_anew_is_under_the_links_of_before() -> None:
    async def scenario() -> None:
        link_controller = LinkController()
        await link_controller.isolate([OTHER], [HOST])
        with link_controller.attach(OTHER) as orders:
            order = Order.decode(orders.recv(65536))
        assert order.links == {HOST: Link(hold_sent=True, hold_received=True)}
        await link_controller.rejoin(
            [OTHER], [HOST]
        )  # its process has ended, so no acknowledgement is awaited
        link_controller.close()

    asyncio.run(asyncio.wait_for(scenario(), TEST_TIME))


def test_a_process_whose_test_has_ended_is_told_so() -> None:
    closed_calls: list[bool] = []
    link_controller = LinkController()
    with link_controller.attach(OTHER) as orders:
        orders.recv(65536)
        loop = LinkedLoop(
            Links(random.Random(1)), orders, lambda: (closed_calls.append(True), loop.stop())[0]
        )
        link_controller.close()
        loop.call_later(TEST_TIME, loop.stop)
        loop.run_forever()
        loop.close()
    assert closed_calls == [True]

"""An asyncio event loop that applies link faults, which a test sets through a socket."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

from .datagrams import LinkedDatagrams
from .links import Links
from .orders import MAX_MESSAGE_BYTES, Order
from .streams import LinkedProtocol

ACKNOWLEDGEMENT = b"done"  # answer to an order that has been applied


class LinkedLoop(asyncio.SelectorEventLoop):
    """Applies link faults to datagrams and to the connections that this process opens.

    Accepted connections are not affected; the process that opened them applies its own links. Sockets that
    Tornado's streams and curl open themselves are not affected either.
    """

    def __init__(self, links: Links, orders: socket.socket, on_closed: Callable[[], None]) -> None:
        """Receives orders from `orders`; `on_closed` is called once its other end is closed."""
        super().__init__()
        self._links, self._orders, self._on_closed = links, orders, on_closed
        orders.setblocking(False)
        self.add_reader(orders.fileno(), self._receive_order)

    async def create_connection(
        self, protocol_factory: Callable[[], Any], host: Any = None, port: Any = None, **options: Any
    ) -> tuple[Any, Any]:
        """See asyncio; waits while the link is held, and applies the link to the connection."""
        if host is None:
            return await super().create_connection(protocol_factory, host, port, **options)
        await self._wait_until_connectable(host)
        _, linked = await super().create_connection(
            lambda: LinkedProtocol(protocol_factory(), self._links, host), host, port, **options
        )
        return linked.transport, linked.inner

    async def create_datagram_endpoint(
        self, protocol_factory: Callable[[], Any], *args: Any, **options: Any
    ) -> tuple[Any, Any]:
        """See asyncio; applies the links to datagrams."""
        return await super().create_datagram_endpoint(
            lambda: LinkedDatagrams(protocol_factory(), self._links), *args, **options
        )

    async def _wait_until_connectable(self, host: str) -> None:
        changed = asyncio.Event()

        def on_change(reset: frozenset[str]) -> None:
            changed.set()

        self._links.add_listener(on_change)
        try:
            while not self._links.link_to(host).is_connectable:
                changed.clear()
                await changed.wait()
        finally:
            self._links.remove_listener(on_change)

    def _receive_order(self) -> None:
        """Receives, applies and acknowledges one order."""
        try:
            message = self._orders.recv(MAX_MESSAGE_BYTES)
        except BlockingIOError:
            return
        if not message:
            self.remove_reader(self._orders.fileno())
            self._on_closed()
            return
        self._links.apply(Order.decode(message))
        self._orders.send(ACKNOWLEDGEMENT)


class LinkedPolicy(asyncio.DefaultEventLoopPolicy):
    """Makes every loop of this process a `LinkedLoop`."""

    def __init__(self, links: Links, orders: socket.socket, on_closed: Callable[[], None]) -> None:
        """See LinkedLoop."""
        super().__init__()
        self._links, self._orders, self._on_closed = links, orders, on_closed

    def new_event_loop(self) -> asyncio.AbstractEventLoop:
        """Returns a loop with these links."""
        return LinkedLoop(self._links, self._orders, self._on_closed)

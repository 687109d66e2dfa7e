"""An asyncio loop whose connections and datagrams obey links, on orders that come by a socket."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

from .datagrams import LinkedDatagrams
from .links import Links
from .orders import MAX_MESSAGE_BYTES, Order
from .streams import LinkedProtocol

ACKNOWLEDGEMENT = b"done"  # the answer to an order that has been carried out


class LinkedLoop(asyncio.SelectorEventLoop):
    """Only connections that this process opens are touched: the two ends of a link each obey for their own.

    Tornado's streams and curl open sockets of their own and are not seen here.
    """

    def __init__(self, links: Links, orders: socket.socket, on_closed: Callable[[], None]) -> None:
        """Obeys the orders on this socket; `on_closed` is called once its other end is closed."""
        super().__init__()
        self._links, self._orders, self._on_closed = links, orders, on_closed
        orders.setblocking(False)
        self.add_reader(orders.fileno(), self._obey)

    async def create_connection(
        self, protocol_factory: Callable[[], Any], host: Any = None, port: Any = None, **options: Any
    ) -> tuple[Any, Any]:
        """As asyncio's; it waits for as long as the link is held, and the connection obeys the link."""
        if host is None:
            return await super().create_connection(protocol_factory, host, port, **options)
        await self._until_connects(host)
        _, linked = await super().create_connection(
            lambda: LinkedProtocol(protocol_factory(), self._links, host), host, port, **options
        )
        return linked.transport, linked.inner

    async def create_datagram_endpoint(
        self, protocol_factory: Callable[[], Any], *args: Any, **options: Any
    ) -> tuple[Any, Any]:
        """As asyncio's, with datagrams that obey their links."""
        return await super().create_datagram_endpoint(
            lambda: LinkedDatagrams(protocol_factory(), self._links), *args, **options
        )

    async def _until_connects(self, host: str) -> None:
        changed = asyncio.Event()

        def on_change(reset: frozenset[str]) -> None:
            changed.set()

        self._links.listen(on_change)
        try:
            while not self._links.of(host).connects:
                changed.clear()
                await changed.wait()
        finally:
            self._links.forget(on_change)

    def _obey(self) -> None:
        """Carries out the order that has come."""
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
        """A loop under these links."""
        return LinkedLoop(self._links, self._orders, self._on_closed)

"""An asyncio loop whose connections and datagrams obey links, on orders that come by a socket."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

from .datagrams import LinkedDatagrams
from .links import Links
from .orders import MOST_BYTES, Order
from .streams import LinkedProtocol

DONE = b"done"  # the answer to an order that has been carried out


class LinkedLoop(asyncio.SelectorEventLoop):
    """Only connections that this process opens are touched: the two ends of a link each obey for their own.

    Tornado's streams and curl open sockets of their own and are not seen here.
    """

    def __init__(self, links: Links, orders: socket.socket, on_left: Callable[[], None]) -> None:
        """`on_left` is called once nobody is there to give orders any more."""
        super().__init__()
        self._links, self._orders, self._on_left = links, orders, on_left
        orders.setblocking(False)
        self.add_reader(orders.fileno(), self._obey)

    async def create_connection(
        self, protocol_factory: Callable[[], Any], host: Any = None, port: Any = None, **options: Any
    ) -> tuple[Any, Any]:
        """As asyncio's; it waits for as long as the link is held, and what comes of it obeys the link."""
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

        def notice(reset: frozenset[str]) -> None:
            changed.set()

        self._links.listen(notice)
        try:
            while not self._links.of(host).connects:
                changed.clear()
                await changed.wait()
        finally:
            self._links.forget(notice)

    def _obey(self) -> None:
        """Carries out the order that has come."""
        try:
            message = self._orders.recv(MOST_BYTES)
        except BlockingIOError:
            return
        if not message:
            self.remove_reader(self._orders.fileno())
            self._on_left()
            return
        self._links.apply(Order.decode(message))
        self._orders.send(DONE)


class LinkedPolicy(asyncio.DefaultEventLoopPolicy):
    """Makes every loop of this process a `LinkedLoop`."""

    def __init__(self, links: Links, orders: socket.socket, on_left: Callable[[], None]) -> None:
        super().__init__()
        self._links, self._orders, self._on_left = links, orders, on_left

    def new_event_loop(self) -> asyncio.AbstractEventLoop:
        """A loop under these links."""
        return LinkedLoop(self._links, self._orders, self._on_left)

"""Test protocol for both ends of a connection under fault injection, with its hosts and links."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import Any

from larchgw.fault_injection.links import Links
from larchgw.fault_injection.orders import Link, Order
from tests.support.asyncio_tests import PATIENCE

HOST, OTHER = "127.0.0.1", "127.0.0.2"
SENT_HELD, ANSWERS_HELD = Link(hold_sent=True), Link(hold_received=True)


class Peer(asyncio.Protocol):
    """Records received data and the loss of the connection."""

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

    async def wait_until(self, condition: Callable[[], Any]) -> None:
        """Waits until the condition is true."""
        async with asyncio.timeout(PATIENCE):
            while not condition():
                self.changed.clear()
                await self.changed.wait()


def hold(links: Links, link: Link, reset: Iterable[str] = ()) -> None:
    """Sets the link to HOST."""
    links.apply(Order({HOST: link}, reset))

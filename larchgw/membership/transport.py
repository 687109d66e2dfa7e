"""The membership protocol on a UDP socket of the asyncio loop."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from time import monotonic
from typing import cast

import structlog

from .swim import Datagram, Swim

log = structlog.get_logger()

TICK = 0.1  # seconds


class SwimTransport(asyncio.DatagramProtocol):
    """Carries the datagrams of `swim`, bound to `host` and `port`, which must be its member's address."""

    def __init__(self, swim: Swim, host: str, port: int) -> None:
        self.swim = swim
        self._host = host
        self._port = port
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None

    async def start(self) -> None:
        """Binds the socket and begins to tick. Raises OSError if the port is taken."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(self._host, self._port))
        self._tick()

    def leave(self) -> None:
        """Tells other members that this process ends by plan, and closes."""
        self._send(self.swim.leave(monotonic()))
        self.close()

    def close(self) -> None:
        """Ends without a word to the others."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The socket is bound (asyncio's call)."""
        self._transport = cast(asyncio.DatagramTransport, transport)  # asyncio's own is no subclass of it

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """A datagram has come (asyncio's call); what it is answered with is sent at once."""
        self._send(self.swim.receive(monotonic(), f"{addr[0]}:{addr[1]}", data))

    def error_received(self, exc: Exception) -> None:
        """A peer's port is closed, or a link is full: datagrams are lost now and then anyway."""
        log.debug("membership.send_failed", error=str(exc))

    def _tick(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(TICK, self._tick)
        self._send(self.swim.tick(monotonic()))

    def _send(self, datagrams: Iterable[Datagram]) -> None:
        for datagram in datagrams:
            if self._transport is None:
                return
            host, _, port = datagram.address.rpartition(":")
            self._transport.sendto(datagram.data, (host, int(port)))

"""Runs the membership protocol on a UDP socket of the asyncio loop."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from time import monotonic
from typing import cast

import structlog

from .swim import Datagram, Swim

log = structlog.get_logger()

TICK_S = 0.1


class SwimTransport(asyncio.DatagramProtocol):
    """Sends and receives the datagrams of one `Swim` and ticks it, on the running asyncio loop.

    Attributes:
        swim: The protocol state of this process.
    """

    def __init__(self, swim: Swim, host: str, port: int) -> None:
        """Creates it without a socket; `host` and `port` must be the address of the local member."""
        self.swim = swim
        self._host = host
        self._port = port
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None

    async def start(self) -> None:
        """Binds the socket and starts the ticks.

        Raises:
            OSError: If the socket cannot be bound, for example because the port is in use.
        """
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(self._host, self._port))
        self._tick()

    def leave(self) -> None:
        """Notifies other members that this process leaves gracefully, and closes the socket."""
        self._send(self.swim.leave(monotonic()))
        self.close()

    def close(self) -> None:
        """Closes the socket without notifying other members."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the bound socket's transport (asyncio callback)."""
        # asyncio's datagram transport is not a subclass of asyncio.DatagramTransport.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handles a datagram and sends the answers at once (asyncio callback)."""
        self._send(self.swim.receive(monotonic(), f"{addr[0]}:{addr[1]}", data))

    def error_received(self, exc: Exception) -> None:
        """Logs a send error, such as a peer's closed port; datagram loss is expected (asyncio callback)."""
        log.debug("membership.send_failed", error=str(exc))

    def _tick(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(TICK_S, self._tick)
        self._send(self.swim.tick(monotonic()))

    def _send(self, datagrams: Iterable[Datagram]) -> None:
        for datagram in datagrams:
            if self._transport is None:
                return
            host, _, port = datagram.address.rpartition(":")
            self._transport.sendto(datagram.data, (host, int(port)))

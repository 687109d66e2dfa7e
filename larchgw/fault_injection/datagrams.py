"""A datagram socket whose datagrams are lost or late as their links are."""

from __future__ import annotations

import asyncio
from typing import Any, cast

from .links import Links
from .streams import MILLISECOND_S


class LinkedDatagrams(asyncio.DatagramProtocol):
    """Stands between the socket and the protocol that the program gave it."""

    def __init__(self, inner: asyncio.DatagramProtocol, links: Links) -> None:
        """`inner` is the program's protocol."""
        self._inner, self._links = inner, links

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The socket is bound (asyncio's call)."""
        real = cast(asyncio.DatagramTransport, transport)
        self._inner.connection_made(LinkedDatagramTransport(real, self._links))

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """A datagram has come (asyncio's call)."""
        self._inner.datagram_received(data, addr)

    def error_received(self, exc: Exception) -> None:
        """A datagram could not be sent (asyncio's call)."""
        self._inner.error_received(exc)

    def connection_lost(self, exc: Exception | None) -> None:
        """The socket is closed (asyncio's call)."""
        self._inner.connection_lost(exc)


class LinkedDatagramTransport(asyncio.DatagramTransport):
    """What the program sends datagrams by."""

    def __init__(self, real: asyncio.DatagramTransport, links: Links) -> None:
        """`real` is the socket's own transport."""
        super().__init__()
        self._real, self._links = real, links

    def sendto(self, data: bytes | bytearray | memoryview, addr: Any = None) -> None:
        """Sends a datagram, late or not at all where the link is so."""
        host = str(addr[0])
        if self._links.loses(host):
            return
        delay_ms = self._links.of(host).delay_ms
        if delay_ms:
            asyncio.get_running_loop().call_later(delay_ms * MILLISECOND_S, self._real.sendto, data, addr)
        else:
            self._real.sendto(data, addr)

    def close(self) -> None:
        """Closes the socket."""
        self._real.close()

    def abort(self) -> None:
        """Closes the socket at once."""
        self._real.abort()

    def is_closing(self) -> bool:
        """Whether it is closing."""
        return self._real.is_closing()

    def get_extra_info(self, name: str, default: object = None) -> object:
        """See asyncio's, of the socket's own transport."""
        return self._real.get_extra_info(name, default)

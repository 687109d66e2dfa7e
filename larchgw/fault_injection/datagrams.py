"""A datagram socket that drops and delays datagrams according to the state of their links."""

from __future__ import annotations

import asyncio
from typing import Any, cast

from .links import Links
from .streams import MILLISECOND_S


class LinkedDatagrams(asyncio.DatagramProtocol):
    """Wraps the program's datagram protocol."""

    def __init__(self, inner: asyncio.DatagramProtocol, links: Links) -> None:
        """`inner` is the wrapped protocol."""
        self._inner, self._links = inner, links

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See asyncio.DatagramProtocol; passes a wrapped transport on."""
        real = cast(asyncio.DatagramTransport, transport)
        self._inner.connection_made(LinkedDatagramTransport(real, self._links))

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """See asyncio.DatagramProtocol."""
        self._inner.datagram_received(data, addr)

    def error_received(self, exc: Exception) -> None:
        """See asyncio.DatagramProtocol."""
        self._inner.error_received(exc)

    def connection_lost(self, exc: Exception | None) -> None:
        """See asyncio.DatagramProtocol."""
        self._inner.connection_lost(exc)


class LinkedDatagramTransport(asyncio.DatagramTransport):
    """Transport that applies the state of a link to each datagram sent."""

    def __init__(self, real: asyncio.DatagramTransport, links: Links) -> None:
        """`real` is the transport of the socket."""
        super().__init__()
        self._socket_transport, self._links = real, links

    def sendto(self, data: bytes | bytearray | memoryview, addr: Any = None) -> None:
        """Sends a datagram; delays or drops it according to the link."""
        host = str(addr[0])
        if self._links.drops_datagram(host):
            return
        delay_ms = self._links.link_to(host).delay_ms
        if delay_ms:
            asyncio.get_running_loop().call_later(
                delay_ms * MILLISECOND_S, self._socket_transport.sendto, data, addr
            )
        else:
            self._socket_transport.sendto(data, addr)

    def close(self) -> None:
        """Closes the socket."""
        self._socket_transport.close()

    def abort(self) -> None:
        """Closes the socket at once."""
        self._socket_transport.abort()

    def is_closing(self) -> bool:
        """Whether the socket is closing."""
        return self._socket_transport.is_closing()

    def get_extra_info(self, name: str, default: object = None) -> object:
        """See asyncio.BaseTransport; the answer is that of the socket's transport."""
        return self._socket_transport.get_extra_info(name, default)

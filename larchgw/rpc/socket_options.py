"""Socket options for RPC connections, on client and server."""

from __future__ import annotations

import asyncio
import socket

USER_TIMEOUT_MS = 1500  # a connection is dropped if data stays unacknowledged for this long


def set_socket_options(transport: asyncio.Transport) -> None:
    """Disables delays for small frames, and makes the kernel detect a peer that stopped acknowledging.

    Source: RFC 896 (Nagle's algorithm, switched off); RFC 5482 (TCP user timeout).
    """
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)

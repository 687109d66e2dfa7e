"""Options of the sockets of both sides of a call."""

from __future__ import annotations

import asyncio
import socket

USER_TIMEOUT_MS = 1500  # unacknowledged bytes end a connection after this


def set_socket_options(transport: asyncio.Transport) -> None:
    """Sends small frames without delay, and notices a peer that no longer acknowledges.

    Source: RFC 896 (Nagle's algorithm, switched off); RFC 5482 (TCP user timeout).
    """
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)

"""Addresses of membership sockets: "host:port" with an IPv4 host, encoded in six bytes on the wire."""

from __future__ import annotations

import socket
from functools import lru_cache

from .errors import InvalidMemberError

ADDRESS_BYTES = 6
CACHED_ADDRESSES = 2048


@lru_cache(maxsize=CACHED_ADDRESSES)
def pack_address(address: str) -> bytes:
    """Encodes an address as four bytes of IPv4 address and two bytes of port.

    Raises:
        InvalidMemberError: If it is not an IPv4 address with a port.
    """
    host, _, port = address.rpartition(":")
    try:
        return socket.inet_aton(host) + int(port).to_bytes(2, "big")
    except (OSError, ValueError, OverflowError) as error:
        message = f"{address!r} is not an IPv4 address with a port; use the form 10.0.0.1:7660"
        raise InvalidMemberError("address", address, message) from error


@lru_cache(maxsize=CACHED_ADDRESSES)
def unpack_address(data: bytes) -> str:
    """Decodes an address from six bytes."""
    return f"{socket.inet_ntoa(data[:4])}:{int.from_bytes(data[4:6], 'big')}"


def is_valid_address(address: str) -> bool:
    """Whether the text is an address to which a datagram can be sent."""
    try:
        pack_address(address)
    except InvalidMemberError:
        return False
    return True

"""Addresses as text."""

from __future__ import annotations


def parse_address(text: str) -> tuple[str, int]:
    """Splits a "host:port" text, an IPv6 host in brackets.

    Raises:
        ValueError: It is not of that form, or the port is too large.
    """
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"{text!r} is not host:port")
    return host.strip("[]"), int(port)

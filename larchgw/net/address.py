"""Parsing of network addresses."""

from __future__ import annotations


def parse_address(text: str) -> tuple[str, int]:
    """Splits a "host:port" text; an IPv6 host is in brackets.

    Raises:
        ValueError: The text has another form, or the port is out of range.
    """
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"{text!r} is not host:port")
    return host.strip("[]"), int(port)

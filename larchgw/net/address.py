"""Addresses as text."""

from __future__ import annotations


def parse_address(text: str) -> tuple[str, int]:
    """`host:port`; ValueError if it is not."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"{text!r} is not host:port")
    return host.strip("[]"), int(port)

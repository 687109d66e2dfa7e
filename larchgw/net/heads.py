"""Heads of HTTP/1.1 messages: hop-by-hop fields and response heads."""

from __future__ import annotations

from collections.abc import Iterable
from http import HTTPStatus

Fields = list[tuple[bytes, bytes]]
# Fields for a single connection (RFC 9110, 7.6.1), and framing fields, which each sender sets itself.
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
CLOSE = (b"Connection", b"close")
CHUNKED = (b"Transfer-Encoding", b"chunked")


def end_to_end(fields: Iterable[tuple[bytes, bytes]], dropped: frozenset[bytes] = frozenset()) -> Fields:
    """Returns the fields to forward: without hop-by-hop fields, those named by `Connection`, and `dropped`.

    `dropped` holds names in lower case.
    """
    fields = list(fields)
    named = {
        token.strip().lower()
        for name, value in fields
        if name.lower() == b"connection"
        for token in value.split(b",")
    }
    unwanted = HOP_BY_HOP | dropped | named
    return [field for field in fields if field[0].lower() not in unwanted]


def response_head(status: int, reason: bytes, fields: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Returns a response head, including the empty line that ends it."""
    lines = [b"HTTP/1.1 %d %b" % (status, reason)]
    lines += [b"%b: %b" % field for field in fields]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def reason_phrase(status: int) -> bytes:
    """Returns the standard reason phrase of a status; empty if there is none."""
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b""

"""Serializes a client's request for a runner."""

from __future__ import annotations

from dataclasses import dataclass

from ..net.heads import Fields
from ..net.http_server import Exchange
from .request_head import EXPECT_VERSION, LAST_EVENT_ID, forwarded_fields
from .stream_relay import StreamRelay

# A request with one of these fields has a body, possibly an empty one.
BODY_HEADERS = (b"content-length", b"transfer-encoding")


@dataclass(frozen=True, slots=True)
class SerializedRequest:
    """The bytes of one attempt: the head, and the body, which all attempts of the request share."""

    head: bytes
    body: bytes

    def __len__(self) -> int:
        """Returns the number of bytes."""
        return len(self.head) + len(self.body)


def serialize_request(
    exchange: Exchange, name: bytes, runner: str, left_s: float, priority: int, stream: StreamRelay | None
) -> SerializedRequest:
    """Returns the bytes of the request for one attempt; a `stream` that has started is resumed.

    Method, target and body are those of the client. The body is always sent with a Content-Length.
    """
    lines = [b"%b %b HTTP/1.1" % (exchange.method, exchange.target)]
    lines += [b"%b: %b" % field for field in _fields(exchange, stream)]
    lines.append(
        b"X-Attempt-Id: %b\r\nX-Target-Runner: %b\r\nX-Time-Left-Ms: %d\r\nPriority: %d"
        % (name, runner.encode("latin-1"), max(int(1000.0 * left_s), 1), priority)
    )
    if exchange.body or any(field in exchange.headers for field in BODY_HEADERS):
        lines.append(b"Content-Length: %d" % len(exchange.body))
    return SerializedRequest(b"\r\n".join(lines) + b"\r\n\r\n", exchange.body)


def _fields(exchange: Exchange, stream: StreamRelay | None) -> Fields:
    """Returns the client's fields; to resume a stream, with its last event id and weights version."""
    if stream is None or not stream.started:
        return forwarded_fields(exchange.fields)
    fields = forwarded_fields(exchange.fields, frozenset((LAST_EVENT_ID, EXPECT_VERSION)))
    fields.append((b"Last-Event-Id", b"%d" % (stream.last_id or 0)))
    if stream.version:
        fields.append((b"Expect-Version", stream.version))
    return fields

"""The bytes of a client's request as a runner gets them."""

from __future__ import annotations

from ..net.heads import Fields
from ..net.http_server import Exchange
from .request_head import EXPECT_VERSION, LAST_EVENT_ID, passed_on
from .stream_relay import StreamRelay

FRAMED = (b"content-length", b"transfer-encoding")  # with one of these a request has a body, if an empty one


def request_bytes(
    exchange: Exchange, name: bytes, runner: str, left_s: float, priority: int, stream: StreamRelay | None
) -> bytes:
    """The request for one send; `stream` is the answer that it goes on with, if the client has got any of it.

    Method, target and body are the client's. The body gets a length, in whatever way it came.
    """
    lines = [b"%b %b HTTP/1.1" % (exchange.method, exchange.target)]
    lines += [b"%b: %b" % field for field in _fields(exchange, stream)]
    lines.append(
        b"X-Attempt-Id: %b\r\nX-Target-Runner: %b\r\nX-Time-Left-Ms: %d\r\nPriority: %d"
        % (name, runner.encode("latin-1"), max(int(1000.0 * left_s), 1), priority)
    )
    if exchange.body or any(field in exchange.headers for field in FRAMED):
        lines.append(b"Content-Length: %d" % len(exchange.body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + exchange.body


def _fields(exchange: Exchange, stream: StreamRelay | None) -> Fields:
    """The client's fields; for a stream that goes on, with the event and the weights it goes on from."""
    if stream is None or not stream.started:
        return passed_on(exchange.fields)
    fields = passed_on(exchange.fields, frozenset((LAST_EVENT_ID, EXPECT_VERSION)))
    fields.append((b"Last-Event-Id", b"%d" % (stream.last_id or 0)))
    if stream.version:
        fields.append((b"Expect-Version", stream.version))
    return fields

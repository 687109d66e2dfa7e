"""The HTTP request reader without a socket: the same results for any chunk boundaries."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, cast

import pytest

from larchgw.net.body_memory import BodyMemory
from larchgw.net.counters import Counters
from larchgw.net.exchange import Exchange, ResponseChannel
from larchgw.net.limits import ServerLimits
from larchgw.net.request_reader import MAX_HEADERS, RequestReader

NO_CHANNEL = cast(ResponseChannel, None)
LIMITS = ServerLimits(head_bytes=2000, body_bytes=100)


@dataclass
class RecordingOwner:
    """Records what the reader reports."""

    requests: list[Exchange] = field(default_factory=list)
    refused: list[tuple[int, str]] = field(default_factory=list)
    begun: int = 0
    continues: int = 0

    def new_exchange(self) -> Exchange:
        return Exchange(NO_CHANNEL, 0.0)

    def on_begun(self) -> None:
        self.begun += 1

    def on_request(self, exchange: Exchange) -> None:
        self.requests.append(exchange)

    def on_refused(self, exchange: Exchange) -> None:
        assert exchange.error is not None
        assert not exchange.keep_alive
        self.refused.append(exchange.error)

    def body_share(self, exchange: Exchange) -> float:
        return 1.0

    def on_continue_expected(self) -> None:
        self.continues += 1


def read(data: bytes, piece: int, memory: int = 1000) -> tuple[RecordingOwner, BodyMemory]:
    owner, bodies = RecordingOwner(), BodyMemory(Counters(), "test", memory)
    reader = RequestReader(owner, bodies, lambda: LIMITS)
    for start in range(0, len(data), piece):
        if not reader.stopped:
            reader.feed(data[start : start + piece])
    return owner, bodies


TWO = (
    b"POST /a?x=1 HTTP/1.1\r\nX-List: 1\r\nX-List: 2\r\nX-Key: 3\r\nX-Key: 4\r\n"
    b"Content-Length: 5\r\n\r\nhello"
    b"GET /b HTTP/1.0\r\nExpect: 100-continue\r\n\r\n"
)


@pytest.mark.parametrize("piece", [1, 2, 7, 50, 10_000])
def test_requests_do_not_depend_on_the_piece_size(piece: int) -> None:
    owner, bodies = read(TWO, piece)
    first, second = owner.requests
    assert (first.method, first.target, first.path, first.body) == (b"POST", b"/a?x=1", b"/a", b"hello")
    assert (first.headers[b"x-list"], first.headers[b"x-key"]) == (b"1,2", b"3\n4")
    assert first.fields[0] == (b"X-List", b"1")
    assert first.keep_alive
    assert not first.predates_http_1_1
    assert (second.path, second.keep_alive, second.predates_http_1_1) == (b"/b", False, True)
    assert (owner.begun, owner.continues, owner.refused, bodies.used_bytes) == (2, 1, [], 5)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"no HTTP\r\n\r\n", 400),
        (b"GET /" + b"x" * 3000 + b" HTTP/1.1\r\n\r\n", 414),
        (b"GET / HTTP/1.1\r\n" + b"A: b\r\n" * 2000 + b"\r\n", 431),
        (b"GET / HTTP/1.1\r\n" + b"".join(b"A%d: b\r\n" % i for i in range(MAX_HEADERS + 1)) + b"\r\n", 431),
        (b"POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n", 413),
        (
            b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + (b"60\r\n" + b"x" * 96 + b"\r\n") * 2,
            413,
        ),
        (
            b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
            b"Content-Length: 3\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
            400,
        ),
        (b"GET / HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: other\r\n\r\n", 400),
    ],
)
@pytest.mark.parametrize("piece", [1, 500, 100_000])
def test_a_too_large_or_ambiguous_request_is_refused_once_and_holds_no_memory(
    data: bytes, status: int, piece: int
) -> None:
    owner, bodies = read(data + b"GET /next HTTP/1.1\r\n\r\n", piece)
    assert [refused for refused, _ in owner.refused] == [status]
    assert bodies.used_bytes == sum(len(request.body) for request in owner.requests)
    assert all(request.path != b"/next" for request in owner.requests)


def test_a_body_beyond_the_memory_limit_is_refused_and_counted() -> None:
    owner, bodies = read(TWO, 10_000, memory=4)
    assert [status for status, _ in owner.refused] == [503]
    assert not owner.requests
    assert bodies.used_bytes == 0
    counted: dict[str, Any] = bodies._counters.nonzero_values()
    assert counted == {"larchgw_caps_total_test_bodies": 1.0}


def test_a_limit_replaced_during_a_request_applies_immediately() -> None:
    owner, bodies = RecordingOwner(), BodyMemory(Counters(), "test", 1000)
    limits = [ServerLimits(body_bytes=100)]
    reader = RequestReader(owner, bodies, lambda: limits[0])
    reader.feed(b"POST / HTTP/1.1\r\nContent-Length: 20\r\n\r\n" + b"x" * 10)
    limits[0] = ServerLimits(body_bytes=15)
    reader.feed(b"x" * 10)
    assert [status for status, _ in owner.refused] == [413]
    assert bodies.used_bytes == 0

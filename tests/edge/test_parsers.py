"""Parsers give the same result for any chunk boundaries, and detect truncation at any byte."""

from __future__ import annotations

import socket
from collections.abc import Iterator

import pytest
from hypothesis import given
from hypothesis import strategies as st

from larchgw.edge import events as events_module
from larchgw.edge.answer_parser import AnswerHead
from larchgw.edge.errors import EventTooLongError
from larchgw.edge.events import EventSplitter, parse
from larchgw.edge.forwarding import SerializedRequest
from larchgw.edge.keep_alive_limit import KeepAliveLimit
from larchgw.edge.request_head import model_of, parts_of, time_left, tokens_of
from larchgw.edge.runner_connection import RunnerConnection, SurplusPlace
from larchgw.net.connection_outcome import ConnectionOutcome
from larchgw.net.heads import end_to_end
from larchgw.net.loop import READ
from larchgw.net.timers import Clock, Deadlines
from larchgw.routing.interface import AttemptOutcome

LINES = st.lists(
    st.sampled_from(
        [b"id: 3", b"id:12", b"id: x", b"data: one", b"data", b": ping", b"versions: 4", b"data: id: 9"]
    ),
    min_size=1,
    max_size=4,
)
ENDS = st.sampled_from([b"\n", b"\r\n"])


@st.composite
def streams(draw: st.DrawFn) -> list[bytes]:
    made = []
    for _ in range(draw(st.integers(0, 6))):
        end = draw(ENDS)
        made.append(end.join(draw(LINES)) + end + end)
    return made


def pieces(data: bytes, cuts: list[int]) -> Iterator[bytes]:
    places = sorted({cut % (len(data) + 1) for cut in cuts})
    for start, end in zip([0, *places], [*places, len(data)], strict=True):
        yield data[start:end]


@given(streams(), st.binary(max_size=6).filter(lambda x: b"\n" not in x), st.lists(st.integers(0, 999)))
def test_events_do_not_depend_on_chunk_boundaries(stream: list[bytes], tail: bytes, cuts: list[int]) -> None:
    splitter, got = EventSplitter(), []
    for piece in pieces(b"".join(stream) + tail, cuts):
        got += splitter.feed(piece)
    assert [event.raw for event in got] == stream
    assert splitter.rest() == tail


@given(st.binary(max_size=200), st.lists(st.integers(0, 999)))
def test_no_byte_of_a_stream_is_lost_or_added(data: bytes, cuts: list[int]) -> None:
    splitter, got = EventSplitter(), b""
    for piece in pieces(data, cuts):
        got += b"".join(event.raw for event in splitter.feed(piece))
    assert got + splitter.rest() == data


def test_id_and_version_of_an_event_are_parsed_and_comments_have_none() -> None:
    event = parse(b"versions: 8\nid: 12\ndata: id: 9\n\n")
    assert (event.id, event.version, event.is_comment) == (12, b"8", False)
    assert parse(b"id: 4\r\ndata: x\r\n\r\n").id == 4
    assert parse(b"id: abc\n\n").id is None
    assert parse(b": ping\n\n").is_comment


def test_an_event_without_an_end_is_rejected_at_the_size_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(events_module, "MAX_EVENT_BYTES", 100)
    splitter = EventSplitter()
    splitter.feed(b"x" * 100)
    with pytest.raises(EventTooLongError):
        splitter.feed(b"x")


# A runner's response, split at every byte


class CarriedRequest:
    """Records what a connection reports to its request."""

    name = b"id1"

    def __init__(self) -> None:
        self.head: AnswerHead | None = None
        self.body, self.ends = b"", []  # type: bytes, list[object]

    def request(self) -> SerializedRequest | None:
        return SerializedRequest(b"", b"")

    def on_answer(self, head: AnswerHead) -> None:
        assert self.head is None
        self.head = head

    def on_body(self, data: bytes) -> None:
        assert self.head is not None
        assert not self.ends
        self.body += data

    def on_answer_end(self) -> None:
        self.ends.append("whole")

    def on_lost(self, outcome: AttemptOutcome) -> None:
        self.ends.append(outcome)


class Pool:
    """Owns one connection whose data the test supplies."""

    def __init__(self) -> None:
        self.clock, self.deadlines, self.closing_count = Clock(), Deadlines(), 0
        self.loop = self
        self.free, self.over = 0, 0

    def watch(self, *args: object) -> None:
        pass

    def unwatch(self, *args: object) -> None:
        pass

    def on_released(self, connection: RunnerConnection, keep_alive_s: float | None) -> None:
        self.free += 1

    def on_closed(self, connection: RunnerConnection) -> None:
        self.over += 1

    def on_stale(self, connection: RunnerConnection) -> None:
        pass

    def on_surplus(self, place: SurplusPlace) -> None:
        pass


def carry(cuts: list[bytes], ending: ConnectionOutcome | None) -> tuple[CarriedRequest, Pool]:
    pool, carried = Pool(), CarriedRequest()
    link = RunnerConnection(pool, ("127.0.0.1", 9))  # type: ignore[arg-type]
    link.begin(carried, head_only=False)
    connection = link.connection
    assert not isinstance(connection, ConnectionOutcome)
    connection.connecting = False
    link._request_bytes = 1  # as if a request had been written
    for piece in cuts:
        if piece and not carried.ends:
            link.on_data(piece)
    if ending is not None and not connection.closed:
        link.on_end(ending)
    connection.close()
    return carried, pool


def test_every_connection_to_a_runner_detects_a_dead_machine() -> None:
    link = RunnerConnection(Pool(), ("127.0.0.1", 9))  # type: ignore[arg-type]
    connection = link.connection
    assert not isinstance(connection, ConnectionOutcome)
    assert 0 < connection.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) <= 2000
    assert connection.sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    link.close()


HEAD = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: id1\r\nX-Server-Seal: s\r\n"
FOREIGN_RESPONSE = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: id0\r\nContent-Length: 3\r\n\r\nold"
ANSWERS = [
    HEAD + b"Content-Length: 5\r\n\r\nhello",
    HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
    FOREIGN_RESPONSE + HEAD + b"Content-Length: 5\r\n\r\nhello",
    b"HTTP/1.1 100 Continue\r\n\r\n" + HEAD + b"Content-Length: 5\r\n\r\nhello",
]


@pytest.mark.parametrize("answer", ANSWERS)
@pytest.mark.parametrize("ending", [ConnectionOutcome.CLOSED, ConnectionOutcome.BROKE])
def test_a_response_truncated_at_any_byte_is_never_complete(answer: bytes, ending: ConnectionOutcome) -> None:
    for size in range(len(answer)):
        carried, pool = carry([answer[:size]], ending)
        assert carried.ends in ([AttemptOutcome.RESET], [AttemptOutcome.CUT]), size
        assert (carried.ends == [AttemptOutcome.CUT]) == (carried.head is not None)
        assert b"hello".startswith(carried.body)
        assert pool.free == 0


@pytest.mark.parametrize("answer", ANSWERS)
def test_a_response_in_any_two_pieces_is_parsed_alike(answer: bytes) -> None:
    for size in range(len(answer) + 1):
        carried, pool = carry([answer[:size], answer[size:]], None)
        assert (carried.ends, carried.body) == (["whole"], b"hello"), size
        assert carried.head is not None
        assert carried.head.status == 200
        assert pool.free == (not answer.startswith(FOREIGN_RESPONSE))


def test_a_connection_paused_for_a_slow_client_resumes_for_the_next_request() -> None:
    class Slow(CarriedRequest):
        def on_body(self, data: bytes) -> None:
            link.pause(True)

    pool = Pool()
    heard: list[int] = []
    pool.watch = lambda sock, events, *more: heard.append(events)  # type: ignore[method-assign]
    link = RunnerConnection(pool, ("127.0.0.1", 9))  # type: ignore[arg-type]
    connection = link.connection
    assert not isinstance(connection, ConnectionOutcome)
    connection.connecting = False
    link.begin(Slow(), head_only=False)
    link.on_data(ANSWERS[0])
    assert pool.free == 1
    assert heard[-2:] == [0, READ]
    link.close()


@given(st.binary(min_size=1, max_size=120))
def test_random_bytes_are_never_a_response(data: bytes) -> None:
    carried, pool = carry([data], ConnectionOutcome.CLOSED)
    assert carried.ends in ([AttemptOutcome.RESET], [AttemptOutcome.GARBLED])
    assert pool.free == 0
    assert pool.over


@given(st.integers(0, 200), st.binary(min_size=1, max_size=60))
def test_a_connection_with_foreign_bytes_in_a_response_is_not_reused(at: int, junk: bytes) -> None:
    whole = ANSWERS[1]
    at %= len(whole) + 1
    carried, pool = carry([whole[:at] + junk + whole[at:]], ConnectionOutcome.BROKE)
    assert len(carried.ends) == 1
    if pool.free:  # then it was a complete response without surplus
        assert carried.ends == ["whole"]


# Headers


def test_hop_by_hop_fields_are_dropped_and_all_others_kept_in_order() -> None:
    fields = [
        (b"Connection", b"keep-alive, X-Hop"),
        (b"x-hop", b"1"),
        (b"Cookie", b"a"),
        (b"TE", b"trailers"),
        (b"Cookie", b"b"),
        (b"Content-Length", b"3"),
        (b"X-Server-Seal", b"s"),
    ]
    assert end_to_end(fields) == [(b"Cookie", b"a"), (b"Cookie", b"b"), (b"X-Server-Seal", b"s")]


def test_request_headers_are_parsed_and_invalid_ones_tolerated() -> None:
    headers = {
        b"x-model": b"daka510000/a3",
        b"x-token-count": b"1460,80",
        b"x-time-left-ms": b"2500",
        b"x-prompt-start": b"5c1e07a2:800, 91bd3f06:410,bad",
    }
    assert model_of(headers) == ("daka510000", "a3")
    assert tokens_of(headers) == (1460, 80)
    assert [(part.id, part.tokens) for part in parts_of(headers)] == [("5c1e07a2", 800), ("91bd3f06", 410)]
    assert time_left(headers, 5.0) == 2.5
    assert time_left(headers, 1.0) == 1.0
    for wrong in (b"", b"x", b"nan", b"-5"):
        assert 0.0 <= time_left({b"x-time-left-ms": wrong}, 5.0) <= 5.0
    assert (model_of({}), tokens_of({b"x-token-count": b"x"}), parts_of({})) == (("", ""), (0, 0), ())


def test_a_stale_connection_lowers_the_keep_alive_limit_temporarily() -> None:
    keep = KeepAliveLimit()
    assert keep.limit_s(0.0, idempotent=False) < keep.limit_s(0.0) < 10.0
    keep.observe_advertised(5.0)
    assert keep.limit_s(0.0) == 4.0
    assert keep.limit_s(0.0, idempotent=False) == 2.0
    keep.observe_idle_close(50.0, idle_s=2.0)  # ignored, because a time was advertised
    assert keep.limit_s(50.0) == 4.0
    keep.observe_stale(100.0, idle_s=3.0)
    assert keep.limit_s(100.0) == 0.8 * 1.5
    assert keep.limit_s(100.0, idempotent=False) == 0.4 * 1.5
    assert keep.limit_s(105.0) == 0.8 * 3.0
    assert keep.limit_s(200.0) == 4.0


def test_the_keep_alive_limit_is_learned_from_closed_connections() -> None:
    keep = KeepAliveLimit()
    keep.observe_advertised(0.0)
    keep.observe_idle_close(10.0, idle_s=0.7)
    assert keep.limit_s(10.0) == 0.8 * 0.7
    keep.observe_idle_close(10.0, idle_s=9.0)
    assert keep.limit_s(10.0) == 0.8 * 0.7
    keep.observe_idle_close(10.0, idle_s=0.01)
    assert keep.limit_s(10.0) == 0.8 * 0.5

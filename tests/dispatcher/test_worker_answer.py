"""Parsing of worker responses without a socket, and the limit on the idle time of reused connections."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any

import pytest

from larchgw.dispatcher.workers.answer import MAX_ANSWER, MAX_LINE, MAX_RAW, MAX_REPORT, AnswerReader
from larchgw.dispatcher.workers.load_report import ReportReader
from larchgw.net.connection_outcome import ConnectionOutcome
from larchgw.net.keep_alive_limit import (
    MIN_IDLE_S,
    RECOVERY_S,
    STALE_SHARE,
    USABLE_MARGIN_S,
    USABLE_SHARE,
    KeepAliveLimit,
)


@dataclass
class RecordingListener:
    """Records start and progress events."""

    events: list[float | str] = field(default_factory=list)

    def on_started(self) -> None:
        self.events.append("started")

    def on_progress(self, share: float) -> None:
        self.events.append(share)


def reader() -> tuple[AnswerReader, RecordingListener]:
    listener, reports = RecordingListener(), ReportReader()
    reports.configure({"via": "piggyback", "fields": ["busy", "x0"]})
    return AnswerReader(listener, reports), listener


def line(state: Any, **more: Any) -> bytes:
    return json.dumps({"id": "j", "state": state, **more}).encode() + b"\n"


def chunked(*lines: bytes, last: bytes = b"0\r\n\r\n") -> bytes:
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Load: util=0.5,x0=2\r\n\r\n"
    return head + b"".join(b"%x\r\n%b\r\n" % (len(text), text) for text in lines) + last


def whole(status: int, body: bytes = b"", more: bytes = b"") -> bytes:
    return b"HTTP/1.1 %d X\r\n%bContent-Length: %d\r\n\r\n%b" % (status, more, len(body), body)


def feed(answer: AnswerReader, data: bytes, piece: int) -> bool:
    return all(answer.feed(data[start : start + piece]) for start in range(0, len(data), piece))


@pytest.mark.parametrize("piece", [1, 3, 64, 10_000])
def test_an_answer_is_the_same_in_pieces_of_any_size_and_the_next_one_begins_anew(piece: int) -> None:
    answer, listener = reader()
    answer.expect(b"j")
    data = chunked(
        line("started"),
        line("running", share=0.25),
        line("running", share="much"),
        line("done", result="made", load={"util": 0.75, "x0": 1}),
    )
    assert feed(answer, data, piece)
    assert listener.events == ["started", 0.25, 0.0]
    assert (answer.ending, answer.result, answer.report) == (ConnectionOutcome.DONE, b"made", [0.75, 1.0])
    assert (answer.busy, answer.keep_alive, bytes(answer.raw), answer.received_bytes) == (
        False,
        True,
        data,
        len(data),
    )
    answer.expect(b"j")
    assert (answer.busy, answer.ending, answer.result, answer.report, answer.received_bytes) == (
        True,
        None,
        b"",
        (),
        0,
    )
    assert feed(answer, whole(503, more=b"X-Not-Run: 1\r\n"), piece)
    assert answer.ending is ConnectionOutcome.TURNED_AWAY
    assert not answer.busy


@pytest.mark.parametrize(
    ("data", "ending"),
    [
        (chunked(line("done", result={"a": 1})), ConnectionOutcome.DONE),
        (chunked(line("failed")), ConnectionOutcome.FAILED),
        (chunked(line("returned")), ConnectionOutcome.TURNED_AWAY),
        (chunked(line("lost")), ConnectionOutcome.KILLED),
        (chunked(line("done").replace(b'"j"', b'"k"')), ConnectionOutcome.STRANGER),
        (chunked(line("what")), ConnectionOutcome.GARBLED),
        (chunked(b"{\n"), ConnectionOutcome.GARBLED),
        (chunked(b"7\n"), ConnectionOutcome.GARBLED),
        (chunked(line("started")), ConnectionOutcome.CUT_SHORT),
        (whole(200, line("done").strip()), ConnectionOutcome.DONE),
        (whole(200), ConnectionOutcome.CUT_SHORT),
        (whole(500), ConnectionOutcome.FAILED),
        (whole(503), ConnectionOutcome.FAILED),
        (whole(500, more=b"X-Not-Run: 1\r\n"), ConnectionOutcome.FAILED),
        (whole(504, more=b"x-not-run: 1 \r\n"), ConnectionOutcome.TURNED_AWAY),
        (whole(200, b"x" * (MAX_LINE + 1)), ConnectionOutcome.GARBLED),
    ],
)
@pytest.mark.parametrize("piece", [1000, 10_000_000])
def test_each_end_of_an_answer_has_its_outcome(data: bytes, ending: ConnectionOutcome, piece: int) -> None:
    answer, _ = reader()
    answer.expect(b"j")
    assert feed(answer, data, piece)
    assert answer.ending is ending


def test_what_follows_the_line_that_ended_a_job_changes_nothing() -> None:
    answer, listener = reader()
    answer.expect(b"j")
    assert answer.feed(chunked(line("done", result="first"), line("failed"), last=b""))
    assert answer.busy
    assert answer.ending is ConnectionOutcome.DONE
    answer.ignore_rest()
    assert answer.feed(b"%x\r\n%b\r\n0\r\n\r\n" % (len(line("started")), line("started")))
    assert (answer.busy, answer.ending, answer.result, listener.events) == (
        False,
        ConnectionOutcome.DONE,
        b"first",
        [],
    )


@pytest.mark.parametrize(
    "data",
    [
        b"no HTTP at all\r\n\r\n",
        b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\nabc",
        chunked(line(["started"])),
        chunked(line("started") * (MAX_ANSWER // 20)),
    ],
)
def test_what_is_not_of_the_protocol_or_without_an_end_is_not_read_on(data: bytes) -> None:
    answer, _ = reader()
    answer.expect(b"j")
    assert not feed(answer, data, 100_000)


@pytest.mark.parametrize(
    ("data", "ending", "report"),
    [
        (whole(200, b"util=0.25, x0=3"), ConnectionOutcome.DONE, [0.25, 3.0]),
        (whole(200, b'{"load": {"util": 0.25, "x0": 3}}'), ConnectionOutcome.DONE, [0.25, 3.0]),
        (whole(200, b"util=9,x0=9", b"X-Load: util=0.25,x0=3\r\n"), ConnectionOutcome.DONE, [0.25, 3.0]),
        (whole(200, line("done")), ConnectionOutcome.STRANGER, [0.0, 0.0]),
        (whole(200, b"x" * (MAX_REPORT + 1)), ConnectionOutcome.GARBLED, ()),
        (whole(500), ConnectionOutcome.FAILED, ()),
    ],
)
def test_a_probe_hears_a_report_and_nothing_else(
    data: bytes, ending: ConnectionOutcome, report: list[float]
) -> None:
    answer, listener = reader()
    answer.expect(None)
    assert answer.feed(data)
    assert (answer.ending, answer.report, listener.events) == (ending, report, [])


def test_an_answer_is_kept_as_it_came_only_while_it_is_short() -> None:
    answer, _ = reader()
    answer.expect(b"j")
    data = chunked(line("started", pad="x" * MAX_RAW), last=b"")
    assert answer.feed(data[:100])
    assert answer.raw == data[:100]
    assert answer.feed(data[100:])
    assert answer.received_bytes == len(data) > MAX_RAW > len(answer.raw)


def test_a_connection_is_trusted_for_less_after_one_that_stood_as_long_was_dead_and_regains_it() -> None:
    limit = KeepAliveLimit(15.0)
    full = min(15.0 * USABLE_SHARE, 15.0 - USABLE_MARGIN_S)
    assert limit.limit_s(0.0) == limit.limit_s(1e6) == full
    assert limit.observe_stale(100.0, 4.0) == limit.limit_s(100.0) == STALE_SHARE * 4.0
    assert limit.limit_s(100.0 + RECOVERY_S) == 2 * STALE_SHARE * 4.0
    assert limit.observe_stale(100.0, 50.0) == STALE_SHARE * STALE_SHARE * 4.0, (
        "an idle time above the current limit counts as the limit"
    )
    assert limit.limit_s(100.0 + 100 * RECOVERY_S) == full
    limit.observe_stale(200.0, 0.0)
    assert limit.limit_s(200.0) == MIN_IDLE_S, "with a limit of 0 it could never recover"
    limit.configure(0.5)
    assert limit.limit_s(5000.0) == pytest.approx(0.05)


def test_a_connection_that_died_long_ago_is_forgotten_however_long_ago_it_was() -> None:
    """After 1,024 doublings the power overflowed a float, and every send that used the limit failed."""
    limit = KeepAliveLimit(15.0)
    limit.observe_stale(0.0, 1.0)
    assert (
        [limit.limit_s(age * 3600.0) for age in (1, 8, 9, 24, 24 * 365)]
        == [limit.limit_s(3600.0)] * 5
        == [12.0] * 5
    )

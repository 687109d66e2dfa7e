"""Debug log of requests: written at level DEBUG; without it, no trace is kept."""

from __future__ import annotations

import logging

import structlog
from structlog.testing import capture_logs

from larchgw.edge.trace import RequestTrace
from larchgw.routing.interface import AttemptOutcome
from tests.support.routing_factories import world


def test_each_attempt_of_a_retried_request_is_logged() -> None:
    w = world()
    with capture_logs() as lines:
        trace = RequestTrace.of(w.request("m", "a1"), b"id7")
        assert trace is not None
        trace.waits(w.now, "loading")
        trace.waits(w.now + 0.1, "loading")
        trace.sent(w.now + 0.2)
        trace.ended(w.now + 0.3, "i-1", AttemptOutcome.RESET)
        trace.sent(w.now + 0.4)
        trace.began(w.now + 0.5)
        trace.ended(w.now + 0.9, "i-2", AttemptOutcome.DONE)
        trace.answered(w.now + 1.0, 503, "full")
    request = {"request": "id7", "route": "r", "model": "m", "adapter": "a1", "log_level": "debug"}
    tokens = {"prompt_tokens": 0, "output_tokens": 50}
    ended = {"event": "attempt.ended"} | request | tokens
    assert lines == [
        {"event": "request.waiting", "at_ms": 0, "reason": "loading"} | request,
        ended | {"at_ms": 300, "outcome": "RESET", "runner": "i-1", "sent_ms": 200, "began_ms": None},
        ended | {"at_ms": 900, "outcome": "DONE", "runner": "i-2", "sent_ms": 400, "began_ms": 500},
        {"event": "request.answered", "at_ms": 1000, "status": 503, "reason": "full"} | request,
    ]


def test_the_last_line_summarizes_the_time_spent() -> None:
    w = world()
    with capture_logs() as lines:
        trace = RequestTrace.of(w.request("m", "a1"), b"id7")
        assert trace is not None
        trace.waits(w.now, "no_holder")
        trace.waits(w.now + 0.1, "loading")
        trace.sent(w.now + 0.4)
        trace.ended(w.now + 0.5, "i-1", AttemptOutcome.FULL)
        trace.sent(w.now + 0.5)
        trace.began(w.now + 0.6)
        trace.received(w.now + 0.9)
        trace.received(w.now + 1.0)
        trace.ended(w.now + 1.0, "i-2", AttemptOutcome.DONE)
        trace.finished(w.now + 1.0, "answered")
    last = lines[-1]
    assert last["event"] == "request.ended"
    assert last["waited_ms"] == "no_holder:100,loading:300"
    assert (last["outcomes"], last["end"]) == ("FULL,DONE", "answered")
    assert (last["failed_ms"], last["began_ms"], last["longest_pause_ms"]) == (100, 600, 300)


def test_no_trace_is_kept_without_debug_logging() -> None:
    before = structlog.get_config()["wrapper_class"]
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.INFO))
    try:
        assert RequestTrace.of(world().request(), b"id7") is None
    finally:
        structlog.configure(wrapper_class=before)

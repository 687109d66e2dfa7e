"""Debug lines about requests: written at DEBUG, and nothing is kept for them otherwise."""

from __future__ import annotations

import logging

import pytest

from larchgw.edge.trace import RequestTrace
from larchgw.routing.interface import AttemptOutcome
from tests.support.routing_factories import world

LOGGER = "larchgw.edge.trace"


def test_a_request_that_was_lost_and_repeated_can_be_followed_line_by_line(
    caplog: pytest.LogCaptureFixture,
) -> None:
    w = world()
    with caplog.at_level(logging.DEBUG, LOGGER):
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
    lines = [record.getMessage() for record in caplog.records]
    assert lines == [
        "request id7 waits at 0: loading, r model m/a1",
        "request id7 ended at 300: RESET at i-1, sent at 200, began at -, r model m/a1 tokens 0,50",
        "request id7 ended at 900: DONE at i-2, sent at 400, began at 500, r model m/a1 tokens 0,50",
        "request id7 answered at 1000: 503 full",
    ]


def test_no_trace_is_kept_where_debug_lines_are_not_written(caplog: pytest.LogCaptureFixture) -> None:
    with caplog.at_level(logging.INFO, LOGGER):
        assert RequestTrace.of(world().request(), b"id7") is None

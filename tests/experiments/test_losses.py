"""Causes of lost value, read from dispatchers' debug lines."""

from __future__ import annotations

from pathlib import Path

import pytest

from larchgw.cli.main import call
from larchgw.experiments.losses import EndedRequest, count, read_requests, zone_of


def line(dispatcher: object = "edge-hall-a-1", **changes: object) -> str:
    """Returns a dispatcher's line of a request answered in time, unless `changes` say otherwise."""
    fields: dict[str, object] = {
        "end": "answered",
        "outcomes": "DONE",
        "waited_ms": "",
        "failed_ms": 0,
        "sent_ms": 0,
        "began_ms": 100,
        "longest_pause_ms": 20,
        "target_ms": 400,
        "deadline_ms": 5000,
        "gap_aim_ms": 300.0,
        "rank": 1,
        "request": "id7",
        "at_ms": 500,
        "route": "r",
        "model": "m",
        "adapter": "",
    }
    text = " ".join(f"{name}={value}" for name, value in (fields | changes).items())
    head = f"timestamp=2026-06-18T10:35:05.500000Z level=debug node={dispatcher} event=request.ended"
    return f" 1.5000 {dispatcher} {head} {text}"


def read(**changes: object) -> EndedRequest:
    """Returns the one request of such a line."""
    (request,) = read_requests([line(**changes)])
    return request


def test_request_in_time_has_lost_nothing() -> None:
    assert (read().loss, read().cause) == (0.0, "")


@pytest.mark.parametrize(
    ("changes", "cause"),
    [
        ({"began_ms": 900, "waited_ms": "no_holder:200,loading:500"}, "late, loading"),
        ({"began_ms": 900, "waited_ms": "loading:200"}, "late, at the runner"),
        ({"began_ms": 900, "failed_ms": 700, "outcomes": "SILENT,DONE"}, "late, attempts that failed"),
        ({"longest_pause_ms": 301}, "late, a pause in the answer"),
    ],
)
def test_late_answer_loses_most_of_its_value_to_the_longest_part_of_its_time(
    changes: dict[str, object], cause: str
) -> None:
    request = read(**changes)
    assert request.cause == cause
    assert request.loss == pytest.approx(0.7 * 0.5)


@pytest.mark.parametrize(
    ("changes", "cause"),
    [
        (
            {"end": "refused", "outcomes": "", "began_ms": None, "waited_ms": "no_holder:900"},
            "refused, no_holder",
        ),
        ({"end": "refused", "outcomes": "", "began_ms": None}, "refused, at once"),
        (
            {"end": "left", "outcomes": "", "began_ms": None, "waited_ms": "loading:480"},
            "client left, loading",
        ),
        (
            {
                "end": "left",
                "outcomes": "CANCELLED",
                "began_ms": None,
                "failed_ms": 300,
                "waited_ms": "loading:200",
            },
            "client left, at the runner",
        ),
        ({"end": "left", "outcomes": "CANCELLED"}, "broken off in the answer, left"),
        ({"end": "truncated", "outcomes": "CUT"}, "broken off in the answer, cut"),
        ({"end": "failed", "outcomes": "RESET", "began_ms": None}, "failed, reset"),
        ({"outcomes": "RUNNER_ERROR"}, "answered with an error by the runner"),
    ],
)
def test_request_without_a_whole_answer_loses_all_its_value(changes: dict[str, object], cause: str) -> None:
    request = read(**changes)
    assert (request.cause, request.loss) == (cause, 0.5)


def test_other_lines_are_passed_over() -> None:
    assert not list(read_requests([" 1.0 core-a-1 event=order.sent model=m", ""]))


def test_losses_by_cause_sum_to_what_is_not_earned() -> None:
    lines = [
        line("edge-hall-a-1"),
        line("edge-hall-a-2", began_ms=900, rank=0),
        line("edge-hall-b-1", end="left", outcomes="", began_ms=None, waited_ms="loading:480", route="s"),
    ]
    losses = count(read_requests(lines))
    assert losses.total.owed == pytest.approx(0.5 + 1.0 + 0.5)
    assert sum(losses.total.lost.values()) == pytest.approx(0.7 + 0.5)
    assert losses.total.earned_share == pytest.approx(1.0 - 1.2 / 2.0)
    assert {name: group.requests for name, group in losses.by_zone.items()} == {"hall-a": 2, "hall-b": 1}
    assert losses.by_route["s"].counts == {"client left, loading": 1}


def test_windows_begin_with_the_first_arrival() -> None:
    later = line().replace("10:35:05.5", "10:35:08.6")
    losses = count(read_requests([line(), later]))
    assert sorted(losses.by_window) == [0.0, 2.0]


@pytest.mark.parametrize(
    ("name", "zone"), [("edge-hall-a-12", "hall-a"), ("front-x-1", "x"), ("lone", "lone")]
)
def test_zone_is_told_by_a_dispatchers_name(name: str, zone: str) -> None:
    assert zone_of(name) == zone


def test_command_prints_causes_and_the_earned_share(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    log = tmp_path / "log"
    log.write_text(line() + "\n" + line(began_ms=900) + "\n")
    assert call(["losses", str(log)]) == 0
    printed = capsys.readouterr().out
    assert "late, at the runner" in printed
    assert printed.splitlines()[-1] == "losses: requests=2 owed=1 earned=0.6500"


def test_command_says_so_where_no_request_was_logged(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    log = tmp_path / "log"
    log.write_text("nothing\n")
    assert call(["losses", str(log)]) == 1
    assert "LARCHGW_LOG=DEBUG" in capsys.readouterr().out

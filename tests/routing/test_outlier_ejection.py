"""OutlierEjection: failing runners are ejected and probed again, and the ejected share is limited."""

from __future__ import annotations

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from larchgw.routing.interface import AttemptOutcome
from larchgw.routing.outlier_ejection import (
    EJECTION_S,
    MAX_BACKOFF_S,
    MAX_EJECTED_SHARE,
    MAX_EJECTION_S,
    OutlierEjection,
)

RUNNERS = ["a", "b", "c", "d"]


def fail(
    ejection: OutlierEjection, now: float, runner: str, outcome: AttemptOutcome = AttemptOutcome.SILENT
) -> None:
    """Records two attempts that end with `outcome`."""
    for _ in range(2):
        ejection.sent(now, runner)
        ejection.ended(now, runner, outcome)


def test_a_runner_that_times_out_is_ejected() -> None:
    ejection = OutlierEjection()
    fail(ejection, 0.0, "a")
    assert ejection.admitted(0.1, RUNNERS) == ["b", "c", "d"]


def test_one_probe_request_at_a_time_after_the_ejection() -> None:
    ejection = OutlierEjection()
    fail(ejection, 0.0, "a")
    later = EJECTION_S + 0.01
    assert "a" in ejection.admitted(later, RUNNERS)
    ejection.sent(later, "a")
    assert "a" not in ejection.admitted(later, RUNNERS)
    ejection.ended(later, "a", AttemptOutcome.DONE)
    assert "a" in ejection.admitted(later, RUNNERS)


def test_a_failed_probe_ejects_for_longer() -> None:
    ejection = OutlierEjection()
    fail(ejection, 0.0, "a")
    later = EJECTION_S + 0.01
    ejection.sent(later, "a")
    ejection.ended(later, "a", AttemptOutcome.RESET)
    assert "a" not in ejection.admitted(later + EJECTION_S + 0.01, RUNNERS)
    assert "a" in ejection.admitted(later + 2 * EJECTION_S + 0.01, RUNNERS)


def test_a_cancelled_probe_does_not_eject_the_runner_forever() -> None:
    ejection = OutlierEjection()
    fail(ejection, 0.0, "a")
    later = EJECTION_S + 0.01
    ejection.sent(later, "a")
    ejection.ended(later, "a", AttemptOutcome.CANCELLED)
    assert "a" in ejection.admitted(later, RUNNERS)


def test_single_failures_far_apart_do_not_eject() -> None:
    ejection = OutlierEjection()
    for at in range(0, 100, 10):
        ejection.ended(float(at), "a", AttemptOutcome.RESET)
        assert "a" in ejection.admitted(float(at), RUNNERS)


def test_rejections_of_requests_that_did_not_run_do_not_eject() -> None:
    ejection = OutlierEjection()
    for _ in range(50):
        ejection.ended(0.0, "a", AttemptOutcome.FULL)
        ejection.ended(0.0, "a", AttemptOutcome.NOT_HELD)
    assert "a" in ejection.admitted(0.0, RUNNERS)


def test_simultaneous_rejections_start_one_backoff() -> None:
    ejection = OutlierEjection()
    for _ in range(10):
        ejection.ended(0.0, "a", AttemptOutcome.FULL)
    assert ejection.backoff_until("a") < 0.06


@pytest.mark.parametrize(
    ("outcome", "backoff", "ejection_s"),
    [
        (AttemptOutcome.FULL, MAX_BACKOFF_S, -math.inf),
        (AttemptOutcome.CONNECT_FAILED, MAX_BACKOFF_S, MAX_EJECTION_S),
        (AttemptOutcome.SILENT, -math.inf, MAX_EJECTION_S),
    ],
)
def test_a_runner_that_fails_for_hours_gets_the_maximum_time_each_time(
    outcome: AttemptOutcome, backoff: float, ejection_s: float
) -> None:
    """Guards against an OverflowError after 1,024 doublings, which lost the end of the attempt."""
    ejection, now = OutlierEjection(), 0.0
    for _ in range(2000):
        now += 10.0
        fail(ejection, now, "a", outcome)
    health = ejection._runners["a"]
    assert (health.backoff_until, health.ejected_until) == (now + backoff, now + ejection_s)


@given(
    events=st.lists(
        st.tuples(st.sampled_from(RUNNERS), st.sampled_from(list(AttemptOutcome)), st.floats(0.0, 2.0)),
        max_size=80,
    )
)
def test_the_ejected_share_is_limited_and_all_runners_are_admitted_again(
    events: list[tuple[str, AttemptOutcome, float]],
) -> None:
    ejection, now = OutlierEjection(), 0.0
    for runner, outcome, pause in events:
        now += pause
        ejection.sent(now, runner)
        ejection.ended(now, runner, outcome)
        available = ejection.admitted(now, RUNNERS)
        assert len(available) >= len(RUNNERS) * (1 - MAX_EJECTED_SHARE)
    assert ejection.admitted(now + MAX_EJECTION_S + 0.01, RUNNERS) == RUNNERS

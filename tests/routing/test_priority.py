"""The `Priority` header, computed from the latency target and rank of a route."""

from __future__ import annotations

import pytest

from larchgw.configuration.model import Route
from larchgw.routing.priority import LOWEST_PRIORITY, priority


def route(target_ms: float, deadline_ms: float = 5000.0, rank: int = 1) -> Route:
    return Route("r", "host", "/", "streaming", deadline_ms, target_ms=target_ms, rank=rank, service="s")


def test_shorter_target_is_more_urgent_among_equals() -> None:
    assert priority(route(400.0)) < priority(route(800.0)) < priority(route(1500.0))


def test_higher_rank_is_more_urgent_at_equal_targets() -> None:
    assert priority(route(800.0, rank=0)) < priority(route(800.0, rank=1)) < priority(route(800.0, rank=3))


def test_less_valuable_route_goes_first_if_its_target_is_shorter_by_more_than_the_ratio_of_values() -> None:
    assert priority(route(400.0, rank=2)) < priority(route(835.0, rank=1)) < priority(route(4000.0, rank=0))


def test_routes_with_equal_weighted_targets_have_equal_priority() -> None:
    assert priority(route(500.0, rank=2)) == priority(route(800.0, rank=1)) == priority(route(1500.0, rank=0))


@pytest.mark.parametrize("target_ms", [1.0, 50.0, 100.0, 300.0, 2000.0, 5000.0, 600_000.0])
def test_priority_is_within_the_range_of_the_header(target_ms: float) -> None:
    assert 0 <= priority(route(target_ms)) <= LOWEST_PRIORITY


def test_route_without_a_target_uses_its_deadline() -> None:
    assert priority(route(0.0, deadline_ms=800.0)) == priority(route(800.0))

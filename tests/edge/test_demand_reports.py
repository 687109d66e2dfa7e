"""The interval of demand reports: a single placer must handle those of all dispatchers."""

from __future__ import annotations

import pytest

from larchgw.edge.demand import MAX_LINES, DemandCounter
from larchgw.edge.demand_reports import (
    INTERVAL_S,
    MAX_LINES_PER_S,
    MAX_REPORTS_PER_S,
    report_interval_s,
)


@pytest.mark.parametrize("dispatchers", [1, 8, 100, 490, 2000])
def test_many_dispatchers_do_not_overload_the_placer(dispatchers: int) -> None:
    assert dispatchers / report_interval_s(dispatchers, has_waiting=False) <= MAX_REPORTS_PER_S


def test_few_dispatchers_report_as_often_as_demand_changes() -> None:
    assert report_interval_s(8, has_waiting=False) == INTERVAL_S


def test_long_reports_are_sent_less_often_to_limit_traffic() -> None:
    assert 300 / report_interval_s(8, has_waiting=False, lines=300) <= MAX_LINES_PER_S
    assert report_interval_s(8, has_waiting=False, lines=70) == INTERVAL_S


def test_the_end_of_a_wait_is_reported_soon_with_many_dispatchers() -> None:
    assert report_interval_s(2000, has_waiting=True) == INTERVAL_S


def test_running_adapters_in_excess_are_summed_up_by_model() -> None:
    running = {("llm", f"m{number % 20}", f"a{number}"): 2 for number in range(5 * MAX_LINES)}
    lines = DemandCounter().collect(0.0, (), running)
    assert len(lines) == 20
    assert sum(line.in_flight for line in lines) == sum(running.values())


def test_few_running_adapters_are_reported_separately() -> None:
    running = {("llm", "m", f"a{number}"): 2 for number in range(MAX_LINES)}
    assert {line.adapter for line in DemandCounter().collect(0.0, (), running)} == {key[2] for key in running}

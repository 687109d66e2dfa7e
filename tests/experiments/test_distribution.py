"""The experiment on distribution, at a size that a test can bear."""

from __future__ import annotations

from larchgw.experiments.distribution import experiment
from larchgw.experiments.distribution_model import Size
from larchgw.experiments.results import Options


def test_every_dispatcher_has_all_entries_and_idle_costs_are_small() -> None:
    size = Size(
        dispatchers=12,
        control=3,
        runners=20,
        adapters=800,
        configuration_bytes=5000,
        configurations_a_day=50_000,
        loads_an_hour=10_000,
        restarts_a_day=50_000,
    )
    result = experiment(Options(1, 1, 8.0, 1), size)
    assert [row["phase"] for row in result.rows] == ["start", "ordinary day", "a control process lost"]
    assert result.figures["missing"] == 0
    assert result.figures["stale_s"] < 1.3
    for kind in ("configuration", "load", "leave"):
        assert 0.0 < result.figures[f"{kind}_ms"] <= result.figures[f"{kind}_max_ms"] < 100.0

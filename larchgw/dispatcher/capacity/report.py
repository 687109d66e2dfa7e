"""Exports the planner's reservations and counters as Prometheus metrics and JSON."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import asdict

from prometheus_client import Metric
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.registry import Collector

from .planner import Planner

HELP = {
    "made": "Reservations made",
    "used": "Reservations whose job went to the box held",
    "moved": "Reservations moved to a box with room sooner",
    "dropped": "Reservations given up",
    "filled": "Times a small job was let in before a large one",
    "passed": "Times a small job was kept out",
    "overdue": "Times a small job was let in since it had been kept out for its share of time",
    "refused_cap": "Times a bound kept a reservation from being made",
    "hopeless": "Jobs larger than any box",
}


class ReservationMetrics(Collector):
    """Collects the planner's metrics at each scrape."""

    def __init__(self, planner: Planner) -> None:
        self._planner = planner

    def collect(self) -> Iterator[Metric]:
        for name, value in asdict(self._planner.counts).items():
            yield CounterMetricFamily(f"larchgw_room_{name}", HELP[name], value=value)
        yield GaugeMetricFamily("larchgw_room_held", "Reservations now", value=len(self._planner.by_job))
        yield GaugeMetricFamily(
            "larchgw_room_waiting", "Large jobs that wait for room", value=len(self._planner.waiting)
        )


def as_json(planner: Planner, now: float) -> bytes:
    """The current reservations as JSON, one object each; times are seconds relative to now."""
    return json.dumps({"reservations": planner.describe(now)}).encode() + b"\n"

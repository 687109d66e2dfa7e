"""Counts requested models and adapters, as input for model placement."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping

from ..routing.interface import ModelKey, RequestTraits
from ..rpc.generated.ttypes import ModelDemand
from .expected_returns import AwaitedLoad

# Lines of a report, where possible: beyond it, adapters that were not requested are summed up by model.
MAX_LINES = 100


class DemandCounter:
    """Counts arrivals since the last demand report."""

    def __init__(self) -> None:
        """Starts with no arrivals."""
        self._arrivals: Counter[ModelKey] = Counter()
        self._values: dict[ModelKey, float] = {}

    def arrived(self, traits: RequestTraits) -> None:
        """Counts a request for a model, valued 1 for rank 0, 1/2 for rank 1, 1/3 for rank 2."""
        self._arrivals[traits.key] += 1
        self._values[traits.key] = self._values.get(traits.key, 0.0) + 1.0 / (1 + max(traits.route.rank, 0))

    def collect(
        self, now: float, waiting: Iterable[AwaitedLoad], at_runners: Mapping[ModelKey, int]
    ) -> list[ModelDemand]:
        """Returns the lines of a report and resets the arrival counts.

        Args:
            now: Seconds of the monotonic clock.
            waiting: Requests that wait for a model load.
            at_runners: The number of requests at runners, by key.
        """
        waits: Counter[ModelKey] = Counter()
        urgency: dict[ModelKey, float] = {}
        for awaited in waiting:
            waits[awaited.key] += 1
            left = awaited.deadline_at - now
            urgency[awaited.key] = min(urgency.get(awaited.key, left), left)
        arrivals, values = self._arrivals, self._values
        self._arrivals, self._values = Counter(), {}
        running = (
            at_runners if len(at_runners) <= MAX_LINES else _merge_adapters(at_runners, {*arrivals, *waits})
        )
        return [
            ModelDemand(
                service_name=key[0],
                model=key[1],
                adapter=key[2],
                arrivals=arrivals[key],
                waiting=waits[key],
                in_flight=running.get(key, 0),
                urgency_ms=max(int(1000 * urgency[key]), 1) if key in urgency else 0,
                worth=values.get(key, 0.0),
            )
            for key in sorted({*arrivals, *waits, *running})
            if key[1]
        ]


def _merge_adapters(running: Mapping[ModelKey, int], requested: set[ModelKey]) -> dict[ModelKey, int]:
    """Sums up running requests by model for all adapters not requested since the last report."""
    merged: Counter[ModelKey] = Counter()
    for key, count in running.items():
        merged[key if key in requested else (key[0], key[1], "")] += count
    return merged

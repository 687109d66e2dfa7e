"""Counts what clients ask for, by model and adapter, for the placement of models."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping

from ..routing.interface import RequestTraits
from ..rpc.generated.ttypes import ModelDemand

Key = tuple[str, str, str]
MOST_LINES = 100  # of a report, as far as that can be kept: from there on only what the placer needs most


class DemandTally:
    """Arrivals since the last report."""

    def __init__(self) -> None:
        self._arrivals: Counter[Key] = Counter()
        self._worth: dict[Key, float] = {}

    def arrived(self, traits: RequestTraits) -> None:
        """A request for a model has come. One of rank 0 is worth 1, of rank 1 a half, of rank 2 a third."""
        self._arrivals[traits.key] += 1
        self._worth[traits.key] = self._worth.get(traits.key, 0.0) + 1.0 / (1 + max(traits.route.rank, 0))

    def take(
        self, now: float, waiting: Iterable[RequestTraits], at_runners: Mapping[Key, int]
    ) -> list[ModelDemand]:
        """The report; counts anew from here on."""
        waits: Counter[Key] = Counter()
        urgency: dict[Key, float] = {}
        for traits in waiting:
            waits[traits.key] += 1
            left = traits.deadline_at - now
            urgency[traits.key] = min(urgency.get(traits.key, left), left)
        arrivals, worth = self._arrivals, self._worth
        self._arrivals, self._worth = Counter(), {}
        running = at_runners if len(at_runners) <= MOST_LINES else _folded(at_runners, {*arrivals, *waits})
        return [
            ModelDemand(
                service_name=key[0],
                model=key[1],
                adapter=key[2],
                arrivals=arrivals[key],
                waiting=waits[key],
                in_flight=running.get(key, 0),
                urgency_ms=max(int(1000 * urgency[key]), 1) if key in urgency else 0,
                worth=worth.get(key, 0.0),
            )
            for key in sorted({*arrivals, *waits, *running})
            if key[1]
        ]


def _folded(running: Mapping[Key, int], asked: set[Key]) -> dict[Key, int]:
    """What runs, by model alone for the adapters that nobody asked for since the last report."""
    folded: Counter[Key] = Counter()
    for key, count in running.items():
        folded[key if key in asked else (key[0], key[1], "")] += count
    return folded

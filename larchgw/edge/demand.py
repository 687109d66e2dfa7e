"""Counts what clients ask for, by model and adapter, for the placement of models."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping

from ..decide.interface import RequestTraits
from ..rpc.generated.ttypes import ModelDemand

Key = tuple[str, str, str]


class DemandTally:
    """Arrivals since the last report."""

    def __init__(self) -> None:
        self._arrivals: Counter[Key] = Counter()
        self._worth: dict[Key, float] = {}

    def arrived(self, traits: RequestTraits) -> None:
        """A request for a model has come. One of rank 0 is worth 1, of rank 1 a half, of rank 2 a third."""
        self._arrivals[traits.key] += 1
        self._worth[traits.key] = self._worth.get(traits.key, 0.0) + 1.0 / (1 + max(traits.route.rank, 0))

    def take(self, now: float, waiting: Iterable[RequestTraits],
             at_runners: Mapping[Key, int]) -> list[ModelDemand]:
        """The report; counts anew from here on."""
        waits: Counter[Key] = Counter()
        urgency: dict[Key, float] = {}
        for traits in waiting:
            waits[traits.key] += 1
            left = traits.deadline_at - now
            urgency[traits.key] = min(urgency.get(traits.key, left), left)
        arrivals, worth = self._arrivals, self._worth
        self._arrivals, self._worth = Counter(), {}
        return [
            ModelDemand(service_name=key[0], model=key[1], adapter=key[2], arrivals=arrivals[key],
                        waiting=waits[key], in_flight=at_runners.get(key, 0),
                        urgency_ms=max(int(1000 * urgency[key]), 1) if key in urgency else 0,
                        worth=worth.get(key, 0.0))
            for key in sorted({*arrivals, *waits, *at_runners}) if key[1]
        ]

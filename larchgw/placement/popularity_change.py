"""How likely demand is to move to a model that is idle now. Pure: time is an argument.

Busy models change during a day. A model that becomes busy while no runner holds it makes all its requests
late for the time of a load, so that one holder of a likely successor is of value. Which one it will be is not
known: those that were busy before are the likeliest, those that nobody has asked for come next, and those
that are asked for now and then have shown that they are rare.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from .demand_tracker import ModelSummary

PRIOR_INCREASES, PRIOR_S = 1.0, 30.0  # one model becomes busy in 30 s, before any was seen
NEWEST_SHARE = 0.25  # weight of the newest in the average value of a busy model's requests
PREVIOUSLY_BUSY_WEIGHT, NEVER_ASKED_WEIGHT, RARE_WEIGHT = 1.0, 0.5, 0.02  # relative odds of being next
BUSY_OVER_MEAN = 2.0  # a busy model is asked for so many times as often as models are on average
IDLE_SHARE = 0.2  # of the busy rate, below which a model that was busy counts as idle again


class PopularityChange:
    """Observes which models of one service become busy, and estimates which may be next."""

    def __init__(self, busy_requests_per_s: float) -> None:
        """Starts without observations.

        Args:
            busy_requests_per_s: The least rate of a busy model.
        """
        self._busy_requests_per_s = busy_requests_per_s
        self._observed_since_s: float | None = None
        self._increases = 0  # models that have become busy since the first observation
        self._busy_value_per_s = 0.0  # value a second of a busy model's requests, on average
        self._busy: set[str] = set()
        self._previously_busy: set[str] = set()
        self._asked_for: set[str] = set()
        self._weights: dict[str, float] = {}
        self._idle_weight = 0.0  # of all models that are not busy
        self._increases_per_s = PRIOR_INCREASES / PRIOR_S

    def observe(self, now_s: float, names: Iterable[str], demand: Mapping[str, ModelSummary]) -> None:
        """Takes in the models of the service and the demand for them now."""
        if not demand and self._observed_since_s is None:
            return
        names = list(names)
        is_first = self._observed_since_s is None
        self._observed_since_s = now_s if self._observed_since_s is None else self._observed_since_s
        mean = sum(model.requests_per_s for model in demand.values()) / max(len(names), 1)
        busy_requests_per_s = max(self._busy_requests_per_s, BUSY_OVER_MEAN * mean)
        for name, model in demand.items():
            self._asked_for.add(name)
            if model.requests_per_s >= busy_requests_per_s:
                self._observe_busy(name, model, is_first)
            elif model.requests_per_s < self._busy_requests_per_s * IDLE_SHARE:
                self._busy.discard(name)
        self._increases_per_s = (PRIOR_INCREASES + self._increases) / (
            PRIOR_S + now_s - self._observed_since_s
        )
        self._weights = {name: self._weight(name) for name in names}
        self._idle_weight = sum(weight for name, weight in self._weights.items() if name not in self._busy)

    def _observe_busy(self, name: str, model: ModelSummary, is_first: bool) -> None:
        value_per_s = model.requests_per_s * model.request_value
        share = NEWEST_SHARE if self._busy_value_per_s else 1.0
        self._busy_value_per_s += (value_per_s - self._busy_value_per_s) * share
        if name in self._busy:
            return
        self._busy.add(name)
        self._previously_busy.add(name)
        self._increases += 0 if is_first else 1

    def _weight(self, name: str) -> float:
        if name in self._previously_busy:
            return PREVIOUSLY_BUSY_WEIGHT
        return RARE_WEIGHT if name in self._asked_for else NEVER_ASKED_WEIGHT

    def expected_value_per_s(self, name: str, horizon_s: float) -> float:
        """Returns the expected value, a second, of the requests for a model that becomes busy.

        It is weighed by how likely that is within the horizon. A model whose demand has begun to fall counts
        as idle already: it may come back.
        """
        weight = self._weights.get(name, 0.0)
        if weight == 0.0:
            return 0.0
        total = self._idle_weight + (weight if name in self._busy else 0.0)
        return min(self._increases_per_s * horizon_s, 1.0) * weight / total * self._busy_value_per_s

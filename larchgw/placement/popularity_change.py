"""Estimates how likely demand is to move to a model that is idle now. Time is passed as an argument.

The set of busy models changes over time. If a model becomes busy while no runner holds it, all its requests
are late until it is loaded, so it is useful to keep one holder of each likely candidate. Models that were
busy before are the most likely to become busy; models that were never requested come next; models that are
requested now and then are the least likely, since they have shown that they are rare.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from .demand_tracker import ModelSummary

# Before any observation, one model is assumed to become busy in 30 s.
INITIAL_INCREASES, INITIAL_PERIOD_S = 1.0, 30.0
NEWEST_SHARE = 0.25  # weight of the latest value in the average value of a busy model's requests
# Relative probabilities of becoming busy next.
PREVIOUSLY_BUSY_WEIGHT, NEVER_REQUESTED_WEIGHT, RARE_WEIGHT = 1.0, 0.5, 0.02
BUSY_MULTIPLE_OF_MEAN = 2.0  # the rate of a busy model is at least this multiple of the mean rate
IDLE_SHARE = 0.2  # a busy model becomes idle below this share of the minimum busy rate


class PopularityChange:
    """Observes which models of one service become busy, and estimates which may become busy next."""

    def __init__(self, busy_requests_per_s: float) -> None:
        """Starts without observations.

        Args:
            busy_requests_per_s: Minimum rate of a busy model.
        """
        self._busy_requests_per_s = busy_requests_per_s
        self._observed_since_s: float | None = None
        self._increases = 0  # models that have become busy since the first observation
        self._busy_value_per_s = 0.0  # average value per second of a busy model's requests
        self._busy: set[str] = set()
        self._previously_busy: set[str] = set()
        self._requested: set[str] = set()
        self._weights: dict[str, float] = {}
        self._idle_weight = 0.0  # sum of the weights of all models that are not busy
        self._increases_per_s = INITIAL_INCREASES / INITIAL_PERIOD_S

    def observe(self, now_s: float, names: Iterable[str], demand: Mapping[str, ModelSummary]) -> None:
        """Updates the estimates from the models of the service and their current demand."""
        if not demand and self._observed_since_s is None:
            return
        names = list(names)
        is_first = self._observed_since_s is None
        self._observed_since_s = now_s if self._observed_since_s is None else self._observed_since_s
        mean = sum(model.requests_per_s for model in demand.values()) / max(len(names), 1)
        busy_requests_per_s = max(self._busy_requests_per_s, BUSY_MULTIPLE_OF_MEAN * mean)
        for name, model in demand.items():
            self._requested.add(name)
            if model.requests_per_s >= busy_requests_per_s:
                self._observe_busy(name, model, is_first)
            elif model.requests_per_s < self._busy_requests_per_s * IDLE_SHARE:
                self._busy.discard(name)
        self._increases_per_s = (INITIAL_INCREASES + self._increases) / (
            INITIAL_PERIOD_S + now_s - self._observed_since_s
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
        return RARE_WEIGHT if name in self._requested else NEVER_REQUESTED_WEIGHT

    def expected_value_per_s(self, name: str, horizon_s: float) -> float:
        """Returns the expected value per second of the model's requests if it becomes busy.

        The value is multiplied by the probability of that within the horizon. A busy model is treated as idle
        too: its demand may be falling, and may rise again later.
        """
        weight = self._weights.get(name, 0.0)
        if weight == 0.0:
            return 0.0
        total = self._idle_weight + (weight if name in self._busy else 0.0)
        return min(self._increases_per_s * horizon_s, 1.0) * weight / total * self._busy_value_per_s

"""Selects the models and adapters that a runner must evict to make room for a load."""

from __future__ import annotations

import math
from dataclasses import dataclass

from ..identifiers import RunnerId
from .load_candidates import LoadCandidate
from .model import loadable_name
from .runner_state import MEMORY_MARGIN_MB, RunnerState
from .service_demand import ServiceDemand

# What was loaded stays at least this long, so that the requests that waited for it can be served.
MIN_MODEL_RESIDENCE_S = 2.0
MIN_ADAPTER_RESIDENCE_S = 1.0
RUNNING_REQUEST_COST = 0.05  # loss of value for each request that an unload has to wait for
MAX_EVICTIONS = 3  # maximum for one load


@dataclass(frozen=True, slots=True)
class Eviction:
    """A model or adapter that a runner would unload, and the loss of value."""

    model: str
    adapter: str
    loss: float


class EvictionPlanner:
    """Selects the evictions with the lowest loss at a runner, for one service in one planning round."""

    def __init__(self, demand: ServiceDemand, runners: list[RunnerState]) -> None:
        """Computes the memory in use at each runner.

        Args:
            demand: The service's demand.
            runners: Runners that can take an order.
        """
        self._demand, self._capacity = demand, demand.inputs.capacity
        self._used_mb = {runner.id: runner.used_mb(self._capacity) for runner in runners}
        self._model_evictions: dict[RunnerId, list[Eviction]] = {}

    def evictions_for(self, candidate: LoadCandidate, runner: RunnerState) -> list[Eviction] | None:
        """Returns the evictions at `runner` that make room for the load; None if there is no such set now."""
        capacity, model = self._capacity, candidate.model
        if candidate.adapter and runner.used_adapter_slots() >= capacity.runtime.adapter_slots:
            return self._adapter_evictions(runner)[:1] or None
        required_mb = capacity.adapter_mb(model) if candidate.adapter else capacity.model_mb(model)
        free_mb = capacity.runtime.weights_mb - MEMORY_MARGIN_MB - self._used_mb[runner.id]
        chosen: list[Eviction] = []
        for eviction in self._sorted_model_evictions(runner):
            if free_mb >= required_mb or len(chosen) == MAX_EVICTIONS:
                break
            if eviction.model == model:
                continue
            chosen.append(eviction)
            free_mb += capacity.model_mb(eviction.model)
            free_mb += len(runner.held[eviction.model]) * capacity.adapter_mb(eviction.model)
        return chosen if free_mb >= required_mb else None

    def _sorted_model_evictions(self, runner: RunnerState) -> list[Eviction]:
        """Returns the models that can be evicted, lowest loss first."""
        if runner.id not in self._model_evictions:
            evictions = [Eviction(name, "", self._loss(runner, name)) for name in runner.held]
            self._model_evictions[runner.id] = _sorted_by_loss(evictions)
        return self._model_evictions[runner.id]

    def _adapter_evictions(self, runner: RunnerState) -> list[Eviction]:
        return _sorted_by_loss(
            [
                Eviction(model, adapter, self._loss(runner, model, adapter))
                for model, adapters in runner.held.items()
                for adapter in sorted(adapters)
            ]
        )

    def _loss(self, runner: RunnerState, model: str, adapter: str = "") -> float:
        loaded_at_s = runner.loaded_at_s.get(loadable_name(model, adapter), -math.inf)
        residence_s = MIN_ADAPTER_RESIDENCE_S if adapter else MIN_MODEL_RESIDENCE_S
        if self._demand.inputs.now_s - loaded_at_s < residence_s:
            return math.inf
        loss = self._demand.adapter_loss(model, adapter) if adapter else self._demand.model_loss(model)
        return loss + RUNNING_REQUEST_COST * self._demand.in_flight_per_holder(model, adapter)


def _sorted_by_loss(evictions: list[Eviction]) -> list[Eviction]:
    evictable = (eviction for eviction in evictions if math.isfinite(eviction.loss))
    return sorted(evictable, key=lambda eviction: eviction.loss)

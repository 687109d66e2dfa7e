"""Lists the models and adapters of a service that should be loaded, and the value of each load."""

from __future__ import annotations

import math
from dataclasses import dataclass

from .holder_value import ModelDemandEstimate, first_holder_value
from .model import loadable_name
from .service_demand import ServiceDemand

MAX_REQUESTS_PER_S_PER_ADAPTER_HOLDER = 2.0  # above this rate an adapter gets another holder


@dataclass(frozen=True, slots=True)
class LoadCandidate:
    """A desired load.

    Attributes:
        model: The model to load, or the model of the adapter to load.
        adapter: The adapter; empty for the model itself.
        value: Value of the load, in units of a request's value.
        waiting: Requests that wait for the load.
        deadline_s: Earliest deadline of the waiting requests.
        is_in_time: Whether the load can complete by that deadline.
    """

    model: str
    adapter: str
    value: float
    waiting: int = 0
    deadline_s: float = math.inf
    is_in_time: bool = True

    @property
    def name(self) -> str:
        """The `loadable_name` of the model or adapter."""
        return loadable_name(self.model, self.adapter)

    @property
    def is_urgent(self) -> bool:
        """Whether requests wait for the load."""
        return self.waiting > 0

    @property
    def rank(self) -> tuple[int, float, float]:
        """Sort key: loads that serve waiting requests in time by deadline, then the others by value."""
        if self.is_urgent and self.is_in_time:
            return (0, self.deadline_s, -self.value)
        return (1, 0.0, -self.value)


def load_candidates(demand: ServiceDemand) -> list[LoadCandidate]:
    """Returns all desired loads of a service, the most urgent first."""
    inputs = demand.inputs
    candidates = [
        candidate for model in demand.models.values() for candidate in _model_candidates(demand, model)
    ]
    candidates.extend(
        candidate
        for name in demand.models
        if demand.holders.get(name, 0)
        for adapter in inputs.demand.adapters(inputs.service, name)
        for candidate in _adapter_candidates(demand, name, adapter)
    )
    return sorted(candidates, key=lambda candidate: candidate.rank)


def _model_candidates(demand: ServiceDemand, model: ModelDemandEstimate) -> list[LoadCandidate]:
    placed = demand.placed_replicas(model.name)
    candidates = []
    if placed == 0:
        candidates.append(_first_holder_candidate(demand, model))
    for holders in range(max(placed, 1) + 1, math.ceil(model.target_replicas) + 1):
        candidates.append(LoadCandidate(model.name, "", demand.replica_value(model, holders)))
    return candidates


def _first_holder_candidate(demand: ServiceDemand, model: ModelDemandEstimate) -> LoadCandidate:
    is_in_time = model.deadline_s - demand.inputs.now_s >= model.load_s
    served_value = model.waiting * model.request_value if is_in_time else 0.0
    value = first_holder_value(model, demand.inputs.settings) + served_value
    return LoadCandidate(model.name, "", value, model.waiting, model.deadline_s, is_in_time)


def _adapter_candidates(demand: ServiceDemand, model: str, adapter: str) -> list[LoadCandidate]:
    key = (demand.inputs.service, model, adapter)
    requests_per_s = demand.inputs.demand.requests_per_s(key)
    placed = demand.placed_replicas(loadable_name(model, adapter))
    target = min(requests_per_s / MAX_REQUESTS_PER_S_PER_ADAPTER_HOLDER, demand.holders.get(model, 0))
    if placed > 0 and placed >= target:
        return []
    waiting = demand.inputs.demand.waiting(key) if placed == 0 else 0
    value = demand.adapter_value(requests_per_s) + waiting * demand.models[model].request_value
    return [LoadCandidate(model, adapter, value, waiting, demand.inputs.demand.deadline_s(key))]

"""Which models and adapters of a service should be loaded somewhere, and the value of that. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass

from .holder_value import ModelDemandEstimate, first_holder_value
from .model import loadable_name
from .service_demand import ServiceDemand

ADAPTER_BUSY_REQUESTS_PER_S = 2.0  # that one holder of an adapter should have at most


@dataclass(frozen=True, slots=True)
class LoadCandidate:
    """A load that is wanted.

    Attributes:
        model: The model that is to be loaded, or whose adapter is.
        adapter: The adapter; empty for the model itself.
        value: What it brings, in the unit of a request's value.
        waiting: Requests that wait for it.
        deadline_s: When the first of them gives up.
        is_in_time: Whether the load can be done by then.
    """

    model: str
    adapter: str
    value: float
    waiting: int = 0
    deadline_s: float = math.inf
    is_in_time: bool = True

    @property
    def name(self) -> str:
        """The model, or model and adapter."""
        return loadable_name(self.model, self.adapter)

    @property
    def is_urgent(self) -> bool:
        """Whether requests wait for it."""
        return self.waiting > 0

    @property
    def rank(self) -> tuple[int, float, float]:
        """Sort key: loads that serve waiting requests in time, by time left, then the others by value."""
        if self.is_urgent and self.is_in_time:
            return (0, self.deadline_s, -self.value)
        return (1, 0.0, -self.value)


def load_candidates(demand: ServiceDemand) -> list[LoadCandidate]:
    """Returns all loads that are wanted for a service, most pressing first."""
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
    placed = demand.placed(model.name)
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
    placed = demand.placed(loadable_name(model, adapter))
    target = min(requests_per_s / ADAPTER_BUSY_REQUESTS_PER_S, demand.holders.get(model, 0))
    if placed > 0 and placed >= target:
        return []
    waiting = demand.inputs.demand.waiting(key) if placed == 0 else 0
    value = demand.adapter_value(requests_per_s) + waiting * demand.models[model].request_value
    return [LoadCandidate(model, adapter, value, waiting, demand.inputs.demand.deadline_s(key))]

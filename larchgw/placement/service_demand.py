"""Compares the demand for one service's models with what its runners hold or were ordered to hold."""

from __future__ import annotations

import math
from dataclasses import dataclass

from .demand_tracker import DemandTracker, ModelSummary
from .holder_value import ModelDemandEstimate, replica_value, target_replicas
from .model import PlacementSettings, loadable_name
from .popularity_change import PopularityChange
from .runner_state import RunnerState
from .service_capacity import ServiceCapacity

TYPICAL_RUN_S = 0.5  # typical time of a request at a runner; converts a rate into expected requests in flight
FULL_UTILIZATION_SLOT_SHARE = 0.25  # share of slots in use at which runners count as fully utilized
ADAPTER_WAIT_COST = 0.1  # share of its value that a request loses when it waits for an adapter
REDUNDANT_ADAPTER_SHARE = 0.5  # share of an adapter's value that is lost with one of several holders
MIN_INCREASE_VALUE_PER_S = 0.01  # a model without demand is ignored below this
NO_DEMAND = ModelSummary(0.0, 1.0, 0, 0, math.inf)


@dataclass(frozen=True, slots=True)
class ServiceInputs:
    """Inputs of one planning round for a service.

    Attributes:
        now_s: Current time, on the monotonic clock.
        service: Name of the service.
        capacity: Capacity of its runners.
        runners: Its ready runners.
        demand: Demand by model and adapter.
        popularity_change: Estimates which of its models may become busy.
        settings: Prices and horizon.
    """

    now_s: float
    service: str
    capacity: ServiceCapacity
    runners: list[RunnerState]
    demand: DemandTracker
    popularity_change: PopularityChange
    settings: PlacementSettings


class ServiceDemand:
    """Holders, demand and target replicas of one service's models, and the losses by evictions.

    Attributes:
        inputs: The inputs of the round.
        holders: `loadable_name` -> number of runners that have it loaded and are not unloading it.
        models: Demand estimate of each model that is requested or is likely to be.
        utilization: Utilization of the service's runners, from 0 to 1.
    """

    def __init__(self, inputs: ServiceInputs) -> None:
        """Counts holders and estimates demand, for one round."""
        self.inputs = inputs
        self.holders: dict[str, int] = {}
        # `loadable_name` -> number of runners that load it or make room for it.
        self._pending: dict[str, int] = {}
        self._count_holders()
        summaries = inputs.demand.by_model(inputs.service)
        self.models = {
            name: self._estimate(name, summaries.get(name, NO_DEMAND))
            for name in inputs.capacity.models
            if name in summaries or self._increase_value_per_s(name) >= MIN_INCREASE_VALUE_PER_S
        }
        self.utilization = 0.0
        self._model_losses: dict[str, float] = {}
        self._set_target_replicas()

    def _count_holders(self) -> None:
        for state in self.inputs.runners:
            for model, adapters in state.held.items():
                for adapter in ("", *adapters):
                    if state.holds(model, adapter):
                        name = loadable_name(model, adapter)
                        self.holders[name] = self.holders.get(name, 0) + 1
            for name in state.loads_of_predecessor():
                self._pending[name] = self._pending.get(name, 0) + 1
            if state.order_in_progress is not None:
                order = state.order_in_progress.order
                name = order.name if order.is_load else order.makes_room_for
                self._pending[name] = self._pending.get(name, 0) + 1

    def _estimate(self, name: str, summary: ModelSummary) -> ModelDemandEstimate:
        return ModelDemandEstimate(
            name,
            summary.requests_per_s,
            summary.request_value,
            summary.waiting,
            summary.deadline_s,
            summary.in_flight,
            self.inputs.capacity.models[name].load_s,
            self._increase_value_per_s(name),
        )

    def _increase_value_per_s(self, name: str) -> float:
        return self.inputs.popularity_change.expected_value_per_s(name, self.inputs.settings.horizon_s)

    def _set_target_replicas(self) -> None:
        """Sets the target replicas of each model by its share of all work."""
        runners, settings = self.inputs.runners, self.inputs.settings
        work = {
            name: model.in_flight + model.requests_per_s * TYPICAL_RUN_S
            for name, model in self.models.items()
        }
        total = sum(work.values())
        in_flight = sum(model.in_flight for model in self.models.values())
        slots = sum(state.record.slots for state in runners)
        self.utilization = min(in_flight / max(slots * FULL_UTILIZATION_SLOT_SHARE, 1.0), 1.0)
        for name, model in self.models.items():
            share = work[name] / total if total > 0.0 else 0.0
            model.target_replicas = target_replicas(share, model.requests_per_s, len(runners), settings)

    def placed_replicas(self, name: str) -> int:
        """Returns the number of runners that hold the model or adapter, load it, or make room for it."""
        return self.holders.get(name, 0) + self._pending.get(name, 0)

    def replica_value(self, model: ModelDemandEstimate, holders: int) -> float:
        """Returns the value of the last of `holders` holders of a model."""
        return replica_value(model, holders, self.utilization, self.inputs.settings)

    def adapter_value(self, requests_per_s: float) -> float:
        """Returns the value of having one holder of an adapter instead of none, over the horizon."""
        settings = self.inputs.settings
        request_probability = 1.0 - math.exp(-requests_per_s * settings.horizon_s)
        return request_probability * (2.0 * settings.order_price + ADAPTER_WAIT_COST)

    # ---- Losses by evictions ----

    def model_loss(self, name: str) -> float:
        """Returns the loss of value if one holder unloads this model.

        The loss is infinite for the last holder while requests wait for the model.
        """
        if name not in self._model_losses:
            self._model_losses[name] = self._compute_model_loss(name)
        return self._model_losses[name]

    def _compute_model_loss(self, name: str) -> float:
        model = self.models.get(name)
        if model is None:
            return 0.0
        holders = self.holders.get(name, 0)
        if holders <= 1 and model.waiting > 0:
            return math.inf
        return self.replica_value(model, holders)

    def adapter_loss(self, model: str, adapter: str) -> float:
        """Returns the loss of value if one holder unloads this adapter; see `model_loss`."""
        key = (self.inputs.service, model, adapter)
        is_last_holder = self.holders.get(loadable_name(model, adapter), 0) <= 1
        if is_last_holder and self.inputs.demand.waiting(key) > 0:
            return math.inf
        value = self.adapter_value(self.inputs.demand.requests_per_s(key))
        return value if is_last_holder else value * REDUNDANT_ADAPTER_SHARE

    def in_flight_per_holder(self, model: str, adapter: str = "") -> float:
        """Returns the expected number of requests in flight at each holder."""
        if adapter:
            in_flight = self.inputs.demand.in_flight((self.inputs.service, model, adapter))
        else:
            in_flight = self.models[model].in_flight if model in self.models else 0
        return in_flight / max(self.holders.get(loadable_name(model, adapter), 0), 1)

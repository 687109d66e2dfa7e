"""The demand for one service's models against what its runners hold and are ordered to. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass

from .demand_tracker import DemandTracker, ModelSummary
from .holder_value import ModelDemandEstimate, replica_value, target_replicas
from .model import PlacementSettings, loadable_name
from .popularity_change import PopularityChange
from .runner_state import RunnerState
from .service_capacity import ServiceCapacity

RUN_S = 0.5  # a request's usual time at a runner: turns a rate into work where nothing is in flight yet
BUSY_SLOT_SHARE = 0.25  # share of the runners' slots in use from which runners count as fully busy
ADAPTER_WAIT_COST = 0.1  # share of its value that a request loses when it waits for an adapter
SPARE_ADAPTER_SHARE = 0.5  # of an adapter's value, lost with one of several holders
MIN_INCREASE_VALUE_PER_S = 0.01  # below which an idle model is not looked at
NO_DEMAND = ModelSummary(0.0, 1.0, 0, 0, math.inf)


@dataclass(frozen=True, slots=True)
class ServiceInputs:
    """What one round of planning looks at for a service.

    Attributes:
        now_s: The time, on the monotonic clock.
        service: The service's name.
        capacity: What its runners can hold.
        runners: Its runners that serve.
        demand: Requests by model and adapter.
        popularity_change: Which of its models may become busy.
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
    """Holders, demand and target replicas of one service's models, and what evictions would lose.

    Attributes:
        inputs: What it was made from.
        holders: `loadable_name` -> number of runners that hold it and keep it.
        models: The estimate for each model that is asked for, or may be.
        utilization: How busy the service's runners are, 0 to 1.
    """

    def __init__(self, inputs: ServiceInputs) -> None:
        """Counts holders and estimates demand, for one round."""
        self.inputs = inputs
        self.holders: dict[str, int] = {}
        self._pending: dict[str, int] = {}  # loadable_name -> runners where it is being loaded, or freed for
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
                name = order.name if order.is_load else order.purpose
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
        """Sets each model's target by its part of all work."""
        runners, settings = self.inputs.runners, self.inputs.settings
        work = {name: model.in_flight + model.requests_per_s * RUN_S for name, model in self.models.items()}
        total = sum(work.values())
        in_flight = sum(model.in_flight for model in self.models.values())
        slots = sum(state.record.slots for state in runners)
        self.utilization = min(in_flight / max(slots * BUSY_SLOT_SHARE, 1.0), 1.0)
        for name, model in self.models.items():
            share = work[name] / total if total > 0.0 else 0.0
            model.target_replicas = target_replicas(share, model.requests_per_s, len(runners), settings)

    def placed(self, name: str) -> int:
        """Returns how many runners hold it or will."""
        return self.holders.get(name, 0) + self._pending.get(name, 0)

    def replica_value(self, model: ModelDemandEstimate, holders: int) -> float:
        """Returns the value of the last of so many holders of a model."""
        return replica_value(model, holders, self.utilization, self.inputs.settings)

    def adapter_value(self, requests_per_s: float) -> float:
        """Returns the value of an adapter being held anywhere, over the horizon."""
        settings = self.inputs.settings
        request_probability = 1.0 - math.exp(-requests_per_s * settings.horizon_s)
        return request_probability * (2.0 * settings.order_price + ADAPTER_WAIT_COST)

    # ---- What evictions lose ----

    def model_loss(self, name: str) -> float:
        """Returns the value lost where one holder fewer has this model.

        It is infinite for the last holder while requests wait for the model.
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
        """Returns the value lost where one holder fewer has this adapter; infinite as for a model."""
        key = (self.inputs.service, model, adapter)
        is_last_holder = self.holders.get(loadable_name(model, adapter), 0) <= 1
        if is_last_holder and self.inputs.demand.waiting(key) > 0:
            return math.inf
        value = self.adapter_value(self.inputs.demand.requests_per_s(key))
        return value if is_last_holder else value * SPARE_ADAPTER_SHARE

    def in_flight_per_holder(self, model: str, adapter: str = "") -> float:
        """Returns how many requests are expected to run for it at one of its holders."""
        if adapter:
            in_flight = self.inputs.demand.in_flight((self.inputs.service, model, adapter))
        else:
            in_flight = self.models[model].in_flight if model in self.models else 0
        return in_flight / max(self.holders.get(loadable_name(model, adapter), 0), 1)

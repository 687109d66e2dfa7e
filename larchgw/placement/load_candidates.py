"""Which models and adapters of a service should be loaded somewhere, and what that is worth. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass

from .demand_tracker import DemandTracker, ModelSummary
from .holder_value import ModelDemand, first_holder, replica, wanted_replicas
from .model import PlacementSettings, loadable_name
from .popularity_change import ShiftEstimate
from .runner_state import RunnerState
from .service_capacity import ServiceCapacity

RUN_S = 0.5  # a request's usual time at a runner: turns a rate into work where nothing is in flight yet
CALM_IN_FLIGHT = 0.25  # share of a runner's slots in use from which runners count as busy
ADAPTER_WAIT_COST = 0.1  # share of its worth that a request loses when it waits for an adapter
ADAPTER_BUSY_RATE = 2.0  # requests a second that one holder of an adapter should have at most

LEAST_RISE_WORTH = 0.01  # worth a second, below which an idle model is not looked at
NOT_ASKED = ModelSummary(0.0, 1.0, 0, 0, math.inf)


@dataclass(frozen=True, slots=True)
class Need:
    """A load that is wanted. `in_reach` tells whether it can be done before those that wait give up."""

    model: str
    adapter: str
    value: float
    waiting: int = 0
    deadline: float = math.inf
    in_reach: bool = True

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
        """Sorts what is wanted: those that wait and can be served first, by time left, then by worth."""
        if self.is_urgent and self.in_reach:
            return (0, self.deadline, -self.value)
        return (1, 0.0, -self.value)


class ServiceDemand:
    """The demand of one service's models against what its runners hold and are ordered to."""

    def __init__(
        self,
        now: float,
        service: str,
        capacity: ServiceCapacity,
        runners: list[RunnerState],
        demand: DemandTracker,
        shifts: ShiftEstimate,
        settings: PlacementSettings,
    ) -> None:
        self._now, self.service, self.capacity, self.runners = now, service, capacity, runners
        self._demand, self._shifts, self._settings = demand, shifts, settings
        self.holders: dict[str, int] = {}  # held_name -> runners that hold it and keep it
        self._coming: dict[str, int] = {}  # held_name -> runners where it is on its way
        self._index()
        summaries = demand.by_model(service)
        self.models = {
            name: self._model(name, summaries.get(name, NOT_ASKED))
            for name in capacity.models
            if name in summaries or self._rise_worth(name) >= LEAST_RISE_WORTH
        }
        self._losses: dict[str, float] = {}
        self._share()

    def _index(self) -> None:
        for state in self.runners:
            for model, adapters in state.held.items():
                for adapter in ("", *adapters):
                    if state.holds(model, adapter):
                        name = loadable_name(model, adapter)
                        self.holders[name] = self.holders.get(name, 0) + 1
            if state.order_in_progress is not None:
                order = state.order_in_progress.order
                name = order.name if order.is_load else order.purpose
                self._coming[name] = self._coming.get(name, 0) + 1

    def _model(self, name: str, asked: ModelSummary) -> ModelDemand:
        return ModelDemand(
            name,
            asked.requests_per_s,
            asked.request_value,
            asked.waiting,
            asked.deadline_s,
            asked.in_flight,
            self.capacity.models[name].load_s,
            self._rise_worth(name),
        )

    def _rise_worth(self, name: str) -> float:
        return self._shifts.worth_a_second(name, self._settings.horizon_s)

    def _share(self) -> None:
        """Sets each model's wanted replicas by its part of all work."""
        work = {name: model.in_flight + model.rate * RUN_S for name, model in self.models.items()}
        total = sum(work.values())
        in_flight = sum(model.in_flight for model in self.models.values())
        slots = sum(state.record.slots for state in self.runners)
        self.pressure = min(in_flight / max(slots * CALM_IN_FLIGHT, 1.0), 1.0)
        for name, model in self.models.items():
            share = work[name] / total if total > 0.0 else 0.0
            model.wanted = wanted_replicas(share, model.rate, len(self.runners), self._settings)

    def count(self, name: str) -> int:
        """Runners that hold it or will."""
        return self.holders.get(name, 0) + self._coming.get(name, 0)

    # ---- What is wanted ----

    def needs(self) -> list[Need]:
        """All loads that are wanted, most pressing first."""
        wanted = [need for model in self.models.values() for need in self._model_needs(model)]
        wanted.extend(
            need
            for name in self.models
            if self.holders.get(name, 0)
            for adapter in self._demand.adapters(self.service, name)
            for need in self._adapter_needs(name, adapter)
        )
        return sorted(wanted, key=lambda need: need.rank)

    def _model_needs(self, model: ModelDemand) -> list[Need]:
        count = self.count(model.name)
        needs = []
        if count == 0:
            in_reach = model.deadline - self._now >= model.load_s
            served = model.waiting * model.worth if in_reach else 0.0
            value = first_holder(model, self._settings) + served
            needs.append(Need(model.name, "", value, model.waiting, model.deadline, in_reach))
        for nth in range(max(count, 1) + 1, math.ceil(model.wanted) + 1):
            needs.append(Need(model.name, "", self._replica(model, nth)))
        return needs

    def _adapter_needs(self, model: str, adapter: str) -> list[Need]:
        key = (self.service, model, adapter)
        rate, waiting = self._demand.requests_per_s(key), self._demand.waiting(key)
        count = self.count(loadable_name(model, adapter))
        if count > 0 and count >= min(rate / ADAPTER_BUSY_RATE, self.holders.get(model, 0)):
            return []
        value = self._adapter_value(rate) + (waiting if count == 0 else 0) * self.models[model].worth
        return [Need(model, adapter, value, waiting if count == 0 else 0, self._demand.deadline_s(key))]

    # ---- What is lost ----

    def _replica(self, model: ModelDemand, holders: int) -> float:
        return replica(model, holders, self.pressure, self._settings)

    def model_loss(self, name: str) -> float:
        """Worth lost where one holder fewer has this model; infinite for the last one while requests wait."""
        if name not in self._losses:
            self._losses[name] = self._model_loss(name)
        return self._losses[name]

    def _model_loss(self, name: str) -> float:
        model = self.models.get(name)
        if model is None:
            return 0.0
        holders = self.holders.get(name, 0)
        if holders <= 1 and model.waiting > 0:
            return math.inf
        return self._replica(model, holders)

    def adapter_loss(self, model: str, adapter: str) -> float:
        """The same for an adapter."""
        key = (self.service, model, adapter)
        alone = self.holders.get(loadable_name(model, adapter), 0) <= 1
        if alone and self._demand.waiting(key) > 0:
            return math.inf
        value = self._adapter_value(self._demand.requests_per_s(key))
        return value if alone else value * 0.5

    def in_flight_at_holder(self, model: str, adapter: str = "") -> float:
        """Requests that are expected to run for it at one of its holders."""
        if adapter:
            running = self._demand.in_flight((self.service, model, adapter))
        else:
            running = self.models[model].in_flight if model in self.models else 0
        return running / max(self.holders.get(loadable_name(model, adapter), 0), 1)

    def _adapter_value(self, rate: float) -> float:
        asked = 1.0 - math.exp(-rate * self._settings.horizon_s)
        return asked * (2.0 * self._settings.order_price + ADAPTER_WAIT_COST)

"""Which load or unload to order next at which runner. Pure: time is an argument.

Every round looks at demand and at what runners hold or are ordered to, lists what should be loaded, and takes
for each load, most pressing first, the runner where it costs least: free memory before evictions, and
evictions of what loses least. Nothing but the popularity of models is remembered between rounds; ties break
by a seeded generator. A load happens only where its value is above its prices and the value of what is
evicted.
"""

from __future__ import annotations

import math
import random
from collections.abc import Mapping

from ..configuration.model import Configuration
from .demand_tracker import DemandTracker
from .load_budget import LoadBudget, StoreBudget
from .load_candidates import LoadCandidate, load_candidates
from .model import Order, OrderAction, PlacementSettings
from .popularity_change import PopularityChange
from .runner_selection import LoadOption, RunnerSelector
from .runner_state import PlacementState
from .service_capacity import ServiceCapacity
from .service_demand import ServiceDemand, ServiceInputs

HYSTERESIS = 1.5  # a load that nobody waits for must have so many times the value of its cost
MAX_CANDIDATES = 32  # looked at in one round and service; the next round comes within 50 ms


class Planner:
    """Chooses orders; between rounds it keeps only how demand has moved so far."""

    def __init__(self, settings: PlacementSettings, random_source: random.Random) -> None:
        """Makes a planner.

        Args:
            settings: Prices and horizon.
            random_source: Breaks ties between runners.
        """
        self._settings, self._random_source = settings, random_source
        self._popularity: dict[str, PopularityChange] = {}  # by service

    def plan(
        self,
        now_s: float,
        configuration: Configuration,
        capacities: Mapping[str, ServiceCapacity],
        demand: DemandTracker,
        state: PlacementState,
    ) -> list[Order]:
        """Returns the next orders, most pressing first within a service, at most one for each runner.

        Args:
            now_s: The time, on the clock of `demand`.
            configuration: Names the services; their order decides who takes of the store's budget first.
            capacities: By service; a service without one places no models.
            demand: What is asked for.
            state: What runners hold, and the store's budget.
        """
        orders: list[Order] = []
        store_budget = StoreBudget.of(now_s, state)
        for service in configuration.services:
            capacity = capacities.get(service.name)
            if capacity is None:
                continue
            runners = state.ready_runners(service.name)
            popularity = self._observe_popularity(now_s, service.name, capacity, demand)
            inputs = ServiceInputs(now_s, service.name, capacity, runners, demand, popularity, self._settings)
            budget = LoadBudget(store_budget, capacity, runners)
            orders.extend(ServiceRound(ServiceDemand(inputs), budget, self._random_source).orders())
        return orders

    def _observe_popularity(
        self, now_s: float, service: str, capacity: ServiceCapacity, demand: DemandTracker
    ) -> PopularityChange:
        if service not in self._popularity:
            self._popularity[service] = PopularityChange(self._settings.busy_requests_per_s)
        self._popularity[service].observe(now_s, capacity.models, demand.by_model(service))
        return self._popularity[service]


class ServiceRound:
    """The choice of orders for one service in one round."""

    def __init__(self, demand: ServiceDemand, budget: LoadBudget, random_source: random.Random) -> None:
        """Makes a round.

        Args:
            demand: The service's demand and runners.
            budget: Loads that may be ordered.
            random_source: Breaks ties between runners.
        """
        inputs = demand.inputs
        self._demand, self._budget, self._settings = demand, budget, inputs.settings
        self._idle = {runner.id: runner for runner in inputs.runners if runner.can_take_order(inputs.now_s)}
        self._selector = RunnerSelector(demand, list(self._idle.values()), random_source)

    def orders(self) -> list[Order]:
        """Returns, for each candidate in turn, the next order of the cheapest runner."""
        orders = []
        for candidate in load_candidates(self._demand)[:MAX_CANDIDATES]:
            if not self._idle:
                break
            order = self._order_for(candidate)
            if order is not None:
                del self._idle[order.runner_id]
                orders.append(order)
        return orders

    def _order_for(self, candidate: LoadCandidate) -> Order | None:
        if not candidate.adapter and not self._budget.allows(candidate):
            return None
        option = self._selector.cheapest(candidate, self._idle.values())
        if option is None or not self._is_worthwhile(candidate, option):
            return None
        if option.evictions:
            return _unload_order(option, candidate)
        if not candidate.adapter:
            self._budget.spend(candidate, option.runner)
        return _load_order(option, candidate)

    def _is_worthwhile(self, candidate: LoadCandidate, option: LoadOption) -> bool:
        if not math.isfinite(option.cost):
            return False
        prices = self._settings.order_price * (1 + len(option.evictions))
        if not candidate.adapter:
            prices += self._settings.load_price
        losses = sum(eviction.loss for eviction in option.evictions)
        factor = 1.0 if candidate.is_urgent else HYSTERESIS
        return candidate.value > factor * (prices + losses)


def _unload_order(option: LoadOption, candidate: LoadCandidate) -> Order:
    """Returns the order for the first eviction; the others and the load follow in later rounds."""
    runner, eviction = option.runner, option.evictions[0]
    return Order(
        runner.id,
        runner.record.address,
        OrderAction.UNLOADING,
        eviction.model,
        eviction.adapter,
        if_revision=runner.order_count,
        purpose=candidate.name,
    )


def _load_order(option: LoadOption, candidate: LoadCandidate) -> Order:
    runner = option.runner
    return Order(
        runner.id,
        runner.record.address,
        OrderAction.LOADING,
        candidate.model,
        candidate.adapter,
        if_revision=runner.order_count,
    )

"""Plans the next orders: which runner loads or unloads which model. Time is passed as an argument.

Each round compares demand with what runners hold or were ordered to hold, and lists the desired loads. For
each of them, the most urgent first, it selects the runner with the lowest cost: free memory is preferred to
evictions, and evictions with a lower loss to others. Only the popularity of models is kept between rounds.
Ties are broken by a seeded generator. A load is ordered only if its value exceeds its prices and the value of
the evicted models.
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

HYSTERESIS = 1.5  # a load without waiting requests must have this multiple of its cost as value
MAX_CANDIDATES = 32  # considered per round and service; the next round is at most 50 ms later


class Planner:
    """Plans orders; the only state between rounds is how the popularity of models has changed."""

    def __init__(self, settings: PlacementSettings, random_source: random.Random) -> None:
        """Creates a planner.

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
        """Returns the next orders, at most one for each runner, and the most urgent first within a service.

        Args:
            now_s: Current time, on the clock of `demand`.
            configuration: Lists the services; earlier ones use the store's budget first.
            capacities: Capacities by service; a service without an entry places no models.
            demand: Current demand.
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
    """Selects the orders of one service in one planning round."""

    def __init__(self, demand: ServiceDemand, budget: LoadBudget, random_source: random.Random) -> None:
        """Creates a round.

        Args:
            demand: The service's demand and runners.
            budget: Limits the loads that may be ordered.
            random_source: Breaks ties between runners.
        """
        inputs = demand.inputs
        self._demand, self._budget, self._settings = demand, budget, inputs.settings
        self._available_runners = {
            runner.id: runner for runner in inputs.runners if runner.can_take_order(inputs.now_s)
        }
        self._selector = RunnerSelector(demand, list(self._available_runners.values()), random_source)

    def orders(self) -> list[Order]:
        """Returns the next order for each candidate, at the runner with the lowest cost."""
        orders = []
        for candidate in load_candidates(self._demand)[:MAX_CANDIDATES]:
            if not self._available_runners:
                break
            order = self._order_for(candidate)
            if order is not None:
                del self._available_runners[order.runner_id]
                orders.append(order)
        return orders

    def _order_for(self, candidate: LoadCandidate) -> Order | None:
        if not candidate.adapter and not self._budget.allows(candidate):
            return None
        option = self._selector.cheapest(candidate, self._available_runners.values())
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
    """Returns the order for the first eviction; the other evictions and the load follow in later rounds."""
    runner, eviction = option.runner, option.evictions[0]
    return Order(
        runner.id,
        runner.record.address,
        OrderAction.UNLOADING,
        eviction.model,
        eviction.adapter,
        if_revision=runner.order_count,
        makes_room_for=candidate.name,
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

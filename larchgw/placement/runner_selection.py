"""Selects the runner at which a load has the lowest cost."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass

from ..identifiers import RunnerId
from .evictions import Eviction, EvictionPlanner
from .load_candidates import LoadCandidate
from .runner_state import RunnerState
from .service_demand import ServiceDemand

SAME_ZONE_COST = 0.1  # for a further holder in the same zone
WORK_COST = 0.1  # multiplied by the runner's share of the service's work
MAX_TIE_COST = 1e-3  # upper bound of a random cost that breaks ties


@dataclass(frozen=True, slots=True)
class LoadOption:
    """A runner for a load, with the required evictions and the cost of the load."""

    runner: RunnerState
    evictions: tuple[Eviction, ...]
    cost: float


class RunnerSelector:
    """Selects among the runners that can take an order, for one service in one planning round."""

    def __init__(
        self, demand: ServiceDemand, idle_runners: list[RunnerState], random_source: random.Random
    ) -> None:
        """Computes the work of the runners for one round.

        Args:
            demand: The service's demand.
            idle_runners: Runners that can take an order.
            random_source: Breaks ties.
        """
        self._demand, self._random_source = demand, random_source
        self._order_price = demand.inputs.settings.order_price
        self._work_shares = _work_shares(demand)
        self._eviction_planner = EvictionPlanner(demand, idle_runners)

    def cheapest(self, candidate: LoadCandidate, runners: Iterable[RunnerState]) -> LoadOption | None:
        """Returns the runner with the lowest cost for the load; None if no runner can take it now."""
        zones = frozenset() if candidate.adapter else self._zones_holding(candidate.model)
        options = [
            option for runner in runners if (option := self._option(candidate, runner, zones)) is not None
        ]
        return min(options, key=lambda option: option.cost, default=None)

    def _zones_holding(self, model: str) -> frozenset[str]:
        if not self._demand.placed_replicas(model):
            return frozenset()
        return frozenset(
            runner.record.zone
            for runner in self._demand.inputs.runners
            if runner.holds(model) or runner.is_loading(model)
        )

    def _option(
        self, candidate: LoadCandidate, runner: RunnerState, zones: frozenset[str]
    ) -> LoadOption | None:
        if candidate.adapter:
            if not runner.holds(candidate.model) or runner.holds(candidate.model, candidate.adapter):
                return None
        elif candidate.model in runner.held:
            return None
        evictions = self._eviction_planner.evictions_for(candidate, runner)
        if evictions is None:
            return None
        cost = sum(eviction.loss + self._order_price for eviction in evictions)
        cost += WORK_COST * self._work_shares[runner.id] + self._random_source.random() * MAX_TIE_COST
        if runner.record.zone in zones:
            cost += SAME_ZONE_COST
        return LoadOption(runner, tuple(evictions), cost)


def _work_shares(demand: ServiceDemand) -> dict[RunnerId, float]:
    """Returns each runner's share of the service's requests, assuming that holders share them equally."""
    work = {}
    for runner in demand.inputs.runners:
        work[runner.id] = sum(
            demand.models[name].requests_per_s / max(demand.holders.get(name, 0), 1)
            for name in runner.held
            if name in demand.models
        )
    total = sum(work.values())
    return {runner_id: part / total if total > 0.0 else 0.0 for runner_id, part in work.items()}

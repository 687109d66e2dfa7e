"""At which runner a load costs least. Pure."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass

from ..identifiers import RunnerId
from .evictions import Eviction, EvictionPlanner
from .load_candidates import LoadCandidate
from .runner_state import RunnerState
from .service_demand import ServiceDemand

SAME_ZONE_COST = 0.1  # for a second holder in one zone
WORK_COST = 0.1  # for a runner with as much work as all others together
MAX_TIE_COST = 1e-3  # drawn up to this, so that equals take turns


@dataclass(frozen=True, slots=True)
class LoadOption:
    """A runner for a load, with what it would give up and what the load costs there."""

    runner: RunnerState
    evictions: tuple[Eviction, ...]
    cost: float


class RunnerSelector:
    """Chooses, in one round for one service, among the runners that may get an order."""

    def __init__(
        self, demand: ServiceDemand, idle_runners: list[RunnerState], random_source: random.Random
    ) -> None:
        """Looks at runners as they are now.

        Args:
            demand: The service's demand.
            idle_runners: Those that may get an order.
            random_source: Breaks ties.
        """
        self._demand, self._random_source = demand, random_source
        self._order_price = demand.inputs.settings.order_price
        self._work_shares = _work_shares(demand)
        self._eviction_planner = EvictionPlanner(demand, idle_runners)

    def cheapest(self, candidate: LoadCandidate, runners: Iterable[RunnerState]) -> LoadOption | None:
        """Returns the runner where the load costs least; None if no runner can take it now."""
        zones = frozenset() if candidate.adapter else self._zones_holding(candidate.model)
        options = [
            option for runner in runners if (option := self._option(candidate, runner, zones)) is not None
        ]
        return min(options, key=lambda option: option.cost, default=None)

    def _zones_holding(self, model: str) -> frozenset[str]:
        if not self._demand.placed(model):
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
    """Returns each runner's part of the service's requests, were they spread evenly over holders."""
    work = {}
    for runner in demand.inputs.runners:
        work[runner.id] = sum(
            demand.models[name].requests_per_s / max(demand.holders.get(name, 0), 1)
            for name in runner.held
            if name in demand.models
        )
    total = sum(work.values())
    return {runner_id: part / total if total > 0.0 else 0.0 for runner_id, part in work.items()}

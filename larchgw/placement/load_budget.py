"""Limits the number of loads that one planning round may order.

Loads for waiting requests are urgent; all others are speculative and get only part of the budget.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from .load_candidates import LoadCandidate
from .runner_state import PlacementState, RunnerState
from .service_capacity import ServiceCapacity

URGENT_RESERVE_SHARE = 0.4  # share of the weight store's budget that is reserved for urgent loads


@dataclass(slots=True)
class StoreBudget:
    """Budget of loads from the weight store in one planning round, for all services.

    Attributes:
        available: Number of loads that may start now.
        in_progress: Number of loads in progress, including those ordered in this round.
        reserve: Number of loads that are reserved for urgent loads.
    """

    available: int
    in_progress: int
    reserve: int

    @classmethod
    def of(cls, now_s: float, state: PlacementState) -> StoreBudget:
        """Returns the budget at the start of a round."""
        reserve = math.ceil(URGENT_RESERVE_SHARE * state.load_limiter.limit)
        return cls(state.load_limiter.available(now_s), state.loads_in_progress, reserve)


class LoadBudget:
    """The store's budget, and the number of runners of one service that may get speculative loads."""

    def __init__(self, store: StoreBudget, capacity: ServiceCapacity, runners: list[RunnerState]) -> None:
        """Creates the budget of one service in one round; half of its runners may get speculative loads.

        Args:
            store: Budget of the weight store, shared by all services of the round.
            capacity: Capacity of the service's runners.
            runners: The ready runners of the service.
        """
        self._store, self._capacity = store, capacity
        self._speculative_runners = math.ceil(len(runners) / 2)
        self._speculative_runners -= sum(runner.order_in_progress is not None for runner in runners)

    def allows(self, candidate: LoadCandidate) -> bool:
        """Returns whether a load is within the budget; speculative loads may not use the reserve."""
        if candidate.is_urgent:
            return self._store.available > 0
        return (
            self._store.available > self._store.reserve
            and self._store.in_progress < self._capacity.parallel_loads
            and self._speculative_runners > 0
        )

    def spend(self, candidate: LoadCandidate, runner: RunnerState) -> None:
        """Deducts a load of a model that is ordered at `runner`."""
        if candidate.model not in runner.models_on_disk:
            self._store.available -= 1
            self._store.in_progress += 1
        if not candidate.is_urgent:
            self._speculative_runners -= 1

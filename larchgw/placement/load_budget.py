"""How many loads one round of planning may order. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass

from .load_candidates import LoadCandidate
from .runner_state import PlacementState, RunnerState
from .service_capacity import ServiceCapacity

RESERVE_SHARE = 0.4  # of the weight store's budget, kept for models that requests wait for


@dataclass(slots=True)
class StoreBudget:
    """Loads from the weight store in one round, over all services.

    Attributes:
        available: Loads that may begin now.
        in_progress: Loads that are in progress, with those ordered in this round.
        reserve: Loads that are kept for models that requests wait for.
    """

    available: int
    in_progress: int
    reserve: int

    @classmethod
    def of(cls, now_s: float, state: PlacementState) -> StoreBudget:
        """Returns the budget at the start of a round."""
        reserve = math.ceil(RESERVE_SHARE * state.load_limiter.limit)
        return cls(state.load_limiter.available(now_s), state.loads_in_progress, reserve)


class LoadBudget:
    """The store's budget, and how many runners of one service may load what nobody waits for."""

    def __init__(self, store: StoreBudget, capacity: ServiceCapacity, runners: list[RunnerState]) -> None:
        """Makes the budget of one service in one round; half of its runners may load what nobody waits for.

        Args:
            store: Shared with the other services of the round.
            capacity: Of the service.
            runners: Of the service, that serve.
        """
        self._store, self._capacity = store, capacity
        self._speculative_runners = math.ceil(len(runners) / 2)
        self._speculative_runners -= sum(runner.order_in_progress is not None for runner in runners)

    def allows(self, candidate: LoadCandidate) -> bool:
        """Whether a model may be loaded; one that nobody waits for leaves a reserve and runners idle."""
        if candidate.is_urgent:
            return self._store.available > 0
        return (
            self._store.available > self._store.reserve
            and self._store.in_progress < self._capacity.parallel_loads
            and self._speculative_runners > 0
        )

    def spend(self, candidate: LoadCandidate, runner: RunnerState) -> None:
        """Counts a load of a model that is ordered at `runner`."""
        if candidate.model not in runner.models_on_disk:
            self._store.available -= 1
            self._store.in_progress += 1
        if not candidate.is_urgent:
            self._speculative_runners -= 1

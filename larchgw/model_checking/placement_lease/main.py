"""`larchgw explore placement-lease`: fault injection runs, forced losses of the placer, and mutants.

The number of runs depends on the time limit.
"""

from __future__ import annotations

import statistics
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import partial

from ..exploration import ExplorationReport, PlannedRun, print_verdict, run_seeds
from ..mutants import is_caught
from .cluster import PlacementCluster
from .mutants import MUTANTS
from .runs import PlacerLoss, play_faults, play_loss


@dataclass
class PlacementLeaseReport(ExplorationReport[PlacementCluster | PlacerLoss]):
    """The counts of an exploration of the placer's lease.

    Attributes:
        orders: Number of orders that runners received in fault injection runs.
        vacancies_s: Seconds from each forced loss to the next placer's first order.
    """

    orders: int = 0
    vacancies_s: list[float] = field(default_factory=list)

    def add(self, finished: PlacementCluster | PlacerLoss) -> None:
        """See ExplorationReport."""
        if isinstance(finished, PlacerLoss):
            self.vacancies_s.append(finished.vacancy_s)
            return
        self.states += len(finished.states)
        self.acknowledged += finished.acknowledged
        self.orders += len(finished.order_checks.orders)

    def counts_line(self) -> str:
        """See ExplorationReport."""
        median_s = statistics.median(self.vacancies_s) if self.vacancies_s else 0.0
        worst_s = max(self.vacancies_s, default=0.0)
        return (
            f"{super().counts_line()} orders={self.orders} losses={len(self.vacancies_s)} "
            f"vacancy_median_s={median_s:.2f} vacancy_worst_s={worst_s:.2f}"
        )


def explore(seconds: float, seed: int) -> PlacementLeaseReport:
    """Explores for about `seconds` of real time."""
    report = PlacementLeaseReport()
    report.play_until(time.monotonic() + seconds, _planned_runs(seed))
    return report


def main(seconds: float, seed: int) -> int:
    """Explores, tries the mutants and prints the verdict; see print_verdict."""
    return print_verdict(partial(explore, seconds, seed), MUTANTS, is_caught)


def _planned_runs(seed: int) -> Iterator[PlannedRun[PlacementCluster | PlacerLoss]]:
    for run_seed in run_seeds(seed):
        yield PlannedRun(f"faults {run_seed}", partial(play_faults, run_seed))
        yield PlannedRun(f"loss {run_seed}", partial(play_loss, run_seed))

"""`larchgw explore replication`: exhaustive search, random walks, fault injection runs, and mutants.

The number of walks and runs depends on the time limit.
"""

from __future__ import annotations

import time
from collections.abc import Iterator
from dataclasses import dataclass
from functools import partial

from ..exploration import ExplorationReport, PlannedRun, print_verdict, run_seeds
from ..mutants import is_caught
from .cluster import SimulatedCluster
from .exhaustive_search import ExhaustiveSearch
from .mutants import MUTANTS
from .runs import play_faults, play_random_walk

EXHAUSTIVE_SHARE = 0.25  # of the time limit
MAX_EXHAUSTIVE_STATES = 200_000


@dataclass
class ReplicationReport(ExplorationReport[SimulatedCluster]):
    """The counts of an exploration of replication; `confirmed` counts confirmed reads."""

    confirmed: int = 0

    def add(self, finished: SimulatedCluster) -> None:
        """See ExplorationReport."""
        self.states += len(finished.states)
        self.acknowledged += finished.acknowledged
        self.confirmed += finished.confirmed

    def counts_line(self) -> str:
        """See ExplorationReport."""
        return f"{super().counts_line()} confirmed={self.confirmed}"


def explore(seconds: float, seed: int) -> ReplicationReport:
    """Explores for about `seconds` of real time."""
    report = ReplicationReport()
    began = time.monotonic()
    search = ExhaustiveSearch()
    search_deadline = began + EXHAUSTIVE_SHARE * seconds
    report.check("exhaustive", partial(search.explore, MAX_EXHAUSTIVE_STATES, search_deadline))
    report.states += len(search.states)
    report.play_until(began + seconds, _planned_runs(seed))
    return report


def main(seconds: float, seed: int) -> int:
    """Explores, tries the mutants and prints the verdict; see print_verdict."""
    return print_verdict(partial(explore, seconds, seed), MUTANTS, is_caught)


def _planned_runs(seed: int) -> Iterator[PlannedRun[SimulatedCluster]]:
    for run_seed in run_seeds(seed):
        yield PlannedRun(f"walk {run_seed}", partial(play_random_walk, run_seed))
        yield PlannedRun(f"faults {run_seed}", partial(play_faults, run_seed))

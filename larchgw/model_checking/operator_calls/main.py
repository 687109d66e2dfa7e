"""`larchgw explore operator-calls`: fault injection runs with concurrent operators, and mutants.

The number of runs depends on the time limit; there is at least one.
"""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass, field
from functools import partial

from ..exploration import ExplorationReport, PlannedRun, print_verdict, run_seeds
from ..mutants import Mutant
from ..mutants import is_caught as is_caught_within
from .cluster import SimulatedCluster
from .mutants import MUTANTS
from .runs import play_faults

MAX_RUNS_PER_MUTANT = 60  # a change to the code changes the runs of a seed, so one seed is not enough


@dataclass
class OperatorCallReport(ExplorationReport[SimulatedCluster]):
    """The counts of an exploration of operator calls; `answers` counts the answers to operators by status."""

    answers: Counter[int] = field(default_factory=Counter)

    def add(self, finished: SimulatedCluster) -> None:
        """See ExplorationReport."""
        self.states += len(finished.states)
        self.acknowledged += len(finished.checks.acknowledged)
        self.answers.update(finished.checks.answers)

    def counts_line(self) -> str:
        """See ExplorationReport."""
        answers = " ".join(f"{status}:{count}" for status, count in sorted(self.answers.items()))
        return f"{super().counts_line()} answers={answers}"


def explore(seconds: float, seed: int) -> OperatorCallReport:
    """Explores for about `seconds` of real time."""
    report = OperatorCallReport()
    deadline = time.monotonic() + seconds
    runs = (PlannedRun(f"seed {run_seed}", partial(play_faults, run_seed)) for run_seed in run_seeds(seed))
    report.play(next(runs))
    report.play_until(deadline, runs)
    return report


def is_caught(mutant: Mutant) -> bool:
    """Whether one of MAX_RUNS_PER_MUTANT runs, beginning with the mutant's seed, catches it."""
    return is_caught_within(mutant, MAX_RUNS_PER_MUTANT)


def main(seconds: float, seed: int) -> int:
    """Explores, tries the mutants and prints the verdict; see print_verdict."""
    return print_verdict(partial(explore, seconds, seed), MUTANTS, is_caught)

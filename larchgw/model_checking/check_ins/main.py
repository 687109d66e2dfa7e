"""`larchgw explore check-ins`: fault injection runs of the code that acknowledges runners, and mutants.

The number of runs depends on the time limit.
"""

from __future__ import annotations

import time
from functools import partial

from ..exploration import ExplorationReport, PlannedRun, print_verdict, run_seeds
from ..mutants import is_caught
from .cluster import SimulatedCluster
from .mutants import MUTANTS
from .runs import play_faults


class CheckInReport(ExplorationReport[SimulatedCluster]):
    """The counts of an exploration of check-ins."""

    def add(self, finished: SimulatedCluster) -> None:
        """See ExplorationReport."""
        self.states += len(finished.checks.states)
        self.acknowledged += len(finished.checks.acknowledged)


def explore(seconds: float, seed: int) -> CheckInReport:
    """Explores for about `seconds` of real time."""
    report = CheckInReport()
    runs = (PlannedRun(f"faults {run_seed}", partial(play_faults, run_seed)) for run_seed in run_seeds(seed))
    report.play_until(time.monotonic() + seconds, runs)
    return report


def main(seconds: float, seed: int) -> int:
    """Explores, tries the mutants and prints the verdict; see print_verdict."""
    return print_verdict(partial(explore, seconds, seed), MUTANTS, is_caught)

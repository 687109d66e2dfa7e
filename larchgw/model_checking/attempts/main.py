"""`larchgw explore attempts`: an edge's attempts against runners that do all that they may, and mutants.

The number of runs depends on the time limit.
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from functools import partial

from ..exploration import ExplorationReport, PlannedRun, print_verdict, run_seeds
from ..mutants import is_caught
from .mutants import MUTANTS
from .run import AttemptRun, play


@dataclass
class AttemptReport(ExplorationReport[AttemptRun]):
    """The counts of an exploration of attempts.

    Attributes:
        requests: Requests that ended.
        rejections: Rejections by runners.
    """

    requests: int = 0
    rejections: int = 0

    def add(self, finished: AttemptRun) -> None:
        """See ExplorationReport."""
        self.requests += finished.finished
        self.rejections += finished.ledger.rejections

    def counts_line(self) -> str:
        """See ExplorationReport."""
        return f"{super().counts_line()} requests={self.requests} rejections={self.rejections}"


def explore(seconds: float, seed: int) -> AttemptReport:
    """Explores for about `seconds` of real time."""
    report = AttemptReport()
    runs = (PlannedRun(f"attempts {run_seed}", partial(play, run_seed)) for run_seed in run_seeds(seed))
    report.play_until(time.monotonic() + seconds, runs)
    return report


def main(seconds: float, seed: int) -> int:
    """Explores, tries the mutants and prints the verdict; see print_verdict."""
    return print_verdict(partial(explore, seconds, seed), MUTANTS, is_caught)

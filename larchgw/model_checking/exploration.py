"""Common code of all explorations: runs until a deadline, their report, and the printed verdict."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from itertools import count
from typing import Generic, TypeVar

from ..runtime.logs import muted
from .errors import InvariantError
from .mutants import Mutant

RunT = TypeVar("RunT")
CheckedT = TypeVar("CheckedT")
SEEDS_PER_EXPLORATION = 100_000


def run_seeds(seed: int) -> Iterator[int]:
    """Seeds of the runs of an exploration. Explorations with different seeds share no run."""
    return count(seed * SEEDS_PER_EXPLORATION)


@dataclass(frozen=True, slots=True)
class PlannedRun(Generic[RunT]):
    """A run that has not been executed yet.

    Attributes:
        name: Kind and seed of the run, by which it can be repeated.
        play: Executes the run; raises InvariantError if it violates an invariant.
    """

    name: str
    play: Callable[[], RunT]


@dataclass
class ExplorationReport(Generic[RunT]):
    """Results of the runs of one exploration.

    Attributes:
        runs: Number of runs that were executed.
        states: Number of distinct states seen, summed over the runs.
        acknowledged: Number of acknowledged calls in all runs.
        violations: One line for each run that violated an invariant: its name and the error.
    """

    runs: int = 0
    states: int = 0
    acknowledged: int = 0
    violations: list[str] = field(default_factory=list)

    def add(self, finished: RunT) -> None:
        """Adds the counts of a run that violated nothing."""
        raise NotImplementedError

    def counts_line(self) -> str:
        """The printed counts other than states and violations."""
        return f"runs={self.runs} acknowledged={self.acknowledged}"

    def check(self, name: str, play: Callable[[], CheckedT]) -> CheckedT | None:
        """Executes and counts a run; returns its result, or None if it violated an invariant."""
        self.runs += 1
        try:
            return play()
        except (InvariantError, AssertionError) as error:
            self.violations.append(f"{name}: {error}")
            return None

    def play(self, planned: PlannedRun[RunT]) -> None:
        """Executes a run and adds its counts or its violation."""
        finished = self.check(planned.name, planned.play)
        if finished is not None:
            self.add(finished)

    def play_until(self, deadline: float, runs: Iterable[PlannedRun[RunT]]) -> None:
        """Executes runs until the deadline, a value of `time.monotonic`."""
        for planned in runs:
            if time.monotonic() >= deadline:
                return
            self.play(planned)


def print_verdict(
    explore: Callable[[], ExplorationReport[RunT]],
    mutants: Iterable[Mutant],
    is_caught: Callable[[Mutant], bool],
) -> int:
    """Explores, tries the mutants and prints the results of both. Logging is muted meanwhile.

    Returns:
        The exit status: 0 if no invariant was violated and every mutant was caught, otherwise 1.
    """
    tried = list(mutants)
    with muted():
        report = explore()
        missed = [mutant.name for mutant in tried if not is_caught(mutant)]
    print(report.counts_line())
    for violation in report.violations:
        print(f"broken: {violation}")
    for name in missed:
        print(f"mutant not caught: {name}")
    score = f"{len(tried) - len(missed)}/{len(tried)}"
    print(f"explore: states={report.states} broken={len(report.violations)} mutants={score}")
    return 1 if report.violations or missed else 0

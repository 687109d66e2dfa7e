"""What all explorations share: runs until a deadline, a report of them, and the verdict that is printed."""

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
    """Seeds of the runs of an exploration, far enough from those of the next that none is played twice."""
    return count(seed * SEEDS_PER_EXPLORATION)


@dataclass(frozen=True, slots=True)
class PlannedRun(Generic[RunT]):
    """One run that has not been played yet.

    Attributes:
        name: Says how to repeat it: its kind and its seed.
        play: Plays it; raises InvariantError if a property does not hold in it.
    """

    name: str
    play: Callable[[], RunT]


@dataclass
class ExplorationReport(Generic[RunT]):
    """What the runs of one exploration came to.

    Attributes:
        runs: How many were played.
        states: Different states seen, added up over the runs.
        acknowledged: Calls that were acknowledged in them.
        violations: One line for each run that violated an invariant: its name and the property.
    """

    runs: int = 0
    states: int = 0
    acknowledged: int = 0
    violations: list[str] = field(default_factory=list)

    def add(self, finished: RunT) -> None:
        """Adds the counts of a run that violated nothing."""
        raise NotImplementedError

    def counts_line(self) -> str:
        """The counts beside states and violations, as printed."""
        return f"runs={self.runs} acknowledged={self.acknowledged}"

    def check(self, name: str, play: Callable[[], CheckedT]) -> CheckedT | None:
        """Counts a run; returns its result, or None where it violated an invariant."""
        self.runs += 1
        try:
            return play()
        except (InvariantError, AssertionError) as error:
            self.violations.append(f"{name}: {error}")
            return None

    def play(self, planned: PlannedRun[RunT]) -> None:
        """Plays a run and adds its counts or its violation."""
        finished = self.check(planned.name, planned.play)
        if finished is not None:
            self.add(finished)

    def play_until(self, deadline: float, runs: Iterable[PlannedRun[RunT]]) -> None:
        """Plays runs until the deadline, which is a time of `time.monotonic`."""
        for planned in runs:
            if time.monotonic() >= deadline:
                return
            self.play(planned)


def print_verdict(
    explore: Callable[[], ExplorationReport[RunT]],
    mutants: Iterable[Mutant],
    is_caught: Callable[[Mutant], bool],
) -> int:
    """Explores, tries the mutants and prints what came of both. Nothing is logged meanwhile.

    Returns:
        0 if no invariant was violated and every mutant was caught, otherwise 1.
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

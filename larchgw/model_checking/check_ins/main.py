"""`larchgw explore check-ins`: courses of faults in virtual time over the code that acknowledges runners, and
mutants.

The same seed plays the same courses; how many of them depends on the time given.
"""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from itertools import count

from ...emulator.virtual_loop import run
from ..errors import InvariantError
from ..replication.mutants import Mutant
from ..verdict import print_verdict
from .cluster import SimulatedCluster
from .mutants import MUTANTS

CONTROL = (3, 5)  # processes, by turns
COURSE_SECONDS = 15.0


@dataclass
class Found:
    """What an exploration has seen."""

    states: int = 0
    runs: int = 0
    acknowledged: int = 0
    broken: list[str] = field(default_factory=list)

    def counts(self) -> str:
        """See explore_verdict.Seen."""
        return f"runs={self.runs} acknowledged={self.acknowledged}"


def course(seed: int) -> SimulatedCluster:
    """One course of faults and the recovery from it. Raises InvariantError."""

    async def played() -> SimulatedCluster:
        cluster = SimulatedCluster(seed, CONTROL[seed % len(CONTROL)])
        await cluster.play(COURSE_SECONDS)
        return cluster

    return run(played())


def explore(seconds: float, seed: int) -> Found:
    """Explores for about so many seconds."""
    found = Found()
    until = time.monotonic() + seconds
    for number in count(seed * 100_000):
        if time.monotonic() >= until:
            break
        found.runs += 1
        try:
            cluster = course(number)
        except InvariantError as broken:
            found.broken.append(f"course {number}: {broken}")
            continue
        found.states += len(cluster.states)
        found.acknowledged += len(cluster.acknowledged)
    return found


def caught(mutant: Mutant) -> bool:
    """Whether the course that is meant to catch the mutant does."""
    with mutant.active():
        try:
            course(mutant.seed)
        except InvariantError:
            return True
    return False


def main(seconds: float, seed: int) -> int:
    """Explores, tries the mutants and prints what came of it; 0 if nothing is broken and every mutant is
    caught."""
    return print_verdict(lambda: explore(seconds, seed), MUTANTS, caught)

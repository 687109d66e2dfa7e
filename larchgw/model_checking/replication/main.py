"""Explores the protocol: every interleaving of a few steps, random walks, courses of faults in time, and
mutants.

The same seed plays the same runs; how many of them depends on the time given."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import partial

from ..errors import InvariantError
from ..verdict import print_verdict
from .cluster import SimulatedCluster
from .exhaustive_search import ExhaustiveSearch
from .fault_injection import FaultInjector
from .mutants import MUTANTS, Mutant
from .random_walk import RandomWalk

# machines, seeds among them, machines that may be lost
SHAPES = ((3, 3, 1), (5, 3, 2), (4, 3, 1), (5, 5, 2))
WALK_SHAPES = ((3, 3, 1), (5, 3, 2), (4, 3, 1), (3, 3, 1))
CALM_BETWEEN = (0.4, 1.0, 2.5)  # seconds between two faults, on average
COURSE_SECONDS = 10.0
WALK_STEPS = 2000
EXHAUSTIVE_SHARE = 0.25  # of the time
MAX_STATES = 200_000


@dataclass
class Found:
    """What an exploration has seen."""

    states: int = 0
    runs: int = 0
    acknowledged: int = 0
    confirmed: int = 0
    broken: list[str] = field(default_factory=list)

    def counts(self) -> str:
        """See explore_verdict.Seen."""
        return f"runs={self.runs} acknowledged={self.acknowledged} confirmed={self.confirmed}"


def course(seed: int, recover: bool = True) -> SimulatedCluster:
    """One course of faults, and the recovery from it."""
    cluster = SimulatedCluster(seed, *SHAPES[seed % len(SHAPES)])
    played = FaultInjector(cluster)
    played.play(COURSE_SECONDS, CALM_BETWEEN[seed % len(CALM_BETWEEN)])
    if recover:
        played.recover()
    return cluster


def walk(seed: int) -> SimulatedCluster:
    """One random walk."""
    cluster = RandomWalk(seed, *WALK_SHAPES[seed % len(WALK_SHAPES)])
    cluster.walk(WALK_STEPS)
    return cluster


def run(kind: str, seed: int) -> SimulatedCluster:
    """One "walk" or "course"."""
    return walk(seed) if kind == "walk" else course(seed)


def explore(seconds: float, seed: int) -> Found:
    """Explores for about so many seconds."""
    found = Found()
    began = time.monotonic()
    exhaustive = ExhaustiveSearch()
    _note(found, "exhaustive", lambda: exhaustive.explore(MAX_STATES, began + EXHAUSTIVE_SHARE * seconds))
    found.states += len(exhaustive.states)
    for name, run in _runs(seed):
        if time.monotonic() - began >= seconds:
            return found
        cluster = _note(found, name, run)
        if isinstance(cluster, SimulatedCluster):
            _add(found, cluster)
    return found


def caught(mutant: Mutant) -> bool:
    """Whether the run that is meant to catch the mutant does."""
    with mutant.active():
        try:
            run(mutant.by, mutant.seed)
        except (InvariantError, AssertionError, IndexError):
            return True
    return False


def main(seconds: float, seed: int) -> int:
    """Explores, tries the mutants and prints what came of it; 0 if nothing is broken and every mutant is
    caught."""
    return print_verdict(lambda: explore(seconds, seed), MUTANTS, caught)


def _runs(seed: int) -> Iterator[tuple[str, Callable[[], SimulatedCluster]]]:
    number = seed * 100_000
    while True:
        yield f"walk {number}", partial(walk, number)
        yield f"course {number}", partial(course, number)
        number += 1


def _note(found: Found, name: str, run: Callable[[], object]) -> object:
    found.runs += 1
    try:
        return run()
    except (InvariantError, AssertionError) as error:
        found.broken.append(f"{name}: {error}")
        return None


def _add(found: Found, cluster: SimulatedCluster) -> None:
    found.states += len(cluster.states)
    found.acknowledged += cluster.acknowledged
    found.confirmed += cluster.confirmed

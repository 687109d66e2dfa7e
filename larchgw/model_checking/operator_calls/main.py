"""Runs under faults and the mistakes that they must catch; the same seed plays the same runs."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from functools import partial

from ...emulator import virtual_loop
from ..errors import InvariantError
from ..verdict import print_verdict
from .cluster import SimulatedCluster
from .fault_injection import FaultInjector
from .mutants import MUTANTS, Mutant
from .operators import Operators

SIZES = (3, 5)  # control processes
RUN_S = 20.0  # virtual seconds of troubles in one run
OPERATORS = 4
MAX_RUNS_A_MUTANT = 60  # every change to the code plays other runs under the same seed


@dataclass
class Found:
    """What an exploration has seen."""

    runs: int = 0
    states: int = 0
    acknowledged: int = 0
    answers: dict[int, int] = field(default_factory=dict)
    broken: list[str] = field(default_factory=list)

    def counts(self) -> str:
        """See explore_verdict.Seen."""
        answers = " ".join(f"{status}:{count}" for status, count in sorted(self.answers.items()))
        return f"runs={self.runs} acknowledged={self.acknowledged} answers={answers}"


def play(seed: int) -> SimulatedCluster:
    """One run of troubles and the recovery from it. Raises InvariantError."""
    return virtual_loop.run(_play(seed))


async def _play(seed: int) -> SimulatedCluster:
    cluster = SimulatedCluster(seed, SIZES[seed % len(SIZES)])
    course, operators = FaultInjector(cluster), Operators(cluster)
    working = [cluster.loop.create_task(operators.work()) for _ in range(OPERATORS)]
    for task in working:
        task.add_done_callback(partial(_note_error, cluster))
    course_task = cluster.loop.create_task(_course(course, operators, working))
    try:
        await asyncio.wait([course_task, cluster.failed], return_when=asyncio.FIRST_COMPLETED)
        if cluster.failed.done():
            cluster.failed.result()
        await course_task
    finally:
        for address in list(cluster.processes):
            cluster.kill(address)
        for task in (course_task, *working):
            task.cancel()
    return cluster


def _note_error(cluster: SimulatedCluster, task: asyncio.Task[None]) -> None:
    if not task.cancelled() and (error := task.exception()) is not None:
        cluster.fail(error)


async def _course(course: FaultInjector, operators: Operators, working: list[asyncio.Task[None]]) -> None:
    await course.play(RUN_S)
    operators.wanted = False
    await asyncio.gather(*working)
    operators.wanted = True
    await course.recover(operators)


def explore(seconds: float, seed: int) -> Found:
    """Plays runs for about so many real seconds, one at least."""
    found = Found()
    until = time.monotonic() + seconds
    number = seed * 100_000
    while not found.runs or time.monotonic() < until:
        found.runs += 1
        try:
            _add(found, play(number))
        except (InvariantError, AssertionError) as error:
            found.broken.append(f"seed {number}: {error}")
        number += 1
    return found


def _add(found: Found, cluster: SimulatedCluster) -> None:
    found.states += len(cluster.states)
    found.acknowledged += len(cluster.checks.acknowledged)
    for status, count in cluster.checks.answers.items():
        found.answers[status] = found.answers.get(status, 0) + count


def caught(mutant: Mutant) -> bool:
    """Whether a run catches the mutant: the one named beside it, or one of those that follow."""
    with mutant.active():
        for seed in range(mutant.seed, mutant.seed + MAX_RUNS_A_MUTANT):
            try:
                play(seed)
            except (InvariantError, AssertionError):
                return True
    return False


def main(seconds: float, seed: int) -> int:
    """Explores, tries the mutants and prints what came of it; 0 if nothing is broken and all are caught."""
    return print_verdict(lambda: explore(seconds, seed), MUTANTS, caught)

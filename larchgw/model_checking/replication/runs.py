"""The two kinds of random runs of a simulated cluster: fault injection in virtual time, and random walks."""

from __future__ import annotations

from .cluster import SimulatedCluster
from .fault_injection import FaultInjector
from .random_walk import RandomWalk

# machines, seeds among them, machines that may be lost
FAULT_SHAPES = ((3, 3, 1), (5, 3, 2), (4, 3, 1), (5, 5, 2))
WALK_SHAPES = ((3, 3, 1), (5, 3, 2), (4, 3, 1), (3, 3, 1))
FAULT_INTERVALS_S = (0.4, 1.0, 2.5)  # mean, between two faults
FAULTS_S = 10.0
WALK_STEPS = 2000


def play_faults(seed: int) -> SimulatedCluster:
    """Executes a run with faults and the recovery from them.

    Raises:
        InvariantError: An invariant of the protocol is violated.
    """
    cluster = SimulatedCluster(seed, *FAULT_SHAPES[seed % len(FAULT_SHAPES)])
    injector = FaultInjector(cluster)
    injector.play(FAULTS_S, FAULT_INTERVALS_S[seed % len(FAULT_INTERVALS_S)])
    injector.recover()
    return cluster


def play_random_walk(seed: int) -> SimulatedCluster:
    """Executes a random walk.

    Raises:
        InvariantError: An invariant of the protocol is violated.
    """
    cluster = RandomWalk(seed, *WALK_SHAPES[seed % len(WALK_SHAPES)])
    cluster.walk(WALK_STEPS)
    return cluster

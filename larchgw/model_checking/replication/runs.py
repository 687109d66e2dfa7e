"""The two kinds of random run over a simulated cluster: faults in virtual time, and walks over steps."""

from __future__ import annotations

from .cluster import SimulatedCluster
from .fault_injection import FaultInjector
from .random_walk import RandomWalk

# machines, seeds among them, machines that may be lost
FAULT_SHAPES = ((3, 3, 1), (5, 3, 2), (4, 3, 1), (5, 5, 2))
WALK_SHAPES = ((3, 3, 1), (5, 3, 2), (4, 3, 1), (3, 3, 1))
FAULT_INTERVALS_S = (0.4, 1.0, 2.5)  # between two faults, on average
FAULTS_S = 10.0
WALK_STEPS = 2000


def play_faults(seed: int) -> SimulatedCluster:
    """Plays a run of faults and the recovery from them.

    Raises:
        InvariantError: A property of the protocol does not hold.
    """
    cluster = SimulatedCluster(seed, *FAULT_SHAPES[seed % len(FAULT_SHAPES)])
    injector = FaultInjector(cluster)
    injector.play(FAULTS_S, FAULT_INTERVALS_S[seed % len(FAULT_INTERVALS_S)])
    injector.recover()
    return cluster


def play_random_walk(seed: int) -> SimulatedCluster:
    """Plays a random walk.

    Raises:
        InvariantError: A property of the protocol does not hold.
    """
    cluster = RandomWalk(seed, *WALK_SHAPES[seed % len(WALK_SHAPES)])
    cluster.walk(WALK_STEPS)
    return cluster

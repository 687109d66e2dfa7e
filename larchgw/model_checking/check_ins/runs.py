"""A fault injection run of check-ins, determined by its seed."""

from __future__ import annotations

from ...emulator import virtual_loop
from .cluster import SimulatedCluster
from .fault_injection import FaultInjector

CONTROL_PROCESSES = (3, 5)  # alternates with the seed
FAULTS_S = 15.0


def play_faults(seed: int) -> SimulatedCluster:
    """Executes a run with faults and the recovery from them.

    Raises:
        InvariantError: An invariant of check-ins is violated.
    """
    return virtual_loop.run(_play(seed))


async def _play(seed: int) -> SimulatedCluster:
    cluster = SimulatedCluster(seed, CONTROL_PROCESSES[seed % len(CONTROL_PROCESSES)])
    injector = FaultInjector(cluster)
    cluster.start()
    try:
        await injector.play(FAULTS_S)
        await injector.recover()
    finally:
        await cluster.end()
    return cluster

"""A fault injection run of operator calls, determined by its seed."""

from __future__ import annotations

import asyncio
from functools import partial

from ...emulator import virtual_loop
from .cluster import SimulatedCluster
from .fault_injection import FaultInjector
from .operators import Operators

CONTROL_PROCESSES = (3, 5)  # alternates with the seed
FAULTS_S = 20.0
OPERATORS = 4


def play_faults(seed: int) -> SimulatedCluster:
    """Executes a run with faults and the recovery from them, while operators work.

    Raises:
        InvariantError: An invariant of operator calls is violated.
    """
    return virtual_loop.run(_play(seed))


async def _play(seed: int) -> SimulatedCluster:
    cluster = SimulatedCluster(seed, CONTROL_PROCESSES[seed % len(CONTROL_PROCESSES)])
    injector, operators = FaultInjector(cluster), Operators(cluster)
    working = [cluster.loop.create_task(operators.work()) for _ in range(OPERATORS)]
    for task in working:
        task.add_done_callback(partial(_report_failure, cluster))
    injection = cluster.loop.create_task(_inject_faults(injector, operators, working))
    try:
        await asyncio.wait([injection, cluster.failed], return_when=asyncio.FIRST_COMPLETED)
        if cluster.failed.done():
            cluster.failed.result()
        await injection
    finally:
        for address in list(cluster.processes):
            cluster.kill(address)
        for task in (injection, *working):
            task.cancel()
    return cluster


def _report_failure(cluster: SimulatedCluster, task: asyncio.Task[None]) -> None:
    if not task.cancelled() and (error := task.exception()) is not None:
        cluster.fail(error)


async def _inject_faults(
    injector: FaultInjector, operators: Operators, working: list[asyncio.Task[None]]
) -> None:
    await injector.play(FAULTS_S)
    operators.is_working = False
    await asyncio.gather(*working)
    operators.is_working = True
    await injector.recover(operators)

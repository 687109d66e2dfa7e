"""Injects random faults into processes and links, and checks that the cluster recovers.

A restart loses the state that is in memory only. That of a single process is injected only while the number
of faulty control processes stays within what the deployment tolerates. A loss of power of all of them comes
at any time, mostly right after an acknowledgement; their disks keep what was synced. Partitions and freezes
are not limited.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection
from functools import partial

from ..errors import InvariantError
from .cluster import SimulatedCluster
from .invariants import OBSERVATION_INTERVAL_S
from .processes import now

FAULT_INTERVAL_S = 0.7  # on average
CONFIGURATION_INTERVAL_S = 1.0  # on average
FAULT_DURATION_S = (0.3, 6.0)
EDGE_PARTITION_S = (0.5, 6.0)
RECOVERY_S = 3.0  # for which a process still counts as faulty after its fault
CONVERGENCE_S = 6.0  # from the last fault until the cluster must have recovered
SYMMETRIC_SHARE = 0.6  # of the partitions
POWER_LOSS_AFTER_S = (0.0, 0.05)  # after the acknowledgement of a departure
POWER_LOSS_POLL_S = 0.001
POWER_LOSS_WAIT_S = 1.0  # for such an acknowledgement; without one the power is lost then
DOWN_S = (0.0, 0.8)  # from a loss of power until each process starts again
CUT_EDGE_SHARE = 0.6  # of the edge restarts after which the edge reaches one control process only


class FaultInjector:
    """Injects faults into a cluster. All choices come from the cluster's random generator."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        """The cluster must be started before `play` is called."""
        self._cluster = cluster
        self._network = cluster.network
        self._random = cluster.random
        self._in_fault_until: dict[str, float] = {}  # by control process
        self._scheduled: list[tuple[float, Callable[[], None]]] = []  # ends of faults

    async def play(self, seconds: float) -> None:
        """Injects faults and changes the configuration for `seconds`; raises InvariantError."""
        end = now() + seconds
        while now() < end:
            await self._step()
            if self._random.random() < OBSERVATION_INTERVAL_S / CONFIGURATION_INTERVAL_S:
                self._cluster.configure()
            if self._random.random() < OBSERVATION_INTERVAL_S / FAULT_INTERVAL_S:
                await self._random.choice(
                    [
                        self._partition,
                        self._partition,
                        self._freeze,
                        self._restart,
                        self._restart_edge,
                        self._lose_power,
                    ]
                )()

    async def recover(self) -> None:
        """Ends all faults; raises InvariantError if the cluster has not recovered after CONVERGENCE_S."""
        for _, heal in self._scheduled:
            heal()
        self._scheduled = []
        for process in self._cluster.processes:
            self._network.heal(process.name)
        self._cluster.observe()
        acknowledged_before = self._cluster.acknowledged_calls()
        end = now() + CONVERGENCE_S
        while now() < end:
            await self._step()
        self._cluster.checks.check_converged()
        if self._cluster.acknowledged_calls() == acknowledged_before:
            raise InvariantError("no runner call was acknowledged after the last fault")

    async def _pause(self, seconds: float) -> None:
        """Waits, and observes the cluster meanwhile; no fault ends in that time."""
        until = now() + seconds
        while (left_s := until - now()) > 0.0:
            await asyncio.sleep(min(left_s, OBSERVATION_INTERVAL_S))
            self._cluster.observe()

    async def _step(self) -> None:
        await asyncio.sleep(OBSERVATION_INTERVAL_S)
        scheduled, self._scheduled = self._scheduled, []
        for at, end in scheduled:
            if at <= now():
                end()
            else:
                self._scheduled.append((at, end))
        self._cluster.observe()
        self._cluster.checks.check()

    # ---- faults ----

    async def _partition(self) -> None:
        """Partitions some control processes from the others, in both directions or in one."""
        names = {process.name for process in self._cluster.control}
        count = self._random.randrange(1, self._cluster.survive + 1)
        cut_off = set(self._random.sample(sorted(names), count))
        others = names - cut_off
        is_symmetric = self._random.random() < SYMMETRIC_SHARE
        if is_symmetric or self._random.random() < 0.5:
            self._network.cut(cut_off, others)
        if is_symmetric or self._random.random() < 0.5:
            self._network.cut(others, cut_off)
        self._heal_later(cut_off)

    async def _freeze(self) -> None:
        name = self._random.choice(self._cluster.control).name
        self._network.freeze(name)
        self._heal_later({name})

    async def _restart(self) -> None:
        process = self._random.choice(self._cluster.control)
        if len(self._in_fault() | {process.name}) > self._cluster.survive:
            return
        await process.end()
        process.start()
        self._in_fault_until[process.name] = now() + RECOVERY_S

    async def _lose_power(self) -> None:
        """All control processes lose power at the same moment, and start again with their disks."""
        acknowledged, until = self._cluster.checks.acknowledged, now() + POWER_LOSS_WAIT_S
        count = len(acknowledged)
        while len(acknowledged) == count and now() < until:
            await self._pause(POWER_LOSS_POLL_S)
        await self._pause(self._random.choice([0.0, self._random.uniform(*POWER_LOSS_AFTER_S)]))
        control = self._cluster.control
        await asyncio.gather(*(process.end() for process in control))
        for process in control:
            process.disk.lose_power(self._random)
        for process in self._random.sample(control, len(control)):
            await self._pause(self._random.uniform(*DOWN_S) / len(control))
            process.start()
            self._in_fault_until[process.name] = now() + RECOVERY_S

    async def _restart_edge(self) -> None:
        """Restarts an edge. With CUT_EDGE_SHARE it can reach only one control process for a while."""
        edge = self._random.choice(self._cluster.edges)
        await edge.end()
        if self._random.random() < CUT_EDGE_SHARE:
            self._network.heal(edge.name)
            reached = self._random.choice(self._cluster.control).name
            unreachable = {process.name for process in self._cluster.control} - {reached}
            self._network.cut({edge.name}, unreachable)
            self._network.cut(unreachable, {edge.name})
            heals_at = now() + self._random.uniform(*EDGE_PARTITION_S)
            self._scheduled.append((heals_at, partial(self._network.heal, edge.name)))
        edge.start()

    def _heal_later(self, names: Collection[str]) -> None:
        until = now() + self._random.uniform(*FAULT_DURATION_S)
        for name in names:
            self._in_fault_until[name] = max(until + RECOVERY_S, self._in_fault_until.get(name, 0.0))
        self._scheduled.append((until, partial(self._heal, names)))

    def _heal(self, names: Collection[str]) -> None:
        for name in names:
            self._network.heal(name)

    def _in_fault(self) -> set[str]:
        return {name for name, until in self._in_fault_until.items() if until > now()}

"""Injects random faults into control processes, disks and links, and checks that the cluster recovers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial

from ...control.replicated_log import TICK_S
from ..errors import InvariantError
from ..links import IsCut, cut_off, cut_off_one_way, no_link_is_cut
from .cluster import Process, SimulatedCluster
from .operators import Operators

CONVERGENCE_S = 8.0  # from the last fault until all calls must be served again
FAULT_INTERVALS_S = (0.1, 0.3, 0.8, 2.0)  # mean, between two faults; one is drawn per run
FIRST_BOOT_S = 0.2
POLL_INTERVAL_S = 0.001  # between checks for an undecided proposal
MAX_FAULT_S = 6.0  # after which every fault has ended
RESTART_DELAYS_S = (0.05, 0.3, 1.0, 3.0)
FREEZE_DURATIONS_S = (0.3, 0.8, 2.0, 4.0)
PARTITION_DURATIONS_S = (0.3, 1.0, 2.0, 4.0)
LEAVE_LIMITS_S = (0.05, 1.0, 2.0)  # from the request of a graceful leave to the end by force
UNRELIABLE_S = 2.0
DISK_FULL_RANGE_S = (0.2, 2.0)


class FaultInjector:
    """Injects faults into a cluster. All choices come from the cluster's random generator."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        """Takes a cluster that is not started, and draws the kinds of fault of this run."""
        self._cluster = cluster
        self._random = cluster.random
        faults: list[Callable[[], None]] = [
            self._kill,
            self._lose_power,
            self._crash_within_a_write,
            self._freeze,
            self._partition,
            self._partition_one_way,
            self._make_links_unreliable,
            self._restart_gracefully,
            self._fill_disk,
            self._kill_all,
            self._wipe,
            self._wipe,
        ]
        # With few kinds of fault, a run repeats and combines the same ones more often.
        drawn = self._random.sample(faults, self._random.choice((1, 2, 4, len(faults))))
        self._faults = [self._partition_primary, self._cancel_calls, *drawn]

    async def play(self, seconds: float) -> None:
        """Starts all processes and injects faults for `seconds`."""
        for address in self._cluster.addresses:
            self._schedule(
                self._random.uniform(0.0, FIRST_BOOT_S), partial(self._cluster.start, address, True)
            )
        end = self._cluster.loop.time() + seconds
        mean_interval_s = self._random.choice(FAULT_INTERVALS_S)
        await asyncio.sleep(1.0)
        while self._cluster.loop.time() < end:
            self._random.choice(self._faults)()
            await asyncio.sleep(self._random.expovariate(1.0 / mean_interval_s))

    async def recover(self, operators: Operators) -> None:
        """Ends all faults; acknowledged orders must be acknowledged when they are sent again."""
        await asyncio.sleep(MAX_FAULT_S)
        self._cluster.links.is_cut = no_link_is_cut
        self._cluster.links.become_reliable()
        for address, disk in self._cluster.disks.items():
            disk.is_full, disk.writes_until_crash = False, None
            self._cluster.thaw(address)
            self._cluster.start(address)
        await asyncio.sleep(CONVERGENCE_S)
        self._cluster.links.answer_loss_rate = 0.0
        checks = self._cluster.checks
        if await operators.read() is None:
            raise InvariantError(f"no read is answered {CONVERGENCE_S} s after the last fault")
        for sent in checks.acknowledged[-3:]:
            if await operators.send(sent) != 200:
                raise InvariantError(
                    f"{sent} was acknowledged, but not when sent again {CONVERGENCE_S} s after the last fault"
                )

    def _schedule(self, seconds: float, step: Callable[[], None]) -> None:
        self._cluster.loop.call_later(seconds, step)

    def _pick_address(self) -> str:
        """Picks a machine; half of the time that of the primary."""
        primaries = self._cluster.primaries
        if primaries and self._random.random() < 0.5:
            return self._random.choice(primaries)
        return self._random.choice(self._cluster.addresses)

    def _restart_later(self, address: str) -> None:
        self._schedule(self._random.choice(RESTART_DELAYS_S), partial(self._cluster.start, address))

    # ---- faults ----

    def _kill(self) -> None:
        address = self._pick_address()
        self._cluster.kill(address)
        self._restart_later(address)

    def _lose_power(self) -> None:
        address = self._pick_address()
        self._cluster.kill(address, power=True)
        self._restart_later(address)

    def _kill_all(self) -> None:
        for address in self._cluster.addresses:
            self._cluster.kill(address, power=True)
            self._restart_later(address)

    def _wipe(self) -> None:
        if self._cluster.may_lose_a_disk():
            address = self._pick_address()
            self._cluster.wipe(address)
            self._restart_later(address)

    def _crash_within_a_write(self) -> None:
        address = self._pick_address()
        self._cluster.disks[address].writes_until_crash = self._random.randrange(6)
        self._schedule(3.0, partial(self._cluster.start, address))

    def _freeze(self) -> None:
        address = self._pick_address()
        self._cluster.freeze(address)
        self._schedule(self._random.choice(FREEZE_DURATIONS_S), partial(self._cluster.thaw, address))

    def _draw_side(self) -> set[str]:
        if self._random.random() < 0.7:
            return {self._pick_address()}
        return {address for address in self._cluster.addresses if self._random.random() < 0.5}

    def _partition(self) -> None:
        self._apply_partition(cut_off(self._draw_side()))

    def _partition_primary(self) -> None:
        """Cuts the primary off; operators still reach it, and it has not noticed the partition yet."""
        self._apply_partition(cut_off(self._cluster.primaries))

    def _partition_one_way(self) -> None:
        self._apply_partition(cut_off_one_way(self._draw_side()))

    def _apply_partition(self, partition: IsCut) -> None:
        links = self._cluster.links
        links.is_cut = partition
        self._schedule(self._random.choice(PARTITION_DURATIONS_S), lambda: self._heal_partition(partition))

    def _heal_partition(self, partition: IsCut) -> None:
        """Ends this partition unless another one has replaced it."""
        if self._cluster.links.is_cut is partition:
            self._cluster.links.is_cut = no_link_is_cut

    def _make_links_unreliable(self) -> None:
        links = self._cluster.links
        links.become_unreliable(self._random)
        self._schedule(UNRELIABLE_S, links.become_reliable)

    def _restart_gracefully(self) -> None:
        """Asks the process to leave and restarts it; after a time limit it is killed."""
        process = self._cluster.processes.get(self._pick_address())
        if process is not None:
            process.run_step(process.log.leave)
            latest = self._cluster.loop.time() + self._random.choice(LEAVE_LIMITS_S)
            self._restart_once_left(process, latest)

    def _restart_once_left(self, process: Process, latest: float) -> None:
        if not process.is_alive:
            return
        if process.log.has_left or self._cluster.loop.time() >= latest:
            self._cluster.kill(process.address)
            self._restart_later(process.address)
        else:
            self._schedule(TICK_S, lambda: self._restart_once_left(process, latest))

    def _fill_disk(self) -> None:
        disk = self._cluster.disks[self._pick_address()]
        disk.is_full = True
        self._schedule(self._random.uniform(*DISK_FULL_RANGE_S), lambda: setattr(disk, "is_full", False))

    def _cancel_calls(self) -> None:
        """Cancels calls in progress, as when the connections over which they were forwarded end.

        In most cases this waits for an undecided record, a state that lasts only a few milliseconds.
        """
        self._cancel_when_undecided(self._cluster.loop.time() + self._random.choice((0.0, 0.5, 0.5)))

    def _cancel_when_undecided(self, latest: float) -> None:
        is_due = self._cluster.loop.time() >= latest
        for process in list(self._cluster.processes.values()):
            if is_due or process.has_undecided:
                for task in list(process.tasks):
                    if self._random.random() < 0.5:
                        task.cancel()
                is_due = True
        if not is_due:
            self._schedule(POLL_INTERVAL_S, lambda: self._cancel_when_undecided(latest))

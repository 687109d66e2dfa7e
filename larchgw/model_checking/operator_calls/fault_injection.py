"""Troubles of the control processes and their links, and the calm after them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial

from ...control.replicated_log import TICK_S
from ..errors import InvariantError
from .cluster import CALM_DELAY_S, Process, SimulatedCluster, no_link_is_cut
from .operators import Operators

CALM_S = 8.0  # after the last trouble, until everything is served again
CALM_BETWEEN_S = (0.1, 0.3, 0.8, 2.0)  # between two troubles, on average; which one is drawn for each run
FIRST_BOOT_S = 0.2
LOOK_S = 0.001  # how often it is looked for a proposal that is under way
LONGEST_TROUBLE_S = 6.0  # when all of them have ended


class FaultInjector:
    """Plays troubles on a cluster. All choices come from its random generator."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        self._cluster = cluster
        self._random = cluster.random
        faults: list[Callable[[], None]] = [
            self._kill,
            self._lose_power,
            self._break_in_a_write,
            self._freeze,
            self._cut,
            self._cut_one_way,
            self._unreliable,
            self._leave,
            self._fill_disk,
            self._kill_all,
            self._wipe,
            self._wipe,
        ]
        # Some sorts only, so that a run may have many of the same and of what goes together.
        drawn = self._random.sample(faults, self._random.choice((1, 2, 4, len(faults))))
        self._faults = [self._cut_primary, self._cancel_calls, *drawn]

    async def play(self, seconds: float) -> None:
        """Starts all processes, and has troubles for so long."""
        for address in self._cluster.addresses:
            self._later(self._random.uniform(0.0, FIRST_BOOT_S), partial(self._cluster.start, address, True))
        end = self._cluster.loop.time() + seconds
        between = self._random.choice(CALM_BETWEEN_S)
        await asyncio.sleep(1.0)
        while self._cluster.loop.time() < end:
            self._random.choice(self._faults)()
            await asyncio.sleep(self._random.expovariate(1.0 / between))

    async def recover(self, operators: Operators) -> None:
        """Ends all troubles; what was acknowledged must be there, and acknowledged again."""
        await asyncio.sleep(LONGEST_TROUBLE_S)
        self._cluster.links.is_cut = no_link_is_cut
        self._reliable()
        for address, disk in self._cluster.disks.items():
            disk.full, disk.crash_after = False, None
            self._cluster.thaw(address)
            self._cluster.start(address)
        await asyncio.sleep(CALM_S)
        self._cluster.links.answer_loss_rate = 0.0
        checks = self._cluster.checks
        if await operators.read() is None:
            raise InvariantError(f"no read is answered {CALM_S} s after the last trouble")
        for sent in checks.acknowledged[-3:]:
            if await operators.send(sent) != 200:
                raise InvariantError(f"{sent} was acknowledged, and is not {CALM_S} s after the last trouble")

    def _later(self, seconds: float, step: Callable[[], None]) -> None:
        self._cluster.loop.call_later(seconds, step)

    def _any(self) -> str:
        """A machine; the primary's half of the time."""
        primaries = self._cluster.primaries
        if primaries and self._random.random() < 0.5:
            return self._random.choice(primaries)
        return self._random.choice(self._cluster.addresses)

    def _restart_later(self, address: str) -> None:
        self._later(self._random.choice((0.05, 0.3, 1.0, 3.0)), partial(self._cluster.start, address))

    # ---- troubles ----

    def _kill(self) -> None:
        address = self._any()
        self._cluster.kill(address)
        self._restart_later(address)

    def _lose_power(self) -> None:
        address = self._any()
        self._cluster.kill(address, power=True)
        self._restart_later(address)

    def _kill_all(self) -> None:
        for address in self._cluster.addresses:
            self._cluster.kill(address, power=True)
            self._restart_later(address)

    def _wipe(self) -> None:
        if self._cluster.may_lose_a_disk():
            address = self._any()
            self._cluster.wipe(address)
            self._restart_later(address)

    def _break_in_a_write(self) -> None:
        address = self._any()
        self._cluster.disks[address].crash_after = self._random.randrange(6)
        self._later(3.0, partial(self._cluster.start, address))

    def _freeze(self) -> None:
        address = self._any()
        self._cluster.freeze(address)
        self._later(self._random.choice((0.3, 0.8, 2.0, 4.0)), partial(self._cluster.thaw, address))

    def _side(self) -> set[str]:
        if self._random.random() < 0.7:
            return {self._any()}
        return {address for address in self._cluster.addresses if self._random.random() < 0.5}

    def _cut(self) -> None:
        side = self._side()
        self._cut_for(lambda sender, receiver: (sender in side) != (receiver in side))

    def _cut_primary(self) -> None:
        """Operators still reach it, and it does not know yet."""
        primaries = self._cluster.primaries
        self._cut_for(lambda sender, receiver: (sender in primaries) != (receiver in primaries))

    def _cut_one_way(self) -> None:
        side = self._side()
        self._cut_for(lambda sender, receiver: sender in side and receiver not in side)

    def _cut_for(self, cut: Callable[[str, str], bool]) -> None:
        links = self._cluster.links
        links.is_cut = cut
        self._later(self._random.choice((0.3, 1.0, 2.0, 4.0)), lambda: self._heal(cut))

    def _heal(self, cut: Callable[[str, str], bool]) -> None:
        """Ends this cut, if it has not given way to another."""
        if self._cluster.links.is_cut is cut:
            self._cluster.links.is_cut = no_link_is_cut

    def _unreliable(self) -> None:
        links = self._cluster.links
        links.loss_rate, links.duplication_rate = self._random.choice(((0.05, 0.05), (0.3, 0.1), (0.0, 0.5)))
        links.delay_range_s = self._random.choice((CALM_DELAY_S, (0.001, 0.2), (0.0, 0.03)))
        self._later(2.0, self._reliable)

    def _reliable(self) -> None:
        links = self._cluster.links
        links.loss_rate, links.duplication_rate, links.delay_range_s = 0.0, 0.0, CALM_DELAY_S

    def _leave(self) -> None:
        """A planned end: by agreement with the others, or cut short."""
        process = self._cluster.processes.get(self._any())
        if process is not None:
            process.do(process.log.leave)
            latest = self._cluster.loop.time() + self._random.choice((0.05, 1.0, 2.0))
            self._end_once_left(process, latest)

    def _end_once_left(self, process: Process, latest: float) -> None:
        if not process.is_alive:
            return
        if process.log.has_left or self._cluster.loop.time() >= latest:
            self._cluster.kill(process.address)
            self._restart_later(process.address)
        else:
            self._later(TICK_S, lambda: self._end_once_left(process, latest))

    def _fill_disk(self) -> None:
        disk = self._cluster.disks[self._any()]
        disk.full = True
        self._later(self._random.uniform(0.2, 2.0), lambda: setattr(disk, "full", False))

    def _cancel_calls(self) -> None:
        """Connections over which calls were passed on end: what serves them is cancelled where it stands.

        Mostly that is while a record is undecided, which it is for some ms only."""
        self._cancel_at_a_proposal(self._cluster.loop.time() + self._random.choice((0.0, 0.5, 0.5)))

    def _cancel_at_a_proposal(self, latest: float) -> None:
        is_due = self._cluster.loop.time() >= latest
        for process in list(self._cluster.processes.values()):
            if is_due or process.has_undecided:
                for task in list(process.tasks):
                    if self._random.random() < 0.5:
                        task.cancel()
                is_due = True
        if not is_due:
            self._later(LOOK_S, lambda: self._cancel_at_a_proposal(latest))

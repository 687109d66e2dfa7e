"""A course of faults over modelled control processes, edges and runners, and what must hold all the while.

What is checked
    - A control process that is not isolated knows of every drain and Leave that was acknowledged more than
      MAX_CONTACT_AGE_S ago, by whomever.
    - An edge knows of those that were acknowledged MAX_CONTACT_AGE_S before its last pull from a process in
      contact began, and its configuration is no older than the one that a majority held then.
    - When a drain or Leave is acknowledged, a majority holds it.
    - Whoever acknowledges anything could exchange messages with a majority within MAX_CONTACT_AGE_S before.
    - After the faults everybody is in contact and knows the newest configuration, and runners are
      acknowledged.

Restarts forget what is in memory only, so they come while no more processes are in trouble than the
deployment survives; cuts and freezes come in any number.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from ...control.majority_contact import MAX_CONTACT_AGE_S
from ...distribution.keys import RUNNER_PREFIX
from ...runner_directory.runner_record import RunnerRecord, Stage
from ..errors import InvariantError
from .network import Network
from .processes import ControlProcess, Edge, Runner, now

EDGES, RUNNERS = 3, 5
STEP_S = 0.02  # between two looks
FAULT_EVERY_S = 0.7  # on average
LONGEST_FAULT_S = 6.0
SETTLE_S = 3.0  # after its trouble a process counts as in trouble for so long
RECOVERY_S = 6.0
CONFIGURE_EVERY_S = 1.0  # on average


@dataclass(frozen=True, slots=True)
class Acknowledgement:
    """A runner was told that it is known to drain or to have left."""

    runner: str
    stage: Stage
    at: float


class SimulatedCluster:
    """Control processes, edges and runners, and the faults on them; all choices come from the seed."""

    def __init__(self, seed: int, control: int) -> None:
        self.random_source = random.Random(seed)
        self.network = Network(self.random_source)
        names = [f"control{number}" for number in range(control)]
        self.survive = (control - 1) // 2
        self.control = [
            ControlProcess(name, names, self.network, self.random_source, self._acknowledged)
            for name in names
        ]
        self.edges = [
            Edge(f"edge{number}", names, self.network, self.random_source) for number in range(EDGES)
        ]
        self.runners = [
            Runner(f"runner{number}", names, self.network, self.random_source) for number in range(RUNNERS)
        ]
        self.acknowledged: list[Acknowledgement] = []
        self.states: set[object] = set()
        self._connected_at: dict[tuple[str, str], float] = {}
        self._trouble_until: dict[str, float] = {}
        self._due: list[tuple[float, Callable[[], None]]] = []
        self._version = 0
        self._majority_versions: list[tuple[float, int]] = [(0.0, 0)]  # since when a majority holds which
        self._broken: list[str] = []

    async def play(self, seconds: float) -> None:
        """Raises InvariantError."""
        for process in self._processes():
            process.start()
        runners = [asyncio.ensure_future(runner.run()) for runner in self.runners]
        try:
            await self._disturb_until(now() + seconds)
            await self._recover()
        finally:
            for task in runners:
                task.cancel()
            await asyncio.gather(*runners, return_exceptions=True)
            for process in self._processes():
                await process.end()

    def _processes(self) -> list[ControlProcess | Edge]:
        return [*self.control, *self.edges]

    # ---- Faults ----

    async def _disturb_until(self, end: float) -> None:
        while now() < end:
            await self._step()
            if self.random_source.random() < STEP_S / CONFIGURE_EVERY_S:
                self._configure()
            if self.random_source.random() < STEP_S / FAULT_EVERY_S:
                await self.random_source.choice(
                    [self._cut, self._cut, self._freeze, self._restart, self._restart_edge]
                )()

    async def _step(self) -> None:
        await asyncio.sleep(STEP_S)
        due, self._due = self._due, []
        for at, end in due:
            if at <= now():
                end()
            else:
                self._due.append((at, end))
        self._observe()
        self._check()

    async def _cut(self) -> None:
        """Cuts some control processes off from the others, or only what they say or hear."""
        others = {process.name for process in self.control}
        count = self.random_source.randrange(1, self.survive + 1)
        alone = set(self.random_source.sample(sorted(others), count))
        others -= alone
        both = self.random_source.random() < 0.6
        if both or self.random_source.random() < 0.5:
            self.network.cut(alone, others)
        if both or self.random_source.random() < 0.5:
            self.network.cut(others, alone)
        self._heal_later(alone)

    async def _freeze(self) -> None:
        name = self.random_source.choice(self.control).name
        self.network.freeze(name)
        self._heal_later({name})

    async def _restart(self) -> None:
        process = self.random_source.choice(self.control)
        if len(self._in_trouble() | {process.name}) > self.survive:
            return
        await process.end()
        process.start()
        self._trouble_until[process.name] = now() + SETTLE_S

    async def _restart_edge(self) -> None:
        """It may reach one control process only."""
        edge = self.random_source.choice(self.edges)
        await edge.end()
        if self.random_source.random() < 0.6:
            self.network.heal(edge.name)
            reached = self.random_source.choice(self.control).name
            others = {process.name for process in self.control} - {reached}
            self.network.cut({edge.name}, others)
            self.network.cut(others, {edge.name})
            self._due.append(
                (
                    now() + self.random_source.uniform(0.5, LONGEST_FAULT_S),
                    lambda: self.network.heal(edge.name),
                )
            )
        edge.start()

    def _heal_later(self, names: set[str]) -> None:
        until = now() + self.random_source.uniform(0.3, LONGEST_FAULT_S)

        def heal() -> None:
            for name in names:
                self.network.heal(name)

        for name in names:
            self._trouble_until[name] = max(until + SETTLE_S, self._trouble_until.get(name, 0.0))
        self._due.append((until, heal))

    def _in_trouble(self) -> set[str]:
        return {name for name, until in self._trouble_until.items() if until > now()}

    def _configure(self) -> None:
        """A new version at a process in contact; those that hear of it have it on their disks."""
        able = [
            process
            for process in self.control
            if not process.contact.is_isolated() and not self.network.is_frozen(process.name)
        ]
        if not able:
            return
        self._version += 1
        self.random_source.choice(able).configure(self._version)

    # ---- InvariantChecker ----

    def _acknowledged(self, by: str, runner: str, stage: Stage) -> None:
        """A control process has just acknowledged a call of a runner."""
        lately = [
            process.name
            for process in self.control
            if process.name == by
            or now() - self._connected_at.get((by, process.name), -1.0) <= MAX_CONTACT_AGE_S + STEP_S
        ]
        if 2 * len(lately) <= len(self.control):
            self._broken.append(f"{by} acknowledged {runner} without a majority")
        if stage is Stage.READY:
            return
        holding = [process for process in self.control if _known(process, runner, stage)]
        if 2 * len(holding) <= len(self.control):
            self._broken.append(
                f"{by} acknowledged that {runner} is {stage.name}, which "
                f"{len(holding)} of {len(self.control)} know"
            )
        self.acknowledged.append(Acknowledgement(runner, stage, now()))

    def _observe(self) -> None:
        for one in self.control:
            for other in self.control:
                if one is not other and self.network.connected(one.name, other.name):
                    self._connected_at[one.name, other.name] = now()
            entry = one.registry.get("configuration")
            if entry is not None:
                one.disk = (entry.major, entry.value)
        held = sorted(process.disk[0] if process.disk else 0 for process in self.control)
        version = held[self.survive]  # a majority holds it or a later one
        if version > self._majority_versions[-1][1]:
            self._majority_versions.append((now(), version))
        self.states.add(
            (
                tuple(process.contact.is_isolated() for process in self.control),
                tuple(process.registry.vector().get(process.registry.origin, 0) for process in self.control),
                tuple(edge.configuration() for edge in self.edges),
            )
        )

    def _check(self) -> None:
        for process in self.control:
            if not process.contact.is_isolated() and not self.network.is_frozen(process.name):
                self._check_knows(process.name, process.stage, now() - MAX_CONTACT_AGE_S)
        for edge in self.edges:
            self._check_edge(edge)
        if self._broken:
            raise InvariantError(self._broken[0])

    def _check_edge(self, edge: Edge) -> None:
        if edge.configuration() and edge.puller.last_heard_at is None:
            raise InvariantError(f"{edge.name} serves without a source in contact")
        proven = edge.puller.contact_proven_at
        if proven is None:
            return
        self._check_knows(edge.name, partial(_stage_at, edge), proven - MAX_CONTACT_AGE_S)
        least = max(
            version
            for since, version in self._majority_versions
            if since <= max(proven - MAX_CONTACT_AGE_S, 0.0)
        )
        if 0 < edge.configuration() < least:
            raise InvariantError(f"{edge.name} serves with {edge.configuration()}, a majority had {least}")

    def _check_knows(self, name: str, stage: Callable[[str], Stage | None], until: float) -> None:
        for acknowledgement in self.acknowledged:
            if acknowledgement.at >= until:
                return
            known = stage(acknowledgement.runner)
            if known is None or known < acknowledgement.stage:
                raise InvariantError(
                    f"{name} takes {acknowledgement.runner} for {known}, acknowledged as "
                    f"{acknowledgement.stage.name} {now() - acknowledgement.at:.2f} s ago"
                )

    async def _recover(self) -> None:
        for _, heal in self._due:
            heal()
        self._due = []
        for process in self._processes():
            self.network.heal(process.name)
        self._observe()
        before = sum(runner.acknowledged for runner in self.runners)
        end = now() + RECOVERY_S
        while now() < end:
            await self._step()
        for process in self.control:
            if process.contact.is_isolated():
                raise InvariantError(f"{process.name} is still isolated")
        for edge in self.edges:
            if edge.configuration() != self._majority_versions[-1][1]:
                raise InvariantError(
                    f"{edge.name} has {edge.configuration()}, all have {self._majority_versions[-1][1]}"
                )
        if sum(runner.acknowledged for runner in self.runners) == before:
            raise InvariantError("no runner is acknowledged any more")


def _known(process: ControlProcess, runner: str, stage: Stage) -> bool:
    known = process.stage(runner)
    return process.running and known is not None and known >= stage


def _stage_at(edge: Edge, runner: str) -> Stage | None:
    entry = edge.registry.get(RUNNER_PREFIX + runner)
    return RunnerRecord.decode(entry.value).stage if entry is not None else None

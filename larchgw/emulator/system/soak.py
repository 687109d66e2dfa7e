"""A seeded soak: disturbances in series that overlap, without rest between them.

Each edge has a lane of its own, so that several are stopped, killed, frozen and reloaded at the same time.
The control processes, the operator and the runners have lanes beside them, and some parts change what the
clients ask for. No disk is lost, so nothing that
was acknowledged may be, whatever the order of the disturbances.
"""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable, Collection, Sequence
from functools import partial
from typing import NamedTuple

from ...configuration.settings import TimeLimits
from .answer_faults import AnswerFaults
from .operator import Operator
from .rig import DelayedSignal, Machine, Rig
from .runner import Runner
from .runners import Runners
from .script import Script, Trouble

EDGE_PAUSE_S = (0.2, 2.5)
CORE_PAUSE_S = (1.0, 3.0)
OPERATOR_PAUSE_S = (0.02, 0.5)
RUNNER_PAUSE_S = (0.3, 1.5)
DOWN_S = (0.0, 0.8)
FROZEN_S = (0.1, 1.6)
FAULTY_S = (1.0, 4.0)  # that a runner spoils answers
SERIES = (2, 4)  # signals, kills, freezes or restarts in a row
RESTART_GAP_S = (0.4, 3.5)  # between the restarts of a runner
SETTLED_S = 1.0  # after a start, until the process handles SIGHUP
SIGNAL_GAP_S = (0.02, 1.2)
HERD_AFTER_S = (0.0, 0.05)  # after the acknowledgement
SERVES_ON_S = (9.0, 11.0)  # of a runner after its Leave: until the core is stable again, and longer
RECENT = 8  # acknowledgements that are looked at
LOOK_S = 0.001  # between looks for the acknowledgement
MAX_DISTURBED_SHARE = 0.7  # of the edges, at the same time
MAX_DISTURBED = 8  # edges at the same time: each start takes much of a processor for a moment
EDGES, CORE, OPERATOR, RUNNERS, ANSWERS = "edges", "core", "operator", "runners", "answers"
# Runners that restart in a row at their address, or at another one's.
RESTARTS = "restarts"
HERD = "herd"  # all control processes killed right after a Leave; in the lane of `core`
LONG_PROMPTS = "long-prompts"  # a class of streams that may run once, with long bodies; rejected early, too
IMPATIENT_CLIENTS = "impatient-clients"  # some retry at once and more often
CLIENT_REPEATS = "client-repeats"  # breaks the protocol: only on request
PARTS = (EDGES, CORE, OPERATOR, RUNNERS, ANSWERS)
FURTHER_PARTS = (RESTARTS, HERD, LONG_PROMPTS, IMPATIENT_CLIENTS)
ALL_PARTS = (*PARTS, *FURTHER_PARTS)
MachineTrouble = Callable[[Machine], Awaitable[str]]


class Lane(NamedTuple):
    """Disturbances that follow each other."""

    name: str
    part: str
    troubles: Sequence[Trouble]
    pause_s: tuple[float, float]


class Soak(Script):
    """Plays overlapping disturbances until it is told to stop. `events` says what was done."""

    def __init__(
        self,
        rig: Rig,
        runners: Runners,
        operator: Operator,
        limits: TimeLimits,
        dice: Callable[[str], random.Random],
        now: Callable[[], float],
        parts: Collection[str],
    ) -> None:
        """See Script; `parts` of PARTS are played."""
        super().__init__(rig, runners, operator, limits, dice, now)
        self._parts = parts
        disturbed = min(int(MAX_DISTURBED_SHARE * len(rig.edges)), MAX_DISTURBED)
        self._edges_left = asyncio.Semaphore(max(disturbed, 1))

    async def run(self) -> None:
        """Plays all lanes; returns once each has ended its last disturbance after `stop`."""
        async with asyncio.TaskGroup() as group:
            for name, part, troubles, pause_s in self._lanes():
                if part in self._parts:
                    group.create_task(self._lane(name, troubles, pause_s=pause_s))

    def _lanes(self) -> list[Lane]:
        kinds = (self._stop, self._kill, self._freeze, self._reload)
        edges = [
            Lane(edge.place.name, EDGES, [partial(self._at_edge, kind, edge) for kind in kinds], EDGE_PAUSE_S)
            for edge in self._rig.edges
        ]
        answers = [
            Lane(f"answers {number}", ANSWERS, [partial(self._spoil_answers, runner)], RUNNER_PAUSE_S)
            for number, runner in enumerate(self._runners.all)
        ]
        core: list[Trouble] = [partial(self._at_some_controls, kind) for kind in kinds]
        if HERD in self._parts:
            core.append(self._kill_herd)
        operator = [self._move_route, self._race, self._invalid, self._lost_answers, self._add_route]
        runners = [self._release_runner, self._crash_runner, self._darken_runner]
        return [
            *edges,
            *answers,
            Lane("core", CORE, core, CORE_PAUSE_S),
            Lane("operator", OPERATOR, operator, OPERATOR_PAUSE_S),
            Lane("runners", RUNNERS, runners, RUNNER_PAUSE_S),
            Lane("restarts", RESTARTS, [self._restart_runner, self._swap_runners], RUNNER_PAUSE_S),
        ]

    async def _at_edge(self, kind: MachineTrouble, edge: Machine) -> str:
        """Waits until few enough other edges are disturbed."""
        async with self._edges_left:
            return await kind(edge)

    async def _at_some_controls(self, kind: MachineTrouble) -> str:
        """One or two control processes at the same time."""
        machines = self._random.sample(self._rig.controls, self._random.randint(1, 2))
        return "; ".join(await asyncio.gather(*(kind(machine) for machine in machines)))

    async def _kill_herd(self) -> str:
        """All control processes are killed right after a runner's Leave was acknowledged."""
        runner = self._dispensable()
        acknowledged, left = runner.records.acknowledgements, runner.id
        leaving = asyncio.ensure_future(self._runners.leave_early(runner, self._random.uniform(*SERVES_ON_S)))
        while not (leaving.done() or any(one.runner == left for one in acknowledged[-RECENT:])):
            await asyncio.sleep(LOOK_S)
        delay_s = self._random.choice([0.0, self._random.uniform(*HERD_AFTER_S)])
        await asyncio.sleep(delay_s)
        down_s = self._random.uniform(*DOWN_S)
        await self._rig.kill_all(self._rig.controls, down_s)
        await leaving
        return f"{left} left, all control processes killed {1000 * delay_s:.0f} ms later for {down_s:.1f} s"

    # One machine

    async def _stop(self, machine: Machine) -> str:
        """SIGTERM, with other signals while the process stops."""
        numbers = self._random.choices(
            (signal.SIGHUP, signal.SIGTERM, signal.SIGSTOP, signal.SIGCONT, signal.SIGKILL),
            weights=(4, 3, 1, 1, 0.5),
            k=self._random.randint(0, SERIES[1]),
        )
        further = [DelayedSignal(self._random.uniform(*SIGNAL_GAP_S), number) for number in numbers]
        await self._rig.restart_disturbed(machine, further)
        names = " ".join(one.name for one in numbers) or "no signal"
        return f"{machine.place.name} restarted, {names} meanwhile"

    async def _kill(self, machine: Machine) -> str:
        times = self._random.randint(1, SERIES[0])
        for _ in range(times):
            await self._rig.kill(machine, self._random.uniform(*DOWN_S))
            await asyncio.sleep(self._random.uniform(*DOWN_S))
        return f"{machine.place.name} killed {times} times"

    async def _freeze(self, machine: Machine) -> str:
        times = self._random.randint(*SERIES)
        for _ in range(times):
            await self._rig.freeze(machine, self._random.uniform(*FROZEN_S))
            await asyncio.sleep(self._random.uniform(*DOWN_S))
        return f"{machine.place.name} frozen {times} times"

    async def _reload(self, machine: Machine) -> str:
        times = self._random.randint(*SERIES)
        await asyncio.sleep(SETTLED_S)
        await self._rig.reload(machine, times, self._random.uniform(*SIGNAL_GAP_S) / times)
        return f"{machine.place.name} reloaded {times} times"

    # Runners

    async def _restart_runner(self) -> str:
        """A runner restarts several times in a row at its address, each time under a new id."""
        runner, times = self._dispensable(), self._random.randint(*SERIES)
        for _ in range(times):
            await self._runners.crash(runner, self._random.uniform(*DOWN_S))
            await asyncio.sleep(self._random.uniform(*RESTART_GAP_S))
        return f"{runner.id} had restarted {times} times at its address"

    async def _swap_runners(self) -> str:
        """Two runners of different services crash, and each comes back at the other's address."""
        first = self._dispensable()
        others = [one for one in self._runners.all if one.described.service != first.described.service]
        second = self._random.choice(others)
        await self._runners.swap_addresses(first, second)
        return f"{first.id} and {second.id} have each other's address"

    async def _spoil_answers(self, runner: Runner) -> str:
        """A runner rejects, repeats and spoils for a while."""
        seconds = self._random.uniform(*FAULTY_S)
        runner.faults = self._draw_faults()
        await self._pause(seconds)
        runner.faults = None
        return f"{runner.id} spoilt answers for {seconds:.1f} s"

    def _draw_faults(self) -> AnswerFaults:
        rng = self._random
        return AnswerFaults(
            random.Random(rng.random()),
            rejected=rng.choice((0.0, 0.3, 0.7)),
            repeated=rng.choice((0.0, 0.2, 0.6)),
            doubled=rng.choice((0.0, 0.0, 0.3)),
            spoilt=rng.choice((0.0, 0.05, 0.2)),
            carried_on=rng.choice((0.0, 1.0)),
            early=rng.choice((0.0, 0.0, 0.2)),
            rejected_early=rng.choice((0.0, 0.3)) if LONG_PROMPTS in self._parts else 0.0,
            forgotten_after_s=rng.choice((float("inf"), 0.3)),
        )

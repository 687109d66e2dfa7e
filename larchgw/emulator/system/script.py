"""A seeded script of troubles: machines, runners and the operator each have a lane of their own.

Within a lane one trouble follows the other, so that the core never loses more than it must survive.
"""

from __future__ import annotations

import asyncio
import copy
import random
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

from ...configuration.settings import TimeLimits
from .operator import Operator
from .rig import Rig
from .runner import Runner
from .runners import Runners
from .site import ARCHIVE, HOST, LOOKUP

PAUSE_S = (0.5, 2.0)  # between two troubles of a lane
DOWN_S = (0.3, 2.0)  # that a process or runner is away
FROZEN_S = (0.5, 3.0)
FIRST_S = 1.0  # of calm at the start
Trouble = Callable[[], Awaitable[str]]  # returns what was done


class Script:
    """Plays troubles until it is told to stop. `events` says what was done."""

    def __init__(
        self,
        rig: Rig,
        runners: Runners,
        operator: Operator,
        limits: TimeLimits,
        dice: Callable[[str], random.Random],
        now: Callable[[], float],
    ) -> None:
        self._now = now
        self._started = now()
        self._rig, self._runners, self._operator, self._limits = rig, runners, operator, limits
        self._dice = dice
        self._random = dice("script")
        self.events: list[str] = []
        self._stopping = asyncio.Event()

    async def run(self) -> None:
        """Plays all lanes; returns once each has ended its last trouble after `stop`."""
        core = [
            self._kill_primary,
            self._kill_control,
            self._wipe_control,
            self._freeze_control,
            self._restart_control,
            self._replace_control,
        ]
        edges = [self._kill_edge, self._freeze_edge, self._restart_edge]
        operator = [self._move_route, self._race, self._invalid, self._lost_answers, self._add_route]
        runners = [self._release_runner, self._crash_runner, self._darken_runner, self._misbehaviour]
        async with asyncio.TaskGroup() as group:
            group.create_task(self._lane("core", core, rest_s=self._limits.catch_up_s))
            for name, troubles in (("edges", edges), ("operator", operator), ("runners", runners)):
                group.create_task(self._lane(name, troubles))

    async def final(self) -> None:
        """The last fault: every control process is killed right after it has acknowledged a change."""
        change = self._added()
        taken = await self._operator.change(change)
        down = self._random.uniform(*DOWN_S)
        await self._rig.kill_all(self._rig.controls, down)
        self.events.append(
            f"version {change['config_version']}: {_verdict(taken)}; "
            f"all control processes killed, back after {down:.1f} s"
        )

    def stop(self) -> None:
        """No further troubles."""
        self._stopping.set()

    async def _lane(
        self,
        name: str,
        troubles: Sequence[Trouble],
        rest_s: float = 0.0,
        pause_s: tuple[float, float] = PAUSE_S,
    ) -> None:
        """One trouble of each kind in the order that the seed gives, then in another one."""
        rng = self._dice(name)
        await self._pause(FIRST_S)
        while True:
            for trouble in rng.sample(troubles, len(troubles)):
                await self._pause(rng.uniform(*pause_s))
                if self._stopping.is_set():
                    return
                began = self._now()
                self.events.append(f"{began - self._started:5.1f} s: {await trouble()}")
                await self._pause(rest_s)

    async def _pause(self, seconds: float) -> None:
        try:
            await asyncio.wait_for(self._stopping.wait(), seconds)
        except TimeoutError:
            return

    # Machines

    async def _kill_control(self) -> str:
        machine, down = self._random.choice(self._rig.controls), self._random.uniform(*DOWN_S)
        await self._rig.kill(machine, down)
        return f"{machine.place.name} killed, back after {down:.1f} s"

    async def _kill_primary(self) -> str:
        machine, down = self._rig.primary(), self._random.uniform(*DOWN_S)
        await self._rig.kill(machine, down)
        return f"primary {machine.place.name} killed, back after {down:.1f} s"

    async def _wipe_control(self) -> str:
        machine, down = self._random.choice(self._rig.controls), self._random.uniform(*DOWN_S)
        await self._rig.kill(machine, down, wipe=True)
        return f"{machine.place.name} killed, back after {down:.1f} s with an empty disk"

    async def _freeze_control(self) -> str:
        machine, frozen = self._random.choice(self._rig.controls), self._random.uniform(*FROZEN_S)
        await self._rig.freeze(machine, frozen)
        return f"{machine.place.name} frozen for {frozen:.1f} s"

    async def _restart_control(self) -> str:
        machine = self._random.choice(self._rig.controls)
        await self._rig.restart(machine)
        return f"{machine.place.name} restarted"

    async def _replace_control(self) -> str:
        machine = self._random.choice(self._rig.controls)
        successor = await self._rig.replace(machine)
        return f"{machine.place.name} replaced by {successor.place.name} at {successor.ip}"

    async def _kill_edge(self) -> str:
        machine, down = self._random.choice(self._rig.edges), self._random.uniform(*DOWN_S)
        await self._rig.kill(machine, down)
        return f"{machine.place.name} killed, back after {down:.1f} s"

    async def _freeze_edge(self) -> str:
        machine, frozen = self._random.choice(self._rig.edges), self._random.uniform(*FROZEN_S)
        await self._rig.freeze(machine, frozen)
        return f"{machine.place.name} frozen for {frozen:.1f} s"

    async def _restart_edge(self) -> str:
        machine = self._random.choice(self._rig.edges)
        await self._rig.restart(machine)
        return f"{machine.place.name} restarted"

    # Runners

    def _dispensable(self) -> Runner:
        """A runner that another one can stand in for, where there is one."""
        runners = self._runners
        several = [one for one in runners.all if len(runners.of(one.described.service)) > 1]
        return self._random.choice(several or runners.all)

    async def _release_runner(self) -> str:
        runner = self._dispensable()
        old = runner.id
        await self._runners.release(runner)
        return f"{old} drained and replaced by {runner.id}"

    async def _crash_runner(self) -> str:
        runner, down = self._dispensable(), self._random.uniform(*DOWN_S)
        old = runner.id
        await self._runners.crash(runner, down)
        return f"{old} crashed, {runner.id} after {down:.1f} s"

    async def _darken_runner(self) -> str:
        runner, down = self._dispensable(), self._random.uniform(*DOWN_S)
        old = runner.id
        await self._runners.darken(runner, down)
        return f"{old} fell silent, {runner.id} after {down:.1f} s"

    async def _misbehaviour(self) -> str:
        done = [
            f"{runner.id} {self._runners.misbehave(runner).name.lower()}"
            for runner in self._random.choices(self._runners.all, k=3)
        ]
        return "spoilt answers: " + ", ".join(done)

    # The operator

    def _next_version(self) -> int:
        return self._operator.version + self._random.randint(1, 3)

    def _level_route(self, service: str) -> dict[str, Any]:
        """The route of `level` at another service."""
        routes = self._operator.current["routes"]
        route = copy.deepcopy(next(one for one in routes if one["name"] == "r-level"))
        route.pop("shares", None)
        route["service"] = service
        return route  # type: ignore[no-any-return]

    def _moved(self) -> dict[str, Any]:
        """A change that moves a route between the plain services."""
        now = next(one for one in self._operator.current["routes"] if one["name"] == "r-level")
        target = ARCHIVE if now.get("service") == LOOKUP else LOOKUP
        return {"config_version": self._next_version(), "add": {"routes": [self._level_route(target)]}}

    def _added(self) -> dict[str, Any]:
        """A change that adds a route that nobody uses."""
        version = self._next_version()
        route = {
            **self._level_route(LOOKUP),
            "name": f"r-added-{version}",
            "hostname": HOST,
            "path_start": f"/added-{version}-{self._random.randrange(1000)}/",
        }
        return {"config_version": version, "add": {"routes": [route]}}

    async def _change(self, change: dict[str, Any]) -> bool:
        """Brings a change; where its answer stayed unclear, reads what is in force."""
        taken = await self._operator.change(change)
        if not taken:
            await self._operator.catch_up()
        return taken

    async def _move_route(self) -> str:
        change = self._moved()
        taken = await self._change(change)
        await self._operator.send_again()
        return f"version {change['config_version']} moves a route: {_verdict(taken)}"

    async def _add_route(self) -> str:
        change = self._added()
        return f"version {change['config_version']} adds a route: {_verdict(await self._change(change))}"

    async def _lost_answers(self) -> str:
        self._operator.lost_share = 0.5
        try:
            return "answers to the operator get lost; " + await self._add_route()
        finally:
            self._operator.lost_share = 0.0

    async def _race(self) -> str:
        count = await self._operator.race(self._moved(), self._added())
        await self._operator.catch_up()
        return f"two changes at once: {count} taken"

    async def _invalid(self) -> str:
        broken = copy.deepcopy(self._operator.current)
        broken["config_version"] = self._next_version()
        broken["routes"][0]["service"] = "no-such-service"
        taken = await self._operator.replace(broken, valid=False)
        return f"invalid version {broken['config_version']}: {_verdict(taken)}"


def _verdict(taken: bool) -> str:
    return "taken" if taken else "not taken"

"""Processes of the old and of the present version side by side, as real processes on loopback addresses.

The old version is the commit that `tests.support.old_version` names. Nothing here asserts a speed.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from larchgw.configuration.settings import TimeLimits
from larchgw.emulator.sockets import RealTime
from larchgw.emulator.system.clients import Clients
from larchgw.emulator.system.ingress import Ingress
from larchgw.emulator.system.judge import judge
from larchgw.emulator.system.judge_configuration import services_of
from larchgw.emulator.system.network import Network
from larchgw.emulator.system.operator import Operator
from larchgw.emulator.system.records import Records
from larchgw.emulator.system.rig import ROOT, Machine, Rig
from larchgw.emulator.system.runners import Runners
from larchgw.emulator.system.site import LOADS_PER_S, LOOKUP, RequestClass, Site
from tests.support.old_version import extract_old_version

CONDITION_TIMEOUT_S = 60.0  # for one condition, on a busy machine
POLL_S = 0.05
LIMITS = TimeLimits(fenced=True, grace_period_s=6.0)
SITE = Site(controls=3, edges=2, runners=3, models=2)
READ_ONLY = next(one for one in SITE.classes if one.kind == "read_only")


class System:
    """Three control processes, two edges, their runners and an operator."""

    def __init__(self, network: Network, folder: Path) -> None:
        clock = RealTime()
        self.records = Records(loads_per_s=LOADS_PER_S)
        self.rig = Rig(network, folder, self.records, LIMITS, clock.now, SITE.controls, SITE.edges)
        controls = self.rig.control_addresses
        self.runners = Runners(SITE, network, clock, self.records, LIMITS, controls, random.Random("runners"))
        self.operator = Operator(controls, self.records, clock.now, random.Random("operator"))
        self.now = clock.now
        self.acknowledged_routes: list[str] = []
        self._ingress = Ingress(self.rig.edges, random.Random("ingress"))
        self._clients = Clients(
            self._ingress,
            self.records,
            clock.now,
            random.Random("clients"),
            lambda host, target: tuple(services_of(self.operator.current, host, target)),
        )

    async def start(self, source: Path) -> None:
        """Starts all processes from this source, on empty disks, and brings the first configuration."""
        for machine in self.rig.machines:
            machine.source = source
        await self.rig.start()
        self.runners.start()
        await until(self._first_configuration, "the first configuration is not acknowledged")
        await self.until_all_serve()

    async def close(self) -> None:
        """Ends what still runs."""
        self.operator.close()
        self._ingress.close()
        self._clients.close()
        self.runners.close()
        await self.rig.abandon()

    async def add_route(self) -> None:
        """One change of the configuration, which adds a route; noted where it is acknowledged."""
        version = self.operator.version + 1
        pattern = next(one for one in self.operator.current["routes"] if one["service"] == LOOKUP)
        route = pattern | {"name": f"r-added-{version}", "path_start": f"/added-{version}/"}
        change = {"config_version": version, "add": {"routes": [route]}}
        if await self.operator.change(change):
            self.acknowledged_routes.append(route["name"])
        else:
            await self.operator.catch_up()

    async def change_continuously(self, stopping: asyncio.Event) -> None:
        """Brings one change after the other."""
        while not stopping.is_set():
            await self.add_route()

    async def renew(self, machine: Machine, source: Path) -> None:
        """Ends the process in good order and starts it from this source; returns once all serve again."""
        machine.source = source
        await self.rig.restart(machine)
        await self.until_all_serve()
        acknowledged_before = len(self.acknowledged_routes)

        async def is_change_acknowledged() -> bool:
            return len(self.acknowledged_routes) > acknowledged_before

        missing = f"no change is acknowledged after the renewal of {machine.place.name}"
        await until(is_change_acknowledged, missing)

    async def until_all_serve(self) -> None:
        """Waits until every process answers for itself."""
        await asyncio.gather(
            *(
                until(
                    lambda control=control: self.accepts_check_in(control), f"{control.place.name} is cut off"
                )
                for control in self.rig.controls
            ),
            *(
                until(lambda edge=edge: self.forwards(edge), f"{edge.place.name} does not forward")
                for edge in self.rig.edges
            ),
        )
        await until(self._edges_are_ready, "the edges are not ready")

    async def accepts_check_in(self, control: Machine) -> bool:
        """Whether this very process acknowledges a runner's check-in, thus is in touch with a majority."""
        began = self.now()
        checkins = self.runners.checkins[id(self.runners.all[0])]
        checkins.prefer(control.control)
        await checkins.tell()
        return any(one.control == control.ip and one.sent_at >= began for one in self.records.checkins)

    async def forwards(self, edge: Machine, wanted: RequestClass = READ_ONLY) -> bool:
        """Whether the edge serves a request of this class by a runner."""
        attempt = await self._clients.probe(edge, wanted)
        return attempt.whole and attempt.status == 200

    async def routes_at(self, control: Machine) -> set[str]:
        """Names of the routes that a read at this process shows."""
        found: dict[str, Any] | None = None

        async def read() -> bool:
            nonlocal found
            found = await self.operator.look(control.control)
            return bool(found)

        await until(read, f"{control.place.name} answers no read")
        assert found is not None
        return {route["name"] for route in found["routes"]}

    async def missing_routes(self) -> dict[str, set[str]]:
        """Acknowledged routes that a control process lacks, by the process's name."""
        acknowledged = set(self.acknowledged_routes)
        return {
            control.place.name: acknowledged - await self.routes_at(control) for control in self.rig.controls
        }

    async def until_edges_apply_last_route(self) -> None:
        """Waits until every edge serves the route that was acknowledged last."""
        route = replace(READ_ONLY, name=self.acknowledged_routes[-1].removeprefix("r-"))
        for edge in self.rig.edges:
            await until(lambda edge=edge: self.forwards(edge, route), f"{edge.place.name} lacks {route.name}")

    async def _first_configuration(self) -> bool:
        return await self.operator.replace(SITE.configuration(1))

    async def _edges_are_ready(self) -> bool:
        await self._ingress.ask()
        return self._ingress.all_in()


async def until(condition: Callable[[], Awaitable[bool]], missing: str) -> None:
    """Waits for a condition."""
    end = time.monotonic() + CONDITION_TIMEOUT_S
    while not await condition():
        assert time.monotonic() < end, missing
        await asyncio.sleep(POLL_S)


async def run_system(folder: Path, play: Callable[[System], Awaitable[None]]) -> None:
    """Plays a scenario; all processes are ended after it."""
    network = Network.claim(random.Random())
    system = System(network, folder)
    try:
        await play(system)
        assert await system.operator.read(CONDITION_TIMEOUT_S) is not None
        await system.rig.stop()
        assert {status for machine in system.rig.machines for status in machine.exits} == {0}
        assert judge(system.records, LIMITS) == []
    finally:
        await system.close()
        network.close()


@pytest.fixture
def old(tmp_path: Path) -> Path:
    """Folder with the source of the old version."""
    folder = tmp_path / "old"
    folder.mkdir()
    return extract_old_version(folder)


@pytest.fixture
def machines(tmp_path: Path) -> Path:
    """Folder of the processes' disks, settings and logs."""
    folder = tmp_path / "machines"
    folder.mkdir()
    return folder


def test_a_rolling_upgrade_under_changes_loses_nothing_that_was_acknowledged(
    old: Path, machines: Path
) -> None:
    async def play(system: System) -> None:
        await system.start(old)
        stopping = asyncio.Event()
        changing = asyncio.create_task(system.change_continuously(stopping))
        for machine in system.rig.machines:
            await system.renew(machine, ROOT)
        await system.renew(system.rig.controls[0], old)  # the way back, beside processes of the new version
        await system.renew(system.rig.edges[0], old)
        stopping.set()
        await changing
        lost = await system.missing_routes()
        assert lost == {control.place.name: set() for control in system.rig.controls}
        await system.until_edges_apply_last_route()

    asyncio.run(run_system(machines, play))


@pytest.mark.parametrize("written_by", ["old", "new"])
def test_data_folders_of_one_version_are_read_by_the_other(
    old: Path, machines: Path, written_by: str
) -> None:
    writer, reader = (old, ROOT) if written_by == "old" else (ROOT, old)

    async def play(system: System) -> None:
        await system.start(writer)
        for _ in range(5):
            await system.add_route()
        await system.rig.stop()
        for machine in system.rig.machines:
            machine.source = reader
        await asyncio.gather(*(system.rig.restart(machine) for machine in system.rig.machines))
        await system.until_all_serve()
        lost = await system.missing_routes()
        assert lost == {control.place.name: set() for control in system.rig.controls}
        await system.until_edges_apply_last_route()

    asyncio.run(run_system(machines, play))

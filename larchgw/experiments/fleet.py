"""`larchgw lab fleet`: what control costs, with real control processes and hollow dispatchers and runners.

All processes are on loopback addresses of this machine, in real time. A row is a fleet of one size: all start
at once, an ordinary stretch is measured, then all control processes are killed and everything starts anew.
Hollow dispatchers share one process, so times are longer than with a machine for each, the more so where this
machine is busy: `arrived` is when the configuration's bytes are there, `in force` when it is read.
"""

from __future__ import annotations

import asyncio
import json
import random
import tempfile
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from multiprocessing import get_context
from multiprocessing.connection import Connection
from pathlib import Path
from statistics import median

from ..distribution.keys import CONFIGURATION_KEY
from ..emulator.system.network import Network
from .fleet_control import ControlProcesses
from .fleet_dispatchers import Bytes, HollowDispatcher
from .fleet_runners import play
from .fleet_size import FleetSize, configuration
from .results import Options, Result

# Dispatchers and runners: what one more of either costs is taken from the differences.
SIZES = ((30, 400), (60, 400), (120, 400), (30, 1200))
CONTROL = 3  # control processes: few, as all processes share this machine
FIRST_HOST, HOSTS = 50, 200  # numbers of machines in the network
GOSSIP_OFFSET, RUNNER_OFFSET = 10, 14  # of ports; both go on as many ports as hosts do not suffice for
RPC_OFFSET, CONTROL_GOSSIP_OFFSET = 8, 9
SETTLE_S = 25.0  # after a start, before anything is measured: membership settles, and requests run
LONGEST_START_S = 120.0
LOOK_S = 0.02
CHANGES = 3  # of the configuration in a measured stretch


@dataclass(slots=True)
class Took:
    """Seconds from a change to its arrival and to its being in force, by dispatcher."""

    arrived: list[float] = field(default_factory=list)
    in_force: list[float] = field(default_factory=list)


class Fleet:
    """One fleet."""

    def __init__(self, size: FleetSize, seed: int, network: Network, folder: Path) -> None:
        self.size, self._seed, self._network = size, seed, network
        self.control = ControlProcesses(network, folder, size.control)
        self.dispatchers: list[HollowDispatcher] = []
        self.version = 0
        self.took = Took()
        self._sent_at = 0.0
        self._pipe: Connection | None = None

    async def start(self, first_boot: bool) -> float:
        """Starts all at once; the seconds until every dispatcher knows everything."""
        began = time.monotonic()
        await self.control.start(first_boot)
        if self._pipe is None:
            self._start_runners()
        await self._start_dispatchers()
        if first_boot:
            await self.configure()
        await self._until_known(began)
        return time.monotonic() - began

    async def restart(self) -> float:
        """Kills everything but the runners, and starts it again."""
        await self.control.kill()
        for dispatcher in self.dispatchers:
            dispatcher.stop()
        return await self.start(first_boot=False)

    async def close(self) -> None:
        """Ends all that runs."""
        for dispatcher in self.dispatchers:
            dispatcher.stop()
        if self._pipe is not None:
            self._pipe.send(None)
        await self.control.kill()

    async def configure(self) -> float:
        """Brings the next configuration; the seconds until it was acknowledged."""
        self.version += 1
        body = json.dumps(configuration(self.size, self.version)).encode()
        self._sent_at = time.monotonic()
        return await self.control.replace(body, self.version - 1)

    def runners_told(self) -> tuple[int, int, int]:
        """Check-ins that were acknowledged, that were not, and orders, until now."""
        if self._pipe is None:
            return 0, 0, 0
        self._pipe.send("count")
        counts: tuple[int, int, int] = self._pipe.recv()
        return counts

    async def until_in_force(self) -> None:
        """Waits until the newest configuration is in force at every dispatcher. Raises TimeoutError."""
        async with asyncio.timeout(LONGEST_START_S):
            while not self._all_current():
                await asyncio.sleep(LOOK_S)

    def _all_current(self) -> bool:
        versions = {
            one.configuration.config_version if one.configuration is not None else 0
            for one in self.dispatchers
            if one.reads
        }
        return versions == {self.version} and len({one.record for one in self.dispatchers}) == 1

    async def _until_known(self, began: float) -> None:
        while not (
            self._all_current() and all(len(one.view) == self.size.runners for one in self.dispatchers)
        ):
            if time.monotonic() - began > LONGEST_START_S:
                least = min(len(one.view) for one in self.dispatchers)
                raise TimeoutError(f"a dispatcher knows {least} runners after {LONGEST_START_S:.0f} s")
            await asyncio.sleep(LOOK_S)

    def _start_runners(self) -> None:
        addresses = self._addresses(self.size.runners, RUNNER_OFFSET)
        context = get_context("spawn")  # a fork of a program with threads may hang
        self._pipe, other = context.Pipe()
        context.Process(
            target=play, daemon=True, args=(addresses, self.size, self.control.addresses, self._seed, other)
        ).start()

    async def _start_dispatchers(self) -> None:
        hosts = [machine.ip for machine in self.control.machines[:3]]
        seeds = [f"{host}:{self._network.port(RPC_OFFSET)}" for host in hosts]
        gossip = [f"{host}:{self._network.port(CONTROL_GOSSIP_OFFSET)}" for host in hosts]
        self.dispatchers = []
        for number, address in enumerate(self._addresses(self.size.dispatchers, GOSSIP_OFFSET)):
            dispatcher = HollowDispatcher(number, address, seeds, self.size, self._in_force)
            dispatcher.registry.watch(CONFIGURATION_KEY, lambda entry: self._arrived())
            self.dispatchers.append(dispatcher)
            await dispatcher.start(gossip)

    def _addresses(self, number: int, offset: int) -> list[str]:
        return [
            self._network.address(FIRST_HOST + index % HOSTS, offset + index // HOSTS)
            for index in range(number)
        ]

    def _arrived(self) -> None:
        self.took.arrived.append(time.monotonic() - self._sent_at)

    def _in_force(self, number: int, version: int) -> None:
        if version == self.version:
            self.took.in_force.append(time.monotonic() - self._sent_at)


@dataclass(slots=True)
class Stretch:
    """What a measured stretch cost."""

    seconds: float
    control_ms: list[float]  # processor time a second, by control process
    resident_mb: list[float]  # by control process
    dispatcher_ms: float  # processor time a second of one dispatcher, but for configurations
    parse_ms: float  # processor time of one configuration at a dispatcher
    rates: Bytes  # bytes a second of one dispatcher
    most: float  # bytes a second of the dispatcher that has most of them
    checkins: float  # acknowledged a second
    failed: int
    orders: int


async def ordinary(fleet: Fleet, seconds: float) -> Stretch:
    """Measures a stretch with some changes of the configuration."""
    before, told, traffic = fleet.control.usage(), fleet.runners_told(), _traffic(fleet)
    parsed = sum(one.parse_s for one in fleet.dispatchers)
    processor, began = time.process_time(), time.monotonic()
    for _ in range(CHANGES):
        await asyncio.sleep(seconds / CHANGES)
        await fleet.configure()
        await fleet.until_in_force()
    took = time.monotonic() - began
    parsed = sum(one.parse_s for one in fleet.dispatchers) - parsed
    processor = time.process_time() - processor - parsed
    after, told_after, traffic_after = fleet.control.usage(), fleet.runners_told(), _traffic(fleet)
    number = len(fleet.dispatchers)
    spent = [_minus(now, then) for now, then in zip(traffic_after, traffic, strict=True)]
    return Stretch(
        took,
        [1000.0 * (now.cpu_s - then.cpu_s) / took for now, then in zip(after, before, strict=True)],
        [usage.resident_mb for usage in after],
        1000.0 * processor / number / took,
        1000.0 * parsed / sum(one.reads for one in fleet.dispatchers) / CHANGES,
        Bytes(
            *(sum(getattr(one, name) for one in spent) / number / took for name in Bytes.__dataclass_fields__)
        ),
        max(one.total for one in spent) / took,
        (told_after[0] - told[0]) / took,
        told_after[1] - told[1],
        told_after[2] - told[2],
    )


def _traffic(fleet: Fleet) -> list[Bytes]:
    return [dispatcher.bytes() for dispatcher in fleet.dispatchers]


def _minus(now: Bytes, then: Bytes) -> Bytes:
    return Bytes(*(getattr(now, name) - getattr(then, name) for name in Bytes.__dataclass_fields__))


async def play_size(size: FleetSize, seed: int, seconds: float) -> dict[str, object]:
    """One fleet from its start to its end."""
    network = Network.claim(random.Random())  # not the seed's: two fleets may run beside each other
    with tempfile.TemporaryDirectory(prefix="larchgw-fleet-") as folder:
        fleet = Fleet(size, seed, network, Path(folder))
        try:
            started = await fleet.start(first_boot=True)
            await asyncio.sleep(SETTLE_S)
            fleet.took = Took()
            stretch = await ordinary(fleet, seconds)
            placer, took, fleet.took = fleet.control.placer(), fleet.took, Took()
            members = min(one.swim.count("edge") for one in fleet.dispatchers)
            restarted = await fleet.restart()
            peaks = [usage.peak_mb for usage in fleet.control.usage()]
        finally:
            await fleet.close()
            network.close()
    others = [ms for index, ms in enumerate(stretch.control_ms) if index != placer]
    return {
        "dispatchers": size.dispatchers,
        "control": size.control,
        "runners": size.runners,
        "start s": started,
        "restart s": restarted,
        "members": members,
        "check-ins/s": stretch.checkins,
        "failed": stretch.failed,
        "orders": stretch.orders,
        "placer ms/s": stretch.control_ms[placer],
        "control ms/s": median(others),
        "control MB": max(stretch.resident_mb),
        "peak MB": max(peaks),
        "dispatcher ms/s": stretch.dispatcher_ms,
        "parse ms": stretch.parse_ms,
        "swim B/s out": stretch.rates.swim_sent,
        "swim B/s in": stretch.rates.swim_received,
        "rpc B/s out": stretch.rates.rpc_sent,
        "rpc B/s in": stretch.rates.rpc_received,
        "most B/s": stretch.most,
        **_quantiles("arrived", took.arrived),
        **_quantiles("in force", took.in_force),
    }


def _quantiles(name: str, values: Sequence[float]) -> dict[str, object]:
    known = sorted(values)
    if not known:
        return {}
    return {
        f"{name} p50 s": median(known),
        f"{name} p99 s": known[int(0.99 * (len(known) - 1))],
        f"{name} most s": known[-1],
    }


def experiment(options: Options, sizes: Sequence[tuple[int, int]] = SIZES) -> Result:
    """A row for each size; `options.seconds` is the length of a measured stretch."""
    result = Result("fleet")
    for dispatchers, runners in sizes:
        size = FleetSize(dispatchers=dispatchers, control=CONTROL, runners=runners)
        row = asyncio.run(play_size(size, options.seed, options.seconds))
        result.rows.append(row)
        result.figures |= {
            f"{name.replace(' ', '_')}_{dispatchers}_{runners}": value
            for name, value in row.items()
            if isinstance(value, float)
        }
    return result

"""All emulated runners of a trial, with their check-ins, and what happens to runners during a day."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from ...configuration.settings import TimeLimits
from ..modelrunner import WeightStore
from ..sockets import RealTime
from .checkins import Checkins
from .engine_runner import EngineRunner
from .network import RUNNER_OFFSET, Network
from .plain_runner import PlainRunner
from .records import Records
from .rig import BEAT_MS
from .runner import Described, Mischief, Runner
from .site import ENGINE_SLOTS, ENGINES, LOADS_AT_FULL_SPEED, PLAIN_SLOTS, ZONE_NAMES, Site

FIRST_RUNNER = 100  # number of a machine in the network
SERVE_ON_S = 0.3  # beyond the time in which requests may still come to a draining runner
LONGEST_DRAIN_S = 8.0  # that a draining runner waits for its running requests
LOOK_S = 0.05


class Runners:
    """Starts, disturbs and ends runners."""

    def __init__(
        self,
        site: Site,
        network: Network,
        time: RealTime,
        records: Records,
        limits: TimeLimits,
        controls: Callable[[], list[str]],
        rng: random.Random,
    ) -> None:
        self._time, self._limits, self._random = time, limits, rng
        store = WeightStore(LOADS_AT_FULL_SPEED)
        self.all: list[Runner] = []
        for number, service in enumerate(site.services()):
            described = Described(
                service,
                network.address(FIRST_RUNNER + number, RUNNER_OFFSET),
                ZONE_NAMES[number % len(ZONE_NAMES)],
                ENGINE_SLOTS if service == ENGINES else PLAIN_SLOTS,
            )
            self.all.append(self._make(site, described, records, store))
        engines = [runner for runner in self.all if isinstance(runner, EngineRunner)]
        for runner, held in zip(engines, site.initially_held(len(engines)), strict=True):
            runner.preload(held)
        beat_s = BEAT_MS / 1000.0
        self.checkins = {id(runner): Checkins(runner, controls, beat_s, rng) for runner in self.all}
        self._locks = {id(runner): asyncio.Lock() for runner in self.all}  # one trouble at a time for each
        self._tasks: set[asyncio.Task[None]] = set()

    def _make(self, site: Site, described: Described, records: Records, store: WeightStore) -> Runner:
        if described.service == ENGINES:
            return EngineRunner(
                described, self._time, records, self._random, site.catalogue(), store, site.memory_mb()
            )
        return PlainRunner(described, self._time, records, self._random)

    def start(self) -> None:
        """Starts them all. Raises OSError if an address is taken."""
        for runner in self.all:
            self._begin(runner)

    def close(self) -> None:
        """Ends them all."""
        for task in self._tasks:
            task.cancel()
        for runner in self.all:
            runner.end()
            self.checkins[id(runner)].close()

    def of(self, service: str) -> list[Runner]:
        """The runners of a service."""
        return [runner for runner in self.all if runner.described.service == service]

    def all_acknowledged(self) -> bool:
        """Whether every runner is known to some control process."""
        return all(checkins.acknowledged for checkins in self.checkins.values())

    # Troubles

    async def release(self, runner: Runner) -> None:
        """Drains, leaves, ends, and starts anew."""
        async with self._locks[id(runner)]:
            await self._release(runner)

    async def _release(self, runner: Runner) -> None:
        checkins = self.checkins[id(runner)]
        for _ in range(int(self._limits.grace_period_s)):
            if await checkins.drain():
                break
        await asyncio.sleep(self._limits.drain_end_ms / 1000.0 + SERVE_ON_S)
        end = self._time.now() + LONGEST_DRAIN_S
        while self._time.now() < end and any(runner.load()[:2]):
            await asyncio.sleep(LOOK_S)
        await checkins.leave()
        runner.end()
        await asyncio.sleep(self._limits.reuse_after_s)
        self._begin(runner)

    async def leave_early(self, runner: Runner, serves_on_s: float) -> None:
        """Leaves without having said that it drains, serves on for that time, ends, and starts anew."""
        async with self._locks[id(runner)]:
            await self.checkins[id(runner)].leave()
            await asyncio.sleep(serves_on_s)
            runner.end()
            await asyncio.sleep(self._limits.reuse_after_s)
            self._begin(runner)

    async def crash(self, runner: Runner, for_s: float) -> None:
        """Ends without a word, and starts anew after that time."""
        async with self._locks[id(runner)]:
            runner.crash()
            await asyncio.sleep(for_s)
            self._begin(runner)

    async def darken(self, runner: Runner, for_s: float) -> None:
        """Falls silent without its connections breaking, and starts anew after that time."""
        async with self._locks[id(runner)]:
            runner.go_dark()
            await asyncio.sleep(for_s)
            runner.end()
            self._begin(runner)

    async def swap_addresses(self, first: Runner, second: Runner) -> None:
        """Both end without a word, and each starts anew at the address of the other."""
        one, other = first.described, second.described
        # In one order everywhere, so that two swaps can't wait for each other.
        earlier, later = sorted((id(first), id(second)))
        async with self._locks[earlier], self._locks[later]:
            for runner in (first, second):
                runner.crash()
            await asyncio.sleep(self._limits.reuse_after_s)
            one.address, other.address = other.address, one.address
            first.incarnation = second.incarnation = max(first.incarnation, second.incarnation)
            for runner in (first, second):
                self._begin(runner)

    def misbehave(self, runner: Runner) -> Mischief:
        """Spoils one of its next answers."""
        kinds = [one for one in Mischief if one is not Mischief.EARLY or isinstance(runner, PlainRunner)]
        wrong = self._random.choice(kinds)
        runner.mischief.append(wrong)
        return wrong

    def _begin(self, runner: Runner) -> None:
        runner.begin()
        task = asyncio.get_running_loop().create_task(self.checkins[id(runner)].run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

"""One trial of the whole system: its processes on loopback, emulated surroundings, the judge's verdict."""

from __future__ import annotations

import asyncio
import random
import tempfile
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

from ...configuration.settings import TimeLimits
from ..sockets import RealTime
from .breach import Breach
from .clients import ClassResult, Clients, draw
from .ingress import Ingress
from .judge import judge
from .judge_configuration import services_of
from .network import Network
from .operator import Operator
from .plays import Lengths, PlayError, Plays
from .records import Records
from .rig import ROOT, Rig
from .runners import Runners
from .script import Script
from .site import LOADS_PER_S, Site
from .soak import CLIENT_REPEATS, IMPATIENT_CLIENTS, Soak

REJECTIONS = (421, 503)  # by runners
START_S = 60.0  # that the system may take to be ready, on a busy machine
LOOK_S = 0.1
LAG_CHECK_S = 0.05
LONGEST_PLAY_S = 600.0  # that requests come during a named fault
LIMITS = TimeLimits(fenced=True, grace_period_s=6.0)


class TrialError(Exception):
    """The system did not get as far as serving; the message says what is missing and where the logs are."""


@dataclass(frozen=True, slots=True)
class SystemSpec:
    """What a trial is to be."""

    seconds: float = 20.0  # during which requests come
    seed: int = 1
    site: Site = field(default_factory=Site)
    faults: bool = False
    soak: tuple[str, ...] = ()  # parts of a soak, played instead of the script
    fault: str | None = None  # one of `plays.FAULTS`; requests come until it has been played
    lengths: Lengths = Lengths()
    folder: Path | None = None  # where settings, disks and logs are kept; a passing one if left out
    programs: Path = ROOT  # checkout whose programs the processes run


@dataclass(slots=True)
class SystemOutcome:
    """What came of it."""

    results: dict[str, ClassResult]
    broken: list[Breach]
    events: list[str]
    statuses: list[int]  # exit statuses after SIGTERM
    records: Records

    def total(self, name: str) -> int:
        """One figure of ClassResult over all classes."""
        return sum(int(getattr(result, name)) for result in self.results.values())

    def rows(self) -> list[dict[str, object]]:
        """One row a class; latencies in seconds."""
        return [
            {
                "class": name,
                "asked": one.asked,
                "served": one.served,
                "in time": one.in_time,
                "refused": one.refused,
                "failed": one.failed,
                "tries": one.tries,
                "p50": one.latency.quantile(0.5),
                "p90": one.latency.quantile(0.9),
                "p99": one.latency.quantile(0.99),
                "most": one.latency.most,
            }
            for name, one in sorted(self.results.items())
        ]

    def figures(self) -> dict[str, int]:
        """The figures of the last line."""
        names = ("asked", "served", "in_time", "refused", "failed")
        return {name: self.total(name) for name in names} | {
            "loads": len(self.records.loads),
            "orders": len(self.records.orders),
            "exits": sum(status != 0 for status in self.statuses),
            "arrivals": len(self.records.arrivals),
            "rejected": sum(arrival.status in REJECTIONS for arrival in self.records.arrivals),
            "lag_ms": round(1000.0 * self.records.longest_lag_s),
            "repeated": self.records.repeated_answers,
            "repeated_requests": self.records.repeated_requests,
            "broken": len(self.broken),
            **Counter(f"rule_{breach.rule.lower()}" for breach in self.broken),
        }


async def run(spec: SystemSpec) -> SystemOutcome:
    """Plays one trial. Raises TrialError, and NoFreeNetwork where there are no addresses for it."""
    if spec.folder is not None:
        spec.folder.mkdir(parents=True, exist_ok=True)
        if any(spec.folder.iterdir()):
            raise TrialError(f"{spec.folder} is not empty; name a new folder")
        return await _in_folder(spec, spec.folder)
    with tempfile.TemporaryDirectory(prefix="larchgw-system-") as folder:
        return await _in_folder(spec, Path(folder))


async def _in_folder(spec: SystemSpec, folder: Path) -> SystemOutcome:
    network = Network.claim(random.Random())  # not the seed's: two trials may run beside each other
    try:
        trial = _Trial(spec, network, folder)
        try:
            return await trial.play()
        finally:
            await trial.close()
    finally:
        network.close()


class _Trial:
    def __init__(self, spec: SystemSpec, network: Network, folder: Path) -> None:
        self._spec = spec
        self._time, self._records = RealTime(), Records(loads_per_s=LOADS_PER_S)
        now, site = self._time.now, spec.site
        self._rig = Rig(
            network,
            folder,
            self._records,
            LIMITS,
            now,
            site.controls,
            site.edges,
            linked=spec.fault is not None,
            source=spec.programs,
        )
        controls = self._rig.control_addresses
        self._runners = Runners(
            site, network, self._time, self._records, LIMITS, controls, self._dice("runners")
        )
        self._operator = Operator(controls, self._records, now, self._dice("operator"))
        self._ingress = Ingress(self._rig.edges, self._dice("ingress"))
        self._clients = Clients(
            self._ingress,
            self._records,
            now,
            self._dice("clients"),
            self._services,
            stays=bool(spec.soak),
            repeats=CLIENT_REPEATS in spec.soak,
            impatient=IMPATIENT_CLIENTS in spec.soak,
        )
        self._background: list[asyncio.Task[None]] = []

    def _dice(self, part: str) -> random.Random:
        """Random choices of one part: how often another part draws does not change them."""
        return random.Random(f"{self._spec.seed}/{part}")

    async def play(self) -> SystemOutcome:
        """The whole day. Raises TrialError."""
        await self._start()
        spec = self._spec
        if spec.fault is not None:
            return await self._play_fault(spec.fault)
        intents = draw(spec.site, spec.seconds, self._dice("requests"), self._popularity)
        script = self._script()
        playing = asyncio.create_task(script.run()) if spec.faults or spec.soak else None
        await self._clients.play(intents, self._time.now())
        script.stop()
        if playing is not None:
            await playing
            await script.final()
        return await self._end(script.events)

    def _script(self) -> Script:
        spec, now = self._spec, self._time.now
        if spec.soak:
            return Soak(self._rig, self._runners, self._operator, LIMITS, self._dice, now, spec.soak)
        return Script(self._rig, self._runners, self._operator, LIMITS, self._dice, now)

    async def _play_fault(self, name: str) -> SystemOutcome:
        """One named fault, with requests from its begin to its end."""
        intents = draw(self._spec.site, LONGEST_PLAY_S, self._dice("requests"), self._popularity)
        clients = asyncio.create_task(self._clients.play(intents, self._time.now()))
        plays = Plays(
            self._rig,
            self._runners,
            self._clients,
            self._records,
            self._spec.lengths,
            self._dice,
            self._time.now,
        )
        try:
            await plays.run(name)
        except PlayError as error:
            raise TrialError(f"{error}; {self._look_at_logs()}") from error
        finally:
            self._clients.stop()
            plays.close()
            await clients
        return await self._end(plays.events)

    async def _end(self, events: list[str]) -> SystemOutcome:
        """Reads the configuration back, ends all processes and judges."""
        await self._until(self._settled, "not all processes are back after the last trouble")
        await self._operator.read(START_S)
        statuses = await self._rig.stop()
        return SystemOutcome(
            dict(self._clients.results), judge(self._records, LIMITS), events, statuses, self._records
        )

    async def close(self) -> None:
        """Ends all that may still run."""
        for task in self._background:
            task.cancel()
        self._clients.close()
        self._ingress.close()
        self._operator.close()
        self._runners.close()
        await self._rig.abandon()

    async def _start(self) -> None:
        await self._rig.start()
        self._runners.start()
        taken = False
        end = self._time.now() + START_S
        while not taken and self._time.now() < end:
            taken = await self._operator.replace(self._spec.site.configuration(1))
        if not taken:
            raise TrialError(f"no configuration was taken within {START_S:.0f} s; {self._look_at_logs()}")
        await self._until(self._known, "runners' check-ins are not acknowledged")
        await self._until(self._settled, "the processes do not become ready")
        self._background = [
            asyncio.create_task(self._ingress.run()),
            asyncio.create_task(self._measure_lag()),
        ]

    async def _measure_lag(self) -> None:
        """Records how late this process's event loop runs."""
        while True:
            due = self._time.now() + LAG_CHECK_S
            await asyncio.sleep(LAG_CHECK_S)
            lag_s = self._time.now() - due
            self._records.longest_lag_s = max(self._records.longest_lag_s, lag_s)

    async def _known(self) -> bool:
        """Whether every runner's check-in was taken."""
        return self._runners.all_acknowledged()

    async def _settled(self) -> bool:
        """Whether every process serves: before that, a SIGTERM would find one that is still starting."""
        await self._ingress.ask()
        return self._ingress.all_in() and await self._rig.all_listen()

    async def _until(self, condition: Callable[[], Awaitable[bool]], missing: str) -> None:
        end = self._time.now() + START_S
        while not await condition():
            if self._time.now() > end:
                raise TrialError(f"{missing} within {START_S:.0f} s; {self._look_at_logs()}")
            await asyncio.sleep(LOOK_S)

    def _look_at_logs(self) -> str:
        last = [
            line
            for machine in self._rig.machines
            if machine.log.exists()
            for line in machine.log.read_text(errors="replace").splitlines()[-2:]
        ]
        return "last log lines: " + " | ".join(last)

    def _services(self, host: str, target: str) -> tuple[str, ...]:
        return tuple(services_of(self._operator.current, host, target))

    def _popularity(self, due: float) -> list[str]:
        """The models, most wanted first; with faults, others are wanted in the second half."""
        names = self._spec.site.model_names()
        if not self._spec.faults or due < self._spec.seconds / 2:
            return names
        half = len(names) // 2
        return names[half:] + names[:half]

"""`larchgw lab distribution`: what it costs to bring the registry to a large deployment's dispatchers.

Bytes are those of the messages, without TCP and IP. Processor time is that of encoding, decoding, merging and
indexing at a dispatcher; what the event loop and sockets add is not in it.
"""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from statistics import median

from ..distribution.keys import CONFIGURATION_KEY, RUNNER_PREFIX
from ..emulator.virtual_loop import run
from ..identifiers import RunnerId
from .distribution_model import BEAT_S, ControlProcess, Deployment, Size
from .results import Options, Result, spread_out

DAY_S, HOUR_S = 86400.0, 3600.0
START_S = 5.0  # of a run, given to the start of all at once
FAULT_S = 10.0  # at the end of a run, after a control process is lost


@dataclass(slots=True)
class Changes:
    """Makes the changes of a run at even paces, and notes when."""

    deployment: Deployment
    made: dict[tuple[str, int], tuple[str, float]] = field(default_factory=dict)  # key, major -> kind, when
    version: int = 0

    async def beats(self) -> None:
        """Each runner checks in with its control process once a beat."""
        loop = asyncio.get_running_loop()
        while True:
            began = loop.time()
            for number in range(len(self.deployment.runners)):
                self.check_in(number)
            for one in self.deployment.control:
                one.directory.tick(loop.time())
            await asyncio.sleep(began + BEAT_S - loop.time())

    def check_in(self, number: int) -> None:
        deployment = self.deployment
        record = deployment.runners[number]
        later = replace(record, call_count=record.call_count + 1)
        deployment.runners[number] = later
        self._process(number).directory.check_in(later)

    def _process(self, number: int) -> ControlProcess:
        """Where the runner beats: at its own control process, or at another one while that is down."""
        home = self.deployment.control[number % len(self.deployment.control)]
        up = [one for one in self.deployment.control if not one.down]
        return up[number % len(up)] if home.down else home

    def begin(self) -> list[asyncio.Task[None]]:
        """Changes come from now on, each kind at its pace."""
        size = self.deployment.size
        paces = (
            (DAY_S / size.configurations_a_day, self.configure),
            (HOUR_S / size.loads_an_hour, self.load),
            (DAY_S / size.restarts_a_day, self.restart),
        )
        return [asyncio.ensure_future(self.pace(every, change)) for every, change in paces]

    async def pace(self, every_s: float, change: Callable[[], None]) -> None:
        await asyncio.sleep(every_s / 2.0)
        while True:
            change()
            await asyncio.sleep(every_s)

    def configure(self) -> None:
        """A new configuration, committed at the first control process."""
        self.version += 1
        value = json.dumps(
            {"config_version": self.version, "routes": "r" * self.deployment.size.configuration_bytes}
        ).encode()
        self.deployment.control[0].registry.put(CONFIGURATION_KEY, value, self.version)
        self._note("configuration", CONFIGURATION_KEY, self.version)

    def load(self) -> None:
        """A runner holds another model."""
        number = self.deployment.dice.randrange(len(self.deployment.runners))
        record = self.deployment.runners[number]
        models = (*record.models[1:], self.deployment.model())
        self.deployment.runners[number] = replace(record, models=models)
        self.check_in(number)
        self._note("load", RUNNER_PREFIX + record.id, record.call_count + 1)

    def restart(self) -> None:
        """A runner leaves, and its next life comes up empty."""
        number = self.deployment.dice.randrange(len(self.deployment.runners))
        record = self.deployment.runners[number]
        self._process(number).directory.leave(record.id)
        gone = self._process(number).registry.get(RUNNER_PREFIX + record.id)
        assert gone is not None
        self._note("leave", gone.key, gone.major)
        self.deployment.runners[number] = replace(
            record, id=RunnerId(record.id + "n"), call_count=0, models=()
        )
        self.check_in(number)

    def _note(self, kind: str, key: str, major: int) -> None:
        self.made[key, major] = kind, asyncio.get_running_loop().time()

    def delays(self, kind: str) -> list[float]:
        """From each change to its arrival at each dispatcher, in ms."""
        return [
            1000.0 * (arrived - at)
            for name, (of, at) in self.made.items()
            if of == kind
            for arrived in self.deployment.arrivals.get(name, [])
        ]


@dataclass(frozen=True, slots=True)
class Phase:
    """What a phase of a run cost a dispatcher: medians over those with a view of runners, by second."""

    name: str
    seconds: float
    pulls: float
    sent: float
    received: float
    cpu_ms: float
    run_cpu_ms: float  # of all processes together, by dispatcher

    def row(self) -> dict[str, object]:
        return {
            "phase": self.name,
            "seconds": round(self.seconds),
            "pulls/s": self.pulls,
            "bytes/s out": round(self.sent),
            "bytes/s in": round(self.received),
            "CPU ms/s": self.cpu_ms,
            "run's CPU ms/s": self.run_cpu_ms,
        }


@dataclass(frozen=True, slots=True)
class Played:
    """One run."""

    phases: list[Phase]
    figures: dict[str, float]


async def observe(name: str, deployment: Deployment, seconds: float) -> Phase:
    """Lets time pass, and tells what it cost."""
    meters, indexed = deployment.meters, deployment.size.indexed
    before, processor = [replace(meter) for meter in meters], time.process_time()
    await asyncio.sleep(seconds)
    processor = time.process_time() - processor
    spent = [now.minus(then) for now, then in zip(meters, before, strict=True)][:indexed]

    def by_second(values: Iterable[float]) -> float:
        return median(values) / seconds

    return Phase(
        name,
        seconds,
        by_second(one.calls for one in spent),
        by_second(one.sent for one in spent),
        by_second(one.received for one in spent),
        1000.0 * by_second(one.seconds for one in spent),
        1000.0 * processor / len(meters) / seconds,
    )


async def play_phases(size: Size, seed: int, seconds: float) -> Played:
    """A start of all at once, `seconds` of an ordinary day, and the loss of a control process."""
    deployment = Deployment(size, seed, random.Random(seed))
    deployment.start()
    changes = Changes(deployment)
    changes.configure()
    tasks = [*deployment.tasks, asyncio.ensure_future(changes.beats())]
    phases = [await observe("start", deployment, START_S)]
    missing = sum(len(registry) < size.runners + 1 for registry in deployment.registries)
    changes.made.clear()
    tasks += changes.begin()
    phases.append(await observe("ordinary day", deployment, seconds))
    deployment.control[-1].down = True
    phases.append(await observe("a control process lost", deployment, FAULT_S))
    heard = min(puller.last_heard_at or 0.0 for puller in deployment.pullers)
    stale = asyncio.get_running_loop().time() - heard
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return Played(phases, figures_of(phases[1], changes) | {"missing": float(missing), "stale_s": stale})


def figures_of(day: Phase, changes: Changes) -> dict[str, float]:
    """Of an ordinary day; delays are from a change to its being in force at a dispatcher."""
    figures = {"sent_bytes_s": day.sent, "received_bytes_s": day.received, "cpu_ms_s": day.cpu_ms}
    for kind in ("configuration", "load", "leave"):
        delays = changes.delays(kind)
        if delays:
            figures |= {f"{kind}_ms": median(delays), f"{kind}_max_ms": max(delays)}
    return figures


def play(work: tuple[Size, int, float]) -> Played:
    """One run, in virtual time."""
    return run(play_phases(*work))


def experiment(options: Options, size: Size | None = None) -> Result:
    """A run for each seed; the last line has the medians over the seeds."""
    size = size or Size()
    seeds = range(options.seed, options.seed + options.seeds)
    played = spread_out(play, [(size, seed, options.seconds) for seed in seeds], options.jobs)
    result = Result("distribution")
    for seed, one in zip(seeds, played, strict=True):
        result.rows += [{"seed": seed} | phase.row() for phase in one.phases]
    for name in played[0].figures:
        result.figures[name] = median(one.figures[name] for one in played if name in one.figures)
    result.notes.append(
        f"{size.dispatchers} dispatchers, {size.control} control processes, {size.runners} runners,"
        f" {size.adapters} adapters, {size.configuration_bytes} bytes of configuration"
    )
    result.notes.append("by dispatcher: medians; the run's CPU is that of all processes together")
    return result

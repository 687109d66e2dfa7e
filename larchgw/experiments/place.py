"""`larchgw lab place`: requests served in time by the placer, by loads on request, and by no loads at all.

Deployments are drawn: 30 to 800 models of which a few are busy and change, runners for a part of them, a
store's rate, and
the loss of a runner. Time is virtual.
"""

from __future__ import annotations

import math
import random
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any, Protocol

from ..configuration.model import Model
from ..emulator.modelrunner import Capacity, ModelRunner
from ..emulator.placing import SERVICE, Deployment, Stream, World
from ..placement.model import Order, OrderAction, OrderOutcome, PlacementSettings, RunnerReport
from ..placement.orders import outcome_of
from ..placement.service import PlacementService
from ..placement.service_runtime import PlacementRuntime
from ..rpc.generated.ttypes import DemandReport
from ..runner_directory.runner_record import RunnerRecord
from .results import Options, Result, spread, spread_out

WAYS = ("placer", "lru", "static")
WINDOW_S, CAP = 5.0, 1.1
LATE_WORTH = 0.4  # of a request that is served after its aim
LOAD_PRICE, ORDER_PRICE, PROBE_PRICE = 0.36, 0.036, 0.0049  # as the deployments price them


# ---- Deployments ----


def draw(seed: int, seconds: float) -> Deployment:
    """A deployment of some size, with loads that take 0.6 to 3 s."""
    rng = random.Random(seed * 7919)
    count = round(math.exp(rng.uniform(math.log(30), math.log(800))))
    load_s = rng.choice([0.6, 1.2, 3.0])
    resident = 3
    runners = max(round(count / resident * rng.uniform(0.4, 0.8)), 4)
    busy = max(count // 15, 2)
    names = [f"m{n}" for n in range(count)]
    models = tuple(
        Model(
            name, rng.choice([65_100.0, 72_700.0]), load_s, rng.choice([0, 12, 32]) if n < busy else 0, 66.0
        )
        for n, name in enumerate(names)
    )
    streams = _streams(rng, names, busy, runners, load_s, seconds)
    return Deployment(
        models,
        streams,
        runners,
        rng.choice([3, 4]),
        Capacity(230_000.0),
        loads_per_s=0.4 * runners,
        at_once=max(round(0.4 * runners * load_s), 3),
        seconds=seconds,
        losses=((0.6 * seconds, rng.randrange(runners), 4.0),),
    )


def _streams(
    rng: random.Random, names: list[str], busy: int, runners: int, load_s: float, seconds: float
) -> tuple[Stream, ...]:
    """Busy models, few at a time and others after each shift, and rare ones."""
    rare = names[2 * busy :]
    shifts = [0.0, 0.35 * seconds, 0.7 * seconds, seconds]
    now = max(busy // 2, 1)
    streams = [
        Stream(
            tuple(rare),
            tuple((n + 1.0) ** -0.4 for n in range(len(rare))),
            0.04 * len(rare),
            3.0,
            load_s + rng.choice([0.9, 2.0]),
            8.0,
        )
    ]
    for begin, end in zip(shifts, shifts[1:], strict=False):
        chosen = tuple(rng.sample(names[: 2 * busy], now))
        weights = tuple((n + 1.0) ** -0.8 for n in range(now))
        streams.append(Stream(chosen, weights, 2.5 * runners, 1.5, 0.6, 5.0, 0.3, begin, end))
    return tuple(streams)


# ---- Placers ----


class Calls:
    """Orders and reports, answered at once in virtual time."""

    def __init__(self, world: World) -> None:
        self._world = world

    async def order(self, order: Order, fence: int, begin_by_s: float) -> OrderOutcome:
        """As the runner's status says."""
        self._world.orders += 1
        runner = self._world.find(order.runner_id, order.address)
        if runner is None:
            return OrderOutcome.UNKNOWN
        return outcome_of(
            runner.order(
                self._world.now,
                order.runner_id,
                order.action,
                order.model,
                order.adapter,
                order.if_revision,
                fence,
            )
        )

    async def report(self, runner: str, address: str) -> RunnerReport | None:
        """As of some hundred milliseconds ago."""
        self._world.probes += 1
        known = self._world.find(runner, address)
        if known is None or known.id != runner:
            return None
        seen = known.report(self._world.now)
        return RunnerReport(seen.models, seen.occupied, seen.call_count)


def run_at_once(call: Coroutine[Any, Any, None]) -> None:
    """Runs a call that waits for nothing."""
    try:
        call.send(None)
    except StopIteration:
        return
    raise RuntimeError("a call in virtual time must not wait: answer it at once")


@dataclass(frozen=True, slots=True)
class HeldLease:
    """A lease that lasts."""

    fencing_token: int = 1
    expires_at: float = math.inf


class Placer(Protocol):
    """One way to place models."""

    def step(self) -> None:
        """Each tick."""

    def update_runner(self, record: RunnerRecord) -> None:
        """A check-in."""

    def receive_demand_report(self, report: DemandReport) -> None:
        """A report of demand."""


class Service:
    """The system's placer; it skips ticks as its loop would."""

    def __init__(self, world: World, seed: int) -> None:
        settings = PlacementSettings(load_window_s=WINDOW_S, load_rate_factor=CAP)
        runtime = PlacementRuntime(
            lambda: world.now,
            HeldLease,
            Calls(world),
            settings=settings,
            spawn=run_at_once,
            random_source=random.Random(seed),
        )
        self.service = PlacementService(runtime)
        self.service.configure(world.deployment.configuration())
        self.update_runner, self.receive_demand_report = (
            self.service.update_runner,
            self.service.receive_demand_report,
        )
        self._world, self._next = world, 0.0

    def step(self) -> None:
        """A round, if one is due."""
        if self._world.now + 1e-9 >= self._next:
            self.service.step()
            self._next = self._world.now + self.service.period_s()


class LeastRecentlyUsed:
    """Loads what waits, at the runner that has room or else gives up what was used longest ago."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._used: dict[str, float] = {}

    def update_runner(self, record: RunnerRecord) -> None:
        """Looks at runners itself."""

    def receive_demand_report(self, report: DemandReport) -> None:
        """Notes what is used, and loads what waits."""
        for line in report.models:
            if line.arrivals or line.in_flight:
                self._used[line.model] = self._world.now
        for line in report.models:
            if line.waiting:
                self._load(line.model, line.adapter)

    def step(self) -> None:
        """Acts on reports only."""

    def _load(self, model: str, adapter: str) -> None:
        world = self._world
        free = [
            runner
            for n, runner in enumerate(world.runners)
            if n not in world.down and not runner.report(world.now).occupied
        ]
        holding = [runner for runner in free if model in runner.held]
        if any(model in runner.held for runner in world.runners) and not adapter:
            return
        if adapter and holding:
            self._load_adapter(min(holding, key=lambda r: len(r.held[model])), model, adapter)
            return
        if free and not any(model in runner.held for runner in world.runners):
            self._load_model(free, model)

    def _load_model(self, free: list[ModelRunner], model: str) -> None:
        world = self._world
        need = free[0].models[model].weights_mb
        with_room = [runner for runner in free if runner.used_mb() + need <= runner.capacity.weights_mb]
        if any(runner.is_loading(model) for runner in world.runners):
            return
        if with_room:
            self._order(with_room[0], OrderAction.LOADING, model)
            return
        runner = min(free, key=lambda r: min(self._used.get(name, 0.0) for name in r.held))
        self._order(
            runner, OrderAction.UNLOADING, min(runner.held, key=lambda name: self._used.get(name, 0.0))
        )

    def _load_adapter(self, runner: ModelRunner, model: str, adapter: str) -> None:
        held = [(name, other) for name, adapters in runner.held.items() for other in sorted(adapters)]
        if len(held) >= runner.capacity.adapter_slots:
            self._order(runner, OrderAction.UNLOADING, *held[0])
        else:
            self._order(runner, OrderAction.LOADING, model, adapter)

    def _order(self, runner: ModelRunner, action: str, model: str, adapter: str = "") -> None:
        self._world.orders += 1
        runner.order(self._world.now, runner.id, action, model, adapter)


class Static:
    """Leaves everything where it stood."""

    def step(self) -> None:
        """Nothing."""

    def update_runner(self, record: RunnerRecord) -> None:
        """Nothing."""

    def receive_demand_report(self, report: DemandReport) -> None:
        """Nothing."""


# ---- Runs ----


@dataclass(frozen=True, slots=True)
class Run:
    """One deployment, one way."""

    seed: int
    way: str
    seconds: float


def placer_of(world: World, run: Run) -> Placer:
    """By name."""
    if run.way == "placer":
        return Service(world, run.seed)
    return LeastRecentlyUsed(world) if run.way == "lru" else Static()


def play(run: Run) -> dict[str, float]:
    """Figures of one run."""
    world = World(draw(run.seed, run.seconds), run.seed)
    placer = placer_of(world, run)
    world.play(placer.step, placer.update_runner, placer.receive_demand_report)
    return figures(world)


def figures(world: World) -> dict[str, float]:
    """Shares of requests in time and at all, worth less prices over worth owed, and broken rules."""
    deployment = world.deployment
    bound = deployment.loads_per_s * WINDOW_S * CAP + 3.0
    rare = [asked for asked in world.asked if asked.worth == 3.0]
    owed = sum(asked.worth for asked in world.asked)
    served = [asked for asked in world.asked if asked.begun_at >= 0.0]
    earned = sum(asked.worth * (1.0 if asked.in_time else LATE_WORTH) for asked in served)
    loads = len(world.store.begun)
    prices = loads * LOAD_PRICE + world.orders * ORDER_PRICE + world.probes * PROBE_PRICE
    return {
        "in_time": share(asked.in_time for asked in world.asked),
        "served": len(served) / max(len(world.asked), 1),
        "rare_in_time": share(asked.in_time for asked in rare),
        "worth": (earned - prices) / max(owed, 1.0),
        "loads_s": loads / deployment.seconds,
        "orders_s": world.orders / deployment.seconds,
        "probes_s": world.probes / deployment.seconds,
        "rules": float(world.store.most_in(WINDOW_S) > bound) + sum(r.fallen for r in world.runners),
    }


def share(values: Any) -> float:
    """Of those that hold."""
    known = list(values)
    return sum(known) / len(known) if known else 1.0


def experiment(options: Options) -> Result:
    """Each seed draws a deployment, played all ways; the last line has the medians of the placer."""
    seeds = range(options.seed, options.seed + options.seeds)
    runs = [Run(seed, way, options.seconds) for seed in seeds for way in WAYS]
    played = dict(zip(runs, spread_out(play, runs, options.jobs), strict=True))
    result = Result("place")
    for way in WAYS:
        of_way = [played[run] for run in runs if run.way == way]
        row: dict[str, object] = {"way": way}
        row.update({name: str(spread(figures[name] for figures in of_way)) for name in of_way[0]})
        result.rows.append(row)
        result.figures[f"{way}_in_time"] = spread(figures["in_time"] for figures in of_way).middle
        result.figures[f"{way}_worth"] = spread(figures["worth"] for figures in of_way).middle
    result.figures["rules"] = sum(played[run]["rules"] for run in runs if run.way == "placer")
    result.notes.append(f"{len(list(seeds))} deployments of 30 to 800 models, service {SERVICE!r}")
    return result

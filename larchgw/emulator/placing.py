"""Dispatchers, clients and model runners around a placer, in virtual time.

Requests for models come by chance. One that a runner can serve is sent there; others wait, until they can be
served or
their deadline has passed. What the dispatchers see is reported as demand.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

from ..configuration.model import Configuration, Model, Runtime, Service
from ..identifiers import RunnerId
from ..rpc.generated.ttypes import DemandReport, ModelDemand
from ..runner_directory.runner_record import HeldModel, RunnerRecord, Stage
from .modelrunner import Capacity, ModelRunner, WeightStore

SERVICE = "models"
TICK_S = 0.025
BEAT_S = 1.2  # between check-ins of a runner
REPORT_S = 0.1  # between reports of demand
RUN_S = 0.5  # of a request alone at its runner
CROWD = 16.0  # requests at a runner that make each take twice as long


@dataclass(frozen=True, slots=True)
class Stream:
    """Requests for a set of models. Rates are requests a second, times seconds."""

    models: tuple[str, ...]
    weights: tuple[float, ...]
    rate: float
    worth: float
    aim_s: float
    deadline_s: float
    adapter_share: float = 0.0
    starts_at: float = 0.0
    ends_at: float = float("inf")


@dataclass(frozen=True, slots=True)
class Deployment:
    """What a run is played on."""

    models: tuple[Model, ...]
    streams: tuple[Stream, ...]
    runners: int
    zones: int
    capacity: Capacity
    loads_per_s: float
    at_once: int
    seconds: float
    losses: tuple[tuple[float, int, float], ...] = ()  # (at, runner, back after)

    def configuration(self) -> Configuration:
        """As the operator would send it."""
        runtime = Runtime(
            slots=64,
            models=self.models,
            weights_mb=self.capacity.weights_mb,
            adapter_slots=self.capacity.adapter_slots,
            loads_per_s=self.loads_per_s,
        )
        return Configuration(1, services=(Service(SERVICE, runtime=runtime),))


@dataclass(slots=True)
class Asked:
    """One request and what became of it."""

    at: float
    model: str
    adapter: str
    worth: float
    aim_at: float
    deadline_at: float
    begun_at: float = -1.0

    @property
    def in_time(self) -> bool:
        """Whether its answer began within its aim."""
        return 0.0 <= self.begun_at <= self.aim_at


@dataclass(slots=True)
class Seen:
    """What the dispatchers count of one key between two reports."""

    arrivals: int = 0
    worth: float = 0.0
    waiting: list[Asked] = field(default_factory=list)


class World:
    """Plays a deployment; `step` is the placer's, called each tick, and `report` gets the demand."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self.deployment, self.now = deployment, 0.0
        self.rng = random.Random(seed)
        self.store = WeightStore(deployment.at_once)
        models = {model.name: model for model in deployment.models}
        self.runners = [
            ModelRunner(
                f"r{n}-0",
                f"10.0.0.{n}:80",
                f"zone-{n % deployment.zones}",
                deployment.capacity,
                models,
                self.store,
            )
            for n in range(deployment.runners)
        ]
        self.down: dict[int, float] = {}
        self.asked: list[Asked] = []
        self._waiting: list[Asked] = []
        self._seen: dict[tuple[str, str], Seen] = {}
        self._flying: list[tuple[float, str, str]] = []
        self._incarnation = 0
        self.probes = self.loads = self.orders = 0
        self._arrivals = self._draw_arrivals()
        self._at_start()

    # ---- The deployment ----

    def _draw_arrivals(self) -> list[Asked]:
        asked = []
        for stream in self.deployment.streams:
            at = stream.starts_at
            while (at := at + self.rng.expovariate(stream.rate)) < min(
                stream.ends_at, self.deployment.seconds
            ):
                model = self.rng.choices(stream.models, stream.weights)[0]
                asked.append(
                    Asked(
                        at,
                        model,
                        self._draw_adapter(model, stream),
                        stream.worth,
                        at + stream.aim_s,
                        at + stream.deadline_s,
                    )
                )
        return sorted(asked, key=lambda request: -request.at)

    def _draw_adapter(self, model: str, stream: Stream) -> str:
        count = next(known.adapters for known in self.deployment.models if known.name == model)
        if not count or self.rng.random() >= stream.adapter_share:
            return ""
        return f"a{self.rng.randint(1, count)}"

    def _at_start(self) -> None:
        """Busy models stand on many runners, the others on one each, as far as there is room."""
        busiest = [
            name
            for stream in self.deployment.streams
            if stream.starts_at == 0.0
            for name in stream.models
            if stream.rate * len(stream.models) > 1.0
        ][:2]
        for runner in self.runners:
            for name in busiest[:1]:
                self._put(runner, name)
        for model in self.deployment.models:
            if not any(model.name in runner.held for runner in self.runners):
                self._put(min(self.runners, key=ModelRunner.used_mb), model.name)

    def _put(self, runner: ModelRunner, name: str) -> None:
        if runner.used_mb() + runner.models[name].weights_mb <= runner.capacity.weights_mb:
            runner.preload(name)

    def records(self) -> list[RunnerRecord]:
        """What check-ins tell now; runners that are down count as gone."""
        return [
            RunnerRecord(
                RunnerId(runner.id),
                SERVICE,
                runner.address,
                runner.zone,
                Stage.GONE if n in self.down or runner.fallen else Stage.READY,
                64,
                models=tuple(
                    HeldModel(name, 1, tuple(sorted(adapters)))
                    for name, adapters in sorted(runner.held.items())
                ),
            )
            for n, runner in enumerate(self.runners)
        ]

    # ---- Time ----

    def play(
        self,
        step: Callable[[], None],
        see: Callable[[RunnerRecord], None],
        report: Callable[[DemandReport], None],
    ) -> None:
        """Until the deployment's seconds are over."""
        ticks = round(self.deployment.seconds / TICK_S)
        for tick in range(ticks):
            self.now = tick * TICK_S
            self._lose_and_return(see)
            self._arrive()
            self._serve()
            if tick % round(BEAT_S / TICK_S) == 0:
                for record in self.records():
                    see(record)
            if tick % round(REPORT_S / TICK_S) == 0:
                report(self.demand_report())
            step()

    def _lose_and_return(self, see: Callable[[RunnerRecord], None]) -> None:
        for at, index, back_after in self.deployment.losses:
            if self.now - TICK_S < at <= self.now:
                self.down[index] = at + back_after
                see(self.records()[index])
        for index, back_at in list(self.down.items()):
            if self.now >= back_at:
                del self.down[index]
                self._incarnation += 1
                self.runners[index].restart(self.now, f"r{index}-{self._incarnation}")

    def _arrive(self) -> None:
        while self._arrivals and self._arrivals[-1].at <= self.now:
            request = self._arrivals.pop()
            self.asked.append(request)
            self._waiting.append(request)
            seen = self._seen.setdefault((request.model, request.adapter), Seen())
            seen.arrivals += 1
            seen.worth += request.worth

    def _serve(self) -> None:
        while self._flying and self._flying[0][0] <= self.now:
            heapq.heappop(self._flying)
        left = []
        for request in self._waiting:
            if request.deadline_at <= self.now:
                continue
            holders = [
                runner
                for n, runner in enumerate(self.runners)
                if n not in self.down and runner.is_serving(self.now, request.model, request.adapter)
            ]
            if holders:
                self._send(request, holders)
            else:
                left.append(request)
        self._waiting = left

    def _send(self, request: Asked, holders: Sequence[ModelRunner]) -> None:
        runner = min(holders, key=lambda holder: holder.running(self.now))
        run_s = RUN_S * (1.0 + runner.running(self.now) / CROWD)
        request.begun_at = self.now + run_s * 0.3
        name = f"{request.model}/{request.adapter}" if request.adapter else request.model
        runner.run(name, self.now + run_s)
        heapq.heappush(self._flying, (self.now + run_s, request.model, request.adapter))

    def demand_report(self) -> DemandReport:
        """What was seen since the last one."""
        for seen in self._seen.values():
            seen.waiting = []
        for request in self._waiting:
            self._seen.setdefault((request.model, request.adapter), Seen()).waiting.append(request)
        flying: dict[tuple[str, str], int] = {}
        for _, model, adapter in self._flying:
            flying[(model, adapter)] = flying.get((model, adapter), 0) + 1
        lines: list[Any] = []
        for key in self._seen.keys() | flying.keys():
            seen = self._seen.get(key, Seen())
            left = min((request.deadline_at - self.now for request in seen.waiting), default=0.0)
            lines.append(
                ModelDemand(
                    SERVICE,
                    key[0],
                    key[1],
                    seen.arrivals,
                    len(seen.waiting),
                    flying.get(key, 0),
                    round(left * 1000.0),
                    seen.worth,
                )
            )
        self._seen = {}
        return DemandReport("edge", round(REPORT_S * 1000.0), lines)

    # ---- What a placer calls ----

    def find(self, runner: str, address: str) -> ModelRunner | None:
        """The runner at an address, if it is up."""
        for n, known in enumerate(self.runners):
            if known.address == address:
                return None if n in self.down or known.fallen else known
        return None

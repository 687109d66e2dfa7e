"""A scripted simulation of the placement service in virtual time, which records all its actions.

Demand and lost or late responses are drawn from one seed; leases and lost runners follow a fixed schedule.
Two versions of the service that make the same decisions give identical records.
"""

from __future__ import annotations

import heapq
import itertools
import json
import random
from collections.abc import Coroutine, Generator, Iterable
from dataclasses import dataclass
from typing import Any

from larchgw.configuration.model import Configuration, Model, Runtime, Service
from larchgw.emulator.modelrunner import Capacity, ModelRunner, WeightStore
from larchgw.identifiers import RunnerId
from larchgw.placement.model import Order, OrderOutcome, PlacementSettings, RunnerReport
from larchgw.placement.orders import encode_order, outcome_of
from larchgw.placement.service import PlacementService
from larchgw.placement.service_runtime import PlacementRuntime
from larchgw.placement.summary import PlacementSummary
from larchgw.rpc.generated.ttypes import DemandReport, ModelDemand
from larchgw.runner_directory.runner_record import HeldModel, RunnerRecord, Stage

TICK_S = 0.05
CHECK_IN_TICKS = 24
GB = 1000.0
RUNNERS_BY_SERVICE = {"chat": 5, "code": 3}
LEASES = ((1, 0.5, 8.25), (2, 10.0, 14.25), (4, 15.5, 98.25))  # fencing token, from, until
LOSSES = ((6.0, 1, 8.0), (12.0, 6, 13.5))  # lost at, index of the runner, restarted at

Event = list[Any]  # kind, time and values, as in the recorded JSON
ScriptedCall = Coroutine[float, None, None]  # yields the seconds after which it is to be resumed


class Delay:
    """Awaited by a call to suspend it for `seconds` of virtual time."""

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds

    def __await__(self) -> Generator[float, None, None]:
        yield self.seconds


@dataclass(frozen=True)
class ScriptedLease:
    fencing_token: int
    expires_at: float


class ScriptedPlay:
    """Simulates `ticks` ticks and records the actions of the service in `events`.

    `loads_per_s` is the rate of the weight store, and `waiting_share` the share of demand entries with
    waiting requests. With a high rate and a low share, the planner selects loads by value, else by deadline.
    """

    def __init__(self, seed: int, ticks: int, loads_per_s: float = 1.5, waiting_share: float = 0.3) -> None:
        self.waiting_share = waiting_share
        self.now, self.ticks = 0.0, ticks
        self.random_source = random.Random(seed)
        self.planner_random_source = random.Random(seed + 1)
        self.events: list[Event] = []
        self.suspended_calls: list[tuple[float, int, ScriptedCall]] = []
        self.call_number = 0
        self.configuration = make_configuration(loads_per_s)
        self.runners = make_runners(self.configuration)
        self.down: set[int] = set()
        self.incarnation = 0
        self.service = PlacementService(
            PlacementRuntime(
                lambda: self.now,
                self.lease,
                self,
                self.publish,
                self.spawn,
                PlacementSettings(5.0, 1.1),
                self.planner_random_source,
            )
        )

    # ---- Calls from the service ----

    def lease(self) -> ScriptedLease | None:
        return next(
            (ScriptedLease(token, end) for token, begin, end in LEASES if begin <= self.now < end), None
        )

    def publish(self, runner: RunnerId, names: dict[str, float]) -> None:
        self.events.append(["published", self.now, runner, json.dumps(names)])

    def spawn(self, call: ScriptedCall) -> None:
        self.resume(call)

    def resume(self, call: ScriptedCall) -> None:
        try:
            delay_s = call.send(None)
        except StopIteration:
            return
        self.call_number += 1
        heapq.heappush(self.suspended_calls, (self.now + delay_s, self.call_number, call))

    async def order(self, order: Order, fence: int, begin_by_s: float) -> OrderOutcome:
        body = encode_order(order, "control-1", fence).decode()
        self.events.append(["order", self.now, order.runner_id, order.address, order.makes_room_for, body])
        drawn = self.random_source.random()
        if drawn < 0.05:
            await Delay(0.8)
            return OrderOutcome.UNKNOWN
        if drawn < 0.09:
            return OrderOutcome.UNSENT
        if drawn < 0.1:
            return OrderOutcome.OTHER_RUNNER
        runner = self.find(order.runner_id)
        if runner is None:
            await Delay(0.8)
            return OrderOutcome.UNKNOWN
        status = runner.order(
            self.now, order.runner_id, order.action, order.model, order.adapter, order.if_revision, fence
        )
        await Delay(0.8 if drawn < 0.15 else round(self.random_source.uniform(0.0, 0.1), 3))
        return OrderOutcome.UNKNOWN if drawn < 0.15 else outcome_of(status)

    async def report(self, runner: RunnerId, address: str) -> RunnerReport | None:
        self.events.append(["report", self.now, runner])
        known = self.find(runner)
        if known is None or self.random_source.random() < 0.1:
            await Delay(0.3)
            return None
        seen = known.report(self.now)
        return RunnerReport(seen.models, seen.occupied, seen.call_count)

    # ---- Simulation ----

    def play(self) -> list[Event]:
        self.service.configure(self.configuration)
        next_round_at = 0.0
        for tick in range(self.ticks):
            self.now = round(tick * TICK_S, 3)
            self.resume_due_calls()
            self.service._reconciler.validate_state()
            self.lose_and_restart_runners()
            if tick % CHECK_IN_TICKS == 0:
                for index in range(len(self.runners)):
                    self.service.update_runner(self.record(index))
            self.report_demand(tick)
            if self.now >= next_round_at:
                self.service.step()
                self.service._reconciler.validate_state()
                next_round_at = round(self.now + self.service.period_s(), 3)
            if tick % 40 == 0:
                self.events.append(["summary", self.now, describe(self.service.summary())])
        self.events.append(["drawn", self.planner_random_source.random()])
        return sort_withdrawals(self.events)

    def resume_due_calls(self) -> None:
        while self.suspended_calls and self.suspended_calls[0][0] <= self.now:
            self.resume(heapq.heappop(self.suspended_calls)[2])

    def lose_and_restart_runners(self) -> None:
        for lost_at, index, back_at in LOSSES:
            if lost_at == self.now:
                self.down.add(index)
                self.service.update_runner(self.record(index))
            if back_at == self.now:
                self.down.discard(index)
                self.incarnation += 1
                self.runners[index][1].restart(self.now, f"r{index}-{self.incarnation}")

    def find(self, runner_id: str) -> ModelRunner | None:
        for index, (_, runner) in enumerate(self.runners):
            if runner.id == runner_id and index not in self.down and not runner.fallen:
                return runner
        return None

    def record(self, index: int) -> RunnerRecord:
        service, runner = self.runners[index]
        stage = Stage.GONE if index in self.down or runner.fallen else Stage.READY
        held = tuple(
            HeldModel(name, 1, tuple(sorted(adapters))) for name, adapters in sorted(runner.held.items())
        )
        return RunnerRecord(RunnerId(runner.id), service, runner.address, runner.zone, stage, 64, models=held)

    def report_demand(self, tick: int) -> None:
        for dispatcher, interval_ticks, silent_from, silent_until in (
            ("edge-1", 2, 7.0, 11.0),
            ("edge-2", 6, 99.0, 99.0),
            ("edge-3", 50, 99.0, 99.0),
        ):
            if tick % interval_ticks or silent_from <= self.now < silent_until:
                continue
            lines = [line for service in ("chat", "code") for line in self.demand_lines(service)]
            self.service.receive_demand_report(
                DemandReport(dispatcher, round(interval_ticks * TICK_S * 1000.0), lines)
            )

    def demand_lines(self, service: str) -> list[ModelDemand]:
        draw = self.random_source
        busy = (0, 1) if self.now < 8.0 else (4, 5)
        lines = []
        for number in range(10):
            is_busy = number in busy
            arrivals = draw.randint(0, 4) if is_busy else int(draw.random() < 0.05)
            if not arrivals and draw.random() < 0.7:
                continue
            adapter = f"a{draw.randint(1, 12)}" if service == "chat" and draw.random() < 0.3 else ""
            waiting = draw.randint(0, 2) if draw.random() < self.waiting_share else 0
            in_flight = draw.randint(0, 12) if is_busy else 0
            worth = arrivals * draw.choice([0.0, 1.0, 3.0])
            urgency_ms = draw.choice([400, 2000, 5000]) if waiting else 0
            lines.append(
                ModelDemand(
                    service, f"{service}-m{number}", adapter, arrivals, waiting, in_flight, urgency_ms, worth
                )
            )
        return lines


def is_withdrawal_event(event: Event) -> bool:
    return bool(event[0] == "published" and event[3] == "{}")


def sort_withdrawals(events: Iterable[Event]) -> list[Event]:
    """Sorts the withdrawals of each round by runner, since their order depends on the hash seed."""
    ordered: list[Event] = []
    for is_withdrawal, group in itertools.groupby(events, key=is_withdrawal_event):
        members = list(group)
        ordered.extend(sorted(members) if is_withdrawal else members)
    return ordered


def make_configuration(loads_per_s: float) -> Configuration:
    services = []
    for service, load_s, adapters in (("chat", 0.6, 12), ("code", 1.5, 0)):
        models = tuple(
            Model(f"{service}-m{number}", (65.1 if number % 3 else 72.7) * GB, load_s, adapters, 66.0)
            for number in range(10)
        )
        runtime = Runtime(64, models=models, weights_mb=230 * GB, adapter_slots=4, loads_per_s=loads_per_s)
        services.append(Service(service, runtime=runtime))
    return Configuration(1, services=(*services, Service("plain")))


def make_runners(configuration: Configuration) -> list[tuple[str, ModelRunner]]:
    runners: list[tuple[str, ModelRunner]] = []
    store = WeightStore(3)
    for service, count in RUNNERS_BY_SERVICE.items():
        runtime = next(known.runtime for known in configuration.services if known.name == service)
        assert runtime is not None
        models = {model.name: model for model in runtime.models}
        for _ in range(count):
            index = len(runners)
            capacity = Capacity(runtime.weights_mb, runtime.adapter_slots)
            runner = ModelRunner(
                f"r{index}-0", f"10.0.0.{index}:80", f"zone-{index % 3}", capacity, models, store
            )
            runner.preload(f"{service}-m{index % 4}")
            runner.preload(f"{service}-m{index % 4 + 1}")
            runners.append((service, runner))
    return runners


def describe(summary: PlacementSummary | None) -> list[Any] | None:
    """Returns the summary as plain values, in the order of the status on the wire."""
    if summary is None:
        return None
    models = [
        [
            model.service,
            model.model,
            model.requests_per_s,
            model.waiting,
            model.in_flight,
            list(model.holders),
            list(model.loading),
        ]
        for model in summary.models
        if model.requests_per_s or model.holders or model.loading
    ]
    orders = [
        [order.runner_id, order.action, order.name, order.age_s, order.is_accepted]
        for order in summary.orders
    ]
    return [summary.fencing_token, summary.load_limit, summary.available_loads, models, orders]

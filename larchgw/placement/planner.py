"""Which load or unload to order next at which runner. Pure: time is an argument.

Every round looks at demand and at what runners hold or are ordered to, lists what should be loaded, and takes
for each, most pressing first, the runner where that costs least: free room before evictions, and evictions
of what loses least. Nothing is remembered between rounds; ties break by a seeded generator. A load happens
only where it is worth more than the prices and what is evicted.
"""

from __future__ import annotations

import math
import random
from collections.abc import Mapping
from dataclasses import dataclass

from ..configuration.model import Configuration
from .demand_tracker import DemandTracker
from .load_candidates import Need, ServiceDemand
from .model import Order, OrderAction, PlacementSettings, loadable_name
from .popularity_change import ShiftEstimate
from .runner_state import MEMORY_MARGIN_MB, PlacementState, RunnerState
from .service_capacity import ServiceCapacity

HYSTERESIS = 1.5  # a load that nobody waits for must be worth so many times its cost
RESIDENCE_S = 2.0  # what was loaded stays at least so long, for those who waited to be sent there
ADAPTER_RESIDENCE_S = 1.0
WAITING_RUN_COST = 0.05  # worth lost for each run that an unload has to wait for
ZONE_COST = 0.1  # for a second holder in one zone
WORK_COST = 0.1  # for a runner with as much work as all others together
RESERVE_SHARE = 0.4  # of the store's budget, kept for models that requests wait for
TIE_COST = 1e-3  # drawn up to this, so that equals take turns
MAX_NEEDS = 32  # looked at in one round and service; the next round comes within 50 ms
VICTIMS = 3  # evictions for one load at most


@dataclass(frozen=True, slots=True)
class Eviction:
    """A model, or an adapter, that a runner would give up."""

    model: str
    adapter: str
    loss: float


@dataclass(frozen=True, slots=True)
class Candidate:
    """A runner for a load, with what it costs there."""

    state: RunnerState
    evictions: tuple[Eviction, ...]
    cost: float


class Planner:
    """Chooses orders; between rounds it keeps only how demand has moved so far."""

    def __init__(self, settings: PlacementSettings, random_source: random.Random) -> None:
        self._settings, self._random_source = settings, random_source
        self._shifts: dict[str, ShiftEstimate] = {}

    def plan(
        self,
        now: float,
        configuration: Configuration,
        capacities: Mapping[str, ServiceCapacity],
        demand: DemandTracker,
        state: PlacementState,
    ) -> list[Order]:
        """The next orders, most pressing first, at most one for each runner."""
        orders: list[Order] = []
        room = state.load_limiter.available(now)
        parallel = state.loads_in_progress
        for service in configuration.services:
            if service.name not in capacities:
                continue
            runners = state.ready_runners(service.name)
            shifts = self._observed_shifts(now, service.name, capacities[service.name], demand)
            wanted = ServiceDemand(
                now, service.name, capacities[service.name], runners, demand, shifts, self._settings
            )
            round_ = Round(now, wanted, state, self._settings, self._random_source, room, parallel)
            orders.extend(round_.orders())
            room, parallel = round_.room, round_.parallel
        return orders

    def _observed_shifts(
        self, now: float, service: str, capacity: ServiceCapacity, demand: DemandTracker
    ) -> ShiftEstimate:
        if service not in self._shifts:
            self._shifts[service] = ShiftEstimate(self._settings.busy_requests_per_s)
        self._shifts[service].observe(now, capacity.models, demand.by_model(service))
        return self._shifts[service]


class Round:
    """One service, one round."""

    def __init__(
        self,
        now: float,
        wanted: ServiceDemand,
        state: PlacementState,
        settings: PlacementSettings,
        random_source: random.Random,
        room: int,
        parallel: int,
    ) -> None:
        self._now, self._wanted, self._settings, self._random_source = now, wanted, settings, random_source
        self._capacity = wanted.capacity
        self._free = {runner.id: runner for runner in wanted.runners if runner.can_take_order(now)}
        self._work = self._work_by_runner()
        self._used_mb = {runner.id: runner.used_mb(self._capacity) for runner in self._free.values()}
        self._victims: dict[str, list[Eviction]] = {}  # of models, by runner
        self._reserve = math.ceil(RESERVE_SHARE * state.load_limiter.limit)
        self._unasked = math.ceil(len(wanted.runners) / 2)  # runners that may load what nobody waits for
        self._unasked -= sum(runner.order_in_progress is not None for runner in wanted.runners)
        self.room, self.parallel = room, parallel

    def _work_by_runner(self) -> dict[str, float]:
        """Each runner's part of the service's requests, were they spread evenly over holders."""
        work = {}
        for runner in self._wanted.runners:
            work[runner.id] = sum(
                self._wanted.models[name].rate / max(self._wanted.holders.get(name, 0), 1)
                for name in runner.held
                if name in self._wanted.models
            )
        total = sum(work.values())
        return {runner: part / total if total > 0.0 else 0.0 for runner, part in work.items()}

    def orders(self) -> list[Order]:
        """For each need in turn, the cheapest runner's next order."""
        orders = []
        for need in self._wanted.needs()[:MAX_NEEDS]:
            if not self._free:
                break
            order = self._order_for(need)
            if order is not None:
                del self._free[order.runner_id]
                orders.append(order)
        return orders

    def _order_for(self, need: Need) -> Order | None:
        if not need.adapter and not self._may_load(need):
            return None
        best = self._cheapest(need)
        if best is None or not self._is_worth(need, best):
            return None
        runner = best.state
        if best.evictions:
            first = best.evictions[0]
            return Order(
                runner.id,
                runner.record.address,
                OrderAction.UNLOADING,
                first.model,
                first.adapter,
                runner.order_count,
                need.name,
            )
        if not need.adapter:
            self._book_load(need, runner)
        return Order(
            runner.id,
            runner.record.address,
            OrderAction.LOADING,
            need.model,
            need.adapter,
            runner.order_count,
        )

    def _may_load(self, need: Need) -> bool:
        """Whether the store has room; what nobody waits for leaves a reserve and runners at rest."""
        if need.is_urgent:
            return self.room > 0
        return (
            self.room > self._reserve and self.parallel < self._capacity.parallel_loads and self._unasked > 0
        )

    def _book_load(self, need: Need, runner: RunnerState) -> None:
        if need.model not in runner.models_on_disk:
            self.room -= 1
            self.parallel += 1
        if not need.is_urgent:
            self._unasked -= 1

    def _is_worth(self, need: Need, candidate: Candidate) -> bool:
        if not math.isfinite(candidate.cost):
            return False
        prices = self._settings.order_price * (1 + len(candidate.evictions))
        if not need.adapter:
            prices += self._settings.load_price
        losses = sum(eviction.loss for eviction in candidate.evictions)
        factor = 1.0 if need.is_urgent else HYSTERESIS
        return need.value > factor * (prices + losses)

    # ---- Runners for a load ----

    def _cheapest(self, need: Need) -> Candidate | None:
        zones = self._zones_holding(need.model) if not need.adapter else frozenset()
        candidates = [
            candidate
            for runner in self._free.values()
            if (candidate := self._candidate(need, runner, zones)) is not None
        ]
        return min(candidates, key=lambda candidate: candidate.cost, default=None)

    def _zones_holding(self, model: str) -> frozenset[str]:
        if not self._wanted.count(model):
            return frozenset()
        return frozenset(
            runner.record.zone
            for runner in self._wanted.runners
            if runner.holds(model) or runner.is_loading(model)
        )

    def _candidate(self, need: Need, runner: RunnerState, zones: frozenset[str]) -> Candidate | None:
        if need.adapter:
            if not runner.holds(need.model) or runner.holds(need.model, need.adapter):
                return None
        elif need.model in runner.held:
            return None
        evictions = self._evictions(need, runner)
        if evictions is None:
            return None
        cost = sum(eviction.loss + self._settings.order_price for eviction in evictions)
        cost += WORK_COST * self._work[runner.id] + self._random_source.random() * TIE_COST
        if runner.record.zone in zones:
            cost += ZONE_COST
        return Candidate(runner, tuple(evictions), cost)

    # ---- Evictions ----

    def _evictions(self, need: Need, runner: RunnerState) -> list[Eviction] | None:
        """What to give up at this runner so that the load fits; None if that can't be done now."""
        if need.adapter and runner.used_adapter_slots() >= self._capacity.runtime.adapter_slots:
            return self._adapter_victims(runner)[:1] or None
        required = (
            self._capacity.adapter_mb(need.model) if need.adapter else self._capacity.model_mb(need.model)
        )
        free = self._capacity.runtime.weights_mb - MEMORY_MARGIN_MB - self._used_mb[runner.id]
        chosen: list[Eviction] = []
        for victim in self._model_victims(runner):
            if free >= required or len(chosen) == VICTIMS:
                break
            if victim.model == need.model:
                continue
            chosen.append(victim)
            free += self._capacity.model_mb(victim.model)
            free += len(runner.held[victim.model]) * self._capacity.adapter_mb(victim.model)
        return chosen if free >= required else None

    def _model_victims(self, runner: RunnerState) -> list[Eviction]:
        """Models here that may go, the least loss first."""
        if runner.id not in self._victims:
            victims = [Eviction(name, "", self._loss(runner, name)) for name in runner.held]
            self._victims[runner.id] = sorted(
                (victim for victim in victims if math.isfinite(victim.loss)), key=lambda victim: victim.loss
            )
        return self._victims[runner.id]

    def _adapter_victims(self, runner: RunnerState) -> list[Eviction]:
        victims = [
            Eviction(model, adapter, self._loss(runner, model, adapter))
            for model, adapters in runner.held.items()
            for adapter in sorted(adapters)
        ]
        return sorted(
            (victim for victim in victims if math.isfinite(victim.loss)), key=lambda victim: victim.loss
        )

    def _loss(self, runner: RunnerState, model: str, adapter: str = "") -> float:
        since = runner.loaded_at_s.get(loadable_name(model, adapter), -math.inf)
        if self._now - since < (ADAPTER_RESIDENCE_S if adapter else RESIDENCE_S):
            return math.inf
        lost = self._wanted.adapter_loss(model, adapter) if adapter else self._wanted.model_loss(model)
        return lost + WAITING_RUN_COST * self._wanted.in_flight_at_holder(model, adapter)

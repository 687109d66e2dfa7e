"""The placer of one control process: demand, plan and orders in a loop, while it holds the lease.

    service = PlacementService(PlacementRuntime(...))
    service.configure(configuration)        on each new configuration
    service.update_runner(record)              on each news of a runner
    service.receive_demand_report(report)                  on each dispatcher's report
    task = asyncio.create_task(service.run())

After the lease was taken, every runner's report is read before its first order; until then nothing is ordered
there.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable, Coroutine
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any, Protocol

import structlog

from ..configuration.model import Configuration
from ..runner_directory.runner_record import RunnerRecord, Stage
from .demand_tracker import DemandReportLike, DemandTracker
from .load_rate_limit import LoadRateLimiter
from .model import Order, OrderOutcome, PlacementSettings, RunnerReport
from .orders import MAX_ORDERS
from .planner import Planner
from .polls import MAX_POLLS
from .reconciler import Reconciler
from .runner_state import RunnerState
from .summary import PlacementSummary, summarise

log = structlog.get_logger()

BUSY_PERIOD_S = 0.05  # between rounds while an order is under way or a request waits
CALM_PERIOD_S = 0.25
PLAN_SHARE = 0.1  # of the time at most is spent on planning, however large the deployment
LEARN_S = 0.5  # after taking the lease: most runners have answered by then, and load choices see them all
ORDER_WAIT_S = 0.3  # for a place among the orders under way; later, it is planned anew
GONE = -1.0  # published instead of a time: it is being unloaded


class Lease(Protocol):
    """The right to order, as the replication package gives it out."""

    @property
    def fence(self) -> int:
        """Rises with each holder."""

    @property
    def until(self) -> float:
        """End of the right, on the clock of the runtime."""


class RunnerCalls(Protocol):
    """Calls to runners; `orders.OrderClient` is the implementation."""

    async def order(self, order: Order, fence: int) -> OrderOutcome:
        """Sends an order."""

    async def report(self, runner: str, address: str) -> RunnerReport | None:
        """Reads a runner's report."""


_tasks: set[asyncio.Task[None]] = set()  # the event loop itself holds its tasks weakly


def spawn_task(call: Coroutine[Any, Any, None]) -> None:
    """Runs a call on the event loop."""
    task = asyncio.ensure_future(call)
    _tasks.add(task)
    task.add_done_callback(_tasks.discard)


def _not_published(runner: str, names: dict[str, float]) -> None:
    """Where nobody is told."""


@dataclass(slots=True)
class PlacementRuntime:
    """What the service needs of its process.

    `publish` gets, for a runner whose expectations changed, the milliseconds until each model or
    "model/adapter" can
    be used there (0: now; GONE: no more), without those that its check-ins tell; an empty dict withdraws
    them.
    """

    clock: Callable[[], float]
    lease: Callable[[], Lease | None]
    calls: RunnerCalls
    publish: Callable[[str, dict[str, float]], None] = _not_published
    spawn: Callable[[Coroutine[Any, Any, None]], None] = spawn_task
    settings: PlacementSettings = field(default_factory=PlacementSettings)
    random_source: random.Random = field(default_factory=random.Random)


class PlacementService:
    """Runs while the process lives; orders only while it holds the lease."""

    def __init__(self, runtime: PlacementRuntime) -> None:
        self._runtime, self._clock = runtime, runtime.clock
        self._demand = DemandTracker(runtime.clock)
        self._planner = Planner(runtime.settings, runtime.random_source)
        settings = runtime.settings
        load_limiter = LoadRateLimiter(0.0, settings.load_window_s, settings.load_rate_factor)
        self._reconciler = Reconciler(settings, load_limiter)
        self._configuration: Configuration | None = None
        self._records: dict[str, RunnerRecord] = {}
        self._started_at = runtime.clock()
        self._fence: int | None = None
        self._lowest_fence = 0  # below it, runners have seen another holder
        self._plan_at = 0.0
        self._wake = asyncio.Event()  # set when requests wait
        self._held_since = math.inf
        self._published: dict[str, dict[str, float]] = {}
        self._asked: set[str] = set()  # runners whose reports are awaited
        self._places = asyncio.Semaphore(MAX_ORDERS)

    # ---- News ----

    def configure(self, configuration: Configuration) -> None:
        """A new configuration is in force."""
        self._configuration = configuration
        self._reconciler.configure(configuration)
        rates = [capacity.runtime.loads_per_s for capacity in self._reconciler.capacities.values()]
        self._reconciler.load_limiter.set_rate(min(rates, default=0.0))
        for record in self._records.values():
            self._reconciler.update_runner(self._clock(), record, self._fence is not None)

    def update_runner(self, record: RunnerRecord) -> None:
        """A runner's record is new or has changed."""
        self._records[record.id] = record
        if record.stage is Stage.GONE:
            del self._records[record.id]
        self._reconciler.update_runner(self._clock(), record, self._fence is not None)

    def receive_demand_report(self, report: DemandReportLike) -> None:
        """A dispatcher reports."""
        self._demand.receive_report(report)
        if any(line.waiting > 0 for line in report.models):
            self._wake.set()

    def summary(self) -> PlacementSummary | None:
        """What is held, wanted and ordered; None while another process places models."""
        if self._fence is None:
            return None
        return summarise(self._clock(), self._fence, self._demand, self._reconciler)

    # ---- The loop ----

    async def run(self) -> None:
        """Until cancelled."""
        while True:
            self._wake.clear()
            self.step()
            await asyncio.sleep(BUSY_PERIOD_S)
            with suppress(TimeoutError):
                await asyncio.wait_for(self._wake.wait(), max(self.period() - BUSY_PERIOD_S, 0.0))

    def step(self) -> None:
        """One round: polls that are due, then the next orders, then what dispatchers are told."""
        lease = self._lease()
        if lease is None:
            return
        now = self._clock()
        self._reconciler.assume_adapters_loaded(now)
        for state in self._reconciler.due_polls(now, self._asked, MAX_POLLS - len(self._asked)):
            self._asked.add(state.id)
            self._runtime.spawn(self._poll(state))
        if now >= self._plan_at and self._has_learned(now):
            self._plan(now, lease.fence)
            self._plan_at = now + (self._clock() - now) / PLAN_SHARE
        self._publish(now)

    def _plan(self, now: float, fence: int) -> None:
        if self._configuration is None:
            return
        self._demand.expire()
        orders = self._planner.plan(
            now,
            self._configuration,
            self._reconciler.capacities,
            self._demand,
            self._reconciler.placement_state(),
        )
        for order in orders:
            self._reconciler.start_order(now, order)
            self._runtime.spawn(self._order(order, fence))

    def _lease(self) -> Lease | None:
        """The lease, if it lasts longer than an order may be on its way; notes when it was taken or lost."""
        lease, now = self._runtime.lease(), self._clock()
        if lease is not None and (
            lease.until - now <= self._runtime.settings.order_timeout_s or lease.fence < self._lowest_fence
        ):
            lease = None
        fence = lease.fence if lease is not None else None
        if fence == self._fence:
            return lease
        if self._fence is not None:
            self._reconciler.lease_lost(now)
            self._published.clear()
        if fence is not None:
            self._taken(now, fence)
        self._fence = fence
        return lease

    def _taken(self, now: float, fence: int) -> None:
        log.info("placement.started", fencing_token=fence, runners=len(self._reconciler.runners))
        self._held_since = now
        if now - self._started_at < self._runtime.settings.load_window_s:
            self._reconciler.load_limiter.assume_exhausted(now)

    def _has_learned(self, now: float) -> bool:
        """Whether reports of the runners have come, or those that are missing had time enough."""
        runners = self._reconciler.runners.values()
        if all(state.is_known or not state.is_ready for state in runners):
            if runners and not any(state.order_count for state in runners):
                self._reconciler.load_limiter.assume_unused()
            return True
        return now - self._held_since >= LEARN_S

    def period(self) -> float:
        """Seconds until the next round."""
        busy = any(
            state.order_in_progress is not None or (state.is_ready and not state.is_known)
            for state in self._reconciler.runners.values()
        )
        return BUSY_PERIOD_S if busy or self._demand.anyone_waits() else CALM_PERIOD_S

    # ---- Calls ----

    async def _poll(self, state: RunnerState) -> None:
        fence = self._fence
        try:
            report = await self._runtime.calls.report(state.id, state.record.address)
        finally:
            self._asked.discard(state.id)
        if fence != self._fence:
            return
        if report is None:
            self._reconciler.poll_failed(self._clock(), state.id)
        else:
            self._reconciler.receive_report(self._clock(), state.id, report)

    async def _order(self, order: Order, fence: int) -> None:
        planned_at = self._clock()
        async with self._places:
            lease = self._lease()  # asked for again: it may have ended while this waited
            if lease is None or lease.fence != fence:
                return
            if self._clock() - planned_at > ORDER_WAIT_S:
                outcome = OrderOutcome.UNSENT
            else:
                log.info("order.sent", runner=order.runner_id, action=order.action.value, model=order.name)
                outcome = await self._runtime.calls.order(order, fence)
        if fence != self._fence:
            return
        if outcome is OrderOutcome.FENCED:
            log.warning("order.fenced", runner=order.runner_id, fencing_token=fence)
            self._lowest_fence = fence + 1
        self._reconciler.receive_outcome(self._clock(), order, outcome)

    def _publish(self, now: float) -> None:
        expected = self._reconciler.expected_completions(now)
        for runner in self._published.keys() - expected.keys():
            self._runtime.publish(runner, {})
        for runner, names in expected.items():
            if names != self._published.get(runner):
                self._runtime.publish(runner, {name: _remaining_ms(now, at) for name, at in names.items()})
        self._published = expected


def _remaining_ms(now: float, at: float) -> float:
    return GONE if math.isinf(at) else max(round((at - now) * 1000.0), 0)

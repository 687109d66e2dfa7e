"""The placement service of one control process, which plans and sends orders while it holds the lease.

    service = PlacementService(PlacementRuntime(...))
    service.configure(configuration)            on each new configuration
    service.update_runner(record)               on each change of a runner's record
    service.receive_demand_report(report)       on each dispatcher's report
    task = asyncio.create_task(service.run())

After this process has acquired the lease, a runner gets no order until its report has been read.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress

import structlog

from ..configuration.model import Configuration
from ..runner_directory.runner_record import RunnerRecord, Stage
from .completion_publisher import CompletionPublisher
from .demand_tracker import DemandReportLike, DemandTracker
from .lease_watch import LeaseWatch
from .load_rate_limit import LoadRateLimiter
from .planner import Planner
from .reconciler import Reconciler
from .runner_exchange import RunnerExchange
from .service_runtime import PlacementRuntime
from .summary import PlacementSummary, summarise

log = structlog.get_logger()

BUSY_PERIOD_S = 0.05  # between rounds while an order is in progress or a request waits
IDLE_PERIOD_S = 0.25
MAX_PLANNING_SHARE = 0.1  # upper bound on the share of time spent on planning, for any size of deployment
# After acquiring the lease; by then most runners have responded, so that planning includes them.
REPORTS_TIMEOUT_S = 0.5


class PlacementService:
    """Runs as long as the process, but sends orders only while it holds the lease."""

    def __init__(self, runtime: PlacementRuntime) -> None:
        """Creates a service that is idle until `run` or `step` is called.

        Args:
            runtime: Dependencies that the process provides.
        """
        settings = runtime.settings
        self._clock, self._load_window_s = runtime.clock, settings.load_window_s
        self._spawn, self._permits = runtime.spawn, runtime.permits
        self._expected_loads = runtime.expected_loads
        self._demand = DemandTracker(runtime.clock)
        self._planner = Planner(settings, runtime.random_source)
        self._reconciler = Reconciler(
            settings, LoadRateLimiter(0.0, settings.load_window_s, settings.load_rate_factor)
        )
        self._lease_watch = LeaseWatch(runtime, self._lease_acquired, self._lease_lost)
        self._exchange = RunnerExchange(runtime, self._lease_watch, self._reconciler)
        self._publisher = CompletionPublisher(runtime.publish)
        self._configuration: Configuration | None = None
        self._records: dict[str, RunnerRecord] = {}
        self._started_at_s = runtime.clock()
        self._next_plan_at_s = 0.0
        self._is_load_history_read = False
        self._request_waiting = asyncio.Event()

    # ---- Inputs from other packages ----

    def configure(self, configuration: Configuration) -> None:
        """Applies a new configuration."""
        self._configuration = configuration
        self._reconciler.configure(configuration)
        rates = [capacity.runtime.loads_per_s for capacity in self._reconciler.capacities.values()]
        self._reconciler.load_limiter.set_rate(min(rates, default=0.0))
        for record in self._records.values():
            self._update_state(record)

    def update_runner(self, record: RunnerRecord) -> None:
        """Processes a new or changed record of a runner."""
        self._records[record.id] = record
        if record.stage is Stage.GONE:
            del self._records[record.id]
        self._update_state(record)

    def _update_state(self, record: RunnerRecord) -> None:
        has_lease = self._lease_watch.fencing_token is not None
        self._reconciler.update_runner(self._clock(), record, has_lease)

    def receive_demand_report(self, report: DemandReportLike) -> None:
        """Processes a dispatcher's demand report; waiting requests start the next round early."""
        self._demand.receive_report(report)
        if any(reported.waiting > 0 for reported in report.models):
            self._request_waiting.set()

    def summary(self) -> PlacementSummary | None:
        """Returns the state of placement; None while this process does not hold the lease."""
        fencing_token = self._lease_watch.fencing_token
        if fencing_token is None:
            return None
        return summarise(self._clock(), fencing_token, self._demand, self._reconciler)

    # ---- The loop ----

    async def run(self) -> None:
        """Runs rounds until cancelled."""
        while True:
            self._request_waiting.clear()
            self.step()
            await asyncio.sleep(BUSY_PERIOD_S)
            with suppress(TimeoutError):
                await asyncio.wait_for(
                    self._request_waiting.wait(), max(self.period_s() - BUSY_PERIOD_S, 0.0)
                )

    def step(self) -> None:
        """Runs one round: sends due polls, plans and sends orders, and publishes expected completions."""
        lease = self._lease_watch.current()
        if lease is None:
            return
        now_s = self._clock()
        self._reconciler.assume_adapters_loaded(now_s)
        self._exchange.poll_due(now_s)
        if now_s >= self._next_plan_at_s and self._has_enough_reports(now_s):
            self._plan_and_send_orders(now_s, lease.fencing_token)
            self._next_plan_at_s = now_s + (self._clock() - now_s) / MAX_PLANNING_SHARE
        self._publisher.update(now_s, self._reconciler.expected_completions(now_s))

    def _plan_and_send_orders(self, now_s: float, fencing_token: int) -> None:
        """Plans the next orders and starts to send them."""
        if self._configuration is None:
            return
        if not self._is_load_history_read:
            self._read_load_history(now_s)
        self._demand.expire()
        orders = self._planner.plan(
            now_s,
            self._configuration,
            self._reconciler.capacities,
            self._demand,
            self._reconciler.placement_state(),
        )
        for order in orders:
            self._reconciler.start_order(now_s, order)
            self._spawn(self._exchange.send_order(order, fencing_token))

    def _read_load_history(self, now_s: float) -> None:
        """Counts the loads of predecessors, when more witnesses than a quorum had time to report them."""
        self._is_load_history_read = True
        history = self._permits.load_history()
        if history is not None:
            self._reconciler.load_limiter.adopt(now_s, history)

    def _has_enough_reports(self, now_s: float) -> bool:
        """Returns whether all ready runners have reported, or the time for missing reports has passed."""
        runners = self._reconciler.runners.values()
        if all(state.has_reported or not state.is_ready for state in runners):
            if runners and not any(state.order_count or state.is_busy_for_predecessor for state in runners):
                self._reconciler.load_limiter.assume_unused()
            return True
        return now_s - self._lease_watch.acquired_at_s >= REPORTS_TIMEOUT_S

    def period_s(self) -> float:
        """Returns the seconds until the next round."""
        is_busy = any(
            state.order_in_progress is not None or (state.is_ready and not state.is_identified)
            for state in self._reconciler.runners.values()
        )
        return BUSY_PERIOD_S if is_busy or self._demand.has_waiting_requests() else IDLE_PERIOD_S

    # ---- Changes of the lease ----

    def _lease_acquired(self, now_s: float, fencing_token: int) -> None:
        log.info("placement.started", fencing_token=fencing_token, runners=len(self._reconciler.runners))
        self._reconciler.lease_acquired(self._permits.free_at_s, self._expected_loads)
        self._is_load_history_read = False
        if now_s - self._started_at_s < self._load_window_s:
            self._reconciler.load_limiter.assume_exhausted(now_s)

    def _lease_lost(self, now_s: float) -> None:
        self._reconciler.lease_lost(now_s)
        self._reconciler.load_limiter.has_complete_history = False
        self._publisher.reset()

"""Observed runners and orders under way in, polls and expectations out. Pure: time is an argument.

A runner takes one order at a time. What became of an order is told by its answer only in part; a report whose
`call_count` has risen and that is not occupied shows that it is done. Nothing else is ordered at that runner
before.
Each order carries the number of orders taken before it, so that of two orders of which the first had no
answer the
runner takes one at most.
"""

from __future__ import annotations

import math
from collections.abc import Container

import structlog

from ..configuration.model import Configuration
from ..runner_directory.runner_record import RunnerRecord, Stage
from .load_rate_limit import LoadRateLimiter
from .model import Order, OrderOutcome, PlacementSettings, RunnerReport
from .runner_state import OrderInProgress, PlacementState, RunnerState, held_models, loadable_names
from .service_capacity import ServiceCapacity

log = structlog.get_logger()

FIRST_POLL_S = 0.15  # between polls of a runner whose order should be done, growing to the next
LAST_POLL_S = 0.4
MOST_POLLS = 64  # at once: calls that wait for a free connection would time out there, and be made again
SILENT_POLL_S = 1.0  # between polls of a runner that does not answer
UNANSWERED_S = 1.5  # after a send without an answer, by then a report would show it, had it been taken
REST_S = 1.0  # without orders after one was refused for no known reason or a load failed
UNLOAD_S = 0.05  # an unload of a model that nobody uses
ADAPTER_S = 0.05  # a load of an adapter takes some milliseconds
LOCAL_SHARE = 0.5  # part of load_s that a load from the runner's own disk takes, before one was seen
READY_MARGIN_S = 0.03  # added to the time at which a load is expected to be done: too early costs a refusal
UNSEEN_S = 4.0  # by then check-ins tell what a finished load has brought


class Reconciler:
    """State of all runners, fed with check-ins, reports and the outcomes of orders."""

    def __init__(self, settings: PlacementSettings, load_limiter: LoadRateLimiter) -> None:
        self._settings, self.load_limiter = settings, load_limiter
        self._runners: dict[str, RunnerState] = {}
        self._disks: dict[tuple[str, str], set[str]] = {}  # (service, address) -> models loaded there
        self.capacities: dict[str, ServiceCapacity] = {}  # by service

    # ---- What is known ----

    @property
    def runners(self) -> dict[str, RunnerState]:
        """By id."""
        return self._runners

    def state(self) -> PlacementState:
        """For the planner."""
        loads = sum(self._from_store(state) for state in self._runners.values())
        return PlacementState(self._runners, self.load_limiter, loads)

    def configure(self, configuration: Configuration) -> None:
        """Takes the capacity of the services that place models."""
        self.capacities = {
            service.name: ServiceCapacity(service.runtime)
            for service in configuration.services
            if service.runtime is not None and service.runtime.models
        }

    def update_runner(self, now: float, record: RunnerRecord, holding_lease: bool = True) -> None:
        """A runner's record is new or has changed. One that is gone is forgotten.

        A process that does not hold the lease counts what others load, so that it knows the store's budget
        if it
        becomes the holder.
        """
        state = self._runners.get(record.id)
        if record.stage is Stage.GONE:
            if state is not None:
                self._forget(now, state)
            return
        if record.service not in self.capacities:
            return
        if state is None:
            self._runners[record.id] = state = RunnerState(record, held_models(record))
            self._remember(state)
            return
        state.record = record
        told = held_models(record)
        names = loadable_names(told)
        state.unconfirmed_loads = {
            name: at for name, at in state.unconfirmed_loads.items() if name not in names
        }
        state.unconfirmed_unloads = {
            name: at for name, at in state.unconfirmed_unloads.items() if name in names
        }
        if not state.is_known:
            if not holding_lease:
                self.load_limiter.observe_loads(now, len(told.keys() - state.held.keys()))
            state.held = told
            self._remember(state)

    def lease_lost(self, now: float) -> None:
        """Another placer may order from now on: nothing that was known of runners counts."""
        for state in self._runners.values():
            self.load_limiter.confirm(now, state.id)
            state.order_count, state.order_in_progress = None, None
            state.next_poll_at_s, state.poll_count, state.is_predecessor_order_counted = now, 0, False
            state.unconfirmed_loads.clear()
            state.unconfirmed_unloads.clear()

    def _forget(self, now: float, state: RunnerState) -> None:
        self.load_limiter.confirm(now, state.id)
        del self._runners[state.id]

    def _remember(self, state: RunnerState) -> None:
        state.models_on_disk.update(state.held)
        self._disks.setdefault((state.record.service, state.record.address), set()).update(state.held)

    # ---- Polls ----

    def polls(self, now: float, asked: Container[str] = (), most: int = MOST_POLLS) -> list[RunnerState]:
        """Runners whose report is wanted now, those with an order under way first; at most `most`, and none
        of `asked`, whose answers are awaited. Each is asked again only after its backoff.
        """
        due = [
            state for state in self._runners.values() if state.id not in asked and self._is_due(now, state)
        ]
        due.sort(key=lambda state: state.order_in_progress is None)
        del due[max(most, 0) :]
        for state in due:
            polled = state.order_in_progress or state
            polled.poll_count += 1
            polled.next_poll_at_s = now + _backoff(polled.poll_count)
        return due

    @staticmethod
    def _is_due(now: float, state: RunnerState) -> bool:
        if state.order_in_progress is not None:
            return now >= state.order_in_progress.next_poll_at_s
        return not state.is_known and state.is_ready and now >= state.next_poll_at_s

    def report(self, now: float, runner: str, report: RunnerReport) -> None:
        """A report has come. It is some hundred milliseconds old."""
        state = self._runners.get(runner)
        if state is None:
            return
        if state.order_in_progress is None:
            if not state.is_known:
                self._learn(now, state, report)
            return
        self._progress(now, state, state.order_in_progress, report)

    def poll_failed(self, now: float, runner: str) -> None:
        """No report came."""
        state = self._runners.get(runner)
        if state is None:
            return
        state.next_poll_at_s = now + SILENT_POLL_S
        if state.order_in_progress is not None:
            state.order_in_progress.next_poll_at_s = now + SILENT_POLL_S

    def _learn(self, now: float, state: RunnerState, report: RunnerReport) -> None:
        state.held = {model: set(adapters) for model, adapters in report.models.items()}
        self._remember(state)
        if report.is_occupied:
            if not state.is_predecessor_order_counted:
                self.load_limiter.observe_loads(
                    now
                )  # what a predecessor ordered may be a load from the store
            state.is_predecessor_order_counted = True
            return
        state.order_count, state.poll_count = report.order_count, 0

    def _progress(
        self, now: float, state: RunnerState, order_in_progress: OrderInProgress, report: RunnerReport
    ) -> None:
        base = order_in_progress.order.if_revision
        if base is None or report.order_count > base:
            order_in_progress.is_accepted = True
            self.load_limiter.confirm(now, state.id)
            if report.is_occupied:
                order_in_progress.ready_at_s = max(order_in_progress.ready_at_s, now + FIRST_POLL_S)
            else:
                self._finish(now, state, order_in_progress, report)
            return
        if report.is_occupied or order_in_progress.is_accepted:
            return
        if now - order_in_progress.sent_at_s >= UNANSWERED_S:
            order = order_in_progress.order
            log.info("order.unanswered", runner=state.id, action=order.action.value, model=order.name)
            self.load_limiter.confirm(now, state.id)
            state.order_in_progress = None
            self._adopt(state, report)

    def _finish(
        self, now: float, state: RunnerState, order_in_progress: OrderInProgress, report: RunnerReport
    ) -> None:
        order = order_in_progress.order
        self._adopt(state, report)
        state.order_in_progress = None
        present = state.holds(order.model, order.adapter)
        if present != order.is_load:
            log.warning("order.without_effect", runner=state.id, action=order.action.value, model=order.name)
            state.backoff_until_s = now + REST_S
        elif present:
            self._arrived(now, state, order)
        else:
            self._departed(now, state, order)

    def _arrived(self, now: float, state: RunnerState, order: Order) -> None:
        state.loaded_at_s[order.name] = now
        state.unconfirmed_unloads.pop(order.name, None)
        if not state.record.holds(order.model, order.adapter):
            state.unconfirmed_loads[order.name] = now

    def _departed(self, now: float, state: RunnerState, order: Order) -> None:
        state.loaded_at_s.pop(order.name, None)
        state.unconfirmed_loads.pop(order.name, None)
        if state.record.holds(order.model, order.adapter):
            state.unconfirmed_unloads[order.name] = now

    def _adopt(self, state: RunnerState, report: RunnerReport) -> None:
        state.held = {model: set(adapters) for model, adapters in report.models.items()}
        state.order_count = report.order_count
        self._remember(state)

    def assume_adapters(self, now: float) -> None:
        """Adapters whose loads were accepted and are due count as loaded, without a report.

        They arrive within milliseconds, a report shows it a few hundred later. Were one late, the runner's
        next order would be refused for it, and its report read then.
        """
        for state in self._runners.values():
            order_in_progress = state.order_in_progress
            if (
                order_in_progress is None
                or not order_in_progress.is_accepted
                or now < order_in_progress.ready_at_s
            ):
                continue
            order = order_in_progress.order
            if not order.is_load or not order.adapter or order.if_revision is None:
                continue
            state.order_in_progress = None
            state.order_count = order.if_revision + 1
            state.held.setdefault(order.model, set()).add(order.adapter)
            self._arrived(now, state, order)

    # ---- Orders ----

    def ordering(self, now: float, order: Order) -> None:
        """The order is about to be sent; from here it counts as taken until the contrary is seen."""
        state = self._runners[order.runner_id]
        if self.needs_store(order):
            self.load_limiter.reserve(now, order.runner_id)
        ready = now + self.duration(order)
        state.order_in_progress = OrderInProgress(order, now, ready, ready + self._settings.report_lag_s)

    def needs_store(self, order: Order) -> bool:
        """Whether it loads weights that this incarnation is not known to have held."""
        state = self._runners[order.runner_id]
        return order.is_load and not order.adapter and order.model not in state.models_on_disk

    def duration(self, order: Order) -> float:
        """Seconds that carrying it out is expected to take."""
        if not order.is_load:
            return UNLOAD_S
        if order.adapter:
            return ADAPTER_S
        record = self._runners[order.runner_id].record
        capacity = self.capacities.get(record.service)
        model = capacity.models.get(order.model) if capacity else None
        if capacity is None or model is None:
            return FIRST_POLL_S
        if order.model in self._disks.get((record.service, record.address), ()):
            return model.load_s * LOCAL_SHARE + READY_MARGIN_S
        parallel = 1 + sum(self._from_store(state) for state in self._runners.values())
        slowed = max(parallel / capacity.parallel_loads, 1.0)
        return model.load_s * slowed + READY_MARGIN_S

    def _from_store(self, state: RunnerState) -> bool:
        return state.order_in_progress is not None and self.needs_store(state.order_in_progress.order)

    def answered(self, now: float, order: Order, outcome: OrderOutcome) -> None:
        """The runner's answer, or that there is none."""
        state = self._runners.get(order.runner_id)
        if state is None or state.order_in_progress is None or state.order_in_progress.order is not order:
            return
        order_in_progress = state.order_in_progress
        if outcome is OrderOutcome.ACCEPTED:
            order_in_progress.is_accepted = True
            self.load_limiter.confirm(now, order.runner_id)
            return
        if outcome is OrderOutcome.UNKNOWN:
            order_in_progress.next_poll_at_s = now + self._settings.report_lag_s
            return
        self._refused(now, state, outcome)
        if outcome is OrderOutcome.OTHER_RUNNER and not order.adapter:
            self._ended(state)

    def _ended(self, state: RunnerState) -> None:
        """Its address belongs to another runner, whose report would be taken for this one's.

        For an adapter the answer may also mean that its model isn't there.
        """
        state.backoff_until_s = state.next_poll_at_s = math.inf

    def _refused(self, now: float, state: RunnerState, outcome: OrderOutcome) -> None:
        """It was not taken: what the runner holds must be learned anew."""
        self.load_limiter.release(state.id)
        state.order_in_progress, state.order_count = None, None
        state.next_poll_at_s, state.poll_count = now, 0
        if outcome is OrderOutcome.ALREADY_HELD:
            return
        state.backoff_until_s = now + REST_S
        state.next_poll_at_s = now + self._settings.report_lag_s
        log.info("order.rejected", runner=state.id, outcome=outcome.name)

    # ---- What dispatchers are told ----

    def expected(self, now: float) -> dict[str, dict[str, float]]:
        """Runner -> model or model/adapter -> when it can be used there, on the clock.

        What is being unloaded has an infinite time. What check-ins tell already has no entry.
        """
        told: dict[str, dict[str, float]] = {}
        for state in self._runners.values():
            for name, at in [*state.unconfirmed_loads.items(), *state.unconfirmed_unloads.items()]:
                if now - at > UNSEEN_S:
                    state.unconfirmed_loads.pop(name, None)
                    state.unconfirmed_unloads.pop(name, None)
            names = dict.fromkeys(state.unconfirmed_unloads, math.inf) | state.unconfirmed_loads
            if state.order_in_progress is not None:
                order = state.order_in_progress.order
                names[order.name] = state.order_in_progress.ready_at_s if order.is_load else math.inf
            if names:
                told[state.id] = names
        return told


def _backoff(polls: int) -> float:
    """Seconds until the next poll of a runner that answers."""
    return min(FIRST_POLL_S * 1.3 ** (polls - 1), LAST_POLL_S)

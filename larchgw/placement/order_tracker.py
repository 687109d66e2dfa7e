"""Tracks the order in progress at a runner; there is at most one. Times are passed as arguments.

The response to an order shows whether it was accepted, but not when it ends. It has ended once a report has a
higher order count and is not occupied. Each order carries the number of orders that were accepted before it.
If an order got no response and another one follows, the runner therefore accepts at most one of the two.
"""

from __future__ import annotations

import math

import structlog

from .load_completions import record_loaded, record_unloaded
from .load_rate_limit import LoadRateLimiter
from .model import Order, OrderOutcome, PlacementSettings, RunnerReport
from .order_duration import OrderDurations
from .polls import MIN_POLL_INTERVAL_S
from .runner_state import OrderInProgress, RunnerState

log = structlog.get_logger()

# After a send without a response; by then a report shows the order if it was accepted.
NOT_ACCEPTED_TIMEOUT_S = 1.5
BACKOFF_S = 1.0  # pause in orders to a runner after one was not accepted or had no effect


class OrderTracker:
    """Updates the state of a runner from orders, their outcomes, and reports.

    Phases of a runner and the events that change them:

    ============== ================ =================================================================
    from           to               by
    ============== ================ =================================================================
    UNKNOWN        IDLE             a report that is not occupied
    IDLE           ORDER_SENT       `start`
    ORDER_SENT     ORDER_ACCEPTED   the response 202, or a report with a higher order count
    ORDER_SENT     UNKNOWN          a response that means that the order was not accepted
    ORDER_SENT     IDLE             no response, and a late report with an unchanged order count
    ORDER_ACCEPTED IDLE             a report with a higher order count that is not occupied, or, for an
                                    adapter, its expected completion time
    any            UNKNOWN          `forget`: another process may send orders to the runner
    ============== ================ =================================================================
    """

    def __init__(
        self, settings: PlacementSettings, load_limiter: LoadRateLimiter, durations: OrderDurations
    ) -> None:
        """Creates a tracker.

        Args:
            settings: Provides the maximum age of a report.
            load_limiter: Counts loads from the weight store.
            durations: Records the models that runners hold.
        """
        self._settings, self._load_limiter, self._durations = settings, load_limiter, durations

    # ---- Orders ----

    def start(self, now_s: float, state: RunnerState, order: Order, duration_s: float) -> None:
        """Records an order that is about to be sent; it counts as accepted until shown otherwise."""
        if state.loads_from_store(order):
            self._load_limiter.reserve(now_s, state.id)
        ready_at_s = now_s + duration_s
        next_poll_at_s = ready_at_s + self._settings.report_lag_s
        state.order_in_progress = OrderInProgress(order, now_s, ready_at_s, next_poll_at_s)

    def receive_outcome(self, now_s: float, state: RunnerState, order: Order, outcome: OrderOutcome) -> None:
        """Processes the outcome of an order; outcomes of earlier orders are ignored."""
        in_progress = state.order_in_progress
        if in_progress is None or in_progress.order is not order:
            return
        if outcome is OrderOutcome.ACCEPTED:
            in_progress.is_accepted = True
            self._load_limiter.confirm(now_s, state.id)
        elif outcome is OrderOutcome.UNKNOWN:
            in_progress.next_poll_at_s = now_s + self._settings.report_lag_s
        else:
            self._reject(now_s, state, outcome)
            if outcome is OrderOutcome.OTHER_RUNNER and not order.adapter:
                _stop_calls(state)

    def _reject(self, now_s: float, state: RunnerState, outcome: OrderOutcome) -> None:
        """Records that an order was not accepted; the runner's report must be read again."""
        self._load_limiter.release(state.id)
        state.order_in_progress, state.order_count = None, None
        state.next_poll_at_s, state.poll_count = now_s, 0
        if outcome is OrderOutcome.ALREADY_HELD:
            return
        state.backoff_until_s = now_s + BACKOFF_S
        state.next_poll_at_s = now_s + self._settings.report_lag_s
        log.info("order.rejected", runner=state.id, outcome=outcome.name)

    def assume_adapter_loaded(self, now_s: float, state: RunnerState) -> None:
        """Counts an adapter as loaded at its expected completion time, without waiting for a report.

        Adapters load within milliseconds, but reports show them a few hundred milliseconds later. If a load
        takes longer, the runner rejects the next order, and its report is read then.
        """
        in_progress = state.order_in_progress
        if in_progress is None or not in_progress.is_accepted or now_s < in_progress.ready_at_s:
            return
        order = in_progress.order
        if not order.is_load or not order.adapter or order.if_revision is None:
            return
        state.order_in_progress = None
        state.order_count = order.if_revision + 1
        state.held.setdefault(order.model, set()).add(order.adapter)
        record_loaded(now_s, state, order)

    # ---- Reports ----

    def receive_report(self, now_s: float, state: RunnerState, report: RunnerReport) -> None:
        """Processes a runner's report, whose content is a few hundred milliseconds old."""
        if state.order_in_progress is not None:
            self._track_order(now_s, state, state.order_in_progress, report)
        elif not state.is_identified:
            self._identify(now_s, state, report)

    def _identify(self, now_s: float, state: RunnerState, report: RunnerReport) -> None:
        """Reads what a runner holds before it gets its first order."""
        self._read_held(state, report)
        if not report.is_occupied:
            state.order_count, state.poll_count = report.order_count, 0
            return
        is_counted = state.is_busy_for_predecessor or self._load_limiter.has_complete_history
        if not is_counted:
            self._load_limiter.observe_loads(now_s)  # a predecessor's order may be a load from the store
        state.is_busy_for_predecessor = True

    def _track_order(
        self, now_s: float, state: RunnerState, in_progress: OrderInProgress, report: RunnerReport
    ) -> None:
        """Updates the order in progress from a report."""
        expected_count = in_progress.order.if_revision
        if expected_count is None or report.order_count > expected_count:
            in_progress.is_accepted = True
            self._load_limiter.confirm(now_s, state.id)
            if report.is_occupied:
                in_progress.ready_at_s = max(in_progress.ready_at_s, now_s + MIN_POLL_INTERVAL_S)
            else:
                self._finish(now_s, state, in_progress.order, report)
            return
        is_undecided = report.is_occupied or in_progress.is_accepted
        if not is_undecided and now_s - in_progress.sent_at_s >= NOT_ACCEPTED_TIMEOUT_S:
            self._drop_unaccepted(now_s, state, in_progress.order, report)

    def _drop_unaccepted(self, now_s: float, state: RunnerState, order: Order, report: RunnerReport) -> None:
        log.info("order.unanswered", runner=state.id, action=order.action.value, model=order.name)
        self._load_limiter.confirm(now_s, state.id)
        state.order_in_progress = None
        self._read_held_and_count(state, report)

    def _finish(self, now_s: float, state: RunnerState, order: Order, report: RunnerReport) -> None:
        self._read_held_and_count(state, report)
        state.order_in_progress = None
        is_held = state.holds(order.model, order.adapter)
        if is_held != order.is_load:
            log.warning("order.without_effect", runner=state.id, action=order.action.value, model=order.name)
            state.backoff_until_s = now_s + BACKOFF_S
        elif is_held:
            record_loaded(now_s, state, order)
        else:
            record_unloaded(now_s, state, order)

    def _read_held(self, state: RunnerState, report: RunnerReport) -> None:
        state.held = {model: set(adapters) for model, adapters in report.models.items()}
        self._durations.remember_models(state)

    def _read_held_and_count(self, state: RunnerState, report: RunnerReport) -> None:
        state.order_count = report.order_count
        self._read_held(state, report)

    # ---- Changes of the lease ----

    def forget(self, now_s: float, state: RunnerState) -> None:
        """Resets the state of a runner, since another process may send orders to it from now on."""
        self._load_limiter.confirm(now_s, state.id)
        state.order_count, state.order_in_progress = None, None
        state.next_poll_at_s, state.poll_count, state.is_busy_for_predecessor = now_s, 0, False
        state.unconfirmed_loads.clear()
        state.unconfirmed_unloads.clear()
        state.predecessor_loads = frozenset()


def _stop_calls(state: RunnerState) -> None:
    """Stops orders and polls: another runner has the address, and its report would be misattributed.

    Not used for adapter orders, where the same status may mean that the model is not loaded.
    """
    state.backoff_until_s = state.next_poll_at_s = math.inf

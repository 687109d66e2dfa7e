"""What becomes of the one order that may be in progress at a runner. Pure: time is an argument.

The answer to an order shows only in part what became of it. A report whose order count has risen and that is
not occupied shows that it is done. Each order carries the number of orders taken before it, so that of two
orders of which the first had no answer the runner takes one at most.
"""

from __future__ import annotations

import math

import structlog

from .load_completions import note_loaded, note_unloaded
from .load_rate_limit import LoadRateLimiter
from .model import Order, OrderOutcome, PlacementSettings, RunnerReport
from .order_duration import OrderDurations
from .polls import MIN_POLL_INTERVAL_S
from .runner_state import OrderInProgress, RunnerState

log = structlog.get_logger()

NOT_TAKEN_AFTER_S = 1.5  # after a send without an answer: by then a report would show it, had it been taken
BACKOFF_S = 1.0  # without orders after one was rejected for no known reason, or had no effect


class OrderTracker:
    """Moves the state of single runners on, by orders, their outcomes and reports.

    The phases of a runner and what moves it between them:

    ============== ================ =================================================================
    from           to               by
    ============== ================ =================================================================
    UNKNOWN        IDLE             a report that is not occupied
    IDLE           ORDER_SENT       `start`
    ORDER_SENT     ORDER_ACCEPTED   the answer 202, or a report with a higher order count
    ORDER_SENT     UNKNOWN          an answer that says that the order was not taken
    ORDER_SENT     IDLE             no answer, and a report that would show the order, had it been taken
    ORDER_ACCEPTED IDLE             a report with a higher order count that is not occupied, or, for an
                                    adapter, the time at which it is due
    any            UNKNOWN          `forget`: another process may order there
    ============== ================ =================================================================
    """

    def __init__(
        self, settings: PlacementSettings, load_limiter: LoadRateLimiter, durations: OrderDurations
    ) -> None:
        """Makes a tracker.

        Args:
            settings: How old a report may be.
            load_limiter: Told of each load from the weight store.
            durations: Told of what runners hold.
        """
        self._settings, self._load_limiter, self._durations = settings, load_limiter, durations

    # ---- Orders ----

    def start(self, now_s: float, state: RunnerState, order: Order, duration_s: float) -> None:
        """Notes an order that is about to be sent; it counts as taken until the contrary is seen."""
        if state.loads_from_store(order):
            self._load_limiter.reserve(now_s, state.id)
        ready_at_s = now_s + duration_s
        next_poll_at_s = ready_at_s + self._settings.report_lag_s
        state.order_in_progress = OrderInProgress(order, now_s, ready_at_s, next_poll_at_s)

    def receive_outcome(self, now_s: float, state: RunnerState, order: Order, outcome: OrderOutcome) -> None:
        """Takes in the runner's answer to an order, or that there is none."""
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
                _give_up(state)

    def _reject(self, now_s: float, state: RunnerState, outcome: OrderOutcome) -> None:
        """Notes that an order was not taken: what the runner holds must be read again."""
        self._load_limiter.release(state.id)
        state.order_in_progress, state.order_count = None, None
        state.next_poll_at_s, state.poll_count = now_s, 0
        if outcome is OrderOutcome.ALREADY_HELD:
            return
        state.backoff_until_s = now_s + BACKOFF_S
        state.next_poll_at_s = now_s + self._settings.report_lag_s
        log.info("order.rejected", runner=state.id, outcome=outcome.name)

    def assume_adapter_loaded(self, now_s: float, state: RunnerState) -> None:
        """Counts an adapter whose load was accepted and is due as loaded, without a report.

        It is loaded within milliseconds, a report shows it a few hundred later. Were one late, the runner's
        next order would be rejected for it, and its report read then.
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
        note_loaded(now_s, state, order)

    # ---- Reports ----

    def receive_report(self, now_s: float, state: RunnerState, report: RunnerReport) -> None:
        """Takes in a runner's report, which is some hundred milliseconds old."""
        if state.order_in_progress is not None:
            self._follow_order(now_s, state, state.order_in_progress, report)
        elif not state.is_known:
            self._identify(now_s, state, report)

    def _identify(self, now_s: float, state: RunnerState, report: RunnerReport) -> None:
        """Reads what a runner holds before the first order there."""
        self._read_held(state, report)
        if not report.is_occupied:
            state.order_count, state.poll_count = report.order_count, 0
            return
        is_counted = state.is_busy_for_predecessor or self._load_limiter.has_complete_history
        if not is_counted:
            self._load_limiter.observe_loads(now_s)  # the order of a predecessor may be a load from the store
        state.is_busy_for_predecessor = True

    def _follow_order(
        self, now_s: float, state: RunnerState, in_progress: OrderInProgress, report: RunnerReport
    ) -> None:
        """Moves the order in progress on by a report."""
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
        if not is_undecided and now_s - in_progress.sent_at_s >= NOT_TAKEN_AFTER_S:
            self._drop_untaken(now_s, state, in_progress.order, report)

    def _drop_untaken(self, now_s: float, state: RunnerState, order: Order, report: RunnerReport) -> None:
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
            note_loaded(now_s, state, order)
        else:
            note_unloaded(now_s, state, order)

    def _read_held(self, state: RunnerState, report: RunnerReport) -> None:
        state.held = {model: set(adapters) for model, adapters in report.models.items()}
        self._durations.remember_models(state)

    def _read_held_and_count(self, state: RunnerState, report: RunnerReport) -> None:
        state.order_count = report.order_count
        self._read_held(state, report)

    # ---- Changes of the lease ----

    def forget(self, now_s: float, state: RunnerState) -> None:
        """Drops what is known of a runner, as another process may order there from now on."""
        self._load_limiter.confirm(now_s, state.id)
        state.order_count, state.order_in_progress = None, None
        state.next_poll_at_s, state.poll_count, state.is_busy_for_predecessor = now_s, 0, False
        state.unconfirmed_loads.clear()
        state.unconfirmed_unloads.clear()
        state.predecessor_loads = frozenset()


def _give_up(state: RunnerState) -> None:
    """Stops orders and polls, as the address belongs to another runner whose report would be misread.

    For an adapter the same answer may also mean that its model isn't there; then this is not done.
    """
    state.backoff_until_s = state.next_poll_at_s = math.inf

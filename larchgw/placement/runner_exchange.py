"""Sends polls and orders to runners in separate tasks, and passes the results to the reconciler."""

from __future__ import annotations

import asyncio

import structlog

from ..identifiers import RunnerId
from .lease_watch import LeaseWatch
from .model import Order, OrderOutcome
from .orders import MAX_ORDERS
from .polls import MAX_POLLS
from .reconciler import Reconciler
from .runner_state import RunnerState
from .service_runtime import PlacementRuntime

log = structlog.get_logger()

# Limit on the time between planning and sending; an older order is dropped and planned anew.
MAX_ORDER_QUEUE_S = 0.3


class RunnerExchange:
    """Calls to runners under the lease; results that arrive after a change of the lease are dropped."""

    def __init__(self, runtime: PlacementRuntime, lease_watch: LeaseWatch, reconciler: Reconciler) -> None:
        """Creates the exchange of one placement service.

        Args:
            runtime: Provides the calls to runners.
            lease_watch: Provides the current lease.
            reconciler: Receives the results.
        """
        self._runtime, self._clock = runtime, runtime.clock
        self._lease_watch, self._reconciler = lease_watch, reconciler
        self._pending_polls: set[RunnerId] = set()  # ids of runners with a poll in flight
        self._order_slots = asyncio.Semaphore(MAX_ORDERS)

    def poll_due(self, now_s: float) -> None:
        """Starts the polls that are due."""
        limit = MAX_POLLS - len(self._pending_polls)
        for state in self._reconciler.due_polls(now_s, self._pending_polls, limit):
            self._pending_polls.add(state.id)
            self._runtime.spawn(self._poll(state))

    async def _poll(self, state: RunnerState) -> None:
        fencing_token = self._lease_watch.fencing_token
        try:
            report = await self._runtime.calls.report(state.id, state.record.address)
        finally:
            self._pending_polls.discard(state.id)
        if fencing_token != self._lease_watch.fencing_token:
            return
        if report is None:
            self._reconciler.poll_failed(self._clock(), state.id)
        else:
            self._reconciler.receive_report(self._clock(), state.id, report)

    async def send_order(self, order: Order, fencing_token: int) -> None:
        """Announces an order that the reconciler has recorded, and sends it; at most MAX_ORDERS concurrently.

        Args:
            order: The order.
            fencing_token: Fencing token of the lease under which it was planned. It is not sent under
                another lease.
        """
        planned_at_s = self._clock()
        async with self._order_slots:
            await self._runtime.permits.announce(order.runner_id, self._reconciler.loads_from_store(order))
            lease = self._lease_watch.current()  # checked again: the lease may have ended during the wait
            if lease is None or lease.fencing_token != fencing_token:
                return
            begin_by_s = self._runtime.permits.permitted_until_s(order.runner_id)
            if self._clock() >= min(begin_by_s, planned_at_s + MAX_ORDER_QUEUE_S):
                outcome = OrderOutcome.UNSENT
            else:
                log.info("order.sent", runner=order.runner_id, action=order.action.value, model=order.name)
                outcome = await self._runtime.calls.order(order, fencing_token, begin_by_s)
        if fencing_token != self._lease_watch.fencing_token:
            return
        if outcome is OrderOutcome.FENCED:
            log.warning("order.fenced", runner=order.runner_id, fencing_token=fencing_token)
            self._lease_watch.supersede(fencing_token)
        self._reconciler.receive_outcome(self._clock(), order, outcome)

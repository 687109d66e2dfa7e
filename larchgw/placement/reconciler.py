"""Maintains the state of all runners from check-ins, reports and outcomes of orders.

It also provides the polls that are due and the expected completions of loads. Times are arguments, in seconds
on the monotonic clock. The package's docstring describes the control loop, and `OrderTracker` the phases of a
runner.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Container

from ..configuration.model import Configuration
from ..identifiers import RunnerId
from ..runner_directory.runner_record import RunnerRecord, Stage
from .errors import InvalidStateError
from .load_completions import confirm_by_check_in, expected_load_completions
from .load_rate_limit import LoadRateLimiter
from .model import Order, OrderOutcome, PlacementSettings, RunnerReport
from .order_duration import OrderDurations
from .order_tracker import OrderTracker
from .polls import MAX_POLLS, due_polls, postpone_poll
from .runner_state import PlacementState, RunnerPhase, RunnerState, held_models, loadable_names
from .service_capacity import ServiceCapacity


class Reconciler:
    """State of all runners.

    Attributes:
        load_limiter: Rate limit on loads from the weight store.
        capacities: Capacity of one runner, by the name of its service.
    """

    def __init__(self, settings: PlacementSettings, load_limiter: LoadRateLimiter) -> None:
        """Starts without runners.

        Args:
            settings: Limits of the deployment.
            load_limiter: Counts loads from the weight store.
        """
        self.load_limiter = load_limiter
        self.capacities: dict[str, ServiceCapacity] = {}
        self._runners: dict[RunnerId, RunnerState] = {}
        self._durations = OrderDurations(self._loads_in_progress)
        self._orders = OrderTracker(settings, load_limiter, self._durations)

    # ---- State ----

    @property
    def runners(self) -> dict[RunnerId, RunnerState]:
        """All runners by id."""
        return self._runners

    def placement_state(self) -> PlacementState:
        """Returns the current state for the planner."""
        return PlacementState(self._runners, self.load_limiter, self._loads_in_progress())

    def configure(self, configuration: Configuration) -> None:
        """Reads the capacity of the services that place models."""
        self.capacities = {
            service.name: ServiceCapacity(service.runtime)
            for service in configuration.services
            if service.runtime is not None and service.runtime.models
        }

    def update_runner(self, now_s: float, record: RunnerRecord, has_lease: bool = True) -> None:
        """Updates a runner from its new record, or removes it if it is gone.

        Args:
            now_s: Current time.
            record: The runner's latest record.
            has_lease: Whether this process holds the lease. A process without it counts the loads of others,
                so that it knows the store's budget if it acquires the lease.
        """
        state = self._runners.get(RunnerId(record.id))
        if record.stage is Stage.GONE:
            if state is not None:
                self._remove(now_s, state)
        elif record.service not in self.capacities:
            return
        elif state is None:
            self._add(record)
        else:
            self._update(now_s, state, record, has_lease)

    def _add(self, record: RunnerRecord) -> None:
        state = RunnerState(record, held_models(record))
        self._runners[state.id] = state
        self._durations.remember_models(state)

    def _update(self, now_s: float, state: RunnerState, record: RunnerRecord, has_lease: bool) -> None:
        state.record = record
        held = held_models(record)
        confirm_by_check_in(state, loadable_names(held))
        if state.is_identified:
            return
        if not has_lease:
            self.load_limiter.observe_loads(now_s, len(held.keys() - state.held.keys()))
        state.held = held
        self._durations.remember_models(state)

    def _remove(self, now_s: float, state: RunnerState) -> None:
        self.load_limiter.confirm(now_s, state.id)
        del self._runners[state.id]

    def lease_acquired(
        self, free_at_s: Callable[[RunnerId], float], expected_loads: Callable[[RunnerId], Collection[str]]
    ) -> None:
        """Takes over from a possible previous lease holder.

        Args:
            free_at_s: Returns the time from which a runner may get orders.
            expected_loads: Returns the `loadable_name` of the loads that were expected at a runner.
        """
        for state in self._runners.values():
            state.backoff_until_s = max(state.backoff_until_s, free_at_s(state.id))
            state.predecessor_loads = frozenset(expected_loads(state.id))

    def lease_lost(self, now_s: float) -> None:
        """Resets the state of all runners, since another process may send orders from now on."""
        for state in self._runners.values():
            self._orders.forget(now_s, state)

    # ---- Polls ----

    def due_polls(
        self, now_s: float, pending: Container[RunnerId] = (), limit: int = MAX_POLLS
    ) -> list[RunnerState]:
        """Returns the runners to poll now; see `polls.due_polls`."""
        return due_polls(now_s, self._runners.values(), pending, limit)

    def receive_report(self, now_s: float, runner_id: RunnerId, report: RunnerReport) -> None:
        """Processes a runner's report, whose content is a few hundred milliseconds old."""
        state = self._runners.get(runner_id)
        if state is not None:
            self._orders.receive_report(now_s, state, report)

    def poll_failed(self, now_s: float, runner_id: RunnerId) -> None:
        """Records that a poll returned no report."""
        state = self._runners.get(runner_id)
        if state is not None:
            postpone_poll(now_s, state)

    # ---- Orders ----

    def start_order(self, now_s: float, order: Order) -> None:
        """Records an order that is about to be sent; it counts as accepted until shown otherwise."""
        self._orders.start(now_s, self._runners[order.runner_id], order, self.expected_duration_s(order))

    def receive_outcome(self, now_s: float, order: Order, outcome: OrderOutcome) -> None:
        """Processes the outcome of an order."""
        state = self._runners.get(order.runner_id)
        if state is not None:
            self._orders.receive_outcome(now_s, state, order, outcome)

    def assume_adapters_loaded(self, now_s: float) -> None:
        """Counts adapters as loaded at the expected end of their accepted orders, without a report."""
        for state in self._runners.values():
            self._orders.assume_adapter_loaded(now_s, state)

    def expected_duration_s(self, order: Order) -> float:
        """Returns the expected duration of an order, in seconds."""
        state = self._runners[order.runner_id]
        capacity = self.capacities.get(state.record.service)
        return self._durations.expected_s(order, state, capacity)

    def loads_from_store(self, order: Order) -> bool:
        """Returns whether an order loads weights that its runner is not known to have held."""
        state = self._runners.get(order.runner_id)
        return state is None or state.loads_from_store(order)

    def _loads_in_progress(self) -> int:
        return sum(state.is_loading_from_store for state in self._runners.values())

    # ---- Published completions ----

    def expected_completions(self, now_s: float) -> dict[RunnerId, dict[str, float]]:
        """Returns the expected completions; see `load_completions.expected_load_completions`."""
        return expected_load_completions(now_s, self._runners.values())

    # ---- Invariants ----

    def validate_state(self) -> None:
        """Checks the invariants that hold between two calls; for tests.

        Raises:
            InvalidStateError: An invariant is violated.
        """
        for runner_id, state in self._runners.items():
            for rule, holds in self._invariants(runner_id, state).items():
                if not holds:
                    raise InvalidStateError(runner_id, rule)
        gone = self.load_limiter.reserved_runner_ids() - self._runners.keys()
        if gone:
            raise InvalidStateError(min(gone), "a load is reserved only for a runner that is known")

    def _invariants(self, runner_id: RunnerId, state: RunnerState) -> dict[str, bool]:
        in_progress = state.order_in_progress
        is_untaken_store_load = (
            in_progress is not None
            and state.phase is RunnerPhase.ORDER_SENT
            and state.loads_from_store(in_progress.order)
        )
        is_reserved = runner_id in self.load_limiter.reserved_runner_ids()
        unconfirmed_both = state.unconfirmed_loads.keys() & state.unconfirmed_unloads.keys()
        return {
            "it is stored under its own id": runner_id == state.id,
            "a runner that is gone is removed": state.record.stage is not Stage.GONE,
            "its order is addressed to it": in_progress is None or in_progress.order.runner_id == runner_id,
            "an order is in progress only while its loaded models are known": in_progress is None
            or state.is_identified,
            "a load is reserved exactly while it may still start at the store": is_reserved
            == is_untaken_store_load,
            "nothing is an unconfirmed load and an unconfirmed unload at once": not unconfirmed_both,
            "its loaded models are on its disk": state.held.keys() <= state.models_on_disk,
        }

"""State of each runner: loaded models and adapters, the order in progress, and the remaining capacity.

Memory and adapter slots are counted for the worst case: a load uses memory before its order is sent, and an
unload frees it only when a report shows that it is complete.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Set
from dataclasses import dataclass, field
from enum import Enum, auto

from ..identifiers import RunnerId
from ..runner_directory.runner_record import RunnerRecord, Stage
from .load_rate_limit import LoadRateLimiter
from .model import Order, loadable_name
from .service_capacity import ServiceCapacity

MEMORY_MARGIN_MB = 0.001  # allows for rounding at the runner


class RunnerPhase(Enum):
    """What is known about a runner and the order in progress there."""

    UNKNOWN = auto()  # no report has shown its loaded models: it gets no order
    IDLE = auto()  # its loaded models are known and no order is in progress: it may get one
    ORDER_SENT = auto()  # an order was sent; whether the runner has accepted it is not known
    ORDER_ACCEPTED = auto()  # the runner has accepted the order; its end was not seen


@dataclass(slots=True)
class OrderInProgress:
    """An order that was sent and whose end was not seen. Times are on the monotonic clock, in seconds.

    Attributes:
        order: The order.
        sent_at_s: Send time.
        ready_at_s: Expected completion time.
        next_poll_at_s: Time of the next poll of the runner.
        poll_count: Number of polls since the order was sent.
        is_accepted: Whether a 202 response or a report has shown that the runner accepted it.
    """

    order: Order
    sent_at_s: float
    ready_at_s: float
    next_poll_at_s: float
    poll_count: int = 0
    is_accepted: bool = False


@dataclass(slots=True)
class RunnerState:
    """One incarnation of a runner. Times are on the monotonic clock, in seconds.

    Attributes:
        id: Id of the incarnation.
        record: Its latest record.
        held: Loaded model -> loaded adapters, from its latest report or, before the first, its check-ins.
        order_count: Number of orders that it has accepted; None until a report has shown it.
        order_in_progress: The order that may be in progress; there is at most one.
        loaded_at_s: `loadable_name` -> time at which a load ordered by this process was seen to be complete.
        models_on_disk: Models that this incarnation has held; loading them again does not use the store.
        next_poll_at_s: Time of the next poll, while its loaded models are not known.
        poll_count: Number of polls, while its loaded models are not known.
        is_busy_for_predecessor: Whether its reports show that an order of a previous lease holder is in
            progress. Until that ends, its loaded models are not known.
        predecessor_loads: `loadable_name` of loads that a previous lease holder had ordered when this process
            acquired the lease.
        backoff_until_s: Time before which it gets no order, after a rejection or an order without effect.
        unconfirmed_loads: `loadable_name` -> completion time of a load that no check-in lists yet.
        unconfirmed_unloads: `loadable_name` -> completion time of an unload whose model or adapter check-ins
            still list.
    """

    record: RunnerRecord
    held: dict[str, set[str]] = field(default_factory=dict)
    order_count: int | None = None
    order_in_progress: OrderInProgress | None = None
    loaded_at_s: dict[str, float] = field(default_factory=dict)
    models_on_disk: set[str] = field(default_factory=set)
    next_poll_at_s: float = 0.0
    poll_count: int = 0
    is_busy_for_predecessor: bool = False
    predecessor_loads: frozenset[str] = frozenset()
    backoff_until_s: float = 0.0
    unconfirmed_loads: dict[str, float] = field(default_factory=dict)
    unconfirmed_unloads: dict[str, float] = field(default_factory=dict)
    id: RunnerId = field(init=False)

    def __post_init__(self) -> None:
        """Sets the id from the first record; all later records have the same id."""
        self.id = RunnerId(self.record.id)

    @property
    def phase(self) -> RunnerPhase:
        """Current phase."""
        if self.order_in_progress is not None:
            is_accepted = self.order_in_progress.is_accepted
            return RunnerPhase.ORDER_ACCEPTED if is_accepted else RunnerPhase.ORDER_SENT
        return RunnerPhase.UNKNOWN if self.order_count is None else RunnerPhase.IDLE

    @property
    def is_identified(self) -> bool:
        """Whether a report has shown its loaded models."""
        return self.order_count is not None

    @property
    def has_reported(self) -> bool:
        """Whether it has reported under the current lease, even if only an order in progress."""
        return self.is_identified or self.is_busy_for_predecessor

    @property
    def is_ready(self) -> bool:
        """Whether it is in the stage READY."""
        return self.record.stage is Stage.READY

    def can_take_order(self, now_s: float) -> bool:
        """Returns whether it may be sent an order now."""
        return self.is_ready and self.phase is RunnerPhase.IDLE and now_s >= self.backoff_until_s

    def holds(self, model: str, adapter: str = "") -> bool:
        """Returns whether it has the model or adapter loaded and is not unloading it."""
        if model not in self.held or (adapter and adapter not in self.held[model]):
            return False
        return not self.is_unloading(model, adapter)

    def is_unloading(self, model: str, adapter: str = "") -> bool:
        """Returns whether an unload of the model or adapter, or of the adapter's model, is in progress."""
        order = self.order_in_progress.order if self.order_in_progress else None
        return (
            order is not None
            and not order.is_load
            and order.model == model
            and order.adapter in ("", adapter)
        )

    def is_loading(self, model: str, adapter: str = "") -> bool:
        """Returns whether a load of it is in progress, or may be, by order of a previous lease holder."""
        if loadable_name(model, adapter) in self.loads_of_predecessor():
            return True
        order = self.order_in_progress.order if self.order_in_progress else None
        return order is not None and order.is_load and (order.model, order.adapter) == (model, adapter)

    def loads_of_predecessor(self) -> Set[str]:
        """Returns the `loadable_name` of loads of a previous lease holder that may be in progress.

        The set is empty once a report has shown the loaded models.
        """
        if self.is_identified:
            return frozenset()
        return self.predecessor_loads - loadable_names(self.held)

    def loads_from_store(self, order: Order) -> bool:
        """Returns whether the order loads weights that this incarnation is not known to have held."""
        return order.is_load and not order.adapter and order.model not in self.models_on_disk

    @property
    def is_loading_from_store(self) -> bool:
        """Whether a load from the weight store is in progress."""
        return self.order_in_progress is not None and self.loads_from_store(self.order_in_progress.order)

    def used_mb(self, capacity: ServiceCapacity) -> float:
        """Returns the memory used by weights and adapters, including a load in progress."""
        return sum(
            capacity.model_mb(model) + len(adapters) * capacity.adapter_mb(model)
            for model, adapters in self._held_in_worst_case().items()
        )

    def used_adapter_slots(self) -> int:
        """Returns the number of adapter slots in use, including a load in progress."""
        return sum(len(adapters) for adapters in self._held_in_worst_case().values())

    def _held_in_worst_case(self) -> dict[str, set[str]]:
        order = self.order_in_progress.order if self.order_in_progress else None
        if order is None or not order.is_load:
            return self.held
        worst = {model: set(adapters) for model, adapters in self.held.items()}
        adapters = worst.setdefault(order.model, set())
        if order.adapter:
            adapters.add(order.adapter)
        return worst

    def has_capacity_for(self, capacity: ServiceCapacity, model: str, adapter: str = "") -> bool:
        """Returns whether there is enough memory, and for an adapter a free slot, for this load."""
        if adapter and self.used_adapter_slots() >= capacity.runtime.adapter_slots:
            return False
        required_mb = capacity.adapter_mb(model) if adapter else capacity.model_mb(model)
        return self.used_mb(capacity) + required_mb <= capacity.runtime.weights_mb - MEMORY_MARGIN_MB


@dataclass(slots=True)
class PlacementState:
    """The current state of the runners, which the planner compares with demand.

    Attributes:
        runners: All runners by id.
        load_limiter: Rate limit on loads from the weight store.
        loads_in_progress: Number of loads from the weight store in progress.
    """

    runners: Mapping[RunnerId, RunnerState]
    load_limiter: LoadRateLimiter
    loads_in_progress: int = 0

    def ready_runners(self, service: str) -> list[RunnerState]:
        """Returns the ready runners of a service."""
        return [
            state for state in self.runners.values() if state.record.service == service and state.is_ready
        ]


def held_models(record: RunnerRecord) -> dict[str, set[str]]:
    """Returns the models that a record lists, each with its adapters."""
    return {held.name: set(held.adapters) for held in record.models}


def loadable_names(held: Mapping[str, Iterable[str]]) -> set[str]:
    """Returns the `loadable_name` of all models and adapters in `held`."""
    return {loadable_name(model, adapter) for model, adapters in held.items() for adapter in ("", *adapters)}

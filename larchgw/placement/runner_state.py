"""What is known of each runner: what it holds, which order is in progress there, what it may hold next.

Memory and adapter slots are counted for the worst case: a load counts from before its order is sent, an
unload only once a report shows that it is done.
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

MEMORY_MARGIN_MB = 0.001  # against rounding at the runner


class RunnerPhase(Enum):
    """How far what is known of a runner allows to order there."""

    UNKNOWN = auto()  # no report that shows what it holds has come: it gets no order
    IDLE = auto()  # known, and no order is in progress: it may get one
    ORDER_SENT = auto()  # an order was sent; whether the runner has taken it is not known
    ORDER_ACCEPTED = auto()  # the runner has taken the order; its end has not been seen


@dataclass(slots=True)
class OrderInProgress:
    """An order that was sent and whose end has not been seen. Times are on the monotonic clock, in seconds.

    Attributes:
        order: The order.
        sent_at_s: When it was sent.
        ready_at_s: When it is expected to be done.
        next_poll_at_s: When the runner's report is wanted next.
        poll_count: Reports asked for since it was sent.
        is_accepted: A 202 came, or a report shows that it was taken.
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
        id: The incarnation's id.
        record: Its newest check-in.
        held: Model -> adapters that it holds, by its newest report or, before the first, by its check-ins.
        order_count: Orders that it has taken; None until a report has shown it.
        order_in_progress: The one order that may be in progress there.
        loaded_at_s: `loadable_name` -> when a load that this process ordered was seen to be done.
        models_on_disk: Models that this incarnation has held, so that loading them again spares the store.
        next_poll_at_s: When its report is wanted next, while what it holds is not known.
        poll_count: Reports asked for, while what it holds is not known.
        is_busy_for_predecessor: Whether its reports show an order of another process in progress; while they
            do, what it holds is not known.
        predecessor_loads: `loadable_name` of what another placer had ordered to be loaded there, when this
            process took over.
        backoff_until_s: No order before, after a rejection or an order without effect.
        unconfirmed_loads: `loadable_name` -> when its load was done, until a check-in shows it.
        unconfirmed_unloads: `loadable_name` -> when its unload was done, while check-ins still list it.
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
        """Takes the id from the first record; later ones bear the same."""
        self.id = RunnerId(self.record.id)

    @property
    def phase(self) -> RunnerPhase:
        """How far what is known of it allows to order there."""
        if self.order_in_progress is not None:
            is_accepted = self.order_in_progress.is_accepted
            return RunnerPhase.ORDER_ACCEPTED if is_accepted else RunnerPhase.ORDER_SENT
        return RunnerPhase.UNKNOWN if self.order_count is None else RunnerPhase.IDLE

    @property
    def is_known(self) -> bool:
        """Whether a report has shown what it holds."""
        return self.order_count is not None

    @property
    def has_reported(self) -> bool:
        """Whether a report has come since this process may order, of an order in progress at the least."""
        return self.is_known or self.is_busy_for_predecessor

    @property
    def is_ready(self) -> bool:
        """Whether it serves and is not about to leave."""
        return self.record.stage is Stage.READY

    def can_take_order(self, now_s: float) -> bool:
        """Whether it can be sent an order now."""
        return self.is_ready and self.phase is RunnerPhase.IDLE and now_s >= self.backoff_until_s

    def holds(self, model: str, adapter: str = "") -> bool:
        """Whether it holds this and is not giving it up."""
        if model not in self.held or (adapter and adapter not in self.held[model]):
            return False
        return not self.is_unloading(model, adapter)

    def is_unloading(self, model: str, adapter: str = "") -> bool:
        """Whether an unload of it, or of its model, is in progress."""
        order = self.order_in_progress.order if self.order_in_progress else None
        return (
            order is not None
            and not order.is_load
            and order.model == model
            and order.adapter in ("", adapter)
        )

    def is_loading(self, model: str, adapter: str = "") -> bool:
        """Whether a load of it is in progress, or may be by order of a predecessor."""
        if loadable_name(model, adapter) in self.loads_of_predecessor():
            return True
        order = self.order_in_progress.order if self.order_in_progress else None
        return order is not None and order.is_load and (order.model, order.adapter) == (model, adapter)

    def loads_of_predecessor(self) -> Set[str]:
        """Returns the `loadable_name` of what may be loading by order of a predecessor.

        Once a report shows what the runner holds, nothing is.
        """
        if self.is_known:
            return frozenset()
        return self.predecessor_loads - loadable_names(self.held)

    def loads_from_store(self, order: Order) -> bool:
        """Whether the order loads weights that this incarnation is not known to have held."""
        return order.is_load and not order.adapter and order.model not in self.models_on_disk

    @property
    def is_loading_from_store(self) -> bool:
        """Whether a load from the weight store is in progress."""
        return self.order_in_progress is not None and self.loads_from_store(self.order_in_progress.order)

    def used_mb(self, capacity: ServiceCapacity) -> float:
        """Returns the memory for weights and adapters, with what is being loaded."""
        return sum(
            capacity.model_mb(model) + len(adapters) * capacity.adapter_mb(model)
            for model, adapters in self._held_at_worst().items()
        )

    def used_adapter_slots(self) -> int:
        """Returns the slots for adapters in use, with what is being loaded."""
        return sum(len(adapters) for adapters in self._held_at_worst().values())

    def _held_at_worst(self) -> dict[str, set[str]]:
        order = self.order_in_progress.order if self.order_in_progress else None
        if order is None or not order.is_load:
            return self.held
        worst = {model: set(adapters) for model, adapters in self.held.items()}
        adapters = worst.setdefault(order.model, set())
        if order.adapter:
            adapters.add(order.adapter)
        return worst

    def has_capacity_for(self, capacity: ServiceCapacity, model: str, adapter: str = "") -> bool:
        """Whether there is memory, and a slot for an adapter, for this load now."""
        if adapter and self.used_adapter_slots() >= capacity.runtime.adapter_slots:
            return False
        required_mb = capacity.adapter_mb(model) if adapter else capacity.model_mb(model)
        return self.used_mb(capacity) + required_mb <= capacity.runtime.weights_mb - MEMORY_MARGIN_MB


@dataclass(slots=True)
class PlacementState:
    """The current state that the planner compares with demand.

    Attributes:
        runners: All runners by id.
        load_limiter: The weight store's budget.
        loads_in_progress: Loads from the weight store that are in progress.
    """

    runners: Mapping[RunnerId, RunnerState]
    load_limiter: LoadRateLimiter
    loads_in_progress: int = 0

    def ready_runners(self, service: str) -> list[RunnerState]:
        """Returns the runners of a service that serve."""
        return [
            state for state in self.runners.values() if state.record.service == service and state.is_ready
        ]


def held_models(record: RunnerRecord) -> dict[str, set[str]]:
    """Returns model -> adapters that a check-in lists."""
    return {held.name: set(held.adapters) for held in record.models}


def loadable_names(held: Mapping[str, Iterable[str]]) -> set[str]:
    """Returns the names of all models and adapters in `held`, as `loadable_name` writes them."""
    return {loadable_name(model, adapter) for model, adapters in held.items() for adapter in ("", *adapters)}

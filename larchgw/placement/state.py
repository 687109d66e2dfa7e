"""What the placer believes of each runner: what it holds, what is ordered there, what it may hold next.

Memory and adapter places are counted for the worst case: a load counts from before its order is sent, an
unload only
once a report shows that it is done.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from ..configuration.model import Runtime
from ..runner_directory.runner_record import RunnerRecord, Stage
from .load_rate_limit import LoadRateLimiter
from .model import Order, loadable_name

MEMORY_MARGIN_MB = 0.001  # against rounding at the runner


@dataclass(slots=True)
class UnderWay:
    """An order that was sent and whose end has not been seen. Times are on the monotonic clock."""

    order: Order
    sent_at: float
    ready_at: float  # when it is expected to be done
    poll_at: float
    polls: int = 0
    accepted: bool = False  # a 202 came, or a report shows that it was taken


class Terms:
    """What a service's runners can hold, with its models by name."""

    def __init__(self, runtime: Runtime) -> None:
        self.runtime = runtime
        self.models = {model.name: model for model in runtime.models}
        self._largest_mb = max((model.weights_mb for model in runtime.models), default=0.0)
        self._largest_adapter_mb = max((model.adapter_mb for model in runtime.models), default=0.0)
        self.longest_load_s = max((model.load_s for model in runtime.models), default=0.0)

    def weight_mb(self, name: str) -> float:
        """Weights of a model; of one that the configuration lacks, the most that any has."""
        model = self.models.get(name)
        return self._largest_mb if model is None else model.weights_mb

    def adapter_mb(self, name: str) -> float:
        """One adapter of a model; of an unknown one, the most that any has."""
        model = self.models.get(name)
        return self._largest_adapter_mb if model is None else model.adapter_mb

    @property
    def parallel_loads(self) -> int:
        """Loads at once that the store is expected to serve at full speed: what its rate keeps under way."""
        return max(math.ceil(self.runtime.loads_per_s * self.longest_load_s), 1)


@dataclass(slots=True)
class RunnerState:
    """One incarnation of a runner."""

    record: RunnerRecord
    held: dict[str, set[str]] = field(default_factory=dict)  # model -> adapters
    order_count: int | None = None  # orders taken; None until a report has told it
    under_way: UnderWay | None = None
    since: dict[str, float] = field(default_factory=dict)  # held_name -> when it was loaded by us
    was_held: set[str] = field(default_factory=set)  # models that are on this incarnation's own disk
    poll_at: float = 0.0  # when it may next be asked what it holds, while that is not known
    polls: int = 0
    predecessor_counted: bool = False  # whether its order under way was counted at the store
    rest_until: float = 0.0  # no order before, after a failure
    arrived: dict[str, float] = field(default_factory=dict)  # loaded, but its check-in does not tell so yet
    departed: dict[str, float] = field(default_factory=dict)  # unloaded, but its check-in still lists it

    @property
    def id(self) -> str:
        """The incarnation's id."""
        return self.record.id

    @property
    def is_known(self) -> bool:
        """Whether a report has told what it holds."""
        return self.order_count is not None

    @property
    def is_ready(self) -> bool:
        """Whether it serves and is not about to leave."""
        return self.record.stage is Stage.READY

    def may_order(self, now: float) -> bool:
        """Whether it can be sent an order now."""
        return self.is_ready and self.is_known and self.under_way is None and now >= self.rest_until

    def holds(self, model: str, adapter: str = "") -> bool:
        """Whether it holds this and is not giving it up."""
        if model not in self.held or (adapter and adapter not in self.held[model]):
            return False
        return not self.is_leaving(model, adapter)

    def is_leaving(self, model: str, adapter: str = "") -> bool:
        """Whether an unload of it, or of its model, is under way."""
        order = self.under_way.order if self.under_way else None
        return (
            order is not None
            and not order.is_load
            and order.model == model
            and order.adapter in ("", adapter)
        )

    def is_coming(self, model: str, adapter: str = "") -> bool:
        """Whether a load of it is under way."""
        order = self.under_way.order if self.under_way else None
        return order is not None and order.is_load and (order.model, order.adapter) == (model, adapter)

    def used_mb(self, terms: Terms) -> float:
        """Memory for weights and adapters, with what is on its way."""
        return sum(
            terms.weight_mb(model) + len(adapters) * terms.adapter_mb(model)
            for model, adapters in self._worst().items()
        )

    def used_slots(self) -> int:
        """Places for adapters, with what is on its way."""
        return sum(len(adapters) for adapters in self._worst().values())

    def _worst(self) -> dict[str, set[str]]:
        order = self.under_way.order if self.under_way else None
        if order is None or not order.is_load:
            return self.held
        worst = {model: set(adapters) for model, adapters in self.held.items()}
        adapters = worst.setdefault(order.model, set())
        if order.adapter:
            adapters.add(order.adapter)
        return worst

    def fits(self, terms: Terms, model: str, adapter: str = "") -> bool:
        """Whether there is room for this load now."""
        if adapter and self.used_slots() >= terms.runtime.adapter_slots:
            return False
        need = terms.adapter_mb(model) if adapter else terms.weight_mb(model)
        return self.used_mb(terms) + need <= terms.runtime.weights_mb - MEMORY_MARGIN_MB


def held_by(record: RunnerRecord) -> dict[str, set[str]]:
    """What a check-in tells."""
    return {held.name: set(held.adapters) for held in record.models}


@dataclass(slots=True)
class PlacementState:
    """All runners, and the store's budget."""

    runners: Mapping[str, RunnerState]
    load_limiter: LoadRateLimiter
    parallel_loads: int = 0  # loads from the store that are under way

    def of_service(self, service: str) -> list[RunnerState]:
        """Its runners that serve."""
        return [
            state for state in self.runners.values() if state.record.service == service and state.is_ready
        ]


def names_of(held: Mapping[str, Iterable[str]]) -> set[str]:
    """All models and adapters, as held_name writes them."""
    return {loadable_name(model, adapter) for model, adapters in held.items() for adapter in ("", *adapters)}

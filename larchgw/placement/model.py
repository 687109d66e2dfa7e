"""Data types of this package: orders, their outcomes, runners' reports and settings."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, StrEnum, auto

from ..identifiers import RunnerId


class OrderAction(StrEnum):
    """The action of an order; the values are those of "order" in the body of POST /order."""

    LOADING = "loading"
    UNLOADING = "unloading"


def loadable_name(model: str, adapter: str = "") -> str:
    """Returns the name of a model, or of one of its adapters, as the X-Model header writes it."""
    return f"{model}/{adapter}" if adapter else model


@dataclass(frozen=True, slots=True)
class Order:
    """One load or unload, ordered at one runner.

    Attributes:
        runner_id: Id of the runner incarnation that executes the order.
        address: `host:port` of that runner.
        action: Load or unload.
        model: The model to load or unload, or the model of the adapter.
        adapter: The adapter; empty for the model itself.
        if_revision: Number of orders that the runner must have accepted before; it rejects the order if the
            number differs. None for any.
        makes_room_for: For an unload, the `loadable_name` to be loaded into the freed memory.
    """

    runner_id: RunnerId
    address: str
    action: OrderAction
    model: str
    adapter: str = ""
    if_revision: int | None = None
    makes_room_for: str = ""

    @property
    def name(self) -> str:
        """The `loadable_name` of the model or adapter."""
        return loadable_name(self.model, self.adapter)

    @property
    def is_load(self) -> bool:
        """Whether the order is a load."""
        return self.action == OrderAction.LOADING


class OrderOutcome(Enum):
    """What the response, or its absence, shows about an order.

    The member names are logged.
    """

    ACCEPTED = auto()  # 202: the runner executes it
    ALREADY_HELD = auto()  # 200: nothing to do
    CONFLICT = auto()  # 409: another order is in progress, or if_revision differs
    FENCED = auto()  # 412: the runner has seen an order with a higher fencing token
    REJECTED = auto()  # 400 or another status that means that it was not accepted
    OTHER_RUNNER = auto()  # 421: another runner has the address now
    UNSENT = auto()  # no connection, so no byte was sent
    UNKNOWN = auto()  # no usable response: it may have been accepted


@dataclass(frozen=True, slots=True)
class RunnerReport:
    """A runner's response to GET /report; its content is a few hundred milliseconds old.

    Attributes:
        models: Loaded models, each with its loaded adapters.
        is_occupied: Whether an order is in progress.
        order_count: Orders that this incarnation of the runner has accepted ("call_count" on the wire).
        queued: Requests that wait at the runner.
        in_progress: Requests that run at the runner.
    """

    models: dict[str, frozenset[str]]
    is_occupied: bool
    order_count: int
    queued: int = 0
    in_progress: int = 0


@dataclass(frozen=True, slots=True)
class PlacementSettings:
    """Limits of a deployment and parameters of the planner.

    Prices and values have the same unit: a request of the lowest priority that is served in time has the
    value 1.

    Attributes:
        load_window_s: Length of the sliding window over loads from the weight store ("ceiling_window_s").
        load_rate_factor: Factor by which loads in a window may exceed the store's rate ("origin_rate_cap").
        load_price: Price of one load of weights.
        order_price: Price of one order.
        late_cost: Share of its value that a request loses when it waits for a load.
        horizon_s: Time for which a placement is expected to be useful.
        headroom: Factor on the number of replicas that a model's share of all work requires.
        busy_requests_per_s: Rate from which a model gets a second replica.
        order_timeout_s: An order without a response after this time has an unknown outcome.
        report_lag_s: Maximum age of the content of a report.
    """

    load_window_s: float = 5.0
    load_rate_factor: float = 1.1
    load_price: float = 0.36
    order_price: float = 0.036
    late_cost: float = 0.5
    horizon_s: float = 15.0
    headroom: float = 1.3
    busy_requests_per_s: float = 0.5
    order_timeout_s: float = 0.8
    report_lag_s: float = 0.2

"""Values that the modules of this package exchange: orders, their outcomes, runners' reports and settings."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, StrEnum, auto

from ..identifiers import RunnerId


class OrderAction(StrEnum):
    """What an order asks a runner to do; the value is the text of "order" in the body of POST /order."""

    LOADING = "loading"
    UNLOADING = "unloading"


def loadable_name(model: str, adapter: str = "") -> str:
    """Returns the name of a model, or of one of its adapters, as the X-Model header writes it."""
    return f"{model}/{adapter}" if adapter else model


@dataclass(frozen=True, slots=True)
class Order:
    """One load or unload, ordered at one runner.

    Attributes:
        runner_id: The incarnation of the runner that is to carry it out.
        address: `host:port` of that runner.
        action: Load or unload.
        model: The model that is loaded or unloaded, or whose adapter is.
        adapter: The adapter; empty for the model itself.
        if_revision: How many orders the runner must have taken before this one, or it refuses it; None for
            any.
        purpose: For an unload, the `loadable_name` of what is to be loaded into the memory that it frees.
    """

    runner_id: RunnerId
    address: str
    action: OrderAction
    model: str
    adapter: str = ""
    if_revision: int | None = None
    purpose: str = ""

    @property
    def name(self) -> str:
        """The `loadable_name` of what is loaded or unloaded."""
        return loadable_name(self.model, self.adapter)

    @property
    def is_load(self) -> bool:
        """Whether it loads a model or adapter."""
        return self.action == OrderAction.LOADING


class OrderOutcome(Enum):
    """What is known of an order after it was sent."""

    ACCEPTED = auto()  # 202: being carried out
    ALREADY_HELD = auto()  # 200: nothing to do
    CONFLICT = auto()  # 409: another order is in progress, or if_revision differs
    FENCED = auto()  # 412: a lease holder with a higher fencing token has sent an order
    REJECTED = auto()  # 400 or another answer that says it was not taken
    OTHER_RUNNER = auto()  # 421: the address belongs to another runner now
    UNSENT = auto()  # no connection came up, so that no byte was sent
    UNKNOWN = auto()  # no answer: it may have been taken


@dataclass(frozen=True, slots=True)
class RunnerReport:
    """A runner's answer to GET /report, as of a few hundred milliseconds before.

    Attributes:
        models: The adapters that are held of each model that is held.
        is_occupied: Whether an order is in progress there.
        order_count: Orders that this incarnation of the runner has taken ("call_count" on the wire).
        queued: Requests that wait at the runner.
        in_progress: Requests that run there.
    """

    models: dict[str, frozenset[str]]
    is_occupied: bool
    order_count: int
    queued: int = 0
    in_progress: int = 0


@dataclass(frozen=True, slots=True)
class PlacementSettings:
    """Limits of a deployment and constants of the planner.

    Prices and values are in one unit: a request of the lowest priority that is served in time earns 1.

    Attributes:
        load_window_s: Length of the sliding window over loads from the weight store ("ceiling_window_s").
        load_rate_factor: Loads that a window may hold, over the store's rate ("origin_rate_cap").
        load_price: Price of one load of weights.
        order_price: Price of one order.
        late_cost: Share of its value that a request loses when it waits for a load.
        horizon_s: For how long a placement is expected to be of use.
        headroom: Replicas of a busy model, over its share of all work.
        busy_requests_per_s: From this rate on a model gets a second replica.
        order_timeout_s: An order that is not answered by then has an unknown outcome.
        report_lag_s: How old the content of a report may be.
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

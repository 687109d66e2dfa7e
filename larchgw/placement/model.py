"""Values that the parts of this package hand to each other: keys, orders, reports and settings."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

LOADING = "loading"
UNLOADING = "unloading"


def held_name(model: str, adapter: str = "") -> str:
    """A model, or an adapter of it, as the X-Model header names it."""
    return f"{model}/{adapter}" if adapter else model


@dataclass(frozen=True, slots=True)
class Order:
    """One order for one runner. `if_revision` is the number of orders that the runner must have taken before.

    `purpose` names, for an unload, what is to be loaded into the room that it gives (`held_name`).
    """

    runner: str
    address: str
    action: str
    model: str
    adapter: str = ""
    if_revision: int | None = None
    purpose: str = ""

    @property
    def name(self) -> str:
        """What is loaded or unloaded, as `held_name` writes it."""
        return held_name(self.model, self.adapter)

    @property
    def is_load(self) -> bool:
        """Whether it loads a model or adapter."""
        return self.action == LOADING


class OrderOutcome(Enum):
    """How one order ended."""

    ACCEPTED = auto()  # 202: being carried out
    ALREADY_HELD = auto()  # 200: nothing to do
    CONFLICT = auto()  # 409: another order is under way, or if_revision differs
    FENCED = auto()  # 412: a holder with a higher fence has sent an order
    REJECTED = auto()  # 400 or another answer that says it was not taken
    OTHER_RUNNER = auto()  # 421: the address belongs to another runner now
    UNSENT = auto()  # no connection came up, so that no byte was sent
    UNKNOWN = auto()  # no answer: it may have been taken


@dataclass(frozen=True, slots=True)
class RunnerReport:
    """What a runner answers to GET /report, as of a few hundred ms before.

    `models` holds the adapters of each model; `call_count` the orders taken; `occupied` whether one is under
    way.
    """

    models: dict[str, frozenset[str]]
    occupied: bool
    call_count: int
    queued: int = 0
    in_progress: int = 0


@dataclass(frozen=True, slots=True)
class PlacementSettings:
    """Terms of a deployment and constants of the planner. Seconds, unless the name says otherwise.

    Prices and worth are in the unit of a request's worth: what one served request earns.
    """

    ceiling_window_s: float = 5.0
    origin_rate_cap: float = 1.1
    load_price: float = 0.36  # of one load of weights, against a request's worth of 1 to 3
    order_price: float = 0.036
    late_cost: float = 0.5  # share of its worth that a request loses when it waits for a load
    horizon_s: float = 15.0  # for how long a placement is expected to be of use
    headroom: float = 1.3  # replicas of a busy model over its share of the work
    busy_rate: float = 0.5  # requests a second from which a model gets a second replica
    order_timeout_s: float = 0.8
    report_lag_s: float = 0.2  # how old a report's content may be

"""Value of placements over a horizon, in the unit of a request's value. Pure arithmetic on demand.

The first holder of a model saves its next request the wait for a load, and the price of that load. Further
replicas of a busy model spread its work; their value is bounded by the model's share of all work, with
headroom.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from .model import PlacementSettings

CROWDED_COST = 0.3  # share of their value that requests lose which a missing replica would have served
MIN_UTILIZATION = 0.15  # part of that which is lost while runners are nearly idle
MAX_SPARE_REPLICAS = 2.0  # of a model with little work, for the loss of a runner


@dataclass(slots=True)
class ModelDemandEstimate:
    """One model's demand now.

    Attributes:
        name: The model.
        requests_per_s: Expected rate.
        request_value: Mean value of a request.
        waiting: Requests that wait for a load.
        deadline_s: When the first of them gives up.
        in_flight: Requests at runners.
        load_s: What loading it takes.
        increase_value_per_s: Expected value, a second, of the requests that it brings if its demand
            increases.
        target_replicas: Replicas by its share of all work.
    """

    name: str
    requests_per_s: float
    request_value: float
    waiting: int
    deadline_s: float
    in_flight: int
    load_s: float
    increase_value_per_s: float = 0.0
    target_replicas: float = 1.0


def first_holder_value(demand: ModelDemandEstimate, settings: PlacementSettings) -> float:
    """Returns the value of the model being held anywhere, over the horizon."""
    request_probability = 1.0 - math.exp(-demand.requests_per_s * settings.horizon_s)
    late_requests = 1.0 + demand.requests_per_s * demand.load_s  # that one load would make late
    value = request_probability * (
        settings.load_price + late_requests * demand.request_value * settings.late_cost
    )
    return value + demand.increase_value_per_s * demand.load_s * settings.late_cost


def replica_value(
    demand: ModelDemandEstimate, holders: int, utilization: float, settings: PlacementSettings
) -> float:
    """Returns the value of the last of so many holders, over the horizon.

    Args:
        demand: The model's demand.
        holders: Runners that hold it, this one included.
        utilization: How busy the service's runners are, 0 to 1.
        settings: Prices and horizon.
    """
    if holders <= 1:
        return first_holder_value(demand, settings)
    missing = min(max(demand.target_replicas - (holders - 1), 0.0), 1.0)
    served_value = demand.requests_per_s * demand.request_value * settings.horizon_s / holders
    return missing * served_value * CROWDED_COST * max(utilization, MIN_UTILIZATION)


def target_replicas(
    work_share: float, requests_per_s: float, runners: int, settings: PlacementSettings
) -> float:
    """Returns the replicas that a model should have; a busy one has two, for the loss of a runner.

    Args:
        work_share: The model's part of the service's work, 0 to 1.
        requests_per_s: Its expected rate.
        runners: Runners of the service.
        settings: Headroom, and the rate from which a model is busy.
    """
    by_share = work_share * runners * settings.headroom
    spare = min(1.0 + requests_per_s / settings.busy_requests_per_s, MAX_SPARE_REPLICAS)
    return min(max(by_share, spare, 1.0), float(max(runners, 1)))

"""Value of holding a model at runners over a time horizon, in units of a request's value.

The first holder of a model saves the next request the wait for a load, and saves the price of that load.
Further replicas of a busy model spread its work. Their number is limited by the model's share of all work,
plus headroom.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from .model import PlacementSettings

# Share of their value that requests lose if the replica that would serve them is missing.
MISSING_REPLICA_COST = 0.3
MIN_UTILIZATION = 0.15  # lower bound of the utilization by which this loss is scaled
MAX_SPARE_REPLICAS = 2.0  # replicas of a model with little work, in case a runner is lost


@dataclass(slots=True)
class ModelDemandEstimate:
    """Current demand for one model.

    Attributes:
        name: The model.
        requests_per_s: Expected rate.
        request_value: Mean value of a request.
        waiting: Requests that wait for a load.
        deadline_s: Earliest deadline of the waiting requests.
        in_flight: Requests at runners.
        load_s: Duration of a load.
        increase_value_per_s: Expected value per second of the requests from a possible increase in demand.
        target_replicas: Desired number of replicas, by its share of all work.
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
    """Returns the value of having one holder of the model instead of none, over the horizon."""
    request_probability = 1.0 - math.exp(-demand.requests_per_s * settings.horizon_s)
    late_requests = 1.0 + demand.requests_per_s * demand.load_s  # requests that are late if a load is needed
    value = request_probability * (
        settings.load_price + late_requests * demand.request_value * settings.late_cost
    )
    return value + demand.increase_value_per_s * demand.load_s * settings.late_cost


def replica_value(
    demand: ModelDemandEstimate, holders: int, utilization: float, settings: PlacementSettings
) -> float:
    """Returns the value of the last of `holders` holders, over the horizon.

    Args:
        demand: The model's demand.
        holders: Number of runners that hold the model, including the last one.
        utilization: Utilization of the service's runners, from 0 to 1.
        settings: Prices and horizon.
    """
    if holders <= 1:
        return first_holder_value(demand, settings)
    missing = min(max(demand.target_replicas - (holders - 1), 0.0), 1.0)
    served_value = demand.requests_per_s * demand.request_value * settings.horizon_s / holders
    return missing * served_value * MISSING_REPLICA_COST * max(utilization, MIN_UTILIZATION)


def target_replicas(
    work_share: float, requests_per_s: float, runners: int, settings: PlacementSettings
) -> float:
    """Returns the desired number of replicas; at least two for a busy model, in case a runner is lost.

    Args:
        work_share: The model's share of the service's work, from 0 to 1.
        requests_per_s: Its expected rate.
        runners: Number of runners of the service.
        settings: Headroom, and the rate from which a model counts as busy.
    """
    by_share = work_share * runners * settings.headroom
    spare = min(1.0 + requests_per_s / settings.busy_requests_per_s, MAX_SPARE_REPLICAS)
    return min(max(by_share, spare, 1.0), float(max(runners, 1)))

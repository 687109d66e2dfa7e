"""What a placement is worth, in the unit of requests' worth. Pure arithmetic over a model's demand.

The first holder of a model saves its next request the wait for a load, and the price of that load. Further
replicas of a busy
model spread its work; they are worth something up to the model's share of all work, with headroom.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from .model import PlacementSettings

CROWDED_COST = 0.3  # share of worth lost by the requests that a missing replica would have served
CALM_SHARE = 0.15  # part of that which is lost while runners are nearly idle


@dataclass(slots=True)
class ModelDemand:
    """One model's demand now. `load_s` is what loading it takes, `wanted` its replicas by share of work."""

    name: str
    rate: float  # requests a second expected
    worth: float  # mean worth of a request
    waiting: int
    deadline: float  # of the first that waits
    in_flight: int
    load_s: float
    rise_worth: float = 0.0  # worth a second that it may bring if demand moves to it
    wanted: float = 1.0


def first_holder(demand: ModelDemand, settings: PlacementSettings) -> float:
    """Worth of the model being held anywhere, over the horizon."""
    asked = 1.0 - math.exp(-demand.rate * settings.horizon_s)
    late = 1.0 + demand.rate * demand.load_s  # requests that one load would make late
    now = asked * (settings.load_price + late * demand.worth * settings.late_cost)
    return now + demand.rise_worth * demand.load_s * settings.late_cost


def replica(demand: ModelDemand, holders: int, pressure: float, settings: PlacementSettings) -> float:
    """Worth of the last of so many holders, over the horizon; `pressure` is how busy runners are, 0 to 1."""
    if holders <= 1:
        return first_holder(demand, settings)
    missing = min(max(demand.wanted - (holders - 1), 0.0), 1.0)
    served = demand.rate * demand.worth * settings.horizon_s / holders
    return missing * served * CROWDED_COST * max(pressure, CALM_SHARE)


def wanted_replicas(share: float, rate: float, runners: int, settings: PlacementSettings) -> float:
    """Replicas by share of the service's work; a busy model has two, for the loss of a runner."""
    by_share = share * runners * settings.headroom
    spare = min(1.0 + rate / settings.busy_requests_per_s, 2.0)
    return min(max(by_share, spare, 1.0), float(max(runners, 1)))

"""What the placer knows, for people to look at: models with their demand and holders, and the open orders."""

from __future__ import annotations

from dataclasses import dataclass

from .demand import Demand, ModelSummary
from .reconciler import Reconciler

_NO_DEMAND = ModelSummary(0.0, 1.0, 0, 0, float("inf"))


@dataclass(frozen=True, slots=True)
class PlacedModel:
    """One model that the configuration names. `rate` is in requests a second; runners are told by id."""

    service: str
    model: str
    rate: float
    waiting: int
    in_flight: int
    holders: tuple[str, ...]
    coming: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class OpenOrder:
    """An order whose end has not been seen, sent `age_s` seconds ago."""

    runner: str
    action: str
    name: str
    age_s: float
    accepted: bool


@dataclass(frozen=True, slots=True)
class PlacementSummary:
    """`load_room` of `load_limit` loads from the weight store may begin now."""

    fence: int
    load_limit: int
    load_room: int
    models: tuple[PlacedModel, ...]
    orders: tuple[OpenOrder, ...]


def summarise(now: float, fence: int, demand: Demand, reconciler: Reconciler) -> PlacementSummary:
    """The placer's knowledge at `now`, on the clock of the demand."""
    models = [
        model
        for service, terms in sorted(reconciler.terms.items())
        for model in _models(service, sorted(terms.models), demand, reconciler)
    ]
    orders = [
        OpenOrder(
            state.id,
            state.under_way.order.action,
            state.under_way.order.name,
            now - state.under_way.sent_at,
            state.under_way.accepted,
        )
        for state in reconciler.runners.values()
        if state.under_way is not None
    ]
    ceiling = reconciler.ceiling
    return PlacementSummary(fence, ceiling.limit, max(ceiling.room(now), 0), tuple(models), tuple(orders))


def _models(service: str, names: list[str], demand: Demand, reconciler: Reconciler) -> list[PlacedModel]:
    asked = demand.by_model(service)
    runners = [state for state in reconciler.runners.values() if state.record.service == service]
    found = []
    for name in names:
        seen = asked.get(name, _NO_DEMAND)
        holders = tuple(state.id for state in runners if state.holds(name))
        coming = tuple(state.id for state in runners if state.is_coming(name))
        found.append(PlacedModel(service, name, seen.rate, seen.waiting, seen.in_flight, holders, coming))
    return found

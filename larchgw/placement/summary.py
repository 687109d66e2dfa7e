"""A snapshot of placement for operators: models with their demand and holders, and orders in progress."""

from __future__ import annotations

from dataclasses import dataclass

from ..identifiers import RunnerId
from .demand_tracker import DemandTracker, ModelSummary
from .reconciler import Reconciler

_NO_DEMAND = ModelSummary(0.0, 1.0, 0, 0, float("inf"))


@dataclass(frozen=True, slots=True)
class PlacedModel:
    """One configured model.

    Attributes:
        service: The service that it belongs to.
        model: Its name.
        requests_per_s: Expected rate of requests for it.
        waiting: Requests that wait for it to be loaded.
        in_flight: Requests for it at runners.
        holders: Ids of the runners that hold it.
        loading: Ids of the runners that load it.
    """

    service: str
    model: str
    requests_per_s: float
    waiting: int
    in_flight: int
    holders: tuple[str, ...]
    loading: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class OpenOrder:
    """An order that was sent and whose end was not seen.

    Attributes:
        runner_id: The runner that it was sent to.
        action: "loading" or "unloading".
        name: The model, or "model/adapter".
        age_s: Seconds since it was sent.
        is_accepted: Whether the runner is known to have accepted it.
    """

    runner_id: RunnerId
    action: str
    name: str
    age_s: float
    is_accepted: bool


@dataclass(frozen=True, slots=True)
class PlacementSummary:
    """State of placement at the process that holds the lease.

    Attributes:
        fencing_token: Fencing token of the lease.
        load_limit: Maximum number of loads from the weight store in a window.
        available_loads: Number of loads that may start now.
        models: All models of all services, by service and name.
        orders: The orders in progress.
    """

    fencing_token: int
    load_limit: int
    available_loads: int
    models: tuple[PlacedModel, ...]
    orders: tuple[OpenOrder, ...]


def summarise(
    now_s: float, fencing_token: int, demand: DemandTracker, reconciler: Reconciler
) -> PlacementSummary:
    """Returns a summary of the state at `now_s`, on the clock of `demand`."""
    models = [
        model
        for service, capacity in sorted(reconciler.capacities.items())
        for model in _placed_models(service, sorted(capacity.models), demand, reconciler)
    ]
    load_limiter = reconciler.load_limiter
    return PlacementSummary(
        fencing_token,
        load_limit=load_limiter.limit,
        available_loads=max(load_limiter.available(now_s), 0),
        models=tuple(models),
        orders=tuple(_open_orders(now_s, reconciler)),
    )


def _open_orders(now_s: float, reconciler: Reconciler) -> list[OpenOrder]:
    return [
        OpenOrder(
            state.id,
            state.order_in_progress.order.action.value,
            state.order_in_progress.order.name,
            now_s - state.order_in_progress.sent_at_s,
            state.order_in_progress.is_accepted,
        )
        for state in reconciler.runners.values()
        if state.order_in_progress is not None
    ]


def _placed_models(
    service: str, names: list[str], demand: DemandTracker, reconciler: Reconciler
) -> list[PlacedModel]:
    demand_by_model = demand.by_model(service)
    runners = [state for state in reconciler.runners.values() if state.record.service == service]
    placed = []
    for name in names:
        known = demand_by_model.get(name, _NO_DEMAND)
        holders = tuple(state.id for state in runners if state.holds(name))
        loading = tuple(state.id for state in runners if state.is_loading(name))
        placed.append(
            PlacedModel(service, name, known.requests_per_s, known.waiting, known.in_flight, holders, loading)
        )
    return placed

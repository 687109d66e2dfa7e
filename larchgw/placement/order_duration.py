"""How long orders are expected to take, by what they load and from where. Pure."""

from __future__ import annotations

from collections.abc import Callable

from .model import Order
from .runner_state import RunnerState
from .service_capacity import ServiceCapacity

UNLOAD_S = 0.05  # an unload of a model that nobody uses
ADAPTER_LOAD_S = 0.05  # a load of an adapter takes some milliseconds
UNKNOWN_MODEL_LOAD_S = 0.15  # a load of a model that is not configured: asked for soon
DISK_LOAD_SHARE = 0.5  # part of load_s that a load from the runner's own disk takes, before one was seen
READY_MARGIN_S = 0.03  # added to the time at which a load is expected to be done: too early costs a rejection


class OrderDurations:
    """Expected durations; remembers which models are on the disk of each runner's machine."""

    def __init__(self, count_store_loads: Callable[[], int]) -> None:
        """Starts with nothing known of disks.

        Args:
            count_store_loads: Returns how many loads from the weight store are in progress.
        """
        self._count_store_loads = count_store_loads
        self._models_on_disk: dict[tuple[str, str], set[str]] = {}  # by service and address

    def remember_models(self, state: RunnerState) -> None:
        """Notes that what a runner holds is on its disk: for this incarnation, and for later ones there."""
        state.models_on_disk.update(state.held)
        key = (state.record.service, state.record.address)
        self._models_on_disk.setdefault(key, set()).update(state.held)

    def expected_s(self, order: Order, state: RunnerState, capacity: ServiceCapacity | None) -> float:
        """Returns the seconds that carrying out an order is expected to take.

        Args:
            order: The order.
            state: The runner that is to carry it out.
            capacity: Of the runner's service; None if it places no models any more.
        """
        if not order.is_load:
            return UNLOAD_S
        if order.adapter:
            return ADAPTER_LOAD_S
        model = capacity.models.get(order.model) if capacity else None
        if capacity is None or model is None:
            return UNKNOWN_MODEL_LOAD_S
        if order.model in self._models_on_disk.get((state.record.service, state.record.address), ()):
            return model.load_s * DISK_LOAD_SHARE + READY_MARGIN_S
        parallel_loads = 1 + self._count_store_loads()  # they slow each other
        slowdown = max(parallel_loads / capacity.parallel_loads, 1.0)
        return model.load_s * slowdown + READY_MARGIN_S

"""Estimates the duration of orders, depending on what is loaded and from where."""

from __future__ import annotations

from collections.abc import Callable

from .model import Order
from .runner_state import RunnerState
from .service_capacity import ServiceCapacity

UNLOAD_S = 0.05  # unload of a model without running requests
ADAPTER_LOAD_S = 0.05  # an adapter loads within milliseconds
UNKNOWN_MODEL_LOAD_S = 0.15  # for a model that is not configured: short, so that the runner is polled soon
DISK_LOAD_SHARE = 0.5  # assumed share of load_s that a load from the runner's local disk takes
# Added to the expected duration; a request sent before the load is complete would be rejected.
READY_MARGIN_S = 0.03


class OrderDurations:
    """Expected durations of orders, and the models on the disk of each runner's machine."""

    def __init__(self, count_store_loads: Callable[[], int]) -> None:
        """Starts without knowledge of disk contents.

        Args:
            count_store_loads: Returns how many loads from the weight store are in progress.
        """
        self._count_store_loads = count_store_loads
        # Model names by service and address. The entries outlive incarnations of runners.
        self._models_on_disk: dict[tuple[str, str], set[str]] = {}

    def remember_models(self, state: RunnerState) -> None:
        """Records that a runner's models are on its disk, also for later incarnations at its address."""
        state.models_on_disk.update(state.held)
        key = (state.record.service, state.record.address)
        self._models_on_disk.setdefault(key, set()).update(state.held)

    def expected_s(self, order: Order, state: RunnerState, capacity: ServiceCapacity | None) -> float:
        """Returns the expected duration of an order, in seconds.

        Args:
            order: The order.
            state: The runner that executes it.
            capacity: Capacity of the runner's service; None if the service no longer places models.
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
        parallel_loads = 1 + self._count_store_loads()  # concurrent loads slow each other down
        slowdown = max(parallel_loads / capacity.parallel_loads, 1.0)
        return model.load_s * slowdown + READY_MARGIN_S

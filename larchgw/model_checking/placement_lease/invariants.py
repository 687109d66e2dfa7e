"""Invariants of the orders that runners receive, under any faults and changes of the placer."""

from __future__ import annotations

from dataclasses import dataclass

from ..errors import InvariantError


@dataclass(frozen=True, slots=True)
class ReceivedOrder:
    """An order as a runner receives it.

    Attributes:
        at: Simulated time in seconds.
        holder: Machine that sent the order.
        fencing_token: Fencing token of the order.
    """

    at: float
    holder: str
    fencing_token: int


class OrderChecker:
    """Checks orders at the runners; each method raises InvariantError if an invariant is violated.

    Attributes:
        orders: Received orders, oldest first.
    """

    def __init__(self, lease_term_s: float, max_loads: int, load_window_s: float) -> None:
        """Starts without any order.

        Args:
            lease_term_s: Minimum time between orders of two lease holders to one runner.
            max_loads: Maximum number of loads from the weight store that begin in one window.
            load_window_s: Length of the window.
        """
        self._lease_term_s = lease_term_s
        self._max_loads, self._load_window_s = max_loads, load_window_s
        self.orders: list[ReceivedOrder] = []
        self._holder_of: dict[int, str] = {}  # fencing token -> machine
        self._last_by_runner: dict[str, ReceivedOrder] = {}
        self._store_loads: list[float] = []

    def received(self, runner: str, order: ReceivedOrder) -> None:
        """Checks an order that a runner receives, whether or not it accepts it."""
        if self._holder_of.setdefault(order.fencing_token, order.holder) != order.holder:
            raise InvariantError(
                f"{order.holder} sends token {order.fencing_token}, which is "
                f"{self._holder_of[order.fencing_token]}'s"
            )
        last = self._last_by_runner.get(runner)
        self._last_by_runner[runner] = order
        self.orders.append(order)
        if last is None or last.holder == order.holder:
            return
        if order.fencing_token < last.fencing_token:
            raise InvariantError(
                f"{runner} receives token {order.fencing_token} of {order.holder} after "
                f"{last.fencing_token} of {last.holder}"
            )
        if order.at - last.at < self._lease_term_s:
            raise InvariantError(
                f"{runner} receives an order of {order.holder} {order.at - last.at:.3f} s after one of "
                f"{last.holder}; the term is {self._lease_term_s} s"
            )

    def began_store_load(self, now: float) -> None:
        """Checks the rate when a load from the weight store begins."""
        self._store_loads = [at for at in self._store_loads if now - at < self._load_window_s]
        self._store_loads.append(now)
        if len(self._store_loads) > self._max_loads:
            raise InvariantError(
                f"{len(self._store_loads)} loads began within {self._load_window_s} s; "
                f"{self._max_loads} are allowed"
            )

    def overfilled(self, runner: str) -> None:
        """Reports that a runner was ordered to load more than its capacity."""
        raise InvariantError(f"{runner} was ordered to load more than its capacity")

"""What must hold of the orders that runners receive, whoever places and whatever fails."""

from __future__ import annotations

from dataclasses import dataclass

from ..errors import InvariantError


@dataclass(frozen=True, slots=True)
class ReceivedOrder:
    """An order as a runner receives it.

    Attributes:
        at: When, in seconds of the simulation.
        holder: The machine that sent it.
        fencing_token: What it carries.
    """

    at: float
    holder: str
    fencing_token: int


class OrderChecker:
    """Watches orders at the runners; each method raises InvariantError where a property does not hold.

    Attributes:
        orders: Orders received so far, the oldest first.
    """

    def __init__(self, lease_term_s: float, max_loads: int, load_window_s: float) -> None:
        """Begins with no order.

        Args:
            lease_term_s: Between orders of two holders at one runner.
            max_loads: Loads from the weight store that may begin in one window.
            load_window_s: Its length.
        """
        self._lease_term_s = lease_term_s
        self._max_loads, self._load_window_s = max_loads, load_window_s
        self.orders: list[ReceivedOrder] = []
        self._holder_of: dict[int, str] = {}  # fencing token -> machine
        self._last_by_runner: dict[str, ReceivedOrder] = {}
        self._store_loads: list[float] = []

    def received(self, runner: str, order: ReceivedOrder) -> None:
        """A runner receives an order, whatever it answers."""
        if self._holder_of.setdefault(order.fencing_token, order.holder) != order.holder:
            raise InvariantError(
                f"{order.holder} orders with token {order.fencing_token}, which is "
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
        """A load from the weight store begins."""
        self._store_loads = [at for at in self._store_loads if now - at < self._load_window_s]
        self._store_loads.append(now)
        if len(self._store_loads) > self._max_loads:
            raise InvariantError(
                f"{len(self._store_loads)} loads began within {self._load_window_s} s; "
                f"{self._max_loads} are allowed"
            )

    def overfilled(self, runner: str) -> None:
        """A runner was ordered to load more than it holds."""
        raise InvariantError(f"{runner} was ordered to load more than it holds")

"""Expected completion times of loads and unloads. Times are arguments, in seconds on the monotonic clock."""

from __future__ import annotations

import math
from collections.abc import Iterable

from ..identifiers import RunnerId
from .model import Order
from .runner_state import RunnerState

CONFIRMATION_TIMEOUT_S = 4.0  # by then check-ins show the result of a completed order


def record_loaded(now_s: float, state: RunnerState, order: Order) -> None:
    """Records a completed load; it stays unconfirmed until a check-in lists it."""
    state.loaded_at_s[order.name] = now_s
    state.unconfirmed_unloads.pop(order.name, None)
    if not state.record.holds(order.model, order.adapter):
        state.unconfirmed_loads[order.name] = now_s


def record_unloaded(now_s: float, state: RunnerState, order: Order) -> None:
    """Records a completed unload; it stays unconfirmed until a check-in no longer lists it."""
    state.loaded_at_s.pop(order.name, None)
    state.unconfirmed_loads.pop(order.name, None)
    if state.record.holds(order.model, order.adapter):
        state.unconfirmed_unloads[order.name] = now_s


def confirm_by_check_in(state: RunnerState, listed: set[str]) -> None:
    """Removes loads and unloads that a check-in confirms; `listed` has the names that the check-in lists."""
    state.unconfirmed_loads = {name: at for name, at in state.unconfirmed_loads.items() if name not in listed}
    state.unconfirmed_unloads = {name: at for name, at in state.unconfirmed_unloads.items() if name in listed}


def expected_load_completions(
    now_s: float, runners: Iterable[RunnerState]
) -> dict[RunnerId, dict[str, float]]:
    """Returns the time from which each model or adapter can be used, by runner id and `loadable_name`.

    The time is infinite during an unload. Loads and unloads that a check-in has confirmed have no entry.
    """
    completions: dict[RunnerId, dict[str, float]] = {}
    for state in runners:
        _drop_unconfirmed(now_s, state)
        by_name = dict.fromkeys(state.unconfirmed_unloads, math.inf) | state.unconfirmed_loads
        if state.order_in_progress is not None:
            order = state.order_in_progress.order
            by_name[order.name] = state.order_in_progress.ready_at_s if order.is_load else math.inf
        if by_name:
            completions[state.id] = by_name
    return completions


def _drop_unconfirmed(now_s: float, state: RunnerState) -> None:
    """Removes entries that no check-in has confirmed within CONFIRMATION_TIMEOUT_S."""
    for name, at in [*state.unconfirmed_loads.items(), *state.unconfirmed_unloads.items()]:
        if now_s - at > CONFIRMATION_TIMEOUT_S:
            state.unconfirmed_loads.pop(name, None)
            state.unconfirmed_unloads.pop(name, None)

"""Schedules polls of runners for reports. Times are arguments, in seconds on the monotonic clock."""

from __future__ import annotations

from collections.abc import Container, Iterable

from ..identifiers import RunnerId
from .runner_state import RunnerState

# Between polls of a runner whose order should be complete; grows up to the maximum.
MIN_POLL_INTERVAL_S = 0.15
MAX_POLL_INTERVAL_S = 0.4
POLL_INTERVAL_GROWTH = 1.3
UNREACHABLE_POLL_INTERVAL_S = 1.0  # between polls of a runner that does not respond
MAX_POLLS = 64  # in flight; calls that queue for a free connection would time out and be repeated


def due_polls(
    now_s: float, runners: Iterable[RunnerState], pending: Container[RunnerId], limit: int
) -> list[RunnerState]:
    """Returns the runners to poll now, and schedules the next poll of each.

    Args:
        now_s: Current time.
        runners: All runners.
        pending: Ids of runners with a poll in flight, which are skipped.
        limit: Maximum number of runners; those with an order in progress come first.
    """
    due = [state for state in runners if state.id not in pending and _is_due(now_s, state)]
    due.sort(key=lambda state: state.order_in_progress is None)
    del due[max(limit, 0) :]
    for state in due:
        polled = state.order_in_progress or state
        polled.poll_count += 1
        polled.next_poll_at_s = now_s + _interval_s(polled.poll_count)
    return due


def postpone_poll(now_s: float, state: RunnerState) -> None:
    """Schedules the next poll of a runner that returned no report, after a longer interval."""
    state.next_poll_at_s = now_s + UNREACHABLE_POLL_INTERVAL_S
    if state.order_in_progress is not None:
        state.order_in_progress.next_poll_at_s = now_s + UNREACHABLE_POLL_INTERVAL_S


def _is_due(now_s: float, state: RunnerState) -> bool:
    if state.order_in_progress is not None:
        return now_s >= state.order_in_progress.next_poll_at_s
    return not state.is_identified and state.is_ready and now_s >= state.next_poll_at_s


def _interval_s(poll_count: int) -> float:
    """Returns the time until the next poll of a runner that responds."""
    return min(MIN_POLL_INTERVAL_S * POLL_INTERVAL_GROWTH ** (poll_count - 1), MAX_POLL_INTERVAL_S)

"""Handles requests for a model or adapter that no runner has loaded.

The functions have no side effects; times are seconds on the monotonic clock. A request waits if a load will
complete early enough for its latency target. Otherwise it would be late, and the client of a stream would
time out before many loads complete. It is therefore rejected soon after arrival, with a Retry-After by which
the load should be complete, so that the client's retry meets its target. A request that is too old for that,
or that is itself a retry, waits until the client's time-out at most.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from ..configuration.model import STREAMING
from .interface import Choice, Reject, RequestTraits, Wait
from .service_terms import ServiceTerms

MIN_SERVICE_S = 0.03  # minimum time until a response
RECHECK_S = 0.2  # maximum interval between two decisions on a waiting request
MIN_RETRY_AFTER_S = 0.05  # minimum Retry-After
RETRY_AFTER_SHARE = 1.0 / 3.0  # share of the remaining time; clients honour a Retry-After up to this
MAX_OVERDUE_S = 2.5  # time after its expected end until a load is ignored; two check-ins would have shown it
ADAPTER_LOAD_S = 0.15  # from the first request for an adapter until dispatchers see it loaded
LOAD_NOTICE_DELAY_S = 0.1  # from the expected end of a load until dispatchers see it
# Share of the time until the target that counts as early; a rejection within a quarter costs clients little.
EARLY_REJECT_SHARE = 0.2
FIRST_TRY_SHARE = 0.985  # of the route's deadline; a first try has at least this much time left
MAX_WAIT_SHARE = 0.45  # of a request's total time that it may wait with no load in progress
# A client cancels a stream that sends nothing for the longest of: a fixed time, a multiple of its latency
# target, and a multiple of its target gap between events. This applies before the first event too.
MIN_CLIENT_TIMEOUT_S, CLIENT_TIMEOUT_TARGETS, CLIENT_TIMEOUT_GAPS = 2.0, 4.0, 8.0
CLIENT_TIMEOUT_MARGIN_S = 0.15  # subtracted, so that a rejection reaches the client before its time-out


@dataclass(frozen=True, slots=True)
class _Load:
    """The load that is expected to complete first.

    Attributes:
        done_at: Expected completion time.
        is_ordered: Whether the load was ordered. If not, `done_at` assumes that it is ordered now.
    """

    done_at: float
    is_ordered: bool


def choose_without_holder(
    now: float,
    request: RequestTraits,
    expected: Mapping[str, float],
    terms: ServiceTerms,
    *,
    is_model_held: bool,
    is_first_send: bool,
) -> Choice:
    """Decides whether the request waits for a load or is rejected, and until when.

    Args:
        now: Current time.
        request: The request.
        expected: Runner id -> time at which an ordered load of its model or adapter is expected to complete.
        terms: Load times and slots of the request's service.
        is_model_held: Whether a runner has the model, so that only the adapter is missing.
        is_first_send: Whether the request was sent to no runner yet. After a send it may have run, and its
            response may have started: it is then not rejected early, and the client's time-out for the first
            byte does not apply.
    """
    load = _earliest_load(now, request, expected, terms, is_model_held)
    if is_first_send and _is_early(now, request) and _is_first_try(request):
        choice = _choose_early(now, request, load, terms, is_model_held)
        if choice is not None:
            return choice
    client_timeout_at = (
        request.arrived_at + _client_timeout_s(request) if is_first_send else request.deadline_at
    )
    if load.is_ordered:
        return _wait_for_load(now, request, load.done_at, client_timeout_at)
    return _wait_for_order(now, request, terms.min_load_s(request.model), client_timeout_at)


def _choose_early(
    now: float, request: RequestTraits, load: _Load, terms: ServiceTerms, is_model_held: bool
) -> Choice | None:
    """Decides on a first try soon after its arrival; None means that the general rules for waiting apply.

    A load that would be in time, but is not ordered after the typical order delay, may never be ordered. The
    request is then rejected while that is still early. If the early period is shorter than the typical delay,
    a missing order indicates nothing, and the request waits.
    """
    is_in_time = load.done_at <= request.target_at - MIN_SERVICE_S
    last_early_check = _early_until(request) - MIN_SERVICE_S
    if is_in_time and (
        load.is_ordered
        or is_model_held
        or last_early_check - request.arrived_at < terms.typical_order_delay_s
    ):
        return None
    if not load.is_ordered and not is_in_time and _can_load_in_time(now, request, terms):
        return None
    if is_in_time and now < last_early_check:
        return Wait(min(last_early_check, now + RECHECK_S), "no_holder")
    if not _is_retry_in_time(now, request, load):
        return None
    return Reject(
        retry_after_s(now, request, load.done_at + LOAD_NOTICE_DELAY_S), "awaits_load", awaits_load=True
    )


def _can_load_in_time(now: float, request: RequestTraits, terms: ServiceTerms) -> bool:
    """Whether a load that is ordered now, ahead of all others, can complete before the latency target."""
    return now + terms.min_store_load_s(request.model) <= request.target_at - MIN_SERVICE_S


def _early_until(request: RequestTraits) -> float:
    return request.arrived_at + EARLY_REJECT_SHARE * (request.target_at - request.arrived_at)


def _is_early(now: float, request: RequestTraits) -> bool:
    """Whether a rejection now leaves the client most of its time."""
    return now <= _early_until(request)


def _earliest_load(
    now: float,
    request: RequestTraits,
    expected: Mapping[str, float],
    terms: ServiceTerms,
    is_model_held: bool,
) -> _Load:
    ordered = [at for at in expected.values() if at > now - MAX_OVERDUE_S]
    if ordered:
        return _Load(max(min(ordered), now), True)
    if is_model_held:
        return _Load(now + ADAPTER_LOAD_S, False)
    return _Load(now + terms.typical_load_s(request.model), False)


def _is_first_try(request: RequestTraits) -> bool:
    """Whether this is the client's first try; a retry has less of the route's deadline left."""
    left_s = request.deadline_at - request.arrived_at
    return left_s >= FIRST_TRY_SHARE * request.route.deadline_ms / 1000.0


def _is_retry_in_time(now: float, request: RequestTraits, load: _Load) -> bool:
    """Whether a retry after the longest permitted Retry-After meets its latency target."""
    retry_at = now + RETRY_AFTER_SHARE * (request.deadline_at - now)
    target_s = request.target_at - request.arrived_at
    return load.done_at + LOAD_NOTICE_DELAY_S <= retry_at + target_s - MIN_SERVICE_S


def _wait_for_load(now: float, request: RequestTraits, done_at: float, client_timeout_at: float) -> Choice:
    """Waits for an ordered load if it completes before the client times out; else rejects."""
    if now < client_timeout_at and done_at < client_timeout_at - MIN_SERVICE_S:
        return Wait(min(max(done_at, now + MIN_SERVICE_S), now + RECHECK_S, client_timeout_at), "loading")
    return Reject(retry_after_s(now, request, done_at), "loads_too_late")


def _wait_for_order(
    now: float, request: RequestTraits, min_load_s: float, client_timeout_at: float
) -> Choice:
    """Waits for a load to be ordered, for a share of the request's time and not beyond the client's time-out.

    Rejects the request once that time is over, or if no load can complete before its deadline.
    """
    total_s = request.deadline_at - request.arrived_at
    wait_until = min(request.arrived_at + MAX_WAIT_SHARE * total_s, client_timeout_at)
    earliest_done_at = now + min_load_s
    if now < wait_until and earliest_done_at < request.deadline_at - MIN_SERVICE_S:
        return Wait(min(wait_until, now + RECHECK_S), "no_holder")
    return Reject(retry_after_s(now, request, earliest_done_at), "no_holder")


def _client_timeout_s(request: RequestTraits) -> float:
    """Returns how long after the request's arrival the client waits for the first byte."""
    left_s = request.deadline_at - request.arrived_at
    if request.route.kind != STREAMING:
        return left_s
    target_s = request.target_at - request.arrived_at
    gaps_s = CLIENT_TIMEOUT_GAPS * request.route.gap_aim_ms / 1000.0
    timeout_s = max(MIN_CLIENT_TIMEOUT_S, CLIENT_TIMEOUT_TARGETS * target_s, gaps_s)
    return min(left_s, timeout_s - CLIENT_TIMEOUT_MARGIN_S)


def retry_after_s(now: float, request: RequestTraits, until: float) -> float:
    """Returns the Retry-After, in seconds, for a request that may succeed if it is sent again at `until`."""
    max_retry_after_s = RETRY_AFTER_SHARE * max(0.0, request.deadline_at - now)
    return min(max(MIN_RETRY_AFTER_S, until - now), max(MIN_RETRY_AFTER_S, max_retry_after_s))

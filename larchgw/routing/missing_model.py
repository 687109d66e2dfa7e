"""What becomes of a request whose model or adapter no runner holds. Pure: times are seconds, monotonic clock.

It waits where a load ends early enough for its latency target. Where none does, waiting would make it late,
and its client leaves a silent stream before many loads have ended. So it is rejected while that is still
early, with a Retry-After at which the load should be done: the second try is then in time. A request that is
too old for that, or that is itself a second try, waits as long as its client does, and not longer.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from ..configuration.model import STREAMING
from .interface import Choice, Reject, RequestTraits, Wait
from .service_terms import ServiceTerms

MIN_SERVICE_S = 0.03  # no answer comes sooner than this
RECHECK_S = 0.2  # a waiting request is decided anew at least this often
MIN_RETRY_AFTER_S = 0.05  # shortest Retry-After
RETRY_AFTER_SHARE = 1.0 / 3.0  # of the time left: clients honour Retry-After up to this
OVERDUE_S = 2.5  # after its expected end a load is no longer waited for: two check-ins would have told of it
ADAPTER_S = 0.15  # from the first request for an adapter until dispatchers know that it is loaded
RETURN_MARGIN_S = 0.1  # from the expected end of a load until dispatchers know of it
EARLY_SHARE = 0.2  # of the time to the target: a rejection within a quarter of it is early for the client
FIRST_TRY_SHARE = 0.985  # of the route's deadline that a client has left at least if this is its first try
MAX_WAIT_SHARE = 0.45  # of a request's time that it waits without a load under way
# Clients give a stream up after the longest of these silences, even before its first event.
PATIENCE_S, PATIENCE_TARGETS, PATIENCE_GAPS = 2.0, 4.0, 8.0
PATIENCE_MARGIN_S = 0.15  # before that: our answer has to reach the client


@dataclass(frozen=True, slots=True)
class _Load:
    """The load that would serve the request soonest.

    Attributes:
        done_at: When it is expected to be done.
        is_ordered: Whether it was ordered; else `done_at` is what an order now would give.
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
    """Returns whether the request waits for a load or is rejected, and for how long.

    Args:
        now: The time.
        request: The request.
        expected: Runner id -> when an ordered load of what it asks for is expected to be done there.
        terms: Of the request's service.
        is_model_held: Whether a runner holds the model, so that only the adapter is missing.
        is_first_send: Whether it was at no runner yet. Else it may have run, and its answer may have begun:
            it is not sent away, and its client's patience is not known.
    """
    load = _soonest_load(now, request, expected, terms, is_model_held)
    if is_first_send and _is_early(now, request) and _is_first_try(request):
        choice = _choose_early(now, request, load, terms, is_model_held)
        if choice is not None:
            return choice
    leaves_at = request.arrived_at + _patience_s(request) if is_first_send else request.deadline_at
    if load.is_ordered:
        return _wait_for_load(now, request, load.done_at, leaves_at)
    return _wait_for_order(now, request, terms.least_load_s(request.model), leaves_at)


def _choose_early(
    now: float, request: RequestTraits, load: _Load, terms: ServiceTerms, is_model_held: bool
) -> Choice | None:
    """Decides on a first try that is still early; None: it waits as any other.

    A load that would be in time but is not ordered when such loads usually are may not be ordered at all, so
    that the client is sent away while that is early. Where the early time is shorter, it tells nothing.
    """
    is_in_time = load.done_at <= request.target_at - MIN_SERVICE_S
    last_look = _early_until(request) - MIN_SERVICE_S
    if is_in_time and (
        load.is_ordered or is_model_held or last_look - request.arrived_at < terms.usual_order_s
    ):
        return None
    if not load.is_ordered and not is_in_time and _could_be_in_time(now, request, terms):
        return None
    if is_in_time and now < last_look:
        return Wait(min(last_look, now + RECHECK_S), "no_holder")
    if not _is_in_time_on_return(now, request, load):
        return None
    return Reject(
        retry_after_s(now, request, load.done_at + RETURN_MARGIN_S), "awaits_load", awaits_load=True
    )


def _could_be_in_time(now: float, request: RequestTraits, terms: ServiceTerms) -> bool:
    """Whether a load ordered at once, ahead of all others, would be done before the latency target."""
    return now + terms.quickest_load_s(request.model) <= request.target_at - MIN_SERVICE_S


def _early_until(request: RequestTraits) -> float:
    return request.arrived_at + EARLY_SHARE * (request.target_at - request.arrived_at)


def _is_early(now: float, request: RequestTraits) -> bool:
    """Whether a rejection now costs its client little."""
    return now <= _early_until(request)


def _soonest_load(
    now: float,
    request: RequestTraits,
    expected: Mapping[str, float],
    terms: ServiceTerms,
    is_model_held: bool,
) -> _Load:
    ordered = [at for at in expected.values() if at > now - OVERDUE_S]
    if ordered:
        return _Load(max(min(ordered), now), True)
    if is_model_held:
        return _Load(now + ADAPTER_S, False)
    return _Load(now + terms.usual_load_s(request.model), False)


def _is_first_try(request: RequestTraits) -> bool:
    """Whether the client has just begun: with a second try some of its time is used up."""
    left_s = request.deadline_at - request.arrived_at
    return left_s >= FIRST_TRY_SHARE * request.route.deadline_ms / 1000.0


def _is_in_time_on_return(now: float, request: RequestTraits, load: _Load) -> bool:
    """Whether a second try, at the latest time that a Retry-After can name, meets its latency target."""
    returns_at = now + RETRY_AFTER_SHARE * (request.deadline_at - now)
    target_s = request.target_at - request.arrived_at
    return load.done_at + RETURN_MARGIN_S <= returns_at + target_s - MIN_SERVICE_S


def _wait_for_load(now: float, request: RequestTraits, done_at: float, leaves_at: float) -> Choice:
    """Waits for an ordered load, if it is done before the client leaves."""
    if now < leaves_at and done_at < leaves_at - MIN_SERVICE_S:
        return Wait(min(max(done_at, now + MIN_SERVICE_S), now + RECHECK_S, leaves_at), "loading")
    return Reject(retry_after_s(now, request, done_at), "loads_too_late")


def _wait_for_order(now: float, request: RequestTraits, least_load_s: float, leaves_at: float) -> Choice:
    """Waits for a load to be ordered, for part of the request's time and no longer than the client does."""
    time_s = request.deadline_at - request.arrived_at
    wait_until = min(request.arrived_at + MAX_WAIT_SHARE * time_s, leaves_at)
    soonest = now + least_load_s
    if now < wait_until and soonest < request.deadline_at - MIN_SERVICE_S:
        return Wait(min(wait_until, now + RECHECK_S), "no_holder")
    return Reject(retry_after_s(now, request, soonest), "no_holder")


def _patience_s(request: RequestTraits) -> float:
    """How long the client waits for the first byte of an answer, from the request's arrival."""
    left_s = request.deadline_at - request.arrived_at
    if request.route.kind != STREAMING:
        return left_s
    target_s = request.target_at - request.arrived_at
    gaps_s = PATIENCE_GAPS * request.route.gap_aim_ms / 1000.0
    silence_s = max(PATIENCE_S, PATIENCE_TARGETS * target_s, gaps_s)
    return min(left_s, silence_s - PATIENCE_MARGIN_S)


def retry_after_s(now: float, request: RequestTraits, until: float) -> float:
    """Returns the Retry-After, in seconds, for a request that may be worth sending again at `until`."""
    longest_s = RETRY_AFTER_SHARE * max(0.0, request.deadline_at - now)
    return min(max(MIN_RETRY_AFTER_S, until - now), max(MIN_RETRY_AFTER_S, longest_s))

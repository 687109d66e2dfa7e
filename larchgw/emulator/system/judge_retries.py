"""Rules about where and how often a request arrives: TWICE, REFUSED, BUDGET and DRAIN."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Iterator

from .breach import Breach, Case
from .records import PROMISES

TRIES_ALLOWED = 3  # requests that may have run on more runners than their route allows


def twice(case: Case) -> Iterator[Breach]:
    """What is not idempotent ran more than once."""
    for one in case.records.tries.values():
        runs = case.runs(one.id)
        if not one.idempotent and len(runs) > 1:
            yield Breach("TWICE", runs[1].at, f"{one.id} {case.history(one)}")


def refused(case: Case) -> Iterator[Breach]:
    """It was promised that it never ran, yet it did."""
    for one in case.records.tries.values():
        runs = case.runs(one.id)
        if one.status in PROMISES and not one.idempotent and runs:
            yield Breach("REFUSED", one.ended_at, f"{one.id} got {one.status} and {case.history(one)}")


def tries(case: Case) -> Iterator[Breach]:
    """Requests that ran on more runners than their routes' `tries`."""
    beyond = []
    for one in case.records.tries.values():
        runners = {run.runner for run in case.runs(one.id)} - case.records.crashed
        if len(runners) > one.tries:
            beyond.append(one)
    if len(beyond) > TRIES_ALLOWED:
        yield Breach(
            "BUDGET",
            beyond[-1].ended_at,
            f"{len(beyond)} requests ran on more runners than their routes' tries",
        )


def budget(case: Case) -> Iterator[Breach]:
    """More repeats within a window than the shared budget allows."""
    limits, window = case.limits, case.limits.retry_window_s
    for service in sorted({arrival.service for arrival in case.records.arrivals}):
        repeats = _repeats(case, service)
        requests = sorted(one.sent_at for one in case.records.tries.values() if service in one.services)
        for last, at in enumerate(repeats):
            count = last + 1 - bisect_right(repeats, at - window)
            allowed = limits.retry_ratio * _most_requests(requests, at, window) + limits.retry_extra
            if count > allowed:
                yield Breach(
                    "BUDGET", at, f"{count} repeats at {service} within {window:g} s, {allowed:.0f} allowed"
                )
                break


def _repeats(case: Case, service: str) -> list[float]:
    """When requests arrived at the service again."""
    seen: set[str] = set()
    found = []
    for arrival in sorted(case.records.arrivals, key=lambda one: one.at):
        if arrival.service == service:
            if arrival.id in seen:
                found.append(arrival.at)
            seen.add(arrival.id)
    return found


def _most_requests(requests: list[float], end: float, window: float) -> int:
    """Requests in the window that ends then, in the one half a window earlier, or in the one before."""
    return max(
        bisect_right(requests, end - back) - bisect_left(requests, end - back - window)
        for back in (0.0, window / 2, window)
    )


def drain(case: Case) -> Iterator[Breach]:
    """Requests that reached a runner too long after its draining was acknowledged, by machines in touch.

    The acknowledgement binds whatever happened to the control processes since. After a loss of most of them,
    machines are in touch again twice `contact_ms` later.
    """
    acknowledged: dict[str, float] = {}
    for one in case.records.acknowledgements:
        acknowledged.setdefault(one.runner, one.at)
    latest, contact_s = case.limits.drain_end_ms / 1000.0, case.limits.contact_ms / 1000.0
    for arrival in case.records.arrivals:
        at = acknowledged.get(arrival.runner)
        sender = case.records.tries.get(arrival.id)
        if at is None or sender is None or arrival.status == 421 or arrival.at <= at + latest:
            continue
        is_stable = case.touch.core_is_stable(arrival.at - contact_s)
        if is_stable and case.touch.machine(sender.edge, arrival.at):
            yield Breach(
                "DRAIN",
                arrival.at,
                f"{arrival.id} came to {arrival.runner} "
                f"{arrival.at - at:.2f} s after its draining was acknowledged",
            )

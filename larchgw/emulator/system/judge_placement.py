"""Rules about orders to runners: ONE, LIMIT and CEILING."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterator

from .breach import Breach, Case
from .records import OrderSeen

CEILING_EXTRA = 3  # loads beyond the rate
TAKEN = (200, 202)


def one(case: Case) -> Iterator[Breach]:
    """Two owners under one fence, or owners that take turns sooner than a lease lasts."""
    owners: dict[int, str] = {}
    last: dict[str, OrderSeen] = {}  # by runner
    term = case.limits.lease_term_ms / 1000.0
    for order in sorted(case.records.orders, key=lambda seen: seen.at):
        owner = owners.setdefault(order.fence, order.owner)
        if owner != order.owner:
            yield Breach("ONE", order.at, f"{owner} and {order.owner} share the fence {order.fence}")
        if order.status not in TAKEN:
            continue
        before = last.get(order.runner)
        last[order.runner] = order
        if before is None or before.owner == order.owner or order.at >= before.at + term:
            continue
        if _in_touch(case, before) and _in_touch(case, order):
            yield Breach(
                "ONE",
                order.at,
                f"{before.owner} and {order.owner} ordered at {order.runner} "
                f"within {order.at - before.at:.2f} s",
            )


def _in_touch(case: Case, order: OrderSeen) -> bool:
    return case.touch.machine(order.owner.partition(":")[0], order.at)


def limit(case: Case) -> Iterator[Breach]:
    """A runner was ordered to hold more than it can."""
    for runner, at in case.records.overloads:
        yield Breach("LIMIT", at, f"{runner} was ordered to load more than it holds")


def ceiling(case: Case) -> Iterator[Breach]:
    """More loads from the weight store begin within a window than it allows."""
    limits, window = case.limits, case.limits.ceiling_window_s
    allowed = case.records.loads_per_s * window * limits.origin_rate_cap + CEILING_EXTRA
    loads = sorted(at for at in case.records.loads if case.touch.core_is_stable(at))
    for last, at in enumerate(loads):
        count = last + 1 - bisect_left(loads, at - window)
        if count > allowed:
            yield Breach("CEILING", at, f"{count} loads began within {window:g} s, {allowed:.1f} allowed")
            return

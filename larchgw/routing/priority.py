"""How urgent a request is to the engine that runs it: the `Priority` header.

An engine lets the more urgent of the requests that wait in first. Those whose answer must begin soonest go
first, whatever a request earns: where kinds with short latency targets have short prompts, as is usual, they
delay the others little, while behind them they would be late. The more valuable kinds with longer targets
still meet those.

Source: deadline-monotonic priorities, Leung and Whitehead, "On the complexity of fixed-priority scheduling of
periodic, real-time tasks" (1982).
"""

from __future__ import annotations

import math

from ..configuration.model import Route

LOWEST_PRIORITY = 9  # of the Priority header; 0 is the most urgent
MOST_URGENT_TARGET_MS = 100.0  # and shorter targets: priority 0
LEVELS_PER_DOUBLING = 2.0  # of the latency target


def priority(route: Route) -> int:
    """Returns the `Priority` of a route's requests, by its latency target or, without one, its deadline."""
    target_ms = max(route.target_ms or route.deadline_ms, MOST_URGENT_TARGET_MS)
    return min(round(LEVELS_PER_DOUBLING * math.log2(target_ms / MOST_URGENT_TARGET_MS)), LOWEST_PRIORITY)

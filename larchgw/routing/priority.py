"""How urgent a request is to the engine that runs it: the `Priority` header.

An engine lets the more urgent of the requests that wait in first. What counts is the time that a request has
until it is late against what it is worth: kinds with short latency targets usually have short prompts, which
delay others little, while behind long ones they would be late. Kinds with as much time for their worth are
equals.

Source: deadline-monotonic priorities, Leung and Whitehead, "On the complexity of fixed-priority scheduling of
periodic, real-time tasks" (1982), weighted by value as in Smith, "Various optimizers for single-stage
production" (1956).
"""

from __future__ import annotations

import math

from ..configuration.model import Route

LOWEST_PRIORITY = 9  # of the Priority header; 0 is the most urgent
MOST_URGENT_MS = 300.0  # weighted target up to which a route has priority 0
LEVELS_PER_DOUBLING = 2.0  # of the weighted target


def priority(route: Route) -> int:
    """Returns the `Priority` of a route's requests, by its latency target and rank.

    Without a target its deadline counts. A request of rank 0 is worth 1, of rank 1 a half, of rank 2 a third,
    as for placement.
    """
    target_ms = route.target_ms or route.deadline_ms
    weighted_ms = max(target_ms * (1 + max(route.rank, 0)), MOST_URGENT_MS)
    return min(round(LEVELS_PER_DOUBLING * math.log2(weighted_ms / MOST_URGENT_MS)), LOWEST_PRIORITY)

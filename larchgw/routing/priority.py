"""Computes the `Priority` header, by which an engine orders its queue.

The priority depends on the latency target, divided by the value of a request. Routes with short targets
usually have short prompts: these delay other requests little, but would be late behind long prompts. Routes
with the same ratio of target to value have the same priority.

Source: deadline-monotonic priorities, Leung and Whitehead, "On the complexity of fixed-priority scheduling of
periodic, real-time tasks" (1982), weighted by value as in Smith, "Various optimizers for single-stage
production" (1956).
"""

from __future__ import annotations

import math

from ..configuration.model import Route

LOWEST_PRIORITY = 9  # highest value of the Priority header; 0 is the most urgent
MIN_WEIGHTED_TARGET_MS = 300.0  # a route with a weighted target up to this has priority 0
LEVELS_PER_DOUBLING = 2.0  # priority levels for each doubling of the weighted target


def priority(route: Route) -> int:
    """Returns the `Priority` of a route's requests, from its latency target and rank.

    A route without a target uses its deadline. A request of rank 0 has the value 1, of rank 1 a half, of
    rank 2 a third, as in placement.
    """
    target_ms = route.target_ms or route.deadline_ms
    weighted_ms = max(target_ms * (1 + max(route.rank, 0)), MIN_WEIGHTED_TARGET_MS)
    return min(round(LEVELS_PER_DOUBLING * math.log2(weighted_ms / MIN_WEIGHTED_TARGET_MS)), LOWEST_PRIORITY)

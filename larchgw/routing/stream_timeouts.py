"""Time-outs for a runner's first byte, before its heartbeats are missed.

A runner that crashed without a word, or that is partitioned, is listed until its check-ins have been
missed. Until then the requests that it does not answer are the only sign. A runner is unresponsive while
the oldest request that waits there for its first byte has waited longer than `first_byte_timeout_s`, and no
other byte of the runner has come in that time.
"""

from __future__ import annotations

import math

from .interface import RequestTraits

MIN_TIMEOUT_S = 0.3  # shorter pauses are common: a batch step behind long prompts
MAX_TIMEOUT_S = 2.0  # clients give a stream up after this, or later
TARGETS = 2.0  # times the request's latency target: by then an answer should have begun


def first_byte_timeout_s(request: RequestTraits, prefill_s: float) -> float:
    """How long a runner may send nothing while it has prompts to read that take `prefill_s` seconds."""
    targets_s = TARGETS * (request.target_at - request.arrived_at)
    return min(MAX_TIMEOUT_S, max(MIN_TIMEOUT_S, targets_s)) + prefill_s


class LastBytes:
    """When the last byte of each runner came, in seconds of the monotonic clock."""

    def __init__(self) -> None:
        """Begins with no byte of any runner."""
        self._last: dict[str, float] = {}

    def observe(self, now: float, runner: str) -> None:
        """A byte of the runner has come."""
        self._last[runner] = now

    def silent_since(self, runner: str, waiting_since: float) -> float:
        """Since when nothing came, for requests that wait since `waiting_since`."""
        return max(waiting_since, self._last.get(runner, -math.inf))

    def forget(self, runner: str) -> None:
        """Drops what is known of a runner that is gone."""
        self._last.pop(runner, None)

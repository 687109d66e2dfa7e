"""Time-outs for the first byte of a response, which detect a failure earlier than missed heartbeats.

A runner that has crashed or is partitioned stays listed until several of its check-ins are missed. Until then
unanswered requests are the only indication. A runner is unresponsive if the oldest request that waits for its
first byte has waited longer than `first_byte_timeout_s`, and no other byte of the runner was received in that
time.
"""

from __future__ import annotations

import math

from .interface import RequestTraits

MIN_TIMEOUT_S = 0.3  # shorter pauses are common, for example during a batch step with long prompts
MAX_TIMEOUT_S = 2.0  # clients cancel a stream after this time or later
TIMEOUT_TARGETS = 2.0  # multiple of the request's latency target by which a response should have started


def first_byte_timeout_s(request: RequestTraits, prefill_s: float) -> float:
    """Returns how long a runner may send nothing, if the prefill of its prompts takes `prefill_s` seconds."""
    targets_s = TIMEOUT_TARGETS * (request.target_at - request.arrived_at)
    return min(MAX_TIMEOUT_S, max(MIN_TIMEOUT_S, targets_s)) + prefill_s


class LastBytes:
    """Time of the last byte received from each runner, in seconds on the monotonic clock."""

    def __init__(self) -> None:
        """Starts without any times."""
        self._last: dict[str, float] = {}

    def observe(self, now: float, runner: str) -> None:
        """Records that a byte of the runner was received."""
        self._last[runner] = now

    def silent_since(self, runner: str, waiting_since: float) -> float:
        """Returns since when nothing was received, but not earlier than `waiting_since`."""
        return max(waiting_since, self._last.get(runner, -math.inf))

    def forget(self, runner: str) -> None:
        """Removes the time of a runner that no longer exists."""
        self._last.pop(runner, None)

"""Runners that have stopped answering while requests wait there for the first byte.

A runner that crashed without a word, or that is cut off, is listed until its check-ins have been missed.
Until then the sends that it doesn't answer are the only sign. A runner is unresponsive while the oldest
request that waits there has waited longer than `limit_s`, and nothing else was heard of the runner in that
time.
"""

from __future__ import annotations

import math

from .interface import RequestTraits

LEAST_S = 0.3  # shorter pauses are common: a batch step behind long prompts
MOST_S = 2.0  # clients give a stream up after this, or later
TARGETS = 2.0  # times the time until a request's aim: by then an answer should have begun


def limit_s(request: RequestTraits, prefill_s: float) -> float:
    """How long a runner may say nothing while it has this much of prompts to read."""
    aim = TARGETS * (request.target_at - request.arrived_at)
    return min(MOST_S, max(LEAST_S, aim)) + prefill_s


class Silence:
    """When each runner was heard last."""

    def __init__(self) -> None:
        self._heard: dict[str, float] = {}

    def heard(self, now: float, runner: str) -> None:
        """A byte of the runner has come."""
        self._heard[runner] = now

    def since(self, runner: str, waiting_since: float) -> float:
        """Since when nothing came, for requests that wait since `waiting_since`."""
        return max(waiting_since, self._heard.get(runner, -math.inf))

    def forget(self, runner: str) -> None:
        """The runner is gone."""
        self._heard.pop(runner, None)

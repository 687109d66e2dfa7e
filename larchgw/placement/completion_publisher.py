"""Publishes the expected completion times of loads to dispatchers, only when they change."""

from __future__ import annotations

import math
from collections.abc import Callable

from ..identifiers import RunnerId

UNLOADING_MS = -1.0  # published instead of a time while the model or adapter is being unloaded


class CompletionPublisher:
    """Publishes completion times and stores what was last published for each runner."""

    def __init__(self, publish: Callable[[RunnerId, dict[str, float]], None]) -> None:
        """Starts with nothing published.

        Args:
            publish: Called with a runner's id and, for each model or "model/adapter", the milliseconds until
                it can be used at that runner.
        """
        self._publish = publish
        self._published: dict[RunnerId, dict[str, float]] = {}

    def update(self, now_s: float, completions: dict[RunnerId, dict[str, float]]) -> None:
        """Publishes the runners whose completions changed, and withdraws those without any.

        Args:
            now_s: Current time.
            completions: Runner id -> model or "model/adapter" -> time from which it can be used; infinite
                while it is being unloaded.
        """
        for runner_id in self._published.keys() - completions.keys():
            self._publish(runner_id, {})
        for runner_id, by_name in completions.items():
            if by_name != self._published.get(runner_id):
                self._publish(runner_id, {name: _remaining_ms(now_s, at_s) for name, at_s in by_name.items()})
        self._published = completions

    def reset(self) -> None:
        """Clears the record of what was published, since another process publishes from now on."""
        self._published.clear()


def _remaining_ms(now_s: float, at_s: float) -> float:
    return UNLOADING_MS if math.isinf(at_s) else max(round((at_s - now_s) * 1000.0), 0)

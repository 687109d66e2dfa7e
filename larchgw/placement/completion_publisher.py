"""Publishes expected load completions, each only when it changes."""

from __future__ import annotations

import math
from collections.abc import Callable

from ..identifiers import RunnerId

UNLOADING_MS = -1.0  # published instead of a time: the model or adapter is being unloaded


class CompletionPublisher:
    """Keeps what was published last of each runner."""

    def __init__(self, publish: Callable[[RunnerId, dict[str, float]], None]) -> None:
        """Starts with nothing published.

        Args:
            publish: Gets a runner's id and the milliseconds until each model or "model/adapter" can be used
                there.
        """
        self._publish = publish
        self._published: dict[RunnerId, dict[str, float]] = {}

    def update(self, now_s: float, completions: dict[RunnerId, dict[str, float]]) -> None:
        """Publishes what has changed, and withdraws what is not expected any more.

        Args:
            now_s: The time.
            completions: Runner id -> model or "model/adapter" -> when it can be used; infinite while it is
                unloaded.
        """
        for runner_id in self._published.keys() - completions.keys():
            self._publish(runner_id, {})
        for runner_id, by_name in completions.items():
            if by_name != self._published.get(runner_id):
                self._publish(runner_id, {name: _remaining_ms(now_s, at_s) for name, at_s in by_name.items()})
        self._published = completions

    def reset(self) -> None:
        """Forgets what was published, as another process publishes now."""
        self._published.clear()


def _remaining_ms(now_s: float, at_s: float) -> float:
    return UNLOADING_MS if math.isinf(at_s) else max(round((at_s - now_s) * 1000.0), 0)

"""How loaded a runner is: this dispatcher's own requests, and others' as the runner last told."""

from __future__ import annotations

import math
from dataclasses import dataclass

# What a runner told of others' requests loses its weight with this time constant (s): about as long
# as one generation runs.
TOLD_DECAY_S = 1.0
TOLD_AGE_S = 5.0  # after this nothing is left of it


@dataclass(frozen=True, slots=True)
class ToldLoad:
    """One X-Runner-Load: requests running and waiting of all callers, and how many were our own."""

    at: float
    running: int
    waiting: int
    slots: int
    own: int

    def others(self, now: float) -> float:
        """Requests of other callers, as sure as this is by now."""
        if now - self.at > TOLD_AGE_S:
            return 0.0
        others = max(0, self.running + self.waiting - self.own)
        return others * math.exp(-(now - self.at) / TOLD_DECAY_S)

    def free(self) -> int:
        """Slots that were free; below 0: requests waited."""
        return self.slots - self.running - self.waiting


class LoadTable:
    """The newest told load of each runner."""

    def __init__(self) -> None:
        self._told: dict[str, ToldLoad] = {}

    def told(self, now: float, runner: str, running: int, waiting: int, slots: int, own: int) -> None:
        """A runner told its load while `own` of our requests were there."""
        self._told[runner] = ToldLoad(now, running, waiting, max(1, slots), own)

    def newest(self, runner: str) -> ToldLoad | None:
        """What the runner told last."""
        return self._told.get(runner)

    def requests(self, now: float, runner: str, own: int) -> float:
        """Requests at the runner of all callers, estimated."""
        told = self._told.get(runner)
        return own + (told.others(now) if told else 0.0)

    def forget(self, runner: str) -> None:
        """The runner is gone."""
        self._told.pop(runner, None)

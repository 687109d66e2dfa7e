"""What waits and runs at each dispatcher now, with totals by key and by model. Pure: time is an argument.

Totals are kept up with each report: summing over hundreds of dispatchers for each of many thousand keys would
take a plan seconds.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TypeVar

Name = TypeVar("Name")
Key = tuple[str, str, str]  # service, model, adapter ("" for the model itself)


@dataclass(frozen=True, slots=True)
class Standing:
    """What one dispatcher said last of one key."""

    waiting: int
    in_flight: int
    deadline: float  # when the first of those that wait gives up; infinite if none waits


@dataclass(slots=True)
class _Source:
    interval_s: float  # since its report before
    silent_at: float  # from then on it counts as silent
    standing: Mapping[Key, Standing] = field(default_factory=dict)


class Standings:
    """The newest report of each dispatcher.

    One that is silent for `expiry_s`, and for `expiry_intervals` of the longer of its last two intervals,
    counts for nothing.
    """

    def __init__(self, expiry_s: float, expiry_intervals: float) -> None:
        self._expiry_s, self._expiry_intervals = expiry_s, expiry_intervals
        self._sources: dict[str, _Source] = {}
        self._in_flight: Counter[Key] = Counter()
        self._model_in_flight: Counter[tuple[str, str]] = Counter()
        self._waits: dict[Key, dict[str, Standing]] = {}  # by dispatcher; only where something waits
        self._named: Counter[Key] = Counter()  # dispatchers that name the key
        self._next_silent = math.inf

    def replace(
        self, now: float, dispatcher: str, interval_s: float, standing: Mapping[Key, Standing]
    ) -> None:
        """A report has come; it replaces the one before."""
        before = self._sources.get(dispatcher)
        longest = max(interval_s, before.interval_s if before else 0.0)
        self._drop(dispatcher)
        silent_at = now + max(self._expiry_s, self._expiry_intervals * longest)
        self._sources[dispatcher] = _Source(interval_s, silent_at, standing)
        self._next_silent = min(self._next_silent, silent_at)
        for key, said in standing.items():
            self._named[key] += 1
            if said.in_flight:
                self._in_flight[key] += said.in_flight
                self._model_in_flight[key[:2]] += said.in_flight
            if said.waiting:
                self._waits.setdefault(key, {})[dispatcher] = said

    def drop_silent(self, now: float) -> None:
        """Dispatchers that are silent by now count for nothing from here on."""
        if now <= self._next_silent:
            return
        for name in [name for name, source in self._sources.items() if now > source.silent_at]:
            self._drop(name)
        self._next_silent = min((source.silent_at for source in self._sources.values()), default=math.inf)

    def names(self, key: Key) -> bool:
        """Whether any dispatcher's report names the key."""
        return key in self._named

    def waiting(self, key: Key) -> int:
        """Requests that wait for this very key."""
        return sum(said.waiting for said in self._waits.get(key, {}).values())

    def in_flight(self, key: Key) -> int:
        """Requests for this very key at runners."""
        return self._in_flight.get(key, 0)

    def deadline(self, key: Key) -> float:
        """When the first of those that wait gives up; infinite if none waits."""
        return min((said.deadline for said in self._waits.get(key, {}).values()), default=math.inf)

    def model_in_flight(self, service: str, model: str) -> int:
        """Requests at runners for the model, with and without adapters."""
        return self._model_in_flight.get((service, model), 0)

    def waits_by_model(self, service: str) -> dict[str, tuple[int, float]]:
        """How many wait for each model, with and without adapters, and when the first gives up."""
        totals: dict[str, tuple[int, float]] = {}
        for (owner, model, _), said in self._waits.items():
            if owner == service:
                for one in said.values():
                    waiting, deadline = totals.get(model, (0, math.inf))
                    totals[model] = waiting + one.waiting, min(deadline, one.deadline)
        return totals

    def anyone_waits(self) -> bool:
        """Whether a request waits, for any key."""
        return bool(self._waits)

    def _drop(self, dispatcher: str) -> None:
        source = self._sources.pop(dispatcher, None)
        if source is None:
            return
        for key, said in source.standing.items():
            _less(self._named, key, 1)
            if said.in_flight:
                _less(self._in_flight, key, said.in_flight)
                _less(self._model_in_flight, key[:2], said.in_flight)
            if said.waiting:
                waits = self._waits[key]
                del waits[dispatcher]
                if not waits:
                    del self._waits[key]


def _less(counts: Counter[Name], name: Name, by: int) -> None:
    counts[name] -= by
    if not counts[name]:
        del counts[name]

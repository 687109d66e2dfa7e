"""Demand by service, model and adapter, from what the dispatchers report. Pure: the clock is an argument.

Two exponentially decayed rates are kept for each key. The fast one follows a shift within seconds, the slow
one tells
rare models apart. `rate` blends them by how many requests the fast one has seen: a rare model's fast rate is
noise.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Protocol

Key = tuple[str, str, str]  # service, model, adapter ("" for the model itself)

FAST_S = 3.0  # time constant: a shift is half seen after two seconds
SLOW_S = 20.0  # time constant: a model asked for every 25 s is still told apart from an idle one
EXPIRY_S = 2.0  # a dispatcher that has reported nothing for so long has nobody waiting as far as we know ...
EXPIRY_INTERVALS = 3.0  # ... and for so many of the longer of its last two intervals
SETTLED_REQUESTS = 1.0  # requests in the fast window from which the fast rate outweighs the slow one
FORGET_RATE = 1e-4  # requests a second below which an idle key is forgotten


class ModelDemandLike(Protocol):
    """The fields of thrift's ModelDemand."""

    service_name: str
    model: str
    adapter: str
    arrivals: int
    waiting: int
    in_flight: int
    urgency_ms: int
    worth: float


class DemandReportLike(Protocol):
    """The fields of thrift's DemandReport."""

    node_name: str
    interval_ms: int
    models: list[ModelDemandLike]


class DecayedSum:
    """A sum whose parts fade with a time constant."""

    __slots__ = ("_at", "_sum", "_tau")

    def __init__(self, tau: float, now: float) -> None:
        self._tau, self._at, self._sum = tau, now, 0.0

    def add(self, now: float, amount: float) -> None:
        """Adds `amount` at `now`."""
        self._sum = self.value(now) + amount
        self._at = max(now, self._at)

    def value(self, now: float) -> float:
        """What is left of all that was added."""
        return self._sum * math.exp(-max(now - self._at, 0.0) / self._tau)


@dataclass(slots=True)
class _KeyRates:
    fast: DecayedSum
    slow: DecayedSum
    worth: DecayedSum


@dataclass(frozen=True, slots=True)
class _Standing:
    """What one dispatcher said last of one key."""

    waiting: int
    in_flight: int
    deadline: float  # when the first of those that wait gives up; infinite if none waits


@dataclass(slots=True)
class _Source:
    interval_s: float  # since its report before
    silent_at: float  # from then on it counts as silent
    standing: dict[Key, _Standing] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ModelSummary:
    """Demand for one model and its adapters together."""

    rate: float  # requests a second expected
    worth: float  # mean worth of a request
    waiting: int
    in_flight: int
    deadline: float  # of the first that waits; infinite if none does


class Demand:
    """Requests by key, over all dispatchers."""

    def __init__(self, clock: Callable[[], float], expiry_s: float = EXPIRY_S) -> None:
        self._clock, self._expiry = clock, expiry_s
        self._started: float | None = None
        self._rates: dict[Key, _KeyRates] = {}
        self._sources: dict[str, _Source] = {}
        self._models: dict[tuple[str, str], set[str]] = {}

    def report(self, report: DemandReportLike) -> None:
        """Takes in what a dispatcher has seen since its last report; it replaces what waits there."""
        now = self._clock()
        if self._started is None:
            self._started = now - max(report.interval_ms, 0) / 1000.0
        interval = max(report.interval_ms, 0) / 1000.0
        before = self._sources.get(report.node_name)
        longest = max(interval, before.interval_s if before else 0.0)
        source = _Source(interval, now + max(self._expiry, EXPIRY_INTERVALS * longest))
        for line in report.models:
            key = (line.service_name, line.model, line.adapter or "")
            self._count(now, key, line)
            left = line.urgency_ms / 1000.0 if line.waiting > 0 and line.urgency_ms > 0 else math.inf
            source.standing[key] = _Standing(max(line.waiting, 0), max(line.in_flight, 0), now + left)
        self._sources[report.node_name] = source

    def _count(self, now: float, key: Key, line: ModelDemandLike) -> None:
        rates = self._rates.get(key)
        if rates is None:
            rates = _KeyRates(DecayedSum(FAST_S, now), DecayedSum(SLOW_S, now), DecayedSum(SLOW_S, now))
            self._rates[key] = rates
            self._models.setdefault(key[:2], set()).add(key[2])
        if line.arrivals > 0:
            rates.fast.add(now, line.arrivals)
            rates.slow.add(now, line.arrivals)
            rates.worth.add(now, line.worth if line.worth > 0.0 else float(line.arrivals))

    def rate(self, key: Key) -> float:
        """Expected requests a second for this very key."""
        rates = self._rates.get(key)
        return self._blend([rates]) if rates else 0.0

    def model_rate(self, service: str, model: str) -> float:
        """Expected requests a second for the model, with and without adapters."""
        return self._blend(self._of_model(service, model))

    def model_worth(self, service: str, model: str) -> float:
        """Mean worth of a request for the model; 1 where none came."""
        rates = self._of_model(service, model)
        now = self._clock()
        count = sum(entry.slow.value(now) for entry in rates)
        return sum(entry.worth.value(now) for entry in rates) / count if count > 1e-9 else 1.0

    def waiting(self, key: Key) -> int:
        """Requests that wait for this very key to be loaded."""
        return sum(standing.waiting for standing in self._standing(key))

    def in_flight(self, key: Key) -> int:
        """Requests for this very key at runners."""
        return sum(standing.in_flight for standing in self._standing(key))

    def deadline(self, key: Key) -> float:
        """When the first of those that wait gives up, on the clock; infinite if none waits."""
        return min((standing.deadline for standing in self._standing(key)), default=math.inf)

    def by_model(self, service: str) -> dict[str, ModelSummary]:
        """All that is known of each model of a service that was asked for, in one pass."""
        now = self._clock()
        standing = self._standing_by_model(service, now)
        summaries = {}
        for (owner, model), adapters in self._models.items():
            if owner != service or not adapters:
                continue
            waiting, in_flight, deadline = standing.get(model, (0, 0, math.inf))
            rate, worth = self.model_rate(service, model), self.model_worth(service, model)
            summaries[model] = ModelSummary(rate, worth, waiting, in_flight, deadline)
        return summaries

    def _standing_by_model(self, service: str, now: float) -> dict[str, tuple[int, int, float]]:
        totals: dict[str, tuple[int, int, float]] = {}
        for source in self._sources.values():
            if self._is_old(now, source):
                continue
            for (owner, model, _), said in source.standing.items():
                if owner == service:
                    waiting, in_flight, deadline = totals.get(model, (0, 0, math.inf))
                    totals[model] = (waiting + said.waiting, in_flight + said.in_flight,
                                     min(deadline, said.deadline))
        return totals

    def adapters(self, service: str, model: str) -> list[str]:
        """Adapters of the model that were asked for."""
        return sorted(name for name in self._adapters(service, model) if name)

    def anyone_waits(self) -> bool:
        """Whether a request waits for a load, at any dispatcher."""
        now = self._clock()
        return any(standing.waiting > 0 for source in self._sources.values() if not self._is_old(now, source)
                   for standing in source.standing.values())

    def expire(self) -> None:
        """Forgets dispatchers that went silent and keys that nobody has asked for in a long time."""
        now = self._clock()
        for name in [name for name, source in self._sources.items() if self._is_old(now, source)]:
            del self._sources[name]
        standing = {key for source in self._sources.values() for key in source.standing}
        for key, rates in list(self._rates.items()):
            if key not in standing and rates.slow.value(now) / SLOW_S < FORGET_RATE:
                del self._rates[key]
                self._models[key[:2]].discard(key[2])

    def _is_old(self, now: float, source: _Source) -> bool:
        return now > source.silent_at

    def _adapters(self, service: str, model: str) -> set[str]:
        return self._models.get((service, model), set())

    def _of_model(self, service: str, model: str) -> list[_KeyRates]:
        return [self._rates[(service, model, name)] for name in self._adapters(service, model)]

    def _standing(self, key: Key) -> Iterable[_Standing]:
        now = self._clock()
        for source in self._sources.values():
            if key in source.standing and not self._is_old(now, source):
                yield source.standing[key]

    def _blend(self, rates: list[_KeyRates]) -> float:
        if not rates or self._started is None:
            return 0.0
        now = self._clock()
        age = max(now - self._started, 1.0)
        fast = sum(entry.fast.value(now) for entry in rates) / _memory(FAST_S, age)
        slow = sum(entry.slow.value(now) for entry in rates) / _memory(SLOW_S, age)
        seen = max(fast, slow) * FAST_S
        weight = seen / (seen + SETTLED_REQUESTS)
        return weight * fast + (1.0 - weight) * slow


def _memory(tau: float, age: float) -> float:
    """Seconds of requests that a decayed sum holds after `age` seconds."""
    return tau * (1.0 - math.exp(-age / tau))

"""Demand by service, model and adapter, from what the dispatchers report. Pure: the clock is an argument.

Two exponentially decayed rates are kept for each key. The fast one follows a shift within seconds, the slow
one tells
rare models apart. `rate` blends them by how many requests the fast one has seen: a rare model's fast rate is
noise.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from .demand_reports import Key, Standing, Standings

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

    @classmethod
    def starting(cls, now: float) -> _KeyRates:
        return cls(DecayedSum(FAST_S, now), DecayedSum(SLOW_S, now), DecayedSum(SLOW_S, now))

    def add(self, now: float, arrivals: int, worth: float) -> None:
        self.fast.add(now, arrivals)
        self.slow.add(now, arrivals)
        self.worth.add(now, worth)


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
        self._clock = clock
        self._started: float | None = None
        self._rates: dict[Key, _KeyRates] = {}
        self._standings = Standings(expiry_s, EXPIRY_INTERVALS)
        self._models: dict[tuple[str, str], set[str]] = {}
        self._model_rates: dict[tuple[str, str], _KeyRates] = {}  # sums over the adapters of each

    def report(self, report: DemandReportLike) -> None:
        """Takes in what a dispatcher has seen since its last report; it replaces what waits there."""
        now = self._clock()
        if self._started is None:
            self._started = now - max(report.interval_ms, 0) / 1000.0
        standing = {}
        for line in report.models:
            key = (line.service_name, line.model, line.adapter or "")
            self._count(now, key, line)
            left = line.urgency_ms / 1000.0 if line.waiting > 0 and line.urgency_ms > 0 else math.inf
            standing[key] = Standing(max(line.waiting, 0), max(line.in_flight, 0), now + left)
        interval = max(report.interval_ms, 0) / 1000.0
        self._standings.replace(now, report.node_name, interval, standing)

    def _count(self, now: float, key: Key, line: ModelDemandLike) -> None:
        if key not in self._rates:
            self._rates[key] = _KeyRates.starting(now)
            self._models.setdefault(key[:2], set()).add(key[2])
            if key[:2] not in self._model_rates:
                self._model_rates[key[:2]] = _KeyRates.starting(now)
        if line.arrivals > 0:
            worth = line.worth if line.worth > 0.0 else float(line.arrivals)
            self._rates[key].add(now, line.arrivals, worth)
            self._model_rates[key[:2]].add(now, line.arrivals, worth)

    def rate(self, key: Key) -> float:
        """Expected requests a second for this very key."""
        return self._blend(self._rates.get(key))

    def model_rate(self, service: str, model: str) -> float:
        """Expected requests a second for the model, with and without adapters."""
        return self._blend(self._model_rates.get((service, model)))

    def model_worth(self, service: str, model: str) -> float:
        """Mean worth of a request for the model; 1 where none came."""
        rates = self._model_rates.get((service, model))
        if rates is None:
            return 1.0
        now = self._clock()
        count = rates.slow.value(now)
        return rates.worth.value(now) / count if count > 1e-9 else 1.0

    def waiting(self, key: Key) -> int:
        """Requests that wait for this very key to be loaded."""
        return self._standing().waiting(key)

    def in_flight(self, key: Key) -> int:
        """Requests for this very key at runners."""
        return self._standing().in_flight(key)

    def deadline(self, key: Key) -> float:
        """When the first of those that wait gives up, on the clock; infinite if none waits."""
        return self._standing().deadline(key)

    def by_model(self, service: str) -> dict[str, ModelSummary]:
        """All that is known of each model of a service that was asked for."""
        standings = self._standing()
        waits = standings.waits_by_model(service)
        summaries = {}
        for (owner, model), adapters in self._models.items():
            if owner != service or not adapters:
                continue
            waiting, deadline = waits.get(model, (0, math.inf))
            rate, worth = self.model_rate(service, model), self.model_worth(service, model)
            summaries[model] = ModelSummary(
                rate, worth, waiting, standings.model_in_flight(service, model), deadline
            )
        return summaries

    def adapters(self, service: str, model: str) -> list[str]:
        """Adapters of the model that were asked for."""
        return sorted(name for name in self._adapters(service, model) if name)

    def anyone_waits(self) -> bool:
        """Whether a request waits for a load, at any dispatcher."""
        return self._standing().anyone_waits()

    def expire(self) -> None:
        """Forgets dispatchers that went silent and keys that nobody has asked for in a long time."""
        now, standings = self._clock(), self._standing()
        for key, rates in list(self._rates.items()):
            if not standings.names(key) and rates.slow.value(now) / SLOW_S < FORGET_RATE:
                del self._rates[key]
                adapters = self._models[key[:2]]
                adapters.discard(key[2])
                if not adapters:
                    del self._models[key[:2]], self._model_rates[key[:2]]

    def _standing(self) -> Standings:
        self._standings.drop_silent(self._clock())
        return self._standings

    def _adapters(self, service: str, model: str) -> set[str]:
        return self._models.get((service, model), set())

    def _blend(self, rates: _KeyRates | None) -> float:
        if rates is None or self._started is None:
            return 0.0
        now = self._clock()
        age = max(now - self._started, 1.0)
        fast = rates.fast.value(now) / _memory(FAST_S, age)
        slow = rates.slow.value(now) / _memory(SLOW_S, age)
        seen = max(fast, slow) * FAST_S
        weight = seen / (seen + SETTLED_REQUESTS)
        return weight * fast + (1.0 - weight) * slow


def _memory(tau: float, age: float) -> float:
    """Seconds of requests that a decayed sum holds after `age` seconds."""
    return tau * (1.0 - math.exp(-age / tau))

"""What waits and runs at each dispatcher now, with totals by key and by model. Pure: time is an argument.

Totals are kept up with each report: summing over hundreds of dispatchers for each of many thousand keys would
take seconds for each plan.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TypeVar

CountKey = TypeVar("CountKey")
DemandKey = tuple[str, str, str]  # service, model, adapter ("" for the model itself)


@dataclass(frozen=True, slots=True)
class KeyDemand:
    """What one dispatcher reported last for one key.

    Attributes:
        waiting: Requests that wait for it to be loaded.
        in_flight: Requests for it at runners.
        deadline_s: When the first of those that wait gives up, on the tracker's clock; infinite if none
            waits.
    """

    waiting: int
    in_flight: int
    deadline_s: float


@dataclass(slots=True)
class _DispatcherDemand:
    """One dispatcher's newest report; after `expires_at_s` the dispatcher counts as silent."""

    interval_s: float
    expires_at_s: float
    demand: Mapping[DemandKey, KeyDemand] = field(default_factory=dict)


class DemandReports:
    """The newest report of each dispatcher, with totals over all of them.

    A dispatcher that is silent for `expiry_s`, and for `expiry_intervals` of the longer of its last two
    intervals, counts for nothing.
    """

    def __init__(self, expiry_s: float, expiry_intervals: float) -> None:
        """Makes an empty table.

        Args:
            expiry_s: How long a report counts at least.
            expiry_intervals: How many intervals between its reports a dispatcher may be silent.
        """
        self._expiry_s, self._expiry_intervals = expiry_s, expiry_intervals
        self._dispatchers: dict[str, _DispatcherDemand] = {}
        self._in_flight: Counter[DemandKey] = Counter()
        self._model_in_flight: Counter[tuple[str, str]] = Counter()
        self._waiting: dict[DemandKey, dict[str, KeyDemand]] = {}  # by dispatcher; only where something waits
        self._reporters: Counter[DemandKey] = Counter()  # dispatchers whose report names the key
        self._next_expiry_s = math.inf

    def replace(
        self, now_s: float, dispatcher: str, interval_s: float, demand: Mapping[DemandKey, KeyDemand]
    ) -> None:
        """Puts a dispatcher's new report in the place of the one before.

        Args:
            now_s: The time of the report.
            dispatcher: Who sent it.
            interval_s: Time since its report before.
            demand: All that waits or runs there.
        """
        previous = self._dispatchers.get(dispatcher)
        longest_s = max(interval_s, previous.interval_s if previous else 0.0)
        self._remove(dispatcher)
        expires_at_s = now_s + max(self._expiry_s, self._expiry_intervals * longest_s)
        self._dispatchers[dispatcher] = _DispatcherDemand(interval_s, expires_at_s, demand)
        self._next_expiry_s = min(self._next_expiry_s, expires_at_s)
        for key, reported in demand.items():
            self._reporters[key] += 1
            if reported.in_flight:
                self._in_flight[key] += reported.in_flight
                self._model_in_flight[key[:2]] += reported.in_flight
            if reported.waiting:
                self._waiting.setdefault(key, {})[dispatcher] = reported

    def drop_expired(self, now_s: float) -> None:
        """Removes the reports of dispatchers that have been silent for too long."""
        if now_s <= self._next_expiry_s:
            return
        expired = [name for name, known in self._dispatchers.items() if now_s > known.expires_at_s]
        for name in expired:
            self._remove(name)
        self._next_expiry_s = min(
            (known.expires_at_s for known in self._dispatchers.values()), default=math.inf
        )

    def is_reported(self, key: DemandKey) -> bool:
        """Whether any dispatcher's report names the key."""
        return key in self._reporters

    def waiting(self, key: DemandKey) -> int:
        """Returns how many requests wait for this very key."""
        return sum(reported.waiting for reported in self._waiting.get(key, {}).values())

    def in_flight(self, key: DemandKey) -> int:
        """Returns how many requests for this very key are at runners."""
        return self._in_flight.get(key, 0)

    def deadline_s(self, key: DemandKey) -> float:
        """Returns when the first of those that wait gives up; infinite if none waits."""
        return min(
            (reported.deadline_s for reported in self._waiting.get(key, {}).values()), default=math.inf
        )

    def model_in_flight(self, service: str, model: str) -> int:
        """Returns how many requests for the model, with and without adapters, are at runners."""
        return self._model_in_flight.get((service, model), 0)

    def waiting_by_model(self, service: str) -> dict[str, tuple[int, float]]:
        """Returns how many wait for each model, with and without adapters, and when the first gives up."""
        totals: dict[str, tuple[int, float]] = {}
        for (reported_service, model, _), by_dispatcher in self._waiting.items():
            if reported_service != service:
                continue
            for reported in by_dispatcher.values():
                waiting, deadline_s = totals.get(model, (0, math.inf))
                totals[model] = waiting + reported.waiting, min(deadline_s, reported.deadline_s)
        return totals

    def anyone_waits(self) -> bool:
        """Whether a request waits, for any key."""
        return bool(self._waiting)

    def _remove(self, dispatcher: str) -> None:
        known = self._dispatchers.pop(dispatcher, None)
        if known is None:
            return
        for key, reported in known.demand.items():
            _subtract(self._reporters, key, 1)
            if reported.in_flight:
                _subtract(self._in_flight, key, reported.in_flight)
                _subtract(self._model_in_flight, key[:2], reported.in_flight)
            if reported.waiting:
                by_dispatcher = self._waiting[key]
                del by_dispatcher[dispatcher]
                if not by_dispatcher:
                    del self._waiting[key]


def _subtract(counts: Counter[CountKey], key: CountKey, amount: int) -> None:
    counts[key] -= amount
    if not counts[key]:
        del counts[key]

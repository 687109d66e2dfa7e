"""The latest demand report of each dispatcher, with totals by key and by model.

The time is passed as an argument. Totals are updated with each report: summing over hundreds of dispatchers
for each of many thousand keys would take seconds in each planning round.
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
    """Demand for one key in the latest report of one dispatcher.

    Attributes:
        waiting: Requests that wait for the key to be loaded.
        in_flight: Requests for the key at runners.
        deadline_s: Earliest deadline of the waiting requests, on the tracker's clock; infinite if there are
            none.
    """

    waiting: int
    in_flight: int
    deadline_s: float


@dataclass(slots=True)
class _DispatcherDemand:
    """One dispatcher's latest report; it is dropped after `expires_at_s`."""

    interval_s: float
    expires_at_s: float
    demand: Mapping[DemandKey, KeyDemand] = field(default_factory=dict)


class DemandReports:
    """The latest report of each dispatcher, with totals over all of them.

    A report expires once the dispatcher has sent nothing for `expiry_s`, and also for `expiry_intervals`
    times the longer of its last two report intervals.
    """

    def __init__(self, expiry_s: float, expiry_intervals: float) -> None:
        """Starts without reports.

        Args:
            expiry_s: Minimum time until a report expires.
            expiry_intervals: Minimum time until a report expires, in report intervals of its dispatcher.
        """
        self._expiry_s, self._expiry_intervals = expiry_s, expiry_intervals
        self._dispatchers: dict[str, _DispatcherDemand] = {}
        self._in_flight: Counter[DemandKey] = Counter()
        self._model_in_flight: Counter[tuple[str, str]] = Counter()
        self._waiting: dict[DemandKey, dict[str, KeyDemand]] = {}  # by dispatcher; only with waiting requests
        self._reporters: Counter[DemandKey] = Counter()  # number of dispatchers whose report has the key
        self._next_expiry_s = math.inf

    def replace(
        self, now_s: float, dispatcher: str, interval_s: float, demand: Mapping[DemandKey, KeyDemand]
    ) -> None:
        """Replaces a dispatcher's previous report.

        Args:
            now_s: Time of the report.
            dispatcher: Name of the dispatcher.
            interval_s: Time since the dispatcher's previous report.
            demand: All waiting and running requests at the dispatcher, by key.
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
        """Removes expired reports."""
        if now_s <= self._next_expiry_s:
            return
        expired = [name for name, known in self._dispatchers.items() if now_s > known.expires_at_s]
        for name in expired:
            self._remove(name)
        self._next_expiry_s = min(
            (known.expires_at_s for known in self._dispatchers.values()), default=math.inf
        )

    def is_reported(self, key: DemandKey) -> bool:
        """Returns whether any dispatcher's latest report has the key."""
        return key in self._reporters

    def waiting(self, key: DemandKey) -> int:
        """Returns how many requests wait for exactly this key."""
        return sum(reported.waiting for reported in self._waiting.get(key, {}).values())

    def in_flight(self, key: DemandKey) -> int:
        """Returns how many requests for exactly this key are at runners."""
        return self._in_flight.get(key, 0)

    def deadline_s(self, key: DemandKey) -> float:
        """Returns the earliest deadline of the requests that wait for the key; infinite if none waits."""
        return min(
            (reported.deadline_s for reported in self._waiting.get(key, {}).values()), default=math.inf
        )

    def model_in_flight(self, service: str, model: str) -> int:
        """Returns how many requests for the model, with and without adapters, are at runners."""
        return self._model_in_flight.get((service, model), 0)

    def waiting_by_model(self, service: str) -> dict[str, tuple[int, float]]:
        """Returns the number and earliest deadline of requests waiting for each model or its adapters."""
        totals: dict[str, tuple[int, float]] = {}
        for (reported_service, model, _), by_dispatcher in self._waiting.items():
            if reported_service != service:
                continue
            for reported in by_dispatcher.values():
                waiting, deadline_s = totals.get(model, (0, math.inf))
                totals[model] = waiting + reported.waiting, min(deadline_s, reported.deadline_s)
        return totals

    def has_waiting_requests(self) -> bool:
        """Returns whether any request waits for a load."""
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

"""Demand by service, model and adapter, from the dispatchers' reports. The clock is an argument."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from .demand_reports import DemandKey, DemandReports, KeyDemand
from .request_rate import RequestRate

# A report expires after both of these: a time, and a multiple of the longer of the last two report intervals.
EXPIRY_S = 2.0
EXPIRY_INTERVALS = 3.0
MIN_REQUESTS_PER_S = 1e-4  # a key that is in no report is removed below this rate


class ModelDemandLike(Protocol):
    """The fields of the Thrift struct ModelDemand, under their Thrift names."""

    service_name: str
    model: str
    adapter: str
    arrivals: int
    waiting: int
    in_flight: int
    urgency_ms: int
    worth: float


class DemandReportLike(Protocol):
    """The fields of the Thrift struct DemandReport, under their Thrift names."""

    node_name: str
    interval_ms: int
    models: list[ModelDemandLike]


@dataclass(frozen=True, slots=True)
class ModelSummary:
    """Demand for one model, including its adapters.

    Attributes:
        requests_per_s: Expected rate.
        request_value: Mean value of a request.
        waiting: Requests that wait for a load.
        in_flight: Requests at runners.
        deadline_s: Earliest deadline of the waiting requests, on the tracker's clock; infinite if there are
            none.
    """

    requests_per_s: float
    request_value: float
    waiting: int
    in_flight: int
    deadline_s: float


class DemandTracker:
    """Demand by key, summed over all dispatchers."""

    def __init__(self, clock: Callable[[], float], expiry_s: float = EXPIRY_S) -> None:
        """Starts with no demand.

        Args:
            clock: Returns the time in seconds.
            expiry_s: Minimum time until a dispatcher's report expires.
        """
        self._clock = clock
        self._observed_since_s: float | None = None
        self._reports = DemandReports(expiry_s, EXPIRY_INTERVALS)
        self._rates: dict[DemandKey, RequestRate] = {}
        self._model_rates: dict[tuple[str, str], RequestRate] = {}  # including the adapters of each model
        # Requested adapters by model; "" for the model itself.
        self._adapters: dict[tuple[str, str], set[str]] = {}

    def receive_report(self, report: DemandReportLike) -> None:
        """Adds the arrivals since a dispatcher's last report; replaces its waiting and running requests."""
        now_s = self._clock()
        interval_s = max(report.interval_ms, 0) / 1000.0
        if self._observed_since_s is None:
            self._observed_since_s = now_s - interval_s
        demand = {}
        for reported in report.models:
            key = (reported.service_name, reported.model, reported.adapter or "")
            self._count_arrivals(now_s, key, reported)
            left_s = (
                reported.urgency_ms / 1000.0 if reported.waiting > 0 and reported.urgency_ms > 0 else math.inf
            )
            demand[key] = KeyDemand(max(reported.waiting, 0), max(reported.in_flight, 0), now_s + left_s)
        self._reports.replace(now_s, report.node_name, interval_s, demand)

    def _count_arrivals(self, now_s: float, key: DemandKey, reported: ModelDemandLike) -> None:
        model_key = key[:2]
        if key not in self._rates:
            self._rates[key] = RequestRate(now_s)
            self._adapters.setdefault(model_key, set()).add(key[2])
            if model_key not in self._model_rates:
                self._model_rates[model_key] = RequestRate(now_s)
        if reported.arrivals > 0:
            value = reported.worth if reported.worth > 0.0 else float(reported.arrivals)
            self._rates[key].add(now_s, reported.arrivals, value)
            self._model_rates[model_key].add(now_s, reported.arrivals, value)

    def requests_per_s(self, key: DemandKey) -> float:
        """Returns the expected rate for exactly this key."""
        return self._expected_rate(self._rates.get(key))

    def model_requests_per_s(self, service: str, model: str) -> float:
        """Returns the expected rate for the model, with and without adapters."""
        return self._expected_rate(self._model_rates.get((service, model)))

    def model_request_value(self, service: str, model: str) -> float:
        """Returns the mean value of a request for the model; 1 if there was none."""
        rate = self._model_rates.get((service, model))
        return 1.0 if rate is None else rate.mean_value(self._clock())

    def waiting(self, key: DemandKey) -> int:
        """Returns how many requests wait for exactly this key to be loaded."""
        return self._current_reports().waiting(key)

    def in_flight(self, key: DemandKey) -> int:
        """Returns how many requests for exactly this key are at runners."""
        return self._current_reports().in_flight(key)

    def deadline_s(self, key: DemandKey) -> float:
        """Returns the earliest deadline of the requests that wait for the key; infinite if none waits."""
        return self._current_reports().deadline_s(key)

    def by_model(self, service: str) -> dict[str, ModelSummary]:
        """Returns the demand for each requested model of a service."""
        reports = self._current_reports()
        waiting_by_model = reports.waiting_by_model(service)
        summaries = {}
        for (model_service, model), adapters in self._adapters.items():
            if model_service != service or not adapters:
                continue
            waiting, deadline_s = waiting_by_model.get(model, (0, math.inf))
            summaries[model] = ModelSummary(
                self.model_requests_per_s(service, model),
                self.model_request_value(service, model),
                waiting,
                reports.model_in_flight(service, model),
                deadline_s,
            )
        return summaries

    def adapters(self, service: str, model: str) -> list[str]:
        """Returns the requested adapters of the model, sorted."""
        return sorted(name for name in self._adapters.get((service, model), set()) if name)

    def has_waiting_requests(self) -> bool:
        """Returns whether a request waits for a load at any dispatcher."""
        return self._current_reports().has_waiting_requests()

    def expire(self) -> None:
        """Removes expired reports, and keys that have not been requested for a long time."""
        now_s, reports = self._clock(), self._current_reports()
        for key, rate in list(self._rates.items()):
            if not reports.is_reported(key) and rate.long_term_requests_per_s(now_s) < MIN_REQUESTS_PER_S:
                self._forget(key)

    def _forget(self, key: DemandKey) -> None:
        del self._rates[key]
        model_key = key[:2]
        adapters = self._adapters[model_key]
        adapters.discard(key[2])
        if not adapters:
            del self._adapters[model_key], self._model_rates[model_key]

    def _current_reports(self) -> DemandReports:
        self._reports.drop_expired(self._clock())
        return self._reports

    def _expected_rate(self, rate: RequestRate | None) -> float:
        if rate is None or self._observed_since_s is None:
            return 0.0
        return rate.requests_per_s(self._clock(), self._observed_since_s)

"""Metrics for operators, computed from the core's counters at each scrape."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterator

from prometheus_client import CollectorRegistry, Counter, Metric, generate_latest
from prometheus_client.core import GaugeMetricFamily, UntypedMetricFamily
from prometheus_client.registry import Collector

from ...net.counters import Counters
from .outcomes import AnswerKind

COUNTS = {"answered": AnswerKind.SERVED, "deferred": AnswerKind.REFUSED, "errored": AnswerKind.FAILED}


class DispatcherMetrics(Collector):
    """Exports metrics under the exact names that operators use; a typed counter would append `_total`."""

    def __init__(self, counters: Counters, classes: list[str], gauges: dict[str, Callable[[], int]]) -> None:
        self._counters, self._classes, self._gauges = counters, classes, gauges
        self._registry = CollectorRegistry(auto_describe=False)
        self._registry.register(self)

    def text(self) -> bytes:
        return generate_latest(self._registry)

    def collect(self) -> Iterator[Metric]:
        answers = _sums(self._counters.answered, "outcome", "job_class")
        for name, kind in COUNTS.items():
            family = UntypedMetricFamily(f"dispatcher_{name}", f"Jobs {kind.value}", labels=["group"])
            for job_class in self._classes:
                family.add_metric([job_class], answers[kind.value, job_class])
            yield family
        yield UntypedMetricFamily(
            "dispatcher_sends", "Attempts written whole to runners", value=_sums(self._counters.written)[()]
        )
        for name, gauge in self._gauges.items():
            yield GaugeMetricFamily(f"dispatcher_{name}", name.replace("_", " "), value=gauge())


def _sums(counter: Counter, *labels: str) -> defaultdict[tuple[str, ...], float]:
    """Sums a counter over all labels except the given ones; 0 for label values not yet seen."""
    sums: defaultdict[tuple[str, ...], float] = defaultdict(float)
    for metric in counter.collect():
        for sample in metric.samples:
            if sample.name.endswith("_total"):
                sums[tuple(sample.labels[label] for label in labels)] += sample.value
    return sums

"""A control process's status as Prometheus metrics."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.registry import Collector

from ..rpc.generated.ttypes import ControlStatus


class _StatusCollector(Collector):
    """Exposes one status as gauges."""

    def __init__(self, status: ControlStatus) -> None:
        self._status = status

    def collect(self) -> Iterator[GaugeMetricFamily]:
        """Yields the gauges."""
        status = self._status
        yield _gauge(
            "view_epoch",
            "Epoch of the last view accepted",
            status.view.epoch if status.view is not None else 0,
        )
        yield _gauge("is_primary", "1 at the primary of the replicated log", status.role == "primary")
        yield _gauge("is_isolated", "1 while cut off from the majority", status.isolated)
        yield _gauge("config_version", "Committed configuration; 0: none", status.config_version)
        yield _gauge("committed_index", "Newest record known to be acknowledged", status.committed_index)
        yield _gauge("log_bytes", "Segments and snapshot on the disk", status.disk.log_bytes)
        yield _gauge("disk_free_bytes", "Free in the data folder; -1: not told", status.disk.free_bytes)
        yield _gauge("disk_has_reserve", "1 while room is set aside", status.disk.has_reserve)
        yield _labelled("runners", "Runners that are not gone", "stage", status.runners)
        present = Counter(
            process.role for process in status.processes if process.state in ("alive", "suspect")
        )
        yield _labelled("processes", "Processes that are members", "role", present)


def _gauge(name: str, documentation: str, value: float) -> GaugeMetricFamily:
    return GaugeMetricFamily(f"larchgw_control_{name}", documentation, value=float(value))


def _labelled(name: str, documentation: str, label: str, values: dict[str, int]) -> GaugeMetricFamily:
    family = GaugeMetricFamily(f"larchgw_control_{name}", documentation, labels=[label])
    for key, value in sorted(values.items()):
        family.add_metric([key], float(value))
    return family


def metrics_text(status: ControlStatus) -> bytes:
    """Formats the metrics of a status in the Prometheus text format."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_StatusCollector(status))
    return generate_latest(registry)

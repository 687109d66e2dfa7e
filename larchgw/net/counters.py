"""Prometheus metrics of the job dispatcher and of the HTTP server, which the edge also uses."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest


class Counters:
    """A set of metrics with its own registry, readable as Prometheus text or as values by name."""

    def __init__(self) -> None:
        """Creates the metrics, each at 0."""
        registry = self.registry = CollectorRegistry(auto_describe=False)
        self.taken = Counter("larchgw_taken", "Requests taken in", ["front", "job_class"], registry=registry)
        self.sent = Counter("larchgw_sent", "Attempts begun", ["transport"], registry=registry)
        self.written = Counter("larchgw_written", "Attempts written whole", ["transport"], registry=registry)
        self.ended = Counter("larchgw_ended", "Attempts ended", ["transport", "outcome"], registry=registry)
        self.answered = Counter(
            "larchgw_answered", "Final answers", ["front", "outcome", "job_class"], registry=registry
        )
        self.gone = Counter("larchgw_gone", "Requests whose client left", ["front"], registry=registry)
        self.moved = Counter("larchgw_moved", "Requests moved between processes", ["way"], registry=registry)
        self.bad = Counter(
            "larchgw_bad_input", "Input answered without the core", ["front", "reason"], registry=registry
        )
        self.late = Counter(
            "larchgw_late_events", "Events of attempts that had ended, dropped", ["event"], registry=registry
        )
        self.caps = Counter("larchgw_caps", "Times that a limit of ours was met", ["cap"], registry=registry)
        self.dead = Counter(
            "larchgw_dead_connections", "Kept connections that proved dead", registry=registry
        )
        self.stale = Counter(
            "larchgw_stale_connections",
            "Kept connections on which something had come when they were wanted",
            registry=registry,
        )
        self.withdrawn = Counter(
            "larchgw_withdrawn", "Attempts whose connection came up too late to be sent", registry=registry
        )
        self.lists = Counter("larchgw_lists", "Answers of discovery", ["kind"], registry=registry)
        self.faults = Counter(
            "larchgw_faults", "Errors of our own that were caught", ["where"], registry=registry
        )
        self.open = Gauge("larchgw_open_requests", "Requests without a final answer", registry=registry)

    def text(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def nonzero_values(self) -> dict[str, float]:
        """Returns all values other than 0 by name, for a log line."""
        return {
            sample.name + "".join(f"_{value}" for value in sample.labels.values()): sample.value
            for metric in self.registry.collect()
            for sample in metric.samples
            if sample.value and not sample.name.endswith("_created")
        }

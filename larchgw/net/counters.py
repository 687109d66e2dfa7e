"""What the dispatcher counts."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest


class Counters:
    """One set of counters; printed as Prometheus text, or as figures by name."""

    def __init__(self) -> None:
        r = self.registry = CollectorRegistry(auto_describe=False)
        self.taken = Counter("larchgw_taken", "Requests taken in", ["front", "job_class"], registry=r)
        self.sent = Counter("larchgw_sent", "Attempts begun", ["transport"], registry=r)
        self.written = Counter("larchgw_written", "Attempts written whole", ["transport"], registry=r)
        self.ended = Counter("larchgw_ended", "Attempts ended", ["transport", "outcome"], registry=r)
        self.answered = Counter(
            "larchgw_answered", "Final answers", ["front", "outcome", "job_class"], registry=r
        )
        self.gone = Counter("larchgw_gone", "Requests whose client left", ["front"], registry=r)
        self.moved = Counter("larchgw_moved", "Requests moved between processes", ["way"], registry=r)
        self.bad = Counter(
            "larchgw_bad_input", "Input answered without the core", ["front", "reason"], registry=r
        )
        self.late = Counter(
            "larchgw_late_events", "Events of attempts that had ended, dropped", ["event"], registry=r
        )
        self.caps = Counter("larchgw_caps", "Times that a limit of ours was met", ["cap"], registry=r)
        self.dead = Counter("larchgw_dead_connections", "Kept connections that proved dead", registry=r)
        self.stale = Counter(
            "larchgw_stale_connections",
            "Kept connections on which something had come when they were wanted",
            registry=r,
        )
        self.withdrawn = Counter(
            "larchgw_withdrawn", "Attempts whose connection came up too late to be sent", registry=r
        )
        self.lists = Counter("larchgw_lists", "Answers of discovery", ["kind"], registry=r)
        self.faults = Counter("larchgw_faults", "Errors of our own that were caught", ["where"], registry=r)
        self.open = Gauge("larchgw_open_requests", "Requests without a final answer", registry=r)

    def text(self) -> bytes:
        return generate_latest(self.registry)

    def figures(self) -> dict[str, float]:
        """Every counter that is not 0, for one log line."""
        return {
            sample.name + "".join(f"_{value}" for value in sample.labels.values()): sample.value
            for metric in self.registry.collect()
            for sample in metric.samples
            if sample.value and not sample.name.endswith("_created")
        }

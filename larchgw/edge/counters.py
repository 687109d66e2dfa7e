"""Prometheus metrics of the edge."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge


class EdgeCounters:
    """The metrics of one edge, registered in the given registry."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Registers the metrics."""
        self.requests = Counter(
            "larchgw_edge_requests", "Requests that came, by kind of route", ["kind"], registry=registry
        )
        self.answers = Counter(
            "larchgw_edge_answers",
            "Final answers, by status and who gave it",
            ["status", "source"],
            registry=registry,
        )
        self.refused = Counter(
            "larchgw_edge_refused", "Requests answered 503 by us", ["reason"], registry=registry
        )
        self.attempts = Counter(
            "larchgw_edge_attempts", "Sends to runners that ended, by outcome", ["outcome"], registry=registry
        )
        self.resumed = Counter(
            "larchgw_edge_resumed", "Streams taken up at another runner", registry=registry
        )
        self.cut = Counter("larchgw_edge_cut", "Answers that ended before their end", registry=registry)
        self.gone = Counter("larchgw_edge_clients_gone", "Requests whose client left", registry=registry)
        self.connections = Counter(
            "larchgw_edge_connections", "Connections to runners, by event", ["event"], registry=registry
        )
        self.surplus_answers = Counter(
            "larchgw_edge_surplus_answers",
            "Bytes from runners that belong to no awaited answer, by where they came",
            ["place"],
            registry=registry,
        )
        self.repeated_ids = Counter(
            "larchgw_edge_repeated_ids",
            "Requests under an attempt id that a recent request had",
            registry=registry,
        )
        self.open = Gauge("larchgw_edge_open_requests", "Requests without a final answer", registry=registry)

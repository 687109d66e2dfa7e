"""`GET /status` and `GET /metrics`, which both roles serve in addition to their own endpoints."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any, TypeAlias

import tornado.web

StatusSource: TypeAlias = Callable[[], dict[str, Any]]
"""Returns the status object, which is served as JSON."""

MetricsSource: TypeAlias = Callable[[], bytes]
"""Returns the metrics in Prometheus's text format."""

Rule: TypeAlias = tuple[str, type[tornado.web.RequestHandler], dict[str, Any]]
"""Path, handler and its arguments, as a Tornado application takes them."""


class _StatusHandler(tornado.web.RequestHandler):
    def initialize(self, status: StatusSource) -> None:
        self.status = status

    def get(self) -> None:
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(self.status(), indent=1) + "\n")


class _MetricsHandler(tornado.web.RequestHandler):
    def initialize(self, metrics: MetricsSource) -> None:
        self.metrics = metrics

    def get(self) -> None:
        # Imported on demand, so that a role whose metrics are not read does not load the library.
        from prometheus_client.exposition import CONTENT_TYPE_LATEST

        self.set_header("Content-Type", CONTENT_TYPE_LATEST)
        self.finish(self.metrics())


def rules(status: StatusSource, metrics: MetricsSource) -> list[Rule]:
    """Returns the rules for a Tornado application; both sources are called for each request."""
    return [
        (r"/status", _StatusHandler, {"status": status}),
        (r"/metrics", _MetricsHandler, {"metrics": metrics}),
    ]

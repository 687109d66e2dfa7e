"""`GET /status` and `GET /metrics`, which both roles serve beside what they are there for."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import tornado.web


class _StatusHandler(tornado.web.RequestHandler):
    def initialize(self, status: Callable[[], dict[str, Any]]) -> None:
        self.status = status

    def get(self) -> None:
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(self.status(), indent=1) + "\n")


class _MetricsHandler(tornado.web.RequestHandler):
    def initialize(self, metrics: Callable[[], bytes]) -> None:
        self.metrics = metrics

    def get(self) -> None:
        # Here, so that a role that nobody asks goes without the library.
        from prometheus_client.exposition import CONTENT_TYPE_LATEST

        self.set_header("Content-Type", CONTENT_TYPE_LATEST)
        self.finish(self.metrics())


def rules(status: Callable[[], dict[str, Any]], metrics: Callable[[], bytes]) -> list[Any]:
    """Rules for a Tornado application. `status` gives an object for JSON, `metrics` Prometheus text, both
    anew at each call.
    """
    return [
        (r"/status", _StatusHandler, {"status": status}),
        (r"/metrics", _MetricsHandler, {"metrics": metrics}),
    ]

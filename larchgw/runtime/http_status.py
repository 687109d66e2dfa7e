"""`GET /status` and `GET /metrics`, which both roles serve beside what they are there for."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import tornado.web
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.exposition import CONTENT_TYPE_LATEST


class _StatusHandler(tornado.web.RequestHandler):
    def initialize(self, status: Callable[[], dict[str, Any]]) -> None:
        self.status = status

    def get(self) -> None:
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(self.status(), indent=1) + "\n")


class _MetricsHandler(tornado.web.RequestHandler):
    def initialize(self, registry: CollectorRegistry) -> None:
        self.registry = registry

    def get(self) -> None:
        self.set_header("Content-Type", CONTENT_TYPE_LATEST)
        self.finish(generate_latest(self.registry))


def rules(status: Callable[[], dict[str, Any]], registry: CollectorRegistry) -> list[Any]:
    """Rules for a Tornado application. `status` gives an object for JSON, anew at each call."""
    return [(r"/status", _StatusHandler, {"status": status}),
            (r"/metrics", _MetricsHandler, {"registry": registry})]

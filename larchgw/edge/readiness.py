"""The Tornado HTTP server for the platform's readiness probes (each second) and for status requests."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

import tornado.httpserver
import tornado.web


class _ReadyHandler(tornado.web.RequestHandler):
    def initialize(self, is_ready: Callable[[], bool]) -> None:
        self.is_ready = is_ready

    def get(self) -> None:
        self.set_status(200 if self.is_ready() else 503)
        self.finish()

    def compute_etag(self) -> None:
        return None


def serve(
    is_ready: Callable[[], bool], host: str, port: int, further: Sequence[Any] = ()
) -> tornado.httpserver.HTTPServer:
    """Serves GET /ready with 200 or 503, and the Tornado rules in `further`. Raises OSError."""
    application = tornado.web.Application(
        [(r"/ready", _ReadyHandler, {"is_ready": is_ready}), *further], log_function=lambda handler: None
    )
    server = tornado.httpserver.HTTPServer(application)
    server.listen(port, host)
    return server

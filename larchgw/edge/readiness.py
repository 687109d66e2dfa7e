"""The port that the platform asks for readiness each second, on Tornado; people ask it for the status."""

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
    """Answers GET /ready with 200 or 503, and `further` rules of Tornado's. Raises OSError."""
    application = tornado.web.Application(
        [(r"/ready", _ReadyHandler, {"is_ready": is_ready}), *further], log_function=lambda handler: None
    )
    server = tornado.httpserver.HTTPServer(application)
    server.listen(port, host)
    return server

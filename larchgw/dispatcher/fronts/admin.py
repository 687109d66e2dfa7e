"""The admin address for operators: readiness, statistics, and taking workers out of service and back."""

from __future__ import annotations

from collections.abc import Callable
from urllib.parse import unquote_to_bytes

from ...net.http_server import Exchange, HttpServer
from ...net.loop import Loop
from ..core import Core
from ..scheduling.interface import WorkerId

CAP = 16  # connections, from the descriptors that are reserved for internal use
MAX_BODY = 4096  # of a call, and of all concurrent calls together; no call needs a body
DOWN, UP = b"/ops/runners/down/", b"/ops/runners/up/"


class Admin:
    """Serves one call per connection; 2xx means success, 4xx and 5xx mean failure."""

    name = "admin"

    def __init__(
        self,
        loop: Loop,
        core: Core,
        address: tuple[str, int],
        ready: Callable[[], bool],
        down: Callable[[WorkerId], None],
        up: Callable[[WorkerId], None],
    ) -> None:
        self._core, self._ready, self._down, self._up = core, ready, down, up
        self.server = HttpServer(loop, core.counters, address, self, CAP, MAX_BODY, single_request=True)

    def on_exchange(self, exchange: Exchange) -> None:
        path = exchange.path
        if path == b"/ops/readiness":
            if self._allowed(exchange, b"GET", b"HEAD"):
                up = self._ready()
                exchange.reply(200 if up else 503, b"ready\n" if up else b"not ready\n")
        elif path == b"/ops/stats":
            if self._allowed(exchange, b"GET", b"HEAD"):
                exchange.reply(
                    200,
                    self._core.metrics.text(),
                    (("Content-Type", "text/plain; version=0.0.4; charset=utf-8"),),
                )
        elif path.startswith(DOWN):
            self._by_hand(exchange, path[len(DOWN) :], self._down)
        elif path.startswith(UP):
            self._by_hand(exchange, path[len(UP) :], self._up)
        else:
            exchange.reply(
                404, b"/ops/readiness, /ops/stats, /ops/runners/down/ID and /ops/runners/up/ID are here\n"
            )

    def on_client_gone(self, exchange: Exchange) -> None:
        """Does nothing: every call is answered at once."""

    def _allowed(self, exchange: Exchange, *methods: bytes) -> bool:
        if exchange.method in methods:
            return True
        allow = b", ".join(methods).decode()
        exchange.reply(405, f"{allow} only\n".encode(), (("Allow", allow),))
        return False

    def _by_hand(self, exchange: Exchange, name: bytes, act: Callable[[WorkerId], None]) -> None:
        worker = unquote_to_bytes(name)
        if not self._allowed(exchange, b"PUT"):
            return
        if not self._core.workers.is_known(worker):
            exchange.reply(404, b"no runner of this id was ever listed\n")
            return
        try:
            act(worker)
        except OSError as error:  # a change that a restart would lose must not be confirmed
            exchange.reply(500, f"cannot be saved: {error.strerror}\n".encode())
        else:
            exchange.reply(200, b"done\n")

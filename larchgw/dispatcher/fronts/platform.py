"""The platform's front: HTTP/1.1 server that accepts jobs as `POST /CLASS`."""

from __future__ import annotations

from collections.abc import Callable

from ...net.http_server import Exchange, HttpServer
from ...net.loop import Loop
from ..core import Answer, Core, Request
from ..core.requests import JobMessage
from .jobheaders import http_answer, read_job


class PlatformFront:
    """Serves the platform's clients, and the readiness and health checks."""

    name = "platform"

    def __init__(
        self,
        loop: Loop,
        core: Core,
        address: tuple[str, int],
        cap: int,
        max_held: int,
        ready: Callable[[], bool],
        inherited: int | None = None,
    ) -> None:
        self._core, self._ready = core, ready
        self._classes = {c.name.encode(): index for index, c in enumerate(core.settings.classes)}
        self.server = HttpServer(loop, core.counters, address, self, cap, max_held, inherited=inherited)

    # Called by the HTTP server

    def on_exchange(self, exchange: Exchange) -> None:
        job_class = self._classes.get(exchange.path[1:].partition(b"/")[0])
        if exchange.path in (b"/-/ready", b"/-/healthy"):
            up = exchange.path == b"/-/healthy" or self._ready()
            if exchange.method in (b"GET", b"HEAD"):
                exchange.reply(200 if up else 503, b"ok\n" if up else b"not ready\n")
            else:
                self._bad(exchange, 405, "GET only", (("Allow", "GET, HEAD"),))
        elif job_class is None or not exchange.path.startswith(b"/"):
            self._bad(exchange, 404, "no such class")
        elif exchange.method != b"POST":
            self._bad(exchange, 405, "POST only", (("Allow", "POST"),))
        else:
            self._take(exchange, job_class)

    def on_client_gone(self, exchange: Exchange) -> None:
        if isinstance(exchange.handler_data, Request):
            self._core.client_gone(exchange.handler_data)

    def _take(self, exchange: Exchange, job_class: int) -> None:
        try:
            job = read_job(exchange.headers, self._core.settings.classes[job_class].effect == "deduplicated")
        except ValueError as error:
            self._bad(exchange, 400, str(error))
            return
        waited = self._core.clock.now() - exchange.received_at  # behind earlier requests on its connection
        request = exchange.handler_data = Request(
            self,
            job.name,
            job_class,
            exchange.target,
            exchange.body,
            job.wait - waited,
            job.key,
            job.slots,
            job.memory,
            job.hint,
            job.repeat,
            self._core.tenant(job.tenant),
            job.once,
            extra=exchange,
        )
        self._core.submit(request)

    def _bad(
        self, exchange: Exchange, status: int, reason: str, headers: tuple[tuple[str, str], ...] = ()
    ) -> None:
        self._core.counters.bad.labels(self.name, str(status)).inc()
        exchange.reply(status, reason.encode() + b"\n", headers)

    # Called by the core

    def answer(self, request: Request, answer: Answer) -> None:
        exchange: Exchange = request.extra
        exchange.reply(*http_answer(answer))

    def news(self, request: Request, kind: JobMessage, data: bytes) -> None:
        """Ignores progress: HTTP clients of the platform receive only the final answer."""

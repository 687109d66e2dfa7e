"""The platform's front: `POST /CLASS` over HTTP/1.1."""

from __future__ import annotations

import re
from collections.abc import Callable
from hashlib import blake2b

from ..core import Answer, AnswerKind, Core, Request
from ..core.requests import News
from ..net.httpserver import Exchange, HttpServer
from ..net.loop import Loop

NAME = re.compile(rb"[!-~]{1,128}")
LONGEST_WAIT_MS = 3_600_000


def key_number(text: bytes) -> int:
    """A key as the module wants it: 64 bits, and 0 for none."""
    if not text:
        return 0
    if len(text) <= 16:
        try:
            return int(text, 16)
        except ValueError:
            pass
    return int.from_bytes(blake2b(text, digest_size=8).digest(), "little")


def read_extras(text: bytes) -> dict[str, float]:
    """`name=value,name=value`; ValueError if a value is no figure."""
    pairs = (part.partition("=") for part in text.decode("latin-1").split(",") if part.strip())
    return {name.strip(): float(value) for name, _, value in pairs}


class PlatformFront:
    """Answers the platform's clients, and says whether we are ready and alive."""

    name = "platform"

    def __init__(self, loop: Loop, core: Core, address: tuple[str, int], cap: int,
                 ready: Callable[[], bool]) -> None:
        self._core, self._ready = core, ready
        self._classes = {c.name.encode(): index for index, c in enumerate(core.settings.classes)}
        self.server = HttpServer(loop, core.counters, address, self, cap)

    # From clients

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
        if isinstance(exchange.extra, Request):
            self._core.gone(exchange.extra)

    def _take(self, exchange: Exchange, job_class: int) -> None:
        headers = exchange.headers
        name, wait = headers.get(b"x-request-id", b""), headers.get(b"x-deadline-ms", b"")
        if not NAME.fullmatch(name):
            self._bad(exchange, 400, "X-Request-Id is missing or bad")
            return
        if not wait.isdigit() or not 0 < int(wait[:12]) <= LONGEST_WAIT_MS:
            self._bad(exchange, 400, "X-Deadline-Ms is missing or bad")
            return
        try:
            extras = read_extras(headers.get(b"x-extras", b""))
            hint = float(headers.get(b"x-cost-hint", b"0"))
        except ValueError:
            self._bad(exchange, 400, "X-Extras or X-Cost-Hint is bad")
            return
        figures = (hint, extras.get("slots", 1.0), extras.get("memory", 0.0))
        if not all(0.0 <= f < 1e6 for f in figures):
            self._bad(exchange, 400, "X-Extras or X-Cost-Hint is out of range")
            return
        waited = self._core.clock.now() - exchange.arrived  # behind others on its connection
        exchange.extra = request = Request(
            self, name, job_class, exchange.target, exchange.body, int(wait) / 1000.0 - waited,
            key_number(headers.get(b"x-key", b"")), figures[1] or 1.0, figures[2], hint,
            headers.get(b"x-retry") == b"1",
        )
        request.extra = exchange
        self._core.take(request)

    def _bad(self, exchange: Exchange, status: int, reason: str,
             headers: tuple[tuple[str, str], ...] = ()) -> None:
        self._core.counters.bad.labels(self.name, str(status)).inc()
        exchange.reply(status, reason.encode() + b"\n", headers)

    # From the core

    def answer(self, request: Request, answer: Answer) -> None:
        exchange: Exchange = request.extra
        if answer.kind is AnswerKind.SERVED:
            exchange.reply(200, answer.result)
        elif answer.kind is AnswerKind.REFUSED:
            exchange.reply(503, answer.reason.encode() + b"\n", (("Retry-After", f"{answer.retry_after:g}"),))
        else:
            exchange.reply(500, answer.reason.encode() + b"\n")

    def news(self, request: Request, kind: News, data: bytes) -> None:
        """HTTP clients of the platform hear of the end only."""

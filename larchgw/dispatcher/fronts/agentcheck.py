"""Servers for load balancers and monitoring: the agent check over TCP, and health and metrics over HTTP."""

from __future__ import annotations

import socket
from collections.abc import Callable

from ...net.connection import Connection
from ...net.connection_outcome import ConnectionOutcome
from ...net.counters import Counters
from ...net.http_server import MAX_BODY_BYTES, Exchange, HttpServer
from ...net.listener import Listener
from ...net.loop import Loop
from ..capacity import Planner
from ..capacity.report import as_json
from ..core import Core

CAP = 16


class AgentCheck:
    """Sends one line to each client and closes the connection (HAProxy's agent check).

    The line is `drain` during shutdown and `down` if no worker accepts work. Otherwise it is `up ready` with
    the percentage of the known workers that accept new work, which HAProxy uses as the weight. `up` and
    `ready` cancel an earlier `down` and `drain`.
    """

    name = "agent_check"

    def __init__(
        self,
        loop: Loop,
        counters: Counters,
        address: tuple[str, int],
        stopping: Callable[[], bool],
        share: Callable[[], float],
    ) -> None:
        self._loop, self._stopping, self._share = loop, stopping, share
        self._open: list[Connection] = []
        self.listener = Listener(
            loop, counters, self.name, address, CAP, self._take, self._count, lambda: False
        )

    def text(self) -> str:
        if self._stopping():
            return "drain\n"
        share = self._share()
        return f"up ready {max(round(100 * share), 1)}%\n" if share > 0 else "down\n"

    def _count(self) -> int:
        self._open = [c for c in self._open if not c.closed]
        return len(self._open)

    def _take(self, sock: socket.socket) -> None:
        connection = Connection(self._loop, sock, self)
        connection.write(self.text().encode())
        connection.close_after_write()
        self._open.append(connection)

    # Callbacks of the connections; anything that the client sends is ignored

    def on_open(self) -> None: ...

    def on_data(self, data: bytes) -> None: ...

    def on_written(self) -> None: ...

    def on_end(self, ending: ConnectionOutcome) -> None: ...


class Ops:
    """Serves `/ready`, `/alive`, `/metrics` and, with a planner, `/room`: the capacity that is reserved."""

    name = "ops"

    def __init__(
        self,
        loop: Loop,
        core: Core,
        address: tuple[str, int],
        ready: Callable[[], bool],
        planner: Planner | None = None,
    ) -> None:
        self._core, self._ready, self._planner = core, ready, planner
        self.server = HttpServer(loop, core.counters, address, self, CAP, MAX_BODY_BYTES)

    def on_exchange(self, exchange: Exchange) -> None:
        if exchange.method not in (b"GET", b"HEAD"):
            exchange.reply(405, b"GET only\n", (("Allow", "GET, HEAD"),))
        elif exchange.path == b"/ready":
            up = self._ready()
            exchange.reply(200 if up else 503, b"ready\n" if up else b"not ready\n")
        elif exchange.path == b"/alive":
            exchange.reply(200, b"alive\n")
        elif exchange.path == b"/metrics":
            exchange.reply(
                200,
                self._core.counters.text() + self._core.metrics.text(),
                (("Content-Type", "text/plain; version=0.0.4; charset=utf-8"),),
            )
        elif exchange.path == b"/room" and self._planner:
            exchange.reply(
                200, as_json(self._planner, self._core.clock.now()), (("Content-Type", "application/json"),)
            )
        else:
            exchange.reply(404, b"/ready, /alive and /metrics are here, and /room where room is held\n")

    def on_client_gone(self, exchange: Exchange) -> None:
        """Does nothing: every request is answered at once."""

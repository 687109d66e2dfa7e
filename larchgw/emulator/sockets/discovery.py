"""Discovery at an address."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from ..box import BoxSpec
from .httpserver import Exchange, Handler


class Discovery(Handler):
    """The list of boxes, with watches."""

    def __init__(self) -> None:
        super().__init__()
        self.version = 1
        self.servers: dict[str, dict[str, Any]] = {}
        self._watching: list[tuple[Exchange, Any]] = []

    def tell(self, spec: BoxSpec, address: str, state: str = "SERVING", started: float = 0.0) -> None:
        self.version += 1
        self.servers[spec.name] = {
            "id": spec.name,
            "addr": address,
            "zone": f"room-{'abc'[spec.zone % 3]}",
            "kind": spec.kind,
            "cell": 0,
            "state": state,
            "weight": 1.0,
            "started_ms": int(1000 * started),
        }
        watching, self._watching = self._watching, []
        for exchange, timer in watching:
            timer.cancel()
            self._answer(exchange)

    def handle(self, exchange: Exchange) -> None:
        _, _, query = exchange.path.partition("?")
        asked = dict(part.partition("=")[::2] for part in query.split("&") if part)
        if not exchange.path.startswith("/api/targets"):
            exchange.reply(404, b"")
        elif asked.get("after", "") == str(self.version):
            wait = min(float(asked.get("wait_ms", "0")) / 1000.0, 60.0)
            timer = asyncio.get_running_loop().call_later(wait, lambda: self._over(exchange))
            self._watching.append((exchange, timer))
        else:
            self._answer(exchange)

    def _over(self, exchange: Exchange) -> None:
        self._watching = [pair for pair in self._watching if pair[0] is not exchange]
        self._answer(exchange)

    def _answer(self, exchange: Exchange) -> None:
        exchange.reply(
            200,
            json.dumps(
                {"version": self.version, "full": True, "servers": list(self.servers.values())}
            ).encode(),
        )

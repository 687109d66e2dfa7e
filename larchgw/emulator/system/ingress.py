"""The platform's part: which edge a new connection goes to, by what the edges say of themselves."""

from __future__ import annotations

import asyncio
import random
from collections import Counter

from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from .rig import Machine

ASK_EVERY_S = 1.0
MISSES = 2  # in a row, after which an edge gets no new connections
LEAST_SHARE = 0.5  # of a zone's edges that must be in, or all are used


class Ingress:
    """Asks every edge whether it is ready, and picks one for each new connection."""

    def __init__(self, edges: list[Machine], rng: random.Random) -> None:
        self._edges, self._random = edges, rng
        self._missed: Counter[str] = Counter({edge.ip: MISSES for edge in edges})
        self._client = AsyncHTTPClient(force_instance=True)

    async def run(self) -> None:
        """Asks again and again."""
        while True:
            await self.ask()
            await asyncio.sleep(ASK_EVERY_S)

    async def ask(self) -> None:
        """Asks each edge once."""
        await asyncio.gather(*(self._ask(edge) for edge in self._edges))

    def all_in(self) -> bool:
        """Whether every edge has just called itself ready."""
        return all(self._missed[edge.ip] == 0 for edge in self._edges)

    def edges(self, zone: str) -> list[Machine]:
        """The edges of a zone, ready or not."""
        return [edge for edge in self._edges if edge.place.zone == zone]

    def ready(self) -> list[Machine]:
        """The edges that are in."""
        return [edge for edge in self._edges if self._missed[edge.ip] < MISSES]

    def pick(self, zone: str) -> Machine:
        """The edge of a new connection from a client of this zone."""
        local = self.edges(zone)
        ready = [edge for edge in local if self._missed[edge.ip] < MISSES]
        if ready:
            return self._random.choice(ready if len(ready) >= LEAST_SHARE * len(local) else local)
        return self._random.choice(self.ready() or self._edges)

    def close(self) -> None:
        """Ends all calls."""
        self._client.close()

    async def _ask(self, edge: Machine) -> None:
        try:
            await self._client.fetch(
                f"http://{edge.ready}/ready", request_timeout=ASK_EVERY_S, connect_timeout=ASK_EVERY_S
            )
        except (HTTPClientError, OSError):
            self._missed[edge.ip] += 1
        else:
            self._missed[edge.ip] = 0

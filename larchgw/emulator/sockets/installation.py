"""Boxes and discovery, started together, and what an operator does to them."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from ..box import Begun, Box, BoxSpec
from ..rules import Records
from ..vault import Vault
from .boxserver import BoxServer
from .discovery import Discovery
from .realtime import RealTime

SKEW = 0.25  # seconds that one turn of a busy loop may lie between two sockets


@dataclass(slots=True)
class Installation:
    """Boxes with their servers, and discovery."""

    time: RealTime
    records: Records
    discovery: Discovery
    servers: dict[str, BoxServer]

    @classmethod
    async def start(cls, specs: Sequence[BoxSpec], fetch_s: float, lanes: int, seed: int) -> Installation:
        clock = RealTime()
        records, discovery = Records(slack=SKEW), Discovery()
        vault = Vault(clock, lanes, fetch_s)

        def began(begun: Begun) -> None:
            records.begun[begun.request].append(begun)

        servers = {
            spec.name: BoxServer(Box(clock, spec, vault, seed + i, began), records)
            for i, spec in enumerate(specs)
        }
        records.boxes += (server.box for server in servers.values())
        await discovery.listen()
        for server in servers.values():
            await server.listen()
            discovery.tell(server.box.spec, server.address)
        return cls(clock, records, discovery, servers)

    def drain(self, name: str) -> None:
        """Discovery tells of the drain, at once."""
        server = self.servers[name]
        self.discovery.tell(server.box.spec, server.address, "DRAINING")
        self.records.drain_told("larchgw", name, self.time.now())

    async def restart(self, name: str) -> None:
        """The box's process ends and a new one starts, cold, at another port."""
        server = self.servers[name]
        server.box.crash()
        server.refuse()
        await server.listen()
        server.box.start()
        self.records.ready_told("larchgw", name, self.time.now())
        self.discovery.tell(server.box.spec, server.address, "SERVING", server.box.up_since)

    def close(self) -> None:
        for handler in (self.discovery, *self.servers.values()):
            handler.refuse()

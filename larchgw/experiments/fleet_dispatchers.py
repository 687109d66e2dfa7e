"""Hollow dispatchers: all that a dispatcher does for control, and none of its traffic.

Many share a process.
"""

from __future__ import annotations

import random
import time
from collections import Counter, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from ..configuration.model import Configuration, Route
from ..configuration.packing import unpack
from ..configuration.route_table import RouteTable
from ..configuration.validation import parse_committed
from ..distribution.keys import CONFIGURATION_KEY
from ..distribution.pull_settings import PullSettings
from ..distribution.puller import Puller
from ..distribution.registry import Registry
from ..edge.demand import DemandCounter
from ..edge.demand_reports import DemandReporter
from ..membership.member import Member
from ..membership.settings import SwimSettings
from ..membership.swim import Datagram, Swim
from ..membership.transport import SwimTransport
from ..routing.interface import RequestTraits
from ..rpc.client import RpcClient
from ..rpc.generated.ttypes import Entry, ModelDemand
from ..runner_directory.runner_view import RunnerView
from ..runtime.background_tasks import BackgroundTasks
from ..runtime.rpc_clients import RpcClients
from .fleet_size import SERVICE, FleetSize, Popularity

ARRIVALS_EVERY_S = 0.1  # requests of this time come together
ROUTE = Route("hollow", "fleet.example", "/", "streaming", 60_000.0, 800.0, service=SERVICE, pinned=True)


@dataclass(slots=True)
class Bytes:
    """What one dispatcher sent and received, by protocol; or the same a second."""

    swim_sent: float = 0.0
    swim_received: float = 0.0
    rpc_sent: float = 0.0
    rpc_received: float = 0.0

    @property
    def total(self) -> float:
        """All of it."""
        return self.swim_sent + self.swim_received + self.rpc_sent + self.rpc_received


class MeteredSwim(Swim):
    """Counts the bytes of its datagrams."""

    def __init__(self, me: Member, dice: random.Random) -> None:
        super().__init__(me, SwimSettings(), dice)
        self.sent = self.received = 0

    def receive(self, now: float, sender: str, data: bytes) -> list[Datagram]:
        self.received += len(data)
        return self._counted(super().receive(now, sender, data))

    def tick(self, now: float) -> list[Datagram]:
        return self._counted(super().tick(now))

    def _counted(self, datagrams: list[Datagram]) -> list[Datagram]:
        self.sent += sum(len(datagram.data) for datagram in datagrams)
        return datagrams


class Requests:
    """Requests that come and run at a dispatcher, as far as its reports of demand go."""

    def __init__(self, size: FleetSize, dice: random.Random) -> None:
        self._size, self._popularity = size, Popularity(size, dice)
        self._tally = DemandCounter()
        self._running: Counter[tuple[str, str, str]] = Counter()
        self._ends: deque[tuple[float, tuple[str, str, str]]] = deque()
        self._due = 0.0
        self._number = 0

    def arrive(self) -> None:
        """Lets the requests of ARRIVALS_EVERY_S come, and those that are over end."""
        now = time.monotonic()
        self._due += ARRIVALS_EVERY_S * self._size.requests_per_s
        while self._due >= 1.0:
            self._due -= 1.0
            self._number += 1
            key = self._popularity.draw()
            self._tally.arrived(
                RequestTraits(self._number, ROUTE, SERVICE, now, now + 60.0, now + 0.8, key[1], key[2])
            )
            self._running[key] += 1
            self._ends.append((now + self._size.run_s, key))
        while self._ends and self._ends[0][0] <= now:
            key = self._ends.popleft()[1]
            self._running[key] -= 1
            if not self._running[key]:
                del self._running[key]

    def report(self) -> list[ModelDemand]:
        """What `DemandReporter` asks for."""
        return self._tally.collect(time.monotonic(), (), self._running)


class HollowDispatcher:
    """Registry, view, configuration, membership and reports of demand of one dispatcher."""

    def __init__(
        self,
        number: int,
        address: str,
        seeds: Sequence[str],
        size: FleetSize,
        in_force: Callable[[int, int], None],
    ) -> None:
        name, dice = f"edge-{number}", random.Random(number)
        self.number = number
        self.configuration: Configuration | None = None
        self.parse_s = 0.0  # processor time taken by configurations
        self._seeds, self._in_force, self.reads = seeds, in_force, number < size.reading
        self._clients = RpcClients()
        self._callers: list[RpcClient] = []
        self._tasks = BackgroundTasks()
        self.registry = Registry(f"{name}.{time.time_ns()}")
        self.view = RunnerView(self.registry)
        self.registry.watch(CONFIGURATION_KEY, self._configure)
        me = Member(name, address, "edge", int(time.time() * 1000))
        self.swim = MeteredSwim(me, dice)
        host, _, port = address.rpartition(":")
        self._gossip = SwimTransport(self.swim, host, int(port))
        self.puller = Puller(
            self.registry,
            self._connect,
            lambda: self._seeds,
            PullSettings(),
            dice,
            node_name=name,
            hands_back_runners=True,
        )
        self._requests = Requests(size, dice)
        self._reporter = DemandReporter(
            name, self.registry, self._clients, self._requests.report, lambda: self.swim.count("edge"), dice
        )

    async def start(self, gossip_seeds: Sequence[str]) -> None:
        """Begins its work. Raises OSError."""
        self.swim.join(list(gossip_seeds))
        await self._gossip.start()
        self._tasks.start("pull", self.puller.run)
        self._tasks.start("demand", self._reporter.run)
        self._tasks.every("requests", ARRIVALS_EVERY_S, self._requests.arrive)

    def stop(self) -> None:
        """Ends without a word to the others."""
        self._tasks.stop()
        self._gossip.close()
        self._clients.close()

    def bytes(self) -> Bytes:
        """What it sent and received since its start."""
        clients = [*self._callers, *self._clients.all()]
        return Bytes(
            self.swim.sent,
            self.swim.received,
            sum(client.traffic.sent for client in clients),
            sum(client.traffic.received for client in clients),
        )

    @property
    def record(self) -> int:
        """Which record of control's log made the configuration that it has; 0 before one has come."""
        entry = self.registry.get(CONFIGURATION_KEY)
        return entry.major if entry is not None else 0

    def _connect(self, address: str) -> RpcClient:
        client = RpcClient(address)
        self._callers.append(client)
        return client

    def _configure(self, entry: Entry) -> None:
        if not self.reads:
            return
        began = time.process_time()
        self.configuration = parse_committed(unpack(entry.value), self.configuration)
        RouteTable(self.configuration)
        self.parse_s += time.process_time() - began
        self._in_force(self.number, self.configuration.config_version)

"""The edge role: start-up, configuration updates, readiness and graceful shutdown."""

from __future__ import annotations

import asyncio
import time
import zlib
from collections.abc import Mapping

import structlog

from ..configuration.errors import ConfigurationError
from ..configuration.model import Configuration
from ..configuration.packing import unpack
from ..configuration.settings import NodeSettings
from ..configuration.validation import parse_committed
from ..distribution.keys import CONFIGURATION_KEY
from ..distribution.pull_settings import PullSettings
from ..distribution.puller import Puller
from ..distribution.registry import Registry
from ..distribution.version_vectors import new_origin
from ..membership.transport import SwimTransport
from ..net.address import parse_address
from ..net.asyncio_loop import AsyncLoop
from ..routing.retry_budget import RetryBudget
from ..routing.selection import Selector
from ..rpc.client import RpcClient
from ..rpc.generated.ttypes import Entry
from ..runner_directory.runner_record import RunnerRecord
from ..runner_directory.runner_view import RunnerView
from ..runtime import http_status
from ..runtime.addresses import EDGE_GOSSIP_PORT, seed_gossip_addresses, seed_rpc_addresses
from ..runtime.background_tasks import BackgroundTasks
from ..runtime.membership import make_swim
from ..runtime.random_source import new_random_source
from ..runtime.rpc_clients import RpcClients
from . import readiness
from .demand_reports import DemandReporter
from .expected_loads import ExpectedLoads
from .proxy import Proxy
from .status import EdgeStatus

log = structlog.get_logger()
EXPIRY_INTERVAL_S = 30.0
# Time for the platform to see that the edge is not ready: it probes each second and needs two failures.
READINESS_NOTICE_S = 2.2
FINAL_WRITES_S = 0.1  # for the last responses to be written
GRACE_MARGIN_S = 0.7  # of the time until SIGKILL, reserved for the shutdown itself


class EdgeNode:
    """One edge process (dispatcher)."""

    def __init__(self, settings: NodeSettings) -> None:
        """Creates the parts that need no event loop; `start` creates the others."""
        self.settings = settings
        random_source = new_random_source(settings.node_name)
        self.registry = Registry(new_origin(settings.node_name, random_source))
        self.view = RunnerView(self.registry)
        self.selector = Selector(settings.zone, random_source)
        self.clients = RpcClients()
        self.tasks = BackgroundTasks()
        self._random_source = random_source
        self._configuration: Configuration | None = None
        self._stopping = False
        self.swim = make_swim(settings, "edge", int(time.time() * 1000), random_source)
        self.puller = Puller(
            self.registry,
            RpcClient,
            lambda: seed_rpc_addresses(self.settings),
            PullSettings.from_time_limits(settings.time_limits, settings.beat_ms / 1000.0),
            random_source,
            node_name=settings.node_name,
            is_near=self._is_in_zone,
            hands_back_runners=True,
        )

    async def start(self) -> None:
        """Starts listening and all background tasks. Raises OSError."""
        settings = self.settings
        self.net = AsyncLoop(asyncio.get_running_loop())
        self.expected_loads = ExpectedLoads(self.registry, self.net.clock.now)
        self.budget = RetryBudget(settings.time_limits, self._random_source)
        self.proxy = Proxy(self.net, settings, self.selector, self.budget, self._random_source)
        self.proxy.runners = self.view.by_service
        self.proxy.expected = self._expected_by_runner
        self.proxy.dispatchers = self._dispatchers
        self.demand = DemandReporter(
            settings.node_name,
            self.registry,
            self.clients,
            self.proxy.demand,
            self._dispatchers,
            self._random_source,
        )
        self.proxy.on_missing_model = lambda service, model, adapter: self.demand.report_now()
        self.registry.watch(CONFIGURATION_KEY, self._configure)
        self.view.watch(lambda record: self.proxy.runners_changed())
        self.proxy.listen(settings.listen.front)
        self._ready_server = readiness.serve(
            self.is_ready,
            *parse_address(settings.listen.ready),
            http_status.rules(self._status().read, self.proxy.net_counters.text),
        )
        self._gossip = SwimTransport(self.swim, settings.ip, settings.port(EDGE_GOSSIP_PORT))
        await self._gossip.start()
        self.tasks.start("pull", self.puller.run)
        self.tasks.start("demand", self.demand.run)
        self.tasks.every("forget", EXPIRY_INTERVAL_S, self.view.remove_expired)
        log.info("edge.started")

    def is_ready(self) -> bool:
        """Whether it accepts new connections: it has a configuration and runners, and is not stopping."""
        return self._configuration is not None and len(self.view) > 0 and not self._stopping

    def reload(self, settings: NodeSettings) -> None:
        """Applies changed seeds and limits; listen addresses stay as they are."""
        self.settings = settings
        self.swim.join(seed_gossip_addresses(settings))

    async def stop(self) -> None:
        """Waits until the platform sees it is not ready, drains open requests, and stops before SIGKILL."""
        self._stopping = True
        began = time.monotonic()
        grace = self.settings.time_limits.grace_period_s - GRACE_MARGIN_S
        self._gossip.leave()
        await asyncio.sleep(min(READINESS_NOTICE_S, grace / 3))
        self.proxy.stop_accepting()
        drained = asyncio.Event()
        self.proxy.drain(drained.set)
        try:
            async with asyncio.timeout(max(grace - (time.monotonic() - began), 0.1)):
                await drained.wait()
        except TimeoutError:
            log.warning("edge.requests_abandoned", count=self.proxy.open_count)
            self.proxy.abandon()
            await asyncio.sleep(FINAL_WRITES_S)
        self.tasks.stop()
        self.clients.close()

    def _dispatchers(self) -> int:
        return self.swim.count("edge")

    def _is_in_zone(self, address: str) -> bool:
        """Whether a control process is in this zone; traffic between zones is expensive."""
        return any(
            process.address_rpc == address and process.zone == self.settings.zone
            for process in self.swim.members("control")
        )

    def _configure(self, entry: Entry) -> None:
        configuration = self._parse(entry)
        if isinstance(configuration, Exception):
            log.error("configuration.unreadable", error=str(configuration))
            return
        self.selector.configure(configuration)
        self.proxy.configure(configuration)
        self._configuration = configuration
        log.info("configuration.in_force", config_version=configuration.config_version)

    def _parse(self, entry: Entry) -> Configuration | ConfigurationError | zlib.error:
        try:
            return parse_committed(unpack(entry.value), self._configuration)
        except (ConfigurationError, zlib.error) as error:
            return error

    def _expected_by_runner(self, service: str, model: str, adapter: str) -> Mapping[str, float]:
        known: Mapping[str, RunnerRecord] = self.view.by_service(service)
        found = self.expected_loads.expected(model, adapter)
        return {runner: at for runner, at in found.items() if runner in known}

    def _status(self) -> EdgeStatus:
        return EdgeStatus(
            self.settings.node_name,
            self.is_ready,
            lambda: self._configuration,
            self.puller,
            self.view,
            self.swim,
            self.proxy,
            self.budget,
        )

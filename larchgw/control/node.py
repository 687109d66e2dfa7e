"""The lifecycle of a control process: start, changed settings, graceful shutdown."""

from __future__ import annotations

import asyncio

import structlog

from ..configuration.errors import SettingsError
from ..configuration.settings import NodeSettings
from ..membership.transport import SwimTransport
from ..rpc.server import RpcServer
from ..runtime import http_status
from ..runtime.addresses import (
    CONTROL_GOSSIP_PORT,
    RPC_PORT,
    seed_gossip_addresses,
    seed_rpc_addresses,
)
from ..runtime.background_tasks import BackgroundTasks
from . import http_api
from .assembly import assemble
from .replicated_log import TICK_S

log = structlog.get_logger()
LEAVE_TIMEOUT_FRACTION = 0.5  # of the grace period; then it stops without the agreement of the others
OPEN_CALLS_GRACE_S = 0.1  # after the others have agreed, for responses in flight


class ControlNode:
    """One control process.

    Attributes:
        settings: The settings in force.
        components: All components except sockets and tasks.
        tasks: The background tasks.
    """

    def __init__(self, settings: NodeSettings) -> None:
        """Recovers the data folder; `start` does the rest.

        Raises:
            SettingsError: The settings contain no data folder.
            StorageError: The data folder cannot be read.
        """
        if settings.data_dir is None:
            raise SettingsError("data_dir", "is not given", "control keeps its state on disk: name a folder")
        self.settings = settings
        self.components = assemble(settings, settings.data_dir)
        self.tasks = BackgroundTasks()

    async def start(self) -> None:
        """Starts the servers and the background tasks.

        Raises:
            OSError: A server cannot listen at its address.
        """
        components = self.components
        components.runners.placer.start()
        components.replication.log.start()
        components.distribution.publisher.on_restored()
        await self._listen()
        components.periodic_work.start(self.tasks)
        self.tasks.start("peers", components.distribution.pullers.run)
        self.tasks.start("handoff", components.distribution.handoff.run)
        self.tasks.start("placement", components.runners.placer.run)
        log.info("control.started", member=components.replication.member.id)

    def reload(self, settings: NodeSettings) -> None:
        """Applies changed settings. Only the seeds can change; addresses stay the same."""
        self.settings = settings
        self.components.distribution.processes.set_seeds(seed_rpc_addresses(settings))
        self.components.swim.join(seed_gossip_addresses(settings))

    async def stop(self) -> None:
        """Hands over the roles that only this process has, and stops once the others continue without it.

        Until then it keeps listening: operator calls are forwarded to the new primary, and check-ins are
        rejected, which makes runners switch to another process at once. Correctness does not depend on a
        graceful shutdown; if it is cut short, the others treat it as a crash.
        """
        self.components.runners.check_ins.close()
        self.components.replication.log.leave()
        self._gossip.leave()
        if await self._has_left_within(LEAVE_TIMEOUT_FRACTION * self.settings.time_limits.grace_period_s):
            log.info("control.left")
        else:
            log.warning("control.left_without_agreement")
        self._http.stop()
        await asyncio.sleep(OPEN_CALLS_GRACE_S)
        self.tasks.stop()
        self.components.distribution.departures.close()
        self._rpc.stop()
        self.components.clients.close()

    async def _listen(self) -> None:
        settings, components = self.settings, self.components
        self._rpc = RpcServer(components.rpc_service)
        await self._rpc.start(settings.ip, settings.port(RPC_PORT))
        self._gossip = SwimTransport(components.swim, settings.ip, settings.port(CONTROL_GOSSIP_PORT))
        await self._gossip.start()
        self._http = http_api.serve(
            components.replication.operator_calls,
            components.runners.check_ins,
            settings.listen.control,
            http_status.rules(components.status.as_json, components.status.metrics),
        )

    async def _has_left_within(self, seconds: float) -> bool:
        """Waits until the others have agreed to this process leaving; returns False after `seconds`."""
        replicated_log = self.components.replication.log
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while not replicated_log.has_left and loop.time() < until:
            await asyncio.sleep(TICK_S)
        return replicated_log.has_left

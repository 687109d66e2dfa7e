"""The control role put together: what it keeps, what it serves, how it ends."""

from __future__ import annotations

import asyncio
import json
import time

import structlog

from ..configuration.errors import SettingsError
from ..configuration.settings import NodeSettings
from ..distribution.hinted_handoff import HintedHandoff
from ..distribution.keys import EXPECTED_LOADS_PREFIX, RUNNER_PREFIX
from ..distribution.peer_pullers import PeerPullers
from ..distribution.placer_entry import publish_placer
from ..distribution.pull_service import PullService
from ..distribution.registry import Registry
from ..distribution.sources import PullSettings
from ..distribution.version_vectors import new_origin
from ..membership.member import Member as Process
from ..membership.transport import SwimTransport
from ..placement.model import PlacementSettings
from ..placement.orders import OrderClient
from ..placement.service import PlacementRuntime, PlacementService
from ..replication.lease import Lease
from ..replication.member import Member
from ..replication.settings import MemberSettings
from ..rpc.client import RpcClient
from ..rpc.server import RpcServer
from ..runner_directory.directory import RunnerDirectory
from ..runtime import http_status
from ..runtime.addresses import (
    CONTROL_GOSSIP_PORT,
    RPC_PORT,
    rpc_address,
    seed_gossip_addresses,
    seed_rpc_addresses,
)
from ..runtime.clients import RpcClients
from ..runtime.gossip import make_swim
from ..runtime.random_source import new_random_source
from ..runtime.tasks import Tasks
from ..storage.files import DiskFiles
from . import http_api
from .checkins import RunnerCheckins
from .configuration_state import ConfigurationState
from .disk import ControlDisk
from .latest_view import LatestView
from .majority_contact import PullContact
from .operator_calls import OperatorCallRouter
from .operator_service import OperatorResponse, OperatorService
from .publication import ConfigurationPublisher
from .replicated_log import TICK_S, ReplicatedLog
from .rpc_service import RpcService
from .runner_ownership import is_owner_present, owner_name
from .status import StatusService, StatusSources

log = structlog.get_logger()
PLACER_LEASE = "placer"
DIRECTORY_TICK_S = 0.25
CONTACTS_TICK_S = 0.2
RESERVE_TICK_S = 1.0  # compactions are at least some seconds apart
LEAVE_SHARE = 0.5  # of the grace period; then it ends without the agreement of the others
CALLS_END_S = 0.1  # after the others have agreed, for answers that are under way


class ControlNode:
    """One control process."""

    def __init__(self, settings: NodeSettings) -> None:
        if settings.data_dir is None:
            raise SettingsError("data_dir", "is not given", "control keeps its state on disk: name a folder")
        self.settings = settings
        self.address = rpc_address(settings)
        self._random_source = new_random_source(settings.node_name)
        self._life = int(time.time() * 1000)
        self.clients = RpcClients()
        self.tasks = Tasks()
        self.registry = Registry(new_origin(settings.node_name, self._random_source))
        self.swim = make_swim(settings, "control", self._life, self._random_source, self.address)
        self.state = ConfigurationState()
        self.disk = ControlDisk.open(DiskFiles(), settings.data_dir)
        self.member = self._make_member()
        self.replicated = ReplicatedLog(self.member, self.state, self.clients, self._configuration_changed)
        self.publisher = ConfigurationPublisher(self.state, self.registry, lambda: self.member.is_primary)
        self.operator = OperatorCallRouter(
            self.member, OperatorService(self.state, self.replicated), self.clients
        )
        pull_settings = PullSettings.from_time_limits(settings.time_limits).for_control_peers()
        self.peers = PeerPullers(
            self.registry,
            RpcClient,
            self._peers_and_witnesses,
            pull_settings,
            self._random_source,
            node_name=settings.node_name,
        )
        self.view = LatestView(lambda: self.member.view, self.registry)
        self.contact = PullContact(self.member.id, self.view.get, self.peers.contact_proven_at)
        self.pulls = PullService(self.registry, self.contact.is_isolated, self._control_addresses)
        self.handoff = HintedHandoff(RpcClient, self._peers_and_witnesses, node_name=settings.node_name)
        self.directory = RunnerDirectory(
            self.registry, time.monotonic, settings.beat_ms / 1000.0, self._owner(), self._owner_lives
        )
        self.checkins = RunnerCheckins(self.directory, self.registry, self.contact, self.handoff)
        self._serial = 0
        self._was_isolated = True

    # ---- Start and end ----

    async def start(self) -> None:
        """Listens and begins its work. Raises OSError."""
        settings = self.settings
        self.placement = self._make_placement()
        self.registry.watch(
            RUNNER_PREFIX, lambda entry: self._runner_changed(entry.key.removeprefix(RUNNER_PREFIX))
        )
        self.replicated.start()
        self.publisher.on_restored()
        status = self._make_status()
        self._rpc = RpcServer(RpcService(self.pulls, self.replicated, self.placement, self.operator, status))
        await self._rpc.start(settings.ip, settings.port(RPC_PORT))
        self._gossip = SwimTransport(self.swim, settings.ip, settings.port(CONTROL_GOSSIP_PORT))
        await self._gossip.start()
        self._http = http_api.serve(
            self, settings.listen.control, http_status.rules(status.as_json, status.metrics)
        )
        self.tasks.every("replication", TICK_S, self._tick_replication)
        self.tasks.every("directory", DIRECTORY_TICK_S, self._tick_directory)
        self.tasks.every("contacts", CONTACTS_TICK_S, self._tell_contacts)
        self.tasks.every("reserve", RESERVE_TICK_S, self.disk.refill_reserve)
        self.tasks.start("peers", self.peers.run)
        self.tasks.start("handoff", self.handoff.run)
        self.tasks.start("placement", self.placement.run)
        log.info("control.started", member=self.member.id)

    def reload(self, settings: NodeSettings) -> None:
        """Takes other seeds; addresses stay."""
        self.settings = settings
        self.swim.join(seed_gossip_addresses(settings))

    async def stop(self) -> None:
        """Hands over what it is alone in doing, and ends once the others go on without it.

        Until then it listens: an operator's call is passed on to the new primary, and a runner's check-in is
        refused, which sends the runner to another process at once. Nothing depends on the end being in
        order; cut short, it is the loss of a process."""
        self.checkins.close()
        self.replicated.leave()
        self._gossip.leave()
        if await self._until_left(LEAVE_SHARE * self.settings.time_limits.grace_period_s):
            log.info("control.left")
        else:
            log.warning("control.left_without_agreement")
        self._http.stop()
        await asyncio.sleep(CALLS_END_S)
        self.tasks.stop()
        self._rpc.stop()
        self.clients.close()

    async def _until_left(self, seconds: float) -> bool:
        """Whether the others have agreed to its end within this time."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while not self.replicated.has_left and loop.time() < until:
            await asyncio.sleep(TICK_S)
        return self.replicated.has_left

    # ---- Calls from outside: http_api.ControlService ----

    async def operator_call(self, operation: str, base_version: int, body: bytes) -> OperatorResponse:
        """See http_api.ControlService."""
        return await self.operator.operator_call(operation, base_version, body)

    async def checkin(self, runner: str, body: bytes) -> bool:
        """See http_api.ControlService."""
        return await self.checkins.checkin(runner, body)

    async def leave(self, runner: str) -> bool:
        """See http_api.ControlService."""
        return await self.checkins.leave(runner)

    # ---- What is published ----

    def _configuration_changed(self) -> None:
        current = self.state.current
        if current is None:
            return
        self.placement.configure(current)
        self.publisher.on_committed(time.monotonic())

    def _publish_expected(self, runner: str, names: dict[str, float]) -> None:
        lease = self._placer_lease()
        if lease is not None:
            self._serial += 1
            self.registry.put(
                EXPECTED_LOADS_PREFIX + runner, json.dumps(names).encode(), lease.fence, self._serial
            )

    def _runner_changed(self, runner: str) -> None:
        record = self.directory.get(runner)
        if record is not None:
            self.placement.update_runner(record)

    def _tick_replication(self) -> None:
        self.replicated.tick()
        self.view.publish()
        self.publisher.tick(time.monotonic())

    def _tick_directory(self) -> None:
        isolated = self.contact.is_isolated()
        if isolated and not self._was_isolated:
            log.warning("control.majority_lost")
        elif self._was_isolated and not isolated:
            log.info("control.majority_reached")
        self._was_isolated = isolated
        self.directory.tick(time.monotonic(), isolated)

    # ---- Other control processes ----

    def _processes(self) -> list[Process]:
        return [process for process in self.swim.members("control") if process.address_rpc]

    def _peers(self) -> list[str]:
        """Rpc addresses of the other control processes that are there."""
        return [process.address_rpc for process in self._processes() if process.address_rpc != self.address]

    def _control_addresses(self) -> list[str]:
        return [self.address, *self._peers()]

    def _peers_and_witnesses(self) -> list[str]:
        """The peers, and the witnesses also while membership takes them for lost: they decide on contact."""
        return list(dict.fromkeys([*self._peers(), *self.view.other_witnesses(self.address)]))

    def _tell_contacts(self) -> None:
        """The member asks these to be taken in, and the election goes on among them."""
        self.member.set_contacts(set(self._peers()) | set(seed_rpc_addresses(self.settings)) - {self.address})
        lease = self._placer_lease()
        if lease is not None:
            publish_placer(self.registry, self.address, lease.fence)

    def _owner(self) -> str:
        return owner_name(self.address, self._life)

    def _owner_lives(self, owner: str) -> bool:
        if self.contact.is_isolated():
            return True
        return is_owner_present(owner, self.address, self._processes())

    # ---- Parts ----

    def _placer_lease(self) -> Lease | None:
        return self.replicated.lease(PLACER_LEASE)

    def _make_member(self) -> Member:
        settings = self.settings
        fresh = f"{self.address}#{self._random_source.getrandbits(64):016x}"
        member_settings = MemberSettings(
            address=self.address,
            seeds=tuple(seed_rpc_addresses(settings)),
            first_boot=settings.first_boot,
            fresh_identity=fresh,
            survive=settings.survive.computers,
            lease_term=settings.time_limits.lease_term_ms / 1000.0,
            all_decide=settings.survive.zones > 0 or settings.survive.regions > 0,
        )
        return Member(member_settings, self.disk.ports, self.state.snapshot, self._random_source)

    def _make_placement(self) -> PlacementService:
        limits = self.settings.time_limits
        return PlacementService(
            PlacementRuntime(
                clock=time.monotonic,
                lease=self._placer_lease,
                calls=OrderClient(self.address),
                publish=self._publish_expected,
                random_source=self._random_source,
                settings=PlacementSettings(limits.ceiling_window_s, limits.origin_rate_cap),
            )
        )

    def _make_status(self) -> StatusService:
        return StatusService(
            StatusSources(
                node_name=self.settings.node_name,
                member=self.member,
                state=self.state,
                swim=self.swim,
                registry=self.registry,
                directory=self.directory,
                disk=self.disk,
                contact=self.contact,
                placement=self.placement.summary,
            )
        )

"""Creates and connects the components of a control process.

This module contains wiring only; each component documents its own behavior.

The components are created in a fixed order, because several of them draw from the same random source.
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from random import Random

from ..configuration.settings import NodeSettings
from ..distribution.hinted_handoff import HintedHandoff
from ..distribution.peer_pullers import PeerPullers
from ..distribution.pull_service import PullService
from ..distribution.pull_settings import PullSettings
from ..distribution.registry import Registry
from ..distribution.version_vectors import new_origin
from ..membership.swim import Swim
from ..placement.model import PlacementSettings
from ..replication.member import Member
from ..replication.settings import MemberSettings
from ..rpc.client import RpcClient
from ..runner_directory.directory import RunnerDirectory
from ..runtime.addresses import rpc_address, seed_rpc_addresses
from ..runtime.membership import make_swim
from ..runtime.random_source import new_random_source
from ..runtime.rpc_clients import RpcClients
from ..storage.disk_thread import DiskThread
from ..storage.files import DiskFiles
from .configuration_state import ConfigurationState
from .contact_monitor import ContactMonitor
from .control_processes import ControlProcesses
from .departure_store import DepartureStore
from .disk import ControlDisk
from .latest_view import LatestView
from .majority_contact import PullContact
from .operator_calls import OperatorCallRouter
from .operator_service import OperatorService
from .order_permits import LeaseOrderPermits
from .periodic_work import PeriodicWork
from .placer_role import PlacerRole
from .publication import ConfigurationPropagation, ConfigurationPublisher
from .replicated_log import ReplicatedLog
from .rpc_service import RpcService
from .runner_check_ins import RunnerCheckIns
from .runner_ownership import RunnerOwnership, owner_name
from .status import StatusService, StatusSources

LOAD_MEMORY_MARGIN_S = 1.0  # how long announced loads are remembered beyond the window of the load rate limit


@dataclass(frozen=True, slots=True)
class ReplicationComponents:
    """The replicated log, the state built from it, and their files on disk.

    Attributes:
        disk: The data folder.
        state: The configuration and the accepted orders.
        log: Runs the replication member.
        operator_calls: Routes the operator's calls to the primary.
    """

    disk: ControlDisk
    state: ConfigurationState
    log: ReplicatedLog
    operator_calls: OperatorCallRouter

    @property
    def member(self) -> Member:
        """The replication member of this process."""
        return self.log.member


@dataclass(frozen=True, slots=True)
class DistributionComponents:
    """The registry and its exchange with other processes.

    Attributes:
        registry: The entries that all processes share.
        publisher: Publishes the committed configuration in the registry.
        latest_view: The latest view known to this process.
        processes: The other control processes.
        pullers: Pull entries from the other control processes.
        pull_service: Serves pulls from other processes.
        handoff: Pushes urgent entries to the other control processes.
        departures: Stores the departures of runners on disk.
        contact: Tells whether a majority of the witnesses is reachable.
    """

    registry: Registry
    publisher: ConfigurationPublisher
    latest_view: LatestView
    processes: ControlProcesses
    pullers: PeerPullers
    pull_service: PullService
    handoff: HintedHandoff
    departures: DepartureStore
    contact: PullContact


@dataclass(frozen=True, slots=True)
class RunnerComponents:
    """The components that manage runners.

    Attributes:
        directory: The runners known to this process.
        check_ins: Records their check-ins and decides which ones to acknowledge.
        placer: Places models on runners while this process holds the placer lease.
    """

    directory: RunnerDirectory
    check_ins: RunnerCheckIns
    placer: PlacerRole


@dataclass(frozen=True, slots=True)
class ControlComponents:
    """All components of a control process except its sockets and tasks.

    Attributes:
        clients: Connections to other control processes, for replication and forwarded operator calls.
        swim: The membership protocol.
        replication: See ReplicationComponents.
        distribution: See DistributionComponents.
        runners: See RunnerComponents.
        periodic_work: The periodic tasks.
        rpc_service: The RPC methods that other processes call.
        status: Reports the status of the process.
    """

    clients: RpcClients
    swim: Swim
    replication: ReplicationComponents
    distribution: DistributionComponents
    runners: RunnerComponents
    periodic_work: PeriodicWork
    rpc_service: RpcService
    status: StatusService


def assemble(settings: NodeSettings, data_folder: str) -> ControlComponents:
    """Creates the components of one control process and recovers its files, without starting anything.

    Args:
        settings: The settings of this process.
        data_folder: The directory where it keeps its state.

    Raises:
        StorageError: The data folder cannot be read.
    """
    random_source = new_random_source(settings.node_name)
    incarnation = int(time.time() * 1000)
    address = rpc_address(settings)
    clients = RpcClients()
    registry = Registry(new_origin(settings.node_name, random_source))
    swim = make_swim(settings, "control", incarnation, random_source, address)
    state = ConfigurationState()
    disk = ControlDisk.open(DiskFiles(), data_folder)
    member = Member(
        _member_settings(settings, address, random_source), disk.ports, state.snapshot, random_source
    )
    # The lambda breaks a cycle: the placer needs the lease from the log, and the log passes configuration
    # changes on to the placer.
    log = ReplicatedLog(member, state, clients, lambda: propagation.on_state_changed())
    replication = ReplicationComponents(
        disk, state, log, OperatorCallRouter(member, OperatorService(state, log), clients)
    )
    distribution = _distribution(settings, replication, registry, swim, random_source)
    runners = _runners(settings, replication, distribution, incarnation, random_source)
    propagation = ConfigurationPropagation(state, runners.placer.configure, distribution.publisher)
    status = _status(settings, swim, replication, distribution, runners)
    return ControlComponents(
        clients,
        swim,
        replication,
        distribution,
        runners,
        _periodic_work(replication, distribution, runners),
        RpcService(distribution.pull_service, log, runners.placer, replication.operator_calls, status),
        status,
    )


def _member_settings(settings: NodeSettings, address: str, random_source: Random) -> MemberSettings:
    return MemberSettings(
        address=address,
        seeds=tuple(seed_rpc_addresses(settings)),
        first_boot=settings.first_boot,
        fresh_identity=f"{address}#{random_source.getrandbits(64):016x}",
        tolerated_failures=settings.survive.computers,
        lease_term_s=settings.time_limits.lease_term_ms / 1000.0,
        action_retention_s=settings.time_limits.ceiling_window_s + LOAD_MEMORY_MARGIN_S,
        all_in_sync_vote=settings.survive.zones > 0 or settings.survive.regions > 0,
    )


def _distribution(
    settings: NodeSettings,
    replication: ReplicationComponents,
    registry: Registry,
    swim: Swim,
    random_source: Random,
) -> DistributionComponents:
    member = replication.member
    latest_view = LatestView(lambda: member.view, registry)
    processes = ControlProcesses(swim, latest_view, rpc_address(settings), seed_rpc_addresses(settings))
    pullers = PeerPullers(
        registry,
        RpcClient,
        processes.peers_and_witnesses,
        PullSettings.from_time_limits(settings.time_limits).for_control_peers(),
        random_source,
        node_name=settings.node_name,
    )
    contact = PullContact(member.id, latest_view.get, pullers.contact_proven_at)
    departures = DepartureStore(registry, replication.disk.departures, DiskThread("departures"))
    return DistributionComponents(
        registry=registry,
        publisher=ConfigurationPublisher(replication.state, registry, lambda: member.is_primary),
        latest_view=latest_view,
        processes=processes,
        pullers=pullers,
        pull_service=PullService(
            registry, contact.is_isolated, processes.all_addresses, durable_entries=departures
        ),
        handoff=HintedHandoff(
            RpcClient,
            processes.peers_and_witnesses,
            node_name=settings.node_name,
            durable_entries=departures,
        ),
        departures=departures,
        contact=contact,
    )


def _runners(
    settings: NodeSettings,
    replication: ReplicationComponents,
    distribution: DistributionComponents,
    incarnation: int,
    random_source: Random,
) -> RunnerComponents:
    address, registry, contact = rpc_address(settings), distribution.registry, distribution.contact
    ownership = RunnerOwnership(address, contact, distribution.processes.present)
    directory = RunnerDirectory(
        registry,
        time.monotonic,
        settings.beat_ms / 1000.0,
        owner_name(address, incarnation),
        ownership.is_owner_alive,
        ownership.is_earlier_incarnation,
    )
    limits = settings.time_limits
    placer = PlacerRole(
        address,
        replication.log.lease,
        LeaseOrderPermits(replication.log),
        registry,
        directory,
        PlacementSettings(limits.ceiling_window_s, limits.origin_rate_cap),
        random_source,
    )
    check_ins = RunnerCheckIns(directory, registry, contact, distribution.handoff)
    return RunnerComponents(directory, check_ins, placer)


def _periodic_work(
    replication: ReplicationComponents, distribution: DistributionComponents, runners: RunnerComponents
) -> PeriodicWork:
    return PeriodicWork(
        replication.log,
        distribution.latest_view,
        distribution.publisher,
        ContactMonitor(distribution.contact),
        runners.directory,
        distribution.processes,
        runners.placer,
        replication.disk,
    )


def _status(
    settings: NodeSettings,
    swim: Swim,
    replication: ReplicationComponents,
    distribution: DistributionComponents,
    runners: RunnerComponents,
) -> StatusService:
    return StatusService(
        StatusSources(
            node_name=settings.node_name,
            member=replication.member,
            state=replication.state,
            swim=swim,
            registry=distribution.registry,
            directory=runners.directory,
            disk=replication.disk,
            contact=distribution.contact,
            placement=runners.placer.summary,
        )
    )

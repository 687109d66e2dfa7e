"""The status of a control process, served over RPC, as JSON and as metrics."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol, cast

from ..distribution.placer_entry import known_placer
from ..distribution.registry import Registry
from ..membership.member import Member as Process
from ..membership.member import MemberState
from ..membership.swim import Swim
from ..placement.summary import PlacementSummary
from ..replication.effects import Role
from ..replication.member import Member
from ..replication.view import View
from ..rpc.generated import ttypes
from ..runner_directory.directory import RunnerDirectory
from ..runner_directory.runner_record import Stage
from .configuration_state import ConfigurationState
from .disk import ControlDisk
from .majority_contact import MajorityContact

# Names in the status, which operators' programs parse.
ROLE_NAMES = {Role.PRIMARY: "primary", Role.BACKUP: "backup", Role.LEARNER: "learner"}
STAGE_NAMES = {
    Stage.READY: "ready",
    Stage.SILENT: "silent",
    Stage.DRAINING: "draining",
    Stage.GONE: "gone",
}
PROCESS_STATE_NAMES = {
    MemberState.ALIVE: "alive",
    MemberState.SUSPECT: "suspect",
    MemberState.DEAD: "dead",
    MemberState.LEFT: "left",
}


@dataclass(frozen=True, slots=True)
class StatusSources:
    """The components of a control process from which a status is read.

    Attributes:
        node_name: Name of the process.
        member: Its replication member.
        state: The replicated state.
        swim: The membership protocol.
        registry: Holds the entry that names the placer.
        directory: The runners.
        disk: The data folder.
        contact: Tells whether the process is isolated.
        placement: Returns a summary of the placement; None unless this process is the placer.
    """

    node_name: str
    member: Member
    state: ConfigurationState
    swim: Swim
    registry: Registry
    directory: RunnerDirectory
    disk: ControlDisk
    contact: MajorityContact
    placement: Callable[[], PlacementSummary | None]


class StatusService:
    """Reads the current status at each call, without caching."""

    def __init__(self, sources: StatusSources) -> None:
        """Creates a service that reads from `sources`."""
        self._sources = sources

    async def status(self, request: ttypes.StatusRequest) -> ttypes.ControlStatus:
        """Serves the RPC method `status`; includes the placement if the request asks for it."""
        status = self.read()
        summary = self._sources.placement() if request.placement else None
        if summary is not None:
            status.placement = _placement(summary)
        return status

    def read(self) -> ttypes.ControlStatus:
        """Returns the status without the placement."""
        sources = self._sources
        view = sources.member.view
        placer = known_placer(sources.registry)
        stages = Counter(STAGE_NAMES[record.stage] for record in sources.directory.runners())
        return ttypes.ControlStatus(
            node_name=sources.node_name,
            identity=sources.member.id,
            role=_role(sources.member, view),
            view=_view(view),
            config_version=sources.state.version,
            committed_index=sources.member.committed_index,
            isolated=sources.contact.is_isolated(),
            processes=[_process(process) for process in self._processes()],
            placer=placer.address,
            placer_fence=placer.fencing_token,
            runners=dict(stages),
            disk=sources.disk.status(),
        )

    def as_json(self) -> dict[str, Any]:
        """Returns the status from `read` as a JSON object."""
        return cast(dict[str, Any], to_json(self.read()))

    def metrics(self) -> bytes:
        """Returns the status from `read` in the Prometheus text format.

        The metrics library is imported only here, so that processes that serve no metrics do not load it.
        """
        from .metrics import metrics_text

        return metrics_text(self.read())

    def _processes(self) -> list[Process]:
        """Returns the members and the dead processes, sorted by role and name."""
        found = [*self._sources.swim.members(), *self._sources.swim.dead()]
        return sorted(found, key=lambda process: (process.role, process.name))


class _ThriftStruct(Protocol):
    """Common interface of the structs that Thrift generates."""

    __slots__: tuple[str, ...]


def to_json(value: object) -> object:
    """Converts a Thrift struct and its contents to dicts and lists, omitting unset fields."""
    if isinstance(value, list):
        return [to_json(item) for item in value]
    if isinstance(value, dict):
        return {key: to_json(item) for key, item in value.items()}
    if not hasattr(value, "thrift_spec"):
        return value
    struct: _ThriftStruct = value
    fields = {name: getattr(struct, name) for name in struct.__slots__}
    return {name: to_json(field) for name, field in fields.items() if field is not None}


def _role(member: Member, view: View | None) -> str:
    if member.acting_epoch is not None:
        return ROLE_NAMES[Role.PRIMARY]
    in_sync = view is not None and member.id in view.in_sync
    return ROLE_NAMES[Role.BACKUP if in_sync else Role.LEARNER]


def _view(view: View | None) -> ttypes.View | None:
    if view is None:
        return None
    return ttypes.View(
        view.epoch, view.primary, list(view.backups), list(view.witnesses), dict(view.addresses)
    )


def _process(process: Process) -> ttypes.ProcessStatus:
    return ttypes.ProcessStatus(
        process.name, process.role, process.address, process.zone, PROCESS_STATE_NAMES[process.state]
    )


def _placement(summary: PlacementSummary) -> ttypes.PlacementStatus:
    models = [
        ttypes.ModelStatus(
            model.service,
            model.model,
            model.requests_per_s,
            model.waiting,
            model.in_flight,
            list(model.holders),
            list(model.loading),
        )
        for model in summary.models
    ]
    orders = [
        ttypes.OrderStatus(
            order.runner_id, order.action, order.name, round(order.age_s * 1000.0), order.is_accepted
        )
        for order in summary.orders
    ]
    return ttypes.PlacementStatus(
        summary.fencing_token, summary.load_limit, summary.available_loads, models, orders
    )

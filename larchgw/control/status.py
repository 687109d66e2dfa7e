"""What a control process tells of itself to people and their programs: over rpc, and as JSON."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ..distribution.placer_entry import known_placer
from ..distribution.registry import Registry
from ..membership.member import Member as Process
from ..membership.swim import Swim
from ..placement.summary import PlacementSummary
from ..replication.effects import Role
from ..replication.member import Member
from ..replication.view import View
from ..rpc.generated import ttypes
from ..runner_directory.directory import RunnerDirectory
from .configuration_state import ConfigurationState
from .disk import ControlDisk
from .majority_contact import MajorityContact


@dataclass(frozen=True, slots=True)
class StatusSources:
    """The parts of a control process that a status is read from. `placement` gives None unless it places."""

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
    """Reads the status anew at each call; nothing is kept."""

    def __init__(self, sources: StatusSources) -> None:
        self._from = sources

    async def status(self, request: ttypes.StatusRequest) -> ttypes.ControlStatus:
        """The rpc method."""
        status = self.read()
        summary = self._from.placement() if request.placement else None
        if summary is not None:
            status.placement = _placement(summary)
        return status

    def read(self) -> ttypes.ControlStatus:
        """All but what is placed."""
        sources = self._from
        view = sources.member.view
        placer = known_placer(sources.registry)
        stages = Counter(record.stage.name.lower() for record in sources.directory.runners())
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
        """The same as `read`, as an object for JSON."""
        status: dict[str, Any] = to_json(self.read())
        return status

    def metrics(self) -> bytes:
        """The figures of `read` as Prometheus text. The library is loaded only where it is asked for."""
        from .metrics import metrics_text

        return metrics_text(self.read())

    def _processes(self) -> list[Process]:
        """All that are there, and those that ended without leaving."""
        found = [*self._from.swim.members(), *self._from.swim.dead()]
        return sorted(found, key=lambda process: (process.role, process.name))


def to_json(value: Any) -> Any:
    """A thrift struct with all that it holds as dicts and lists; fields that are not set are left out."""
    if isinstance(value, list):
        return [to_json(item) for item in value]
    if isinstance(value, dict):
        return {key: to_json(item) for key, item in value.items()}
    if not hasattr(value, "thrift_spec"):
        return value
    fields = {name: getattr(value, name) for name in value.__slots__}
    return {name: to_json(field) for name, field in fields.items() if field is not None}


def _role(member: Member, view: View | None) -> str:
    if member.acting_epoch is not None:
        return Role.PRIMARY.name.lower()
    in_sync = view is not None and member.id in view.in_sync
    return (Role.BACKUP if in_sync else Role.LEARNER).name.lower()


def _view(view: View | None) -> ttypes.View | None:
    if view is None:
        return None
    return ttypes.View(
        view.epoch, view.primary, list(view.backups), list(view.witnesses), dict(view.addresses)
    )


def _process(process: Process) -> ttypes.ProcessStatus:
    return ttypes.ProcessStatus(
        process.name, process.role, process.address, process.zone, process.state.name.lower()
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

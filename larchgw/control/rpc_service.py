"""The RPC methods that a control process serves to other processes of the system."""

from __future__ import annotations

from ..distribution.pull_service import PullService
from ..rpc.generated.ttypes import (
    ControlStatus,
    DemandReport,
    OperatorAnswer,
    OperatorCall,
    PeerMessage,
    PullReply,
    PullRequest,
    PushReply,
    PushRequest,
    StatusRequest,
)
from .operator_calls import OperatorCallRouter
from .placer_role import PlacerRole
from .replicated_log import ReplicatedLog
from .status import StatusService


class RpcService:
    """Serves the Thrift service `Control`; each coroutine is named after the method that it serves."""

    def __init__(
        self,
        pull_service: PullService,
        replicated_log: ReplicatedLog,
        placer: PlacerRole,
        operator_calls: OperatorCallRouter,
        status: StatusService,
    ) -> None:
        """Takes the components that serve the calls."""
        self._pull_service, self._replicated_log, self._placer = pull_service, replicated_log, placer
        self._operator_calls, self._status = operator_calls, status

    async def pull(self, request: PullRequest) -> PullReply:
        """Returns the entries that the caller does not have."""
        return await self._pull_service.pull(request)

    async def push(self, request: PushRequest) -> PushReply:
        """Merges entries that another process pushes."""
        return await self._pull_service.push(request)

    async def demand(self, report: DemandReport) -> None:
        """Records the demand that a dispatcher reports."""
        self._placer.receive_demand_report(report)

    async def submit(self, call: OperatorCall) -> OperatorAnswer:
        """Serves an operator's call that another control process forwards."""
        return await self._operator_calls.serve_forwarded(call)

    async def deliver(self, message: PeerMessage) -> None:
        """Delivers a message of the replication protocol to the local member."""
        self._replicated_log.receive(message)

    async def status(self, request: StatusRequest) -> ControlStatus:
        """Returns the status of this process."""
        return await self._status.status(request)

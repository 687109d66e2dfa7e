"""What other processes of the system may call at a control process."""

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
    """Serves the methods of the thrift service `Control`; each coroutine has the name of its method."""

    def __init__(
        self,
        pull_service: PullService,
        replicated_log: ReplicatedLog,
        placer: PlacerRole,
        operator_calls: OperatorCallRouter,
        status: StatusService,
    ) -> None:
        """Takes the parts that serve the calls."""
        self._pull_service, self._replicated_log, self._placer = pull_service, replicated_log, placer
        self._operator_calls, self._status = operator_calls, status

    async def pull(self, request: PullRequest) -> PullReply:
        """Answers with the entries that the caller lacks."""
        return await self._pull_service.pull(request)

    async def push(self, request: PushRequest) -> PushReply:
        """Merges entries that another control process hands over."""
        return await self._pull_service.push(request)

    async def demand(self, report: DemandReport) -> None:
        """Counts what a dispatcher was asked for."""
        self._placer.receive_demand_report(report)

    async def submit(self, call: OperatorCall) -> OperatorAnswer:
        """Serves an operator's call that another control process forwards."""
        return await self._operator_calls.serve_forwarded(call)

    async def deliver(self, message: PeerMessage) -> None:
        """Handles a message of the replication protocol."""
        self._replicated_log.receive(message)

    async def status(self, request: StatusRequest) -> ControlStatus:
        """Reports the status of this process."""
        return await self._status.status(request)

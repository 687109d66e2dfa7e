"""What other processes of the system may call at a control process."""

from __future__ import annotations

from typing import Protocol

from ..distribution.pull_service import PullService
from ..placement.service import PlacementService
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
from .replicated_log import ReplicatedLog
from .status import StatusService


class OperatorCallRouter(Protocol):
    """Serves an operator's call that another control process passes on."""

    async def serve_forwarded(self, call: OperatorCall) -> OperatorAnswer:
        """The answer of this process, which the caller takes for the primary."""


class RpcService:
    """The coroutines are the methods of the thrift service."""

    def __init__(
        self,
        pulls: PullService,
        replicated: ReplicatedLog,
        placement: PlacementService,
        operator: OperatorCallRouter,
        status: StatusService,
    ) -> None:
        self._pulls, self._replicated, self._placement = pulls, replicated, placement
        self._operator, self._status = operator, status

    async def pull(self, request: PullRequest) -> PullReply:
        """Entries that the caller lacks."""
        return await self._pulls.pull(request)

    async def push(self, request: PushRequest) -> PushReply:
        """Entries handed over."""
        return await self._pulls.push(request)

    async def demand(self, report: DemandReport) -> None:
        """What a dispatcher is asked for."""
        self._placement.receive_demand_report(report)

    async def submit(self, call: OperatorCall) -> OperatorAnswer:
        """An operator's call."""
        return await self._operator.serve_forwarded(call)

    async def deliver(self, message: PeerMessage) -> None:
        """A message of the replication protocol."""
        self._replicated.receive(message)

    async def status(self, request: StatusRequest) -> ControlStatus:
        """What this process tells of itself."""
        return await self._status.status(request)

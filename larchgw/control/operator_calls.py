"""Brings an operator's call to the primary, wherever it came in."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from ..replication.member import Member
from ..rpc.errors import RpcError
from ..rpc.generated.ttypes import OperatorAnswer, OperatorCall
from ..runtime.rpc_clients import RpcClients
from .operator_order import OperatorOrder
from .operator_service import (
    MAX_ORDER_BYTES,
    OperatorResponse,
    OperatorService,
    order_too_large_response,
    unconfirmed_response,
)

CALL_TIMEOUT_S = 0.85  # an operator goes to another process after a second of silence
LARGE_CALL_TIMEOUT_S = 2.5  # and later where the body is large
LARGE_BODY_BYTES = 256 * 1024
PRIMARY_POLL_S = 0.02  # how often it is looked for a primary while there is none


def _timeout_s(call: OperatorCall) -> float:
    return LARGE_CALL_TIMEOUT_S if len(call.body) > LARGE_BODY_BYTES else CALL_TIMEOUT_S


async def _in_time(call: OperatorCall, answer: Coroutine[Any, Any, OperatorResponse]) -> OperatorResponse:
    try:
        async with asyncio.timeout(_timeout_s(call)):
            return await answer
    except TimeoutError:
        return unconfirmed_response("no primary answered in time")


class OperatorCallRouter:
    """Serves a call here if this is the primary, else at the primary that is known here."""

    def __init__(self, member: Member, service: OperatorService, clients: RpcClients) -> None:
        self._member, self._service, self._clients = member, service, clients

    async def operator_call(self, operation: str, base_version: int, body: bytes) -> OperatorResponse:
        """One call; 503 where no primary gave a clear answer in time."""
        if len(body) > MAX_ORDER_BYTES:
            return order_too_large_response(len(body))
        call = OperatorCall(operation, base_version, body)
        until = asyncio.get_running_loop().time() + _timeout_s(call)
        return await _in_time(call, self._until_clear(call, until))

    async def serve_forwarded(self, call: OperatorCall) -> OperatorAnswer:
        """A call that another process passes on; it ends when that one has given it up at the latest."""
        if not self._member.is_primary:
            return OperatorAnswer(503, b"", "")
        answer = await _in_time(call, self._serve(call))
        return OperatorAnswer(answer.status, answer.body, self._member.id)

    async def _until_clear(self, call: OperatorCall, until: float) -> OperatorResponse:
        """Asks again while there is no primary: its place is filled within a second."""
        while True:
            if self._member.is_primary:
                answer = await self._serve(call)
            else:
                answer = await self._pass_on(call, until - asyncio.get_running_loop().time())
            if answer.status != 503:
                return answer
            await asyncio.sleep(PRIMARY_POLL_S)

    async def _serve(self, call: OperatorCall) -> OperatorResponse:
        if call.operation == "read":
            return await self._service.read()
        return await self._service.submit(OperatorOrder(call.operation, call.built_on, call.body))

    async def _pass_on(self, call: OperatorCall, timeout: float) -> OperatorResponse:
        address = self._member.primary
        if not address:
            return unconfirmed_response("no primary is known here")
        try:
            answer = await self._clients.get(address).call("submit", call, max(timeout, PRIMARY_POLL_S))
        except RpcError as error:
            return unconfirmed_response(str(error))
        return OperatorResponse(answer.status, answer.body)

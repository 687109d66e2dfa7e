"""Routes the operator's calls to the primary, whichever control process receives them."""

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
    STATUS_UNCONFIRMED,
    OperatorResponse,
    OperatorService,
    order_too_large_response,
    unconfirmed_response,
)

READ = "read"
"""The operation that reads the configuration; configuration/change.py defines the other ones."""

CALL_TIMEOUT_S = 0.85  # the operator's client tries another process after 1 s without an answer
LARGE_CALL_TIMEOUT_S = 2.5  # for large bodies, for which the client waits longer
LARGE_BODY_BYTES = 256 * 1024
PRIMARY_POLL_S = 0.02  # pause between attempts while there is no primary


def _timeout_s(call: OperatorCall) -> float:
    return LARGE_CALL_TIMEOUT_S if len(call.body) > LARGE_BODY_BYTES else CALL_TIMEOUT_S


async def _with_timeout(
    call: OperatorCall, response: Coroutine[Any, Any, OperatorResponse]
) -> OperatorResponse:
    try:
        async with asyncio.timeout(_timeout_s(call)):
            return await response
    except TimeoutError:
        return unconfirmed_response("no primary answered in time")


class OperatorCallRouter:
    """Serves a call locally if this process is the primary, otherwise forwards it to the known primary."""

    def __init__(self, member: Member, service: OperatorService, clients: RpcClients) -> None:
        """Creates the router.

        Args:
            member: Knows the current primary.
            service: Serves calls while this process is the primary.
            clients: Connections to the other control processes.
        """
        self._member, self._service, self._clients = member, service, clients

    async def operator_call(self, operation: str, base_version: int, body: bytes) -> OperatorResponse:
        """Serves a call that this process received from the operator.

        Args:
            operation: "replace", "change" or "read".
            base_version: The version that an order is based on; NO_BASE_VERSION if it names none.
            body: The order as received.

        Returns:
            The primary's response; status 503 if no primary gave a definite one in time.
        """
        if len(body) > MAX_ORDER_BYTES:
            return order_too_large_response(len(body))
        call = OperatorCall(operation, base_version, body)
        deadline = asyncio.get_running_loop().time() + _timeout_s(call)
        return await _with_timeout(call, self._retry_until_definite(call, deadline))

    async def serve_forwarded(self, call: OperatorCall) -> OperatorAnswer:
        """Serves a call that another process forwards.

        It ends no later than the timeout of the forwarding process.
        """
        if not self._member.is_primary:
            return OperatorAnswer(STATUS_UNCONFIRMED, b"", "")
        response = await _with_timeout(call, self._serve(call))
        return OperatorAnswer(response.status, response.body, self._member.id)

    async def _retry_until_definite(self, call: OperatorCall, deadline: float) -> OperatorResponse:
        """Retries until a response is definite; while there is no primary, a new one is elected within 1 s.

        `deadline` is a time of the event loop's clock.
        """
        while True:
            if self._member.is_primary:
                response = await self._serve(call)
            else:
                response = await self._forward(call, deadline - asyncio.get_running_loop().time())
            if response.status != STATUS_UNCONFIRMED:
                return response
            await asyncio.sleep(PRIMARY_POLL_S)

    async def _serve(self, call: OperatorCall) -> OperatorResponse:
        if call.operation == READ:
            return await self._service.read()
        return await self._service.submit(OperatorOrder(call.operation, call.built_on, call.body))

    async def _forward(self, call: OperatorCall, timeout_s: float) -> OperatorResponse:
        address = self._member.primary
        if not address:
            return unconfirmed_response("this process knows no primary")
        try:
            answer = await self._clients.get(address).call("submit", call, max(timeout_s, PRIMARY_POLL_S))
        except RpcError as error:
            return unconfirmed_response(str(error))
        return OperatorResponse(answer.status, answer.body)

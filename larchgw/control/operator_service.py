"""The operator's calls at the primary: what is acknowledged, rejected, or left without a clear answer."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass
from typing import Protocol

import structlog

from ..configuration.errors import ConfigurationError
from .configuration_size import ConfigurationSizeLimit
from .configuration_state import ConfigurationState
from .errors import ConfigurationTooLargeError, ReplicationUnavailableError
from .operator_order import OperatorOrder

log = structlog.get_logger()
STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_TOO_LARGE = 413
STATUS_UNCONFIRMED = 503
MAX_ORDER_BYTES = 7 << 20  # an order with its head is one record of the log, which takes 8 MiB


@dataclass(frozen=True, slots=True)
class OperatorResponse:
    """The answer to one call of the operator.

    Attributes:
        status: HTTP status.
        body: JSON.
    """

    status: int
    body: bytes = b"{}"


def unconfirmed_response(reason: str) -> OperatorResponse:
    """Neither accepted nor rejected, as far as is known here: the operator sends the same call again."""
    detail = {"error": reason, "remedy": "send the same call again"}
    return OperatorResponse(STATUS_UNCONFIRMED, json.dumps(detail).encode())


def order_too_large_response(size_bytes: int) -> OperatorResponse:
    """Rejects an order that no record of the log can hold."""
    reason = f"body: {size_bytes} bytes are over {MAX_ORDER_BYTES}; send it as several changes"
    return OperatorResponse(STATUS_TOO_LARGE, json.dumps({"error": reason, "field": "body"}).encode())


class Replication(Protocol):
    """What OperatorService needs of the replicated log.

    All methods raise ReplicationUnavailableError where this process is not the primary, or cannot tell.
    """

    async def wait_until_decided(self) -> None:
        """Returns once no record that was proposed here is undecided."""

    async def confirm_primary(self) -> None:
        """Returns once it is certain that this process was primary of the last view after the call began."""

    async def propose(self, record: bytes) -> int:
        """Returns the record's index once it is committed and applied here."""


class OperatorService:
    """Serves the operator's calls on the state of this replica, one order at a time.

    An order is evaluated on a state that is confirmed to be the newest, with no proposal undecided. It is
    acknowledged once its record is committed and applied. One that was accepted is acknowledged again
    whenever it is sent again, never rejected. Where a commit cannot be awaited, the answer says so and the
    operator repeats the call.

    Attributes:
        state: The replicated state of this process.
        replication: The log that the state is made of.
    """

    def __init__(self, state: ConfigurationState, replication: Replication) -> None:
        """Serves calls on `state`, which `replication` keeps."""
        self.state, self.replication = state, replication
        self._order_lock = asyncio.Lock()
        self._size_limit = ConfigurationSizeLimit()

    async def read(self) -> OperatorResponse:
        """The newest configuration as JSON."""
        try:
            await self.replication.confirm_primary()
        except ReplicationUnavailableError as error:
            return unconfirmed_response(str(error))
        if self.state.current is None:
            return OperatorResponse(STATUS_NOT_FOUND, b'{"error": "no configuration has been taken yet"}')
        return OperatorResponse(STATUS_OK, json.dumps(self.state.current.raw).encode())

    async def submit(self, order: OperatorOrder) -> OperatorResponse:
        """Accepts the order, or says why not."""
        try:
            async with self._order_lock:
                return await self._submit(order)
        except ReplicationUnavailableError as error:
            return unconfirmed_response(str(error))

    async def _submit(self, order: OperatorOrder) -> OperatorResponse:
        # A call that ended early may have left a proposal behind: this very order, or one that it builds on.
        await self.replication.wait_until_decided()
        await self.replication.confirm_primary()  # else a new primary may have accepted it unnoticed
        if self.state.is_accepted(order):
            return self._accepted()
        evaluated = self.state.evaluate(order)
        if evaluated.is_error():
            return self._rejected(evaluated.error)
        try:
            self._size_limit.check(self.state.current, order.body, evaluated.ok)
        except ConfigurationTooLargeError as error:
            return self._rejected(error)
        await self.replication.propose(order.encode())
        if self.state.is_accepted(order):
            return self._accepted()
        overtaken = self.state.evaluate(order)
        if overtaken.is_error():
            return self._rejected(overtaken.error)
        return unconfirmed_response("the order was overtaken by another one")

    def _rejected(self, error: ConfigurationError) -> OperatorResponse:
        log.info("operator_call.rejected", error=str(error))
        detail = {"error": str(error), "field": error.field, "config_version": self.state.version}
        return OperatorResponse(error.status, json.dumps(detail).encode())

    def _accepted(self) -> OperatorResponse:
        return OperatorResponse(STATUS_OK, json.dumps({"config_version": self.state.version}).encode())

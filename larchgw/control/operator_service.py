"""Serves the operator's calls at the primary: accepts, rejects, or leaves them unconfirmed."""

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
MAX_ORDER_BYTES = 7 << 20  # an order with its header is one record of the log, which holds up to 8 MiB


@dataclass(frozen=True, slots=True)
class OperatorResponse:
    """The response to one call of the operator.

    Attributes:
        status: HTTP status.
        body: JSON.
    """

    status: int
    body: bytes = b"{}"


def unconfirmed_response(reason: str) -> OperatorResponse:
    """Returns the response to a call whose outcome is unknown; the operator repeats the same call."""
    detail = {"error": reason, "remedy": "send the same call again"}
    return OperatorResponse(STATUS_UNCONFIRMED, json.dumps(detail).encode())


def order_too_large_response(size_bytes: int) -> OperatorResponse:
    """Returns the response that rejects an order too large for a record of the log."""
    reason = f"body: {size_bytes} bytes are over {MAX_ORDER_BYTES}; send it as several changes"
    return OperatorResponse(STATUS_TOO_LARGE, json.dumps({"error": reason, "field": "body"}).encode())


class Replication(Protocol):
    """The operations of the replicated log that OperatorService uses.

    All methods raise ReplicationUnavailableError if this process is not the primary, or cannot confirm it.
    """

    async def wait_until_decided(self) -> None:
        """Waits until every record proposed by this process is decided."""

    async def confirm_primary(self) -> None:
        """Waits for confirmation that this process was primary of the latest view after the call started."""

    async def propose(self, record: bytes) -> int:
        """Returns the record's index once it is committed and applied by this process."""


class OperatorService:
    """Serves the operator's calls on the state of this replica, one order at a time.

    An order is evaluated on a state that is confirmed to be the newest, while no proposal is undecided. It is
    acknowledged once its record is committed and applied. An order that was accepted is acknowledged again,
    never rejected, whenever it is resent. If the commit cannot be confirmed in time, the response says so and
    the operator repeats the call.

    Attributes:
        state: The replicated state of this process.
        replication: The log that the state is built from.
    """

    def __init__(self, state: ConfigurationState, replication: Replication) -> None:
        """Serves calls on `state`, which `replication` keeps up to date."""
        self.state, self.replication = state, replication
        self._order_lock = asyncio.Lock()
        self._size_limit = ConfigurationSizeLimit()

    async def read(self) -> OperatorResponse:
        """Returns the newest configuration as JSON."""
        try:
            await self.replication.confirm_primary()
        except ReplicationUnavailableError as error:
            return unconfirmed_response(str(error))
        if self.state.current is None:
            return OperatorResponse(STATUS_NOT_FOUND, b'{"error": "no configuration has been taken yet"}')
        return OperatorResponse(STATUS_OK, json.dumps(self.state.current.raw).encode())

    async def submit(self, order: OperatorOrder) -> OperatorResponse:
        """Accepts the order, or returns the reason why it is not accepted."""
        try:
            async with self._order_lock:
                return await self._submit(order)
        except ReplicationUnavailableError as error:
            return unconfirmed_response(str(error))

    async def _submit(self, order: OperatorOrder) -> OperatorResponse:
        # A call that timed out may have left an undecided proposal: this order, or one that it is based on.
        await self.replication.wait_until_decided()
        await self.replication.confirm_primary()  # otherwise a new primary may have accepted it already
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

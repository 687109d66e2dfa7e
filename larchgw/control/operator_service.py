"""The operator's calls at the primary: what is acknowledged, refused, or left without a clear answer."""

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
OK, NOT_FOUND, TOO_LARGE, UNCLEAR = 200, 404, 413, 503
MAX_ORDER_BYTES = 7 << 20  # an order with its head is one record of the log, which takes 8 MiB


@dataclass(frozen=True, slots=True)
class OperatorResponse:
    """An HTTP status and its body."""

    status: int
    body: bytes = b"{}"


def unconfirmed_response(reason: str) -> OperatorResponse:
    """Neither taken nor refused as far as we know: the operator sends the same again."""
    detail = {"error": reason, "remedy": "send the same call again"}
    return OperatorResponse(UNCLEAR, json.dumps(detail).encode())


def order_too_large_response(size: int) -> OperatorResponse:
    """An order that no record of the log can hold."""
    reason = f"body: {size} bytes are over {MAX_ORDER_BYTES}; send it as several changes"
    return OperatorResponse(TOO_LARGE, json.dumps({"error": reason, "field": "body"}).encode())


class Replication(Protocol):
    """What this module needs of the replicated log. All raise ReplicationUnavailableError."""

    async def wait_until_decided(self) -> None:
        """Returns once no record that was proposed here is undecided."""

    async def confirm_primary(self) -> None:
        """Returns once it is certain that we were the primary of the last view after this call began."""

    async def propose(self, record: bytes) -> int:
        """Returns the record's index once it is committed and applied here."""


class OperatorService:
    """Serves the operator's calls on the state of this replica, one change at a time."""

    def __init__(self, state: ConfigurationState, replication: Replication) -> None:
        self.state, self.replication = state, replication
        self._one_at_a_time = asyncio.Lock()
        self._size_limit = ConfigurationSizeLimit()

    async def read(self) -> OperatorResponse:
        """The newest configuration, whole."""
        try:
            await self.replication.confirm_primary()
        except ReplicationUnavailableError as error:
            return unconfirmed_response(str(error))
        if self.state.current is None:
            return OperatorResponse(NOT_FOUND, b'{"error": "no configuration has been taken yet"}')
        return OperatorResponse(OK, json.dumps(self.state.current.raw).encode())

    async def submit(self, order: OperatorOrder) -> OperatorResponse:
        """Takes the order, or says why not. An order that was taken is acknowledged again, never refused."""
        try:
            async with self._one_at_a_time:
                return await self._submit(order)
        except ReplicationUnavailableError as error:
            return unconfirmed_response(str(error))

    async def _submit(self, order: OperatorOrder) -> OperatorResponse:
        # A call that ended early may have left a proposal behind: this very order, or one that it builds on.
        await self.replication.wait_until_decided()
        await self.replication.confirm_primary()  # or a new primary may have taken it, and we do not know
        if self.state.is_accepted(order):
            return self._accepted()
        fits = self.state.evaluate(order)
        if fits.is_error():
            return self._refused(fits.error)
        try:
            self._size_limit.check(self.state.current, order.body, fits.ok)
        except ConfigurationTooLargeError as error:
            return self._refused(error)
        await self.replication.propose(order.encode())
        if self.state.is_accepted(order):
            return self._accepted()
        overtaken = self.state.evaluate(order)
        if overtaken.is_error():
            return self._refused(overtaken.error)
        return unconfirmed_response("the order was overtaken by another one")

    def _refused(self, error: ConfigurationError) -> OperatorResponse:
        log.info("operator_call.rejected", error=str(error))
        detail = {"error": str(error), "field": error.field, "config_version": self.state.version}
        return OperatorResponse(error.status, json.dumps(detail).encode())

    def _accepted(self) -> OperatorResponse:
        return OperatorResponse(OK, json.dumps({"config_version": self.state.version}).encode())

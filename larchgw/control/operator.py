"""The operator's calls at the primary: what is acknowledged, refused, or left without a clear answer."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass
from typing import Protocol

import structlog

from ..configuration.errors import ConfigurationError
from .state import ConfigurationState, Order
from .state_size import ConfigurationTooLarge, SizeLimit

log = structlog.get_logger()
OK, NOT_FOUND, TOO_LARGE, UNCLEAR = 200, 404, 413, 503
MAX_ORDER_BYTES = 7 << 20  # an order with its head is one record of the log, which takes 8 MiB


@dataclass(frozen=True, slots=True)
class Answer:
    """An HTTP status and its body."""

    status: int
    body: bytes = b"{}"


def unclear(reason: str) -> Answer:
    """Neither taken nor refused as far as we know: the operator sends the same again."""
    return Answer(UNCLEAR, json.dumps({"error": reason, "remedy": "send the same call again"}).encode())


def too_large(size: int) -> Answer:
    """An order that no record of the log can hold."""
    reason = f"body: {size} bytes are over {MAX_ORDER_BYTES}; send it as several changes"
    return Answer(TOO_LARGE, json.dumps({"error": reason, "field": "body"}).encode())


class Replication(Protocol):
    """What this module needs of the replicated log. All raise ReplicationUnavailable."""

    async def settle(self) -> None:
        """Returns once no record that was proposed here is undecided."""

    async def confirm(self) -> None:
        """Returns once it is certain that we were the primary of the last view after this call began."""

    async def propose(self, record: bytes) -> int:
        """Returns the record's index once it is committed and applied here."""


class ReplicationUnavailable(Exception):
    """We are not the primary, or cannot tell in time. What was proposed may still be committed."""


class OperatorService:
    """Serves the operator's calls on the state of this replica, one change at a time."""

    def __init__(self, state: ConfigurationState, replication: Replication) -> None:
        self.state, self.replication = state, replication
        self._one_at_a_time = asyncio.Lock()
        self._size_limit = SizeLimit()

    async def read(self) -> Answer:
        """The newest configuration, whole."""
        try:
            await self.replication.confirm()
        except ReplicationUnavailable as error:
            return unclear(str(error))
        if self.state.current is None:
            return Answer(NOT_FOUND, b'{"error": "no configuration has been taken yet"}')
        return Answer(OK, json.dumps(self.state.current.raw).encode())

    async def submit(self, order: Order) -> Answer:
        """Takes the order, or says why not. An order that was taken is acknowledged again, never refused."""
        try:
            async with self._one_at_a_time:
                return await self._submit(order)
        except ReplicationUnavailable as error:
            return unclear(str(error))

    async def _submit(self, order: Order) -> Answer:
        # A call that ended early may have left a proposal behind: this very order, or one that it builds on.
        await self.replication.settle()
        await self.replication.confirm()  # or a new primary may have taken it, and we do not know
        if self.state.taken(order):
            return self._accepted()
        fits = self.state.evaluate(order)
        if fits.is_error():
            return self._refused(fits.error)
        try:
            self._size_limit.check(self.state.current, order.body, fits.ok)
        except ConfigurationTooLarge as error:
            return self._refused(error)
        await self.replication.propose(order.encode())
        if self.state.taken(order):
            return self._accepted()
        overtaken = self.state.evaluate(order)
        if overtaken.is_error():
            return self._refused(overtaken.error)
        return unclear("the order was overtaken by another one")

    def _refused(self, error: ConfigurationError) -> Answer:
        log.info("operator_call.rejected", error=str(error))
        detail = {"error": str(error), "field": error.field, "config_version": self.state.version}
        return Answer(error.status, json.dumps(detail).encode())

    def _accepted(self) -> Answer:
        return Answer(OK, json.dumps({"config_version": self.state.version}).encode())

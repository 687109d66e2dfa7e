"""Mutants of the code that answers operator calls, each with the first seed at which it is caught."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from contextlib import suppress

from ...configuration.change import NO_BASE_VERSION
from ...configuration.model import Configuration
from ...control import configuration_state as state_module
from ...control import operator_order as order_module
from ...control.configuration_state import ConfigurationState
from ...control.operator_order import OperatorOrder
from ...control.operator_service import OperatorResponse, OperatorService
from ...control.replicated_log import ReplicatedLog
from ...replication.leadership import Leadership
from ..mutants import Mutant, Patch
from .runs import play_faults

Submit = Callable[[OperatorService, OperatorOrder], Awaitable[OperatorResponse]]
Propose = Callable[[OperatorService, bytes], Awaitable[None]]
Digest = Callable[[str, int, bytes], str]
Evaluate = Callable[[Configuration | None, str, int, bytes], Configuration]


def _does_nothing(
    original: Callable[[ReplicatedLog], Awaitable[None]],
) -> Callable[[ReplicatedLog], Awaitable[None]]:
    async def nothing(self: ReplicatedLog) -> None:
        return None

    return nothing


def _always_ready(original: property) -> property:
    return property(lambda self: True)


def _drops_accepted_orders_on_restore(
    original: Callable[[ConfigurationState, bytes], None],
) -> Callable[[ConfigurationState, bytes], None]:
    def restore(self: ConfigurationState, data: bytes) -> None:
        original(self, json.dumps({**json.loads(data), "taken": {}}).encode())

    return restore


def _one_remembered_order(original: int) -> int:
    return 1


def _digest_without_body(original: Digest) -> Digest:
    def digest(operation: str, base_version: int, body: bytes) -> str:
        return original(operation, base_version, b"")

    return digest


def _digest_without_base(original: Digest) -> Digest:
    def digest(operation: str, base_version: int, body: bytes) -> str:
        return original(operation, NO_BASE_VERSION, body)

    return digest


def _submit_without_outcome_check(propose: Propose) -> Callable[[Submit], Submit]:
    """Replaces OperatorService._submit by a copy that does not check the outcome of the proposal."""

    async def submit(self: OperatorService, order: OperatorOrder) -> OperatorResponse:
        await self.replication.wait_until_decided()
        await self.replication.confirm_primary()
        if self.state.is_accepted(order):
            return self._accepted()
        evaluated = self.state.evaluate(order)
        if evaluated.is_error():
            return self._rejected(evaluated.error)
        await propose(self, order.encode())
        return self._accepted()

    def make(original: Submit) -> Submit:
        return submit

    return make


async def _propose_and_wait(service: OperatorService, record: bytes) -> None:
    await service.replication.propose(record)


async def _propose_without_replication(service: OperatorService, record: bytes) -> None:
    with suppress(TimeoutError):
        await asyncio.wait_for(service.replication.propose(record), 0.0)


def _evaluates_first(original: Submit) -> Submit:
    async def submit(self: OperatorService, order: OperatorOrder) -> OperatorResponse:
        await self.replication.confirm_primary()
        evaluated = self.state.evaluate(order)
        if evaluated.is_error():
            return self._rejected(evaluated.error)
        return await original(self, order)

    return submit


def _rejects_on_failure(original: Submit) -> Submit:
    async def submit(self: OperatorService, order: OperatorOrder) -> OperatorResponse:
        answer = await original(self, order)
        return OperatorResponse(409, answer.body) if answer.status == 503 else answer

    return submit


def _ignores_base_version(original: Evaluate) -> Evaluate:
    def evaluate(
        current: Configuration | None, operation: str, base_version: int, body: bytes
    ) -> Configuration:
        return original(current, operation, NO_BASE_VERSION, body)

    return evaluate


def _accepts_every_committed_record(
    original: Callable[[ConfigurationState, int, bytes], None],
) -> Callable[[ConfigurationState, int, bytes], None]:
    def apply(self: ConfigurationState, index: int, record: bytes) -> None:
        order = OperatorOrder.decode(record)
        self._accepted_versions[order.digest()] = self.version
        original(self, index, record)

    return apply


MUTANTS = (
    Mutant(
        "judges an order without a proof that it is primary",
        play_faults,
        1,
        (Patch(ReplicatedLog, "confirm_primary", _does_nothing),),
    ),
    Mutant(
        "forgets taken orders at a snapshot",
        play_faults,
        1,
        (Patch(ConfigurationState, "restore", _drops_accepted_orders_on_restore),),
    ),
    Mutant(
        "remembers one taken order",
        play_faults,
        1,
        (Patch(state_module, "MAX_REMEMBERED_ORDERS", _one_remembered_order),),
    ),
    Mutant(
        "recognises an order by what it builds on",
        play_faults,
        1,
        (Patch(order_module, "order_digest", _digest_without_body),),
    ),
    Mutant(
        "recognises an order by its text alone",
        play_faults,
        1,
        (Patch(order_module, "order_digest", _digest_without_base),),
    ),
    Mutant(
        "acknowledges what it proposed behind an undecided order",
        play_faults,
        15,
        (
            Patch(OperatorService, "_submit", _submit_without_outcome_check(_propose_and_wait)),
            Patch(ReplicatedLog, "wait_until_decided", _does_nothing),
        ),
    ),
    Mutant(
        "acknowledges before there are copies",
        play_faults,
        0,
        (Patch(OperatorService, "_submit", _submit_without_outcome_check(_propose_without_replication)),),
    ),
    Mutant(
        "judges an order before it looks whether it was taken",
        play_faults,
        1,
        (Patch(OperatorService, "_submit", _evaluates_first),),
    ),
    Mutant(
        "refuses what it could not get acknowledged",
        play_faults,
        2,
        (Patch(OperatorService, "submit", _rejects_on_failure),),
    ),
    Mutant(
        "takes an order on any version",
        play_faults,
        1,
        (Patch(state_module, "evaluate_order", _ignores_base_version),),
    ),
    Mutant(
        "judges before what it took over is committed",
        play_faults,
        14,
        (Patch(Leadership, "is_ready", _always_ready),),
    ),
    Mutant(
        "counts a record that had no effect as taken",
        play_faults,
        7,
        (
            Patch(ConfigurationState, "apply", _accepts_every_committed_record),
            Patch(ReplicatedLog, "wait_until_decided", _does_nothing),
        ),
    ),
)

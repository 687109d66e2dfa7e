"""Deliberate mistakes in how the operator's calls are answered. The exploration must catch each of them."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Coroutine, Iterator
from contextlib import ExitStack, contextmanager, suppress
from dataclasses import dataclass
from typing import Any

from ...configuration.change import NOT_GIVEN
from ...control import configuration_state as state_module
from ...control.configuration_state import ConfigurationState, OperatorOrder
from ...control.operator_service import OperatorResponse, OperatorService
from ...control.replicated_log import ReplicatedLog
from ...replication.leadership import Leadership


@dataclass(frozen=True, slots=True)
class Patch:
    """`owner.attribute` is replaced by what `make` builds from the original."""

    owner: Any
    attribute: str
    make: Callable[[Any], Any]

    @contextmanager
    def active(self) -> Iterator[None]:
        """The replacement is in place while this context lasts."""
        original = self.owner.__dict__[self.attribute]
        setattr(self.owner, self.attribute, self.make(original))
        try:
            yield
        finally:
            setattr(self.owner, self.attribute, original)


@dataclass(frozen=True, slots=True)
class Mutant:
    """One mistake, and the seed from which on it is caught. Where two lines must go, each is enough."""

    name: str
    seed: int
    patches: tuple[Patch, ...]

    @contextmanager
    def active(self) -> Iterator[None]:
        """The mistake is in the code while this context lasts."""
        with ExitStack() as stack:
            for patch in self.patches:
                stack.enter_context(patch.active())
            yield


def _does_nothing(original: Any) -> Any:
    async def nothing(self: Any) -> None:
        return None

    return nothing


def _forgets_at_restore(original: Any) -> Any:
    def restore(self: ConfigurationState, data: bytes) -> None:
        original(self, json.dumps({**json.loads(data), "taken": {}}).encode())

    return restore


def _remembers_one(original: Any) -> Any:
    return 1


def _by_operation_and_base(original: Any) -> Any:
    def digest(operation: str, base_version: int, body: bytes) -> str:
        return str(original(operation, base_version, b""))

    return digest


def _by_text(original: Any) -> Any:
    def digest(operation: str, base_version: int, body: bytes) -> str:
        return str(original(operation, NOT_GIVEN, body))

    return digest


def _without_looking_back(propose: Callable[[OperatorService, bytes], Coroutine[Any, Any, None]]) -> Any:
    """OperatorService._submit, but for its look at what came of the proposal."""

    async def submit(self: OperatorService, order: OperatorOrder) -> OperatorResponse:
        await self.replication.wait_until_decided()
        await self.replication.confirm_primary()
        if self.state.is_accepted(order):
            return self._accepted()
        fits = self.state.evaluate(order)
        if fits.is_error():
            return self._refused(fits.error)
        await propose(self, order.encode())
        return self._accepted()

    return lambda original: submit


async def _and_waits(service: OperatorService, record: bytes) -> None:
    await service.replication.propose(record)


async def _without_copies(service: OperatorService, record: bytes) -> None:
    with suppress(TimeoutError):
        await asyncio.wait_for(service.replication.propose(record), 0.0)


def _evaluates_first(original: Any) -> Any:
    async def submit(self: OperatorService, order: OperatorOrder) -> OperatorResponse:
        await self.replication.confirm_primary()
        fits = self.state.evaluate(order)
        if fits.is_error():
            return self._refused(fits.error)
        return await original(self, order)  # type: ignore[no-any-return]

    return submit


def _refuses_what_fails(original: Any) -> Any:
    async def submit(self: OperatorService, order: OperatorOrder) -> OperatorResponse:
        answer: OperatorResponse = await original(self, order)
        return OperatorResponse(409, answer.body) if answer.status == 503 else answer

    return submit


def _without_regard_to_the_base(original: Any) -> Any:
    def evaluate(current: Any, operation: str, base_version: int, body: bytes) -> Any:
        return original(current, operation, NOT_GIVEN, body)

    return evaluate


def _takes_anything_committed(original: Any) -> Any:
    def apply(self: ConfigurationState, index: int, record: bytes) -> None:
        order = OperatorOrder.decode(record)
        self._accepted_versions[order.digest()] = self.version
        original(self, index, record)

    return apply


MUTANTS = (
    Mutant(
        "judges an order without a proof that it is primary",
        1,
        (Patch(ReplicatedLog, "confirm_primary", _does_nothing),),
    ),
    Mutant(
        "forgets taken orders at a snapshot", 1, (Patch(ConfigurationState, "restore", _forgets_at_restore),)
    ),
    Mutant("remembers one taken order", 1, (Patch(state_module, "MAX_REMEMBERED_ORDERS", _remembers_one),)),
    Mutant(
        "recognises an order by what it builds on",
        1,
        (Patch(state_module, "digest", _by_operation_and_base),),
    ),
    Mutant("recognises an order by its text alone", 1, (Patch(state_module, "digest", _by_text),)),
    Mutant(
        "acknowledges what it proposed behind an undecided order",
        15,
        (
            Patch(OperatorService, "_submit", _without_looking_back(_and_waits)),
            Patch(ReplicatedLog, "wait_until_decided", _does_nothing),
        ),
    ),
    Mutant(
        "acknowledges before there are copies",
        0,
        (Patch(OperatorService, "_submit", _without_looking_back(_without_copies)),),
    ),
    Mutant(
        "judges an order before it looks whether it was taken",
        1,
        (Patch(OperatorService, "_submit", _evaluates_first),),
    ),
    Mutant(
        "refuses what it could not get acknowledged",
        2,
        (Patch(OperatorService, "submit", _refuses_what_fails),),
    ),
    Mutant(
        "takes an order on any version", 1, (Patch(state_module, "evaluate", _without_regard_to_the_base),)
    ),
    Mutant(
        "judges before what it took over is committed",
        14,
        (Patch(Leadership, "is_ready", lambda original: property(lambda self: True)),),
    ),
    Mutant(
        "counts a record that had no effect as taken",
        7,
        (
            Patch(ConfigurationState, "apply", _takes_anything_committed),
            Patch(ReplicatedLog, "wait_until_decided", _does_nothing),
        ),
    ),
)

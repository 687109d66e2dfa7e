"""Invariants of operator calls: relations between orders, their answers and configurations in force."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from ...configuration.change import REPLACE
from ...control.configuration_state import ConfigurationState
from ...control.operator_order import OperatorOrder
from ..errors import InvariantError

HTTP_OK = 200


@dataclass(frozen=True, slots=True)
class SentOrder:
    """An order that an operator sends once or several times.

    Attributes:
        order: The order.
        version: Configuration version that the order requests.
        is_valid: Whether the order is valid.
    """

    order: OperatorOrder
    version: int
    is_valid: bool

    def __str__(self) -> str:
        """Describes the order in messages about violations."""
        kind = "whole" if self.order.operation == REPLACE else "change"
        return f"{kind} {self.version} on {self.order.base_version} ({self.order.digest()[:6]})"


class InvariantChecker:
    """Checks the invariants of a run by observing orders, answers and configurations in force.

    Attributes:
        answers: Number of answers to operators, by status.
        newest_acknowledged: Newest version with an acknowledged order; 0 if there is none.
    """

    def __init__(self) -> None:
        """Starts without any order."""
        self._sent: dict[int, list[SentOrder]] = {}  # by requested version
        self._acknowledged: dict[str, SentOrder] = {}  # by digest, in order of first acknowledgement
        self._rejected_digests: set[str] = set()
        self._applied_by_base: dict[int, SentOrder] = {}  # base version -> order put in force on it
        self._in_force: dict[int, SentOrder] = {}  # by version
        self.answers: Counter[int] = Counter()
        self.newest_acknowledged = 0

    @property
    def acknowledged(self) -> list[SentOrder]:
        """All acknowledged orders, oldest first."""
        return list(self._acknowledged.values())

    def sends(self, sent: SentOrder) -> None:
        """Must be called before an operator sends this order for the first time."""
        self._sent.setdefault(sent.version, []).append(sent)

    def answered(self, sent: SentOrder, status: int) -> None:
        """Checks an answer to an order."""
        self.answers[status] += 1
        if status == HTTP_OK:
            self._check_acknowledgement(sent)
        elif 400 <= status < 500:
            self._check_rejection(sent, status)

    def _check_acknowledgement(self, sent: SentOrder) -> None:
        digest = sent.order.digest()
        if not sent.is_valid:
            raise InvariantError(f"{sent} is invalid and was acknowledged")
        if digest in self._rejected_digests:
            raise InvariantError(f"{sent} was acknowledged after it had been rejected")
        for other in self._acknowledged.values():
            if other.order.base_version == sent.order.base_version and other != sent:
                raise InvariantError(f"{other} and {sent} were both acknowledged on the same base version")
        self._acknowledged.setdefault(digest, sent)
        self.newest_acknowledged = max(self.newest_acknowledged, sent.version)

    def _check_rejection(self, sent: SentOrder, status: int) -> None:
        digest = sent.order.digest()
        if digest in self._acknowledged:
            raise InvariantError(f"{sent} was acknowledged, but got {status} when sent again")
        if self._in_force.get(sent.version) == sent:
            raise InvariantError(f"{sent} is or was in force, but got {status}")
        self._rejected_digests.add(digest)

    def read(self, acknowledged_before: int, version: int) -> None:
        """Checks a read of `version`, 0 for none, that began after `acknowledged_before` was acknowledged."""
        self.answers[HTTP_OK] += 1
        if version < acknowledged_before:
            raise InvariantError(
                f"a read returned {version}; {acknowledged_before} was acknowledged before it began"
            )
        if version and version not in self._in_force:
            raise InvariantError(f"a read returned {version}, which was never in force")

    def in_force(self, process: str, state: ConfigurationState) -> None:
        """Checks the state of a process that has applied records."""
        for sent in self._sent.get(state.version, []):
            if state.is_accepted(sent.order):
                self._check_in_force(process, sent)

    def _check_in_force(self, process: str, sent: SentOrder) -> None:
        other = self._in_force.setdefault(sent.version, sent)
        if other != sent:
            raise InvariantError(f"{sent} is in force at {process}, {other} elsewhere")
        winner = self._applied_by_base.setdefault(sent.order.base_version, sent)
        if winner != sent:
            raise InvariantError(f"{sent} is in force at {process}, on the same base version as {winner}")
        if not sent.is_valid:
            raise InvariantError(f"{sent} is invalid, but in force at {process}")
        if sent.order.digest() in self._rejected_digests:
            raise InvariantError(f"{sent} was rejected, but is in force at {process}")

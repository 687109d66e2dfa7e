"""What operators may rely on, checked by what was sent, what was answered, and what is in force."""

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
    """One order, however often it is sent.

    Attributes:
        order: What is sent.
        version: The version number that it asks for.
        is_valid: Whether it could be put in force at all.
    """

    order: OperatorOrder
    version: int
    is_valid: bool

    def __str__(self) -> str:
        """Names the order in messages of violations."""
        kind = "whole" if self.order.operation == REPLACE else "change"
        return f"{kind} {self.version} on {self.order.base_version} ({self.order.digest()[:6]})"


class InvariantChecker:
    """Watches a run from outside: orders, their answers and the configurations in force.

    Attributes:
        answers: By status, how many answers operators got.
        newest_acknowledged: The newest version whose order was acknowledged; 0 if there is none.
    """

    def __init__(self) -> None:
        """Begins before any order is sent."""
        self._sent: dict[int, list[SentOrder]] = {}  # by the version asked for
        self._acknowledged: dict[str, SentOrder] = {}  # by digest, in the order of the first acknowledgement
        self._rejected_digests: set[str] = set()
        self._applied_by_base: dict[
            int, SentOrder
        ] = {}  # base version -> what is, or was, in force on top of it
        self._in_force: dict[int, SentOrder] = {}  # by version
        self.answers: Counter[int] = Counter()
        self.newest_acknowledged = 0

    @property
    def acknowledged(self) -> list[SentOrder]:
        """All acknowledged orders, the oldest first."""
        return list(self._acknowledged.values())

    def sends(self, sent: SentOrder) -> None:
        """Observes that an operator is about to send this order for the first time."""
        self._sent.setdefault(sent.version, []).append(sent)

    def answered(self, sent: SentOrder, status: int) -> None:
        """Observes an answer to an order."""
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
            raise InvariantError(f"{sent} was refused, and acknowledged later")
        for other in self._acknowledged.values():
            if other.order.base_version == sent.order.base_version and other != sent:
                raise InvariantError(f"{other} and {sent} were both acknowledged")
        self._acknowledged.setdefault(digest, sent)
        self.newest_acknowledged = max(self.newest_acknowledged, sent.version)

    def _check_rejection(self, sent: SentOrder, status: int) -> None:
        digest = sent.order.digest()
        if digest in self._acknowledged:
            raise InvariantError(f"{sent} was acknowledged, and got {status} when sent again")
        if self._in_force.get(sent.version) == sent:
            raise InvariantError(f"{sent} is or was in force, and got {status}")
        self._rejected_digests.add(digest)

    def read(self, acknowledged_before: int, version: int) -> None:
        """Observes that a read gave `version`, 0 for none; it began after `acknowledged_before` was."""
        self.answers[HTTP_OK] += 1
        if version < acknowledged_before:
            raise InvariantError(
                f"a read gave {version}; {acknowledged_before} was acknowledged before it began"
            )
        if version and version not in self._in_force:
            raise InvariantError(f"a read gave {version}, which was never in force")

    def in_force(self, process: str, state: ConfigurationState) -> None:
        """Observes that a process has applied records."""
        for sent in self._sent.get(state.version, []):
            if state.is_accepted(sent.order):
                self._check_in_force(process, sent)

    def _check_in_force(self, process: str, sent: SentOrder) -> None:
        other = self._in_force.setdefault(sent.version, sent)
        if other != sent:
            raise InvariantError(f"{sent} is in force at {process}, {other} elsewhere")
        winner = self._applied_by_base.setdefault(sent.order.base_version, sent)
        if winner != sent:
            raise InvariantError(f"{sent} is in force at {process}, and so was {winner}")
        if not sent.is_valid:
            raise InvariantError(f"{sent} is invalid and in force at {process}")
        if sent.order.digest() in self._rejected_digests:
            raise InvariantError(f"{sent} was refused, and is in force at {process}")

"""The replicated state made of committed records: the configuration and the orders that were taken."""

from __future__ import annotations

import json
from dataclasses import dataclass

import structlog
from expression import Error, Ok, Result

from ..configuration.change import evaluate_order, order_digest
from ..configuration.errors import ConfigurationError
from ..configuration.model import Configuration
from ..configuration.validation import parse_configuration
from .configuration_size import encode_json

log = structlog.get_logger()
MAX_REMEMBERED_ORDERS = 20_000  # orders remembered; one sent again after so many others gets 412


@dataclass(frozen=True, slots=True)
class OperatorOrder:
    """One order of the operator: "replace" or "change". `base_version` is -1 where it was not given."""

    operation: str
    base_version: int
    body: bytes

    def encode(self) -> bytes:
        """One record of the log: a line of JSON, then the body as it came."""
        head = json.dumps({"operation": self.operation, "built_on": self.base_version})
        return head.encode() + b"\n" + self.body

    @classmethod
    def decode(cls, record: bytes) -> OperatorOrder:
        """The order in a record."""
        head, _, body = record.partition(b"\n")
        fields = json.loads(head)
        return cls(fields["operation"], fields["built_on"], body)

    def digest(self) -> str:
        """The same for the same order, however often it is sent."""
        return order_digest(self.operation, self.base_version, self.body)


class ConfigurationState:
    """What all committed records make together."""

    def __init__(self) -> None:
        self.current: Configuration | None = None
        self.record_index = 0  # of the record that made `current`
        # The last order that was evaluated, the version it was tried on, and the result.
        self._evaluated: tuple[OperatorOrder, int, Configuration] | None = None
        self._accepted_versions: dict[str, int] = {}  # digest -> version, oldest first

    @property
    def version(self) -> int:
        """The current configuration's version; 0 for none."""
        return self.current.config_version if self.current is not None else 0

    def is_accepted(self, order: OperatorOrder) -> bool:
        """Whether this very order is part of the state."""
        return order.digest() in self._accepted_versions

    def evaluate(self, order: OperatorOrder) -> Result[Configuration, ConfigurationError]:
        """The configuration that the order would put in force, or why it cannot."""
        if self._evaluated is not None and self._evaluated[:2] == (order, self.version):
            return Ok(self._evaluated[2])
        try:
            changed = evaluate_order(self.current, order.operation, order.base_version, order.body)
        except ConfigurationError as error:
            return Error(error)
        self._evaluated = (order, self.version, changed)
        return Ok(changed)

    def apply(self, index: int, record: bytes) -> None:
        """Takes one committed record; every replica comes to the same state.

        An order that does not fit the state any more is without effect: it was proposed while the fate of one
        before it was not known.
        """
        order = OperatorOrder.decode(record)
        result = self.evaluate(order)
        if result.is_error():
            log.warning("record.without_effect", record_index=index, error=str(result.error))
            return
        self.current, self.record_index = result.ok, index
        self._accepted_versions[order.digest()] = self.current.config_version
        while len(self._accepted_versions) > MAX_REMEMBERED_ORDERS:
            del self._accepted_versions[next(iter(self._accepted_versions))]

    def snapshot(self) -> bytes:
        """All of it, for `restore`."""
        raw = self.current.raw if self.current is not None else None
        return encode_json(
            {"index": self.record_index, "configuration": raw, "taken": self._accepted_versions}
        )

    def restore(self, data: bytes) -> None:
        """Becomes what a snapshot holds."""
        fields = json.loads(data)
        raw = fields["configuration"]
        self.current = parse_configuration(raw) if raw is not None else None
        self.record_index = fields["index"]
        self._accepted_versions = fields["taken"]

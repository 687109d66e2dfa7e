"""An order of the operator as one record of the replicated log."""

from __future__ import annotations

import json
from dataclasses import dataclass

from ..configuration.change import order_digest

# Keys of a record's head in the log; other versions read them.
OPERATION_KEY = "operation"
BASE_VERSION_KEY = "built_on"


@dataclass(frozen=True, slots=True)
class OperatorOrder:
    """One order of the operator; not to be taken for placement's orders to runners.

    Attributes:
        operation: "replace" or "change".
        base_version: The version that the order builds on; NO_BASE_VERSION if it names none.
        body: The configuration or the change, as it came.
    """

    operation: str
    base_version: int
    body: bytes

    def encode(self) -> bytes:
        """The order as a record: a line of JSON, then the body as it came."""
        head = json.dumps({OPERATION_KEY: self.operation, BASE_VERSION_KEY: self.base_version})
        return head.encode() + b"\n" + self.body

    @classmethod
    def decode(cls, record: bytes) -> OperatorOrder:
        """The order in a record that `encode` made."""
        head, _, body = record.partition(b"\n")
        fields = json.loads(head)
        return cls(fields[OPERATION_KEY], fields[BASE_VERSION_KEY], body)

    def digest(self) -> str:
        """Identifies the order: the same for the same order, however often it is sent."""
        return order_digest(self.operation, self.base_version, self.body)

"""Encoding of an operator's order as a record of the replicated log."""

from __future__ import annotations

import json
from dataclasses import dataclass

from ..configuration.change import order_digest

# Keys in the header line of a record, which other versions of the program also read.
OPERATION_KEY = "operation"
BASE_VERSION_KEY = "built_on"


@dataclass(frozen=True, slots=True)
class OperatorOrder:
    """An operator's order to change the configuration; not one of placement's orders to runners.

    Attributes:
        operation: "replace" or "change".
        base_version: The version that the order is based on; NO_BASE_VERSION if it names none.
        body: The configuration or the change, as received.
    """

    operation: str
    base_version: int
    body: bytes

    def encode(self) -> bytes:
        """Encodes the order as a record: one line of JSON, followed by the body as received."""
        head = json.dumps({OPERATION_KEY: self.operation, BASE_VERSION_KEY: self.base_version})
        return head.encode() + b"\n" + self.body

    @classmethod
    def decode(cls, record: bytes) -> OperatorOrder:
        """Decodes a record that `encode` returned."""
        head, _, body = record.partition(b"\n")
        fields = json.loads(head)
        return cls(fields[OPERATION_KEY], fields[BASE_VERSION_KEY], body)

    def digest(self) -> str:
        """Returns a digest that identifies the order, the same each time it is resent."""
        return order_digest(self.operation, self.base_version, self.body)

"""The replicated state built from committed records: the configuration and the accepted orders."""

from __future__ import annotations

import json
from dataclasses import dataclass

import structlog
from expression import Error, Ok, Result

from ..configuration.change import evaluate_order
from ..configuration.errors import ConfigurationError
from ..configuration.model import Configuration
from ..configuration.validation import parse_configuration
from .configuration_size import encode_json
from .operator_order import OperatorOrder

log = structlog.get_logger()
MAX_REMEMBERED_ORDERS = 20_000  # accepted orders; one that is resent after this many others gets status 412

# Keys of a snapshot, which other versions of the program also read.
RECORD_INDEX_KEY = "index"
CONFIGURATION_KEY = "configuration"
ACCEPTED_VERSIONS_KEY = "taken"


@dataclass(frozen=True, slots=True)
class _Evaluation:
    """The result of applying `order` to the configuration of `version`."""

    order: OperatorOrder
    version: int
    configuration: Configuration


class ConfigurationState:
    """The state machine that every replica runs over the committed records.

    The digests of accepted orders are part of the state, so that any later primary acknowledges a resent
    order again.

    Attributes:
        current: The configuration in force; None before the first.
        record_index: Index of the record that produced `current`; 0 for none.
    """

    def __init__(self) -> None:
        """Creates the state before the first record."""
        self.current: Configuration | None = None
        self.record_index = 0
        self._last_evaluation: _Evaluation | None = None
        self._accepted_versions: dict[str, int] = {}  # digest -> version, oldest first

    @property
    def version(self) -> int:
        """The current configuration's version; 0 for none."""
        return self.current.config_version if self.current is not None else 0

    def is_accepted(self, order: OperatorOrder) -> bool:
        """Whether this same order has already been accepted."""
        return order.digest() in self._accepted_versions

    def evaluate(self, order: OperatorOrder) -> Result[Configuration, ConfigurationError]:
        """Returns the configuration that the order would put in force, or why it is invalid."""
        last = self._last_evaluation
        if last is not None and last.order == order and last.version == self.version:
            return Ok(last.configuration)
        try:
            changed = evaluate_order(self.current, order.operation, order.base_version, order.body)
        except ConfigurationError as error:
            return Error(error)
        self._last_evaluation = _Evaluation(order, self.version, changed)
        return Ok(changed)

    def apply(self, index: int, record: bytes) -> None:
        """Applies one committed record; every replica reaches the same state.

        An order that no longer applies to the state has no effect: it was proposed while it was unknown
        whether an earlier one would be committed.

        Args:
            index: Index of the record in the log; increases with each call.
            record: An encoded OperatorOrder.
        """
        order = OperatorOrder.decode(record)
        result = self.evaluate(order)
        if result.is_error():
            log.warning("record.without_effect", record_index=index, error=str(result.error))
            return
        self.current, self.record_index = result.ok, index
        self._remember(order, self.current.config_version)

    def snapshot(self) -> bytes:
        """Encodes the whole state for `restore`."""
        return encode_json(
            {
                RECORD_INDEX_KEY: self.record_index,
                CONFIGURATION_KEY: self.current.raw if self.current is not None else None,
                ACCEPTED_VERSIONS_KEY: self._accepted_versions,
            }
        )

    def restore(self, data: bytes) -> None:
        """Replaces the state with the contents of a snapshot."""
        fields = json.loads(data)
        raw = fields[CONFIGURATION_KEY]
        self.current = parse_configuration(raw) if raw is not None else None
        self.record_index = fields[RECORD_INDEX_KEY]
        self._accepted_versions = fields[ACCEPTED_VERSIONS_KEY]

    def _remember(self, order: OperatorOrder, version: int) -> None:
        self._accepted_versions[order.digest()] = version
        while len(self._accepted_versions) > MAX_REMEMBERED_ORDERS:
            del self._accepted_versions[next(iter(self._accepted_versions))]

"""How large the operator's configuration may grow: each member keeps, sends, receives and installs it whole.

An order may be small and what it makes too large, so the whole is measured before an order is proposed. What
is in the log is never rejected any more. The sizes stand in docs/storage.md.
"""

from __future__ import annotations

import json
from collections.abc import Mapping

from ..configuration.model import Configuration
from .errors import ConfigurationTooLargeError

MAX_CONFIGURATION_BYTES = 8 << 20  # as JSON; the memory that it takes stands in docs/storage.md
_MAX_GROWTH = 4  # bytes of JSON that one byte of an order becomes at most: 1e15 -> 1000000000000000.0
_MAX_HEAD_BYTES = 64  # a configuration's version, and names of fields that an order left out


def encode_json(raw: Mapping[str, object]) -> bytes:
    """The JSON text whose length counts, and of which snapshots are made.

    `json.loads` reads it back, halves of surrogate pairs included.
    """
    return json.dumps(raw, separators=(",", ":"), ensure_ascii=False).encode("utf-8", "surrogatepass")


class ConfigurationSizeLimit:
    """Rejects configurations that are too large, without writing each one out as JSON.

    The size of the configuration before and that of the order give an upper bound; the size is measured only
    where the bound is above the limit.

    Attributes:
        measurements: How often a configuration was written out.
    """

    def __init__(self, max_bytes: int = MAX_CONFIGURATION_BYTES) -> None:
        """Makes the limit of so many bytes."""
        self._max_bytes = max_bytes
        self._bound_of: Configuration | None = None
        self._bound = 0
        self.measurements = 0

    def check(self, current: Configuration | None, body: bytes, changed: Configuration) -> None:
        """Checks what an order makes of the configuration in force.

        Args:
            current: The configuration in force.
            body: Of the order.
            changed: What the order makes of `current`.

        Raises:
            ConfigurationTooLargeError: `changed` is above the limit.
        """
        bound = self._size_of(current) + _MAX_GROWTH * len(body) + _MAX_HEAD_BYTES
        if bound > self._max_bytes:
            bound = self._measure(changed)
        if bound > self._max_bytes:
            raise ConfigurationTooLargeError(bound, self._max_bytes)
        self._bound_of, self._bound = changed, bound

    def _size_of(self, current: Configuration | None) -> int:
        if current is None:
            return 0
        if current is not self._bound_of:
            self._bound_of, self._bound = current, self._measure(current)
        return self._bound

    def _measure(self, configuration: Configuration) -> int:
        self.measurements += 1
        return len(encode_json(configuration.raw))

"""Limit on the size of the configuration, which every member stores, transfers and installs as a whole.

A small order can produce a configuration that is too large, so the resulting configuration is checked before
the order is proposed. Once in the log, an order is no longer rejected for its size. The sizes are documented
in docs/storage.md.
"""

from __future__ import annotations

import json
from collections.abc import Mapping

from ..configuration.model import Configuration
from .errors import ConfigurationTooLargeError

MAX_CONFIGURATION_BYTES = 8 << 20  # as JSON; docs/storage.md has the memory that this takes
_MAX_GROWTH = 4  # at most this many bytes of JSON per byte of an order: 1e15 -> 1000000000000000.0
_MAX_HEAD_BYTES = 64  # the configuration's version, and names of fields that the order omitted


def encode_json(raw: Mapping[str, object]) -> bytes:
    """Encodes JSON as it is measured against the limit and as it is written to snapshots.

    `json.loads` reads it back, including unpaired surrogates.
    """
    return json.dumps(raw, separators=(",", ":"), ensure_ascii=False).encode("utf-8", "surrogatepass")


class ConfigurationSizeLimit:
    """Rejects configurations that are too large, without encoding each one as JSON.

    The sizes of the previous configuration and of the order give an upper bound. The exact size is measured
    only if this bound exceeds the limit.

    Attributes:
        measurements: How often a configuration was encoded to measure it.
    """

    def __init__(self, max_bytes: int = MAX_CONFIGURATION_BYTES) -> None:
        """Creates a limit of `max_bytes`."""
        self._max_bytes = max_bytes
        self._bound_of: Configuration | None = None
        self._bound = 0
        self.measurements = 0

    def check(self, current: Configuration | None, body: bytes, changed: Configuration) -> None:
        """Checks the size of the configuration that results from an order.

        Args:
            current: The configuration in force.
            body: The body of the order.
            changed: The result of applying the order to `current`.

        Raises:
            ConfigurationTooLargeError: `changed` exceeds the limit.
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

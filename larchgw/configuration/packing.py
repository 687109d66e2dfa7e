"""Serialises a configuration for transfer between processes.

The JSON is compressed, because every process receives every version.
"""

from __future__ import annotations

import json
import zlib
from collections.abc import Mapping
from typing import Any

COMPRESSION_LEVEL = 6
"""Reduces configurations, which are repetitive, to about a tenth; higher levels cost more than they save."""


def pack(raw: Mapping[str, Any]) -> bytes:
    """Returns a configuration's JSON object as compressed JSON."""
    return zlib.compress(json.dumps(raw, separators=(",", ":")).encode(), COMPRESSION_LEVEL)


def unpack(data: bytes) -> bytes:
    """Returns the JSON text of a compressed configuration.

    Raises:
        zlib.error: The data is not valid compressed data.
    """
    return zlib.decompress(data)

"""The configuration as it goes between processes: JSON, compressed, since every process gets each version."""

from __future__ import annotations

import json
import zlib
from collections.abc import Mapping
from typing import Any

LEVEL = 6  # names and numbers repeat: about a tenth of the size; higher levels cost more than they save


def pack(raw: Mapping[str, Any]) -> bytes:
    """The bytes for a configuration's JSON object."""
    return zlib.compress(json.dumps(raw, separators=(",", ":")).encode(), LEVEL)


def unpack(data: bytes) -> bytes:
    """The JSON text in such bytes. Raises zlib.error if they are none."""
    return zlib.decompress(data)

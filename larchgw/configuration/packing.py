"""The form in which a configuration goes between processes.

It is compressed JSON: every process receives every version.
"""

from __future__ import annotations

import json
import zlib
from collections.abc import Mapping
from typing import Any

COMPRESSION_LEVEL = 6
"""Names and numbers repeat: about a tenth of the size; higher levels cost more than they save."""


def pack(raw: Mapping[str, Any]) -> bytes:
    """Returns the packed form of a configuration's JSON object."""
    return zlib.compress(json.dumps(raw, separators=(",", ":")).encode(), COMPRESSION_LEVEL)


def unpack(data: bytes) -> bytes:
    """Returns the JSON text in a packed form.

    Raises:
        zlib.error: The data is not in that form.
    """
    return zlib.decompress(data)

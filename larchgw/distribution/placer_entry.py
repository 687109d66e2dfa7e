"""The registry's entry that says which control process places models."""

from __future__ import annotations

import json

from .keys import PLACER_KEY
from .registry import Registry


def publish_placer(registry: Registry, address: str, fence: int) -> None:
    """Names the process at this rpc address, which orders under `fence`; again is without effect."""
    registry.put(PLACER_KEY, json.dumps({"address": address}).encode(), fence)


def known_placer(registry: Registry) -> tuple[str, int]:
    """The placer's rpc address and fence, as last heard; an empty address and 0 if none was heard of."""
    entry = registry.get(PLACER_KEY)
    if entry is None:
        return "", 0
    return str(json.loads(entry.value)["address"]), entry.major

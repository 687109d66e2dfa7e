"""The registry entry that names the placer, the control process that places models."""

from __future__ import annotations

import json
from dataclasses import dataclass

from ..identifiers import FencingToken, RpcAddress
from .keys import PLACER_KEY
from .registry import Registry


@dataclass(frozen=True, slots=True)
class Placer:
    """The process that places models, and the fencing token of its placer lease."""

    address: RpcAddress
    fencing_token: FencingToken


NO_PLACER = Placer(RpcAddress(""), FencingToken(0))
"""Returned while no placer is known."""


def publish_placer(registry: Registry, address: str, fencing_token: int) -> None:
    """Publishes the process at this RPC address as the placer; publishing the same again has no effect."""
    registry.put(PLACER_KEY, json.dumps({"address": address}).encode(), fencing_token)


def known_placer(registry: Registry) -> Placer:
    """Returns the placer in the registry, or NO_PLACER."""
    entry = registry.get(PLACER_KEY)
    if entry is None:
        return NO_PLACER
    return Placer(RpcAddress(str(json.loads(entry.value)["address"])), FencingToken(entry.major))

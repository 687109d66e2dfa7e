"""The registry's entry that names the placer: the control process that places models."""

from __future__ import annotations

import json
from dataclasses import dataclass

from ..identifiers import FencingToken, RpcAddress
from .keys import PLACER_KEY
from .registry import Registry


@dataclass(frozen=True, slots=True)
class Placer:
    """The process that places models, and the fencing token of the lease under which it does."""

    address: RpcAddress
    fencing_token: FencingToken


NO_PLACER = Placer(RpcAddress(""), FencingToken(0))
"""Stands for "no placer has been heard of"."""


def publish_placer(registry: Registry, address: str, fencing_token: int) -> None:
    """Names the process at this rpc address as the placer; publishing the same again has no effect."""
    registry.put(PLACER_KEY, json.dumps({"address": address}).encode(), fencing_token)


def known_placer(registry: Registry) -> Placer:
    """Returns the placer as last heard of, or NO_PLACER."""
    entry = registry.get(PLACER_KEY)
    if entry is None:
        return NO_PLACER
    return Placer(RpcAddress(str(json.loads(entry.value)["address"])), FencingToken(entry.major))

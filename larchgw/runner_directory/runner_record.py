"""A runner as its check-ins describe it, and how that is written into the registry."""

from __future__ import annotations

import json
import sys
from dataclasses import dataclass, field
from enum import IntEnum


class Stage(IntEnum):
    """How far a runner's life has gone. It never goes back, but from SILENT to where it was."""

    READY = 0
    SILENT = 1  # its check-ins have stopped; a later one brings it back
    DRAINING = 2
    GONE = 3


@dataclass(frozen=True, slots=True)
class HeldModel:
    """A model that a runner holds, the version of its weights, and the adapters there."""

    name: str
    config_version: int = 0
    adapters: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class RunnerRecord:
    """The newest that is known of one incarnation of a runner.

    `left_ms` is the time until it is taken away, -1 where that is not told; `cold_left_ms` how long it is
    slow yet; both as of the check-in that brought the record. `owner` is the control process that
    acknowledged the runner's last check-in (the name of its directory), which watches for its silence.
    """

    id: str
    service: str
    address: str
    zone: str
    stage: Stage = Stage.READY
    slots: int = 1
    config_version: str = ""
    phase: str = ""
    cold_left_ms: float = 0.0
    left_ms: float = -1.0
    call_count: int = 0
    models: tuple[HeldModel, ...] = field(default=())
    owner: str = ""

    def holds(self, model: str, adapter: str = "") -> bool:
        """Whether it holds the model and, if one is named, the adapter."""
        for held in self.models:
            if held.name == model and (not adapter or adapter in held.adapters):
                return True
        return False

    def encode(self) -> bytes:
        """JSON for the registry."""
        models = [[held.name, held.config_version, list(held.adapters)] for held in self.models]
        fields = [
            self.id,
            self.service,
            self.address,
            self.zone,
            int(self.stage),
            self.slots,
            self.config_version,
            self.phase,
            self.cold_left_ms,
            self.left_ms,
            self.call_count,
            models,
            self.owner,
        ]
        return json.dumps(fields, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, data: bytes) -> RunnerRecord:
        """The record in a registry entry."""
        (id, service, address, zone, stage, slots, version, phase, cold, left, calls, models, owner) = (
            json.loads(data)
        )
        # Many runners hold the same models and adapters: their names are kept once.
        held = tuple(
            HeldModel(sys.intern(held_name), held_version, tuple(map(sys.intern, adapters)))
            for held_name, held_version, adapters in models
        )
        return cls(
            id, service, address, zone, Stage(stage), slots, version, phase, cold, left, calls, held, owner
        )

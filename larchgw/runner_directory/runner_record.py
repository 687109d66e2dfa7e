"""Record of a runner, built from its check-ins, and its encoding in the registry.

In the registry a record is a JSON array. The order of the elements is the wire format; field names are not
part of it.
"""

from __future__ import annotations

import json
import sys
from dataclasses import dataclass, field
from enum import IntEnum

from ..identifiers import RunnerId


class Stage(IntEnum):
    """Stage in the lifecycle of a runner; it never decreases, except from SILENT to READY.

    The numbers are stored and sent on the wire; the names in lower case appear in status output.

    Attributes:
        READY: The runner accepts requests.
        SILENT: Its check-ins have stopped; a later check-in makes it READY again.
        DRAINING: It accepts no new requests (graceful shutdown).
        GONE: It has left permanently; its record is a tombstone.
    """

    READY = 0
    SILENT = 1
    DRAINING = 2
    GONE = 3


@dataclass(frozen=True, slots=True)
class HeldModel:
    """A model that a runner has loaded.

    Attributes:
        name: Name of the model.
        config_version: Version of the configuration from which its weights were loaded.
        adapters: Names of its loaded adapters.
    """

    name: str
    config_version: int = 0
    adapters: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class RunnerRecord:
    """Latest known state of one incarnation of a runner.

    Attributes:
        id: Id of the incarnation.
        service: The service that it belongs to.
        address: Its `host:port`.
        zone: Its zone; empty if not reported.
        stage: Its stage in the lifecycle.
        slots: Number of requests that it handles concurrently.
        config_version: As reported; forwarded unchanged.
        phase: As reported; forwarded unchanged.
        warm_up_left_ms: Remaining time of its warm-up (`cold_left_ms` of a check-in), as of the check-in in
            this record.
        time_left_ms: Time until it is terminated (`left_ms`), as of that check-in; -1 if unknown.
        call_count: Number of that check-in; increases with each check-in.
        models: Its loaded models.
        owner: Name of the control process that acknowledged its last check-in, which also monitors its
            heartbeats.
    """

    id: RunnerId
    service: str
    address: str
    zone: str
    stage: Stage = Stage.READY
    slots: int = 1
    config_version: str = ""
    phase: str = ""
    warm_up_left_ms: float = 0.0
    time_left_ms: float = -1.0
    call_count: int = 0
    models: tuple[HeldModel, ...] = field(default=())
    owner: str = ""

    def holds(self, model: str, adapter: str = "") -> bool:
        """Returns whether the model is loaded and, if `adapter` is not empty, the adapter."""
        for held in self.models:
            if held.name == model and (not adapter or adapter in held.adapters):
                return True
        return False

    def encode(self) -> bytes:
        """Returns the value of the registry entry."""
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
            self.warm_up_left_ms,
            self.time_left_ms,
            self.call_count,
            models,
            self.owner,
        ]
        return json.dumps(fields, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, data: bytes) -> RunnerRecord:
        """Decodes the value of a registry entry."""
        (
            id,
            service,
            address,
            zone,
            stage,
            slots,
            config_version,
            phase,
            warm_up_left_ms,
            time_left_ms,
            call_count,
            models,
            owner,
        ) = json.loads(data)
        # Many runners hold the same models and adapters; interning stores each name only once.
        held_models = tuple(
            HeldModel(sys.intern(name), version, tuple(map(sys.intern, adapters)))
            for name, version, adapters in models
        )
        return cls(
            id,
            service,
            address,
            zone,
            Stage(stage),
            slots,
            config_version,
            phase,
            warm_up_left_ms,
            time_left_ms,
            call_count,
            held_models,
            owner,
        )

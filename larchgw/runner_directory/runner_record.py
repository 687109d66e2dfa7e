"""A runner as its check-ins describe it, and its form in the registry.

In the registry a record is a JSON array: the order of its elements is the wire format, field names are not
part of it.
"""

from __future__ import annotations

import json
import sys
from dataclasses import dataclass, field
from enum import IntEnum

from ..identifiers import RunnerId


class Stage(IntEnum):
    """How far a runner has come in its lifecycle; never goes back, but from SILENT to READY.

    The numbers are stored and sent; the names stand in statuses in lower case.

    Attributes:
        READY: It takes requests.
        SILENT: Its check-ins have stopped; a later one brings it back.
        DRAINING: It takes no new requests (graceful shutdown).
        GONE: It has left for good; its record is a tombstone.
    """

    READY = 0
    SILENT = 1
    DRAINING = 2
    GONE = 3


@dataclass(frozen=True, slots=True)
class HeldModel:
    """A model that a runner holds.

    Attributes:
        name: Of the model.
        config_version: Version of the configuration that its weights are from.
        adapters: Names of the adapters that are loaded with it.
    """

    name: str
    config_version: int = 0
    adapters: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class RunnerRecord:
    """The newest that is known of one incarnation of a runner.

    Attributes:
        id: Names this incarnation.
        service: The service that it serves.
        address: Its `host:port`.
        zone: The zone that it runs in; empty: not reported.
        stage: How far it has come in its lifecycle.
        slots: How many requests it works on at once.
        config_version: As reported; passed on unchanged.
        phase: As reported; passed on unchanged.
        warm_up_left_ms: How long it is still slow (`cold_left_ms` of a check-in), as of the check-in that
            brought the record.
        time_left_ms: Time until it is terminated (`left_ms`), as of that check-in; -1 where it is not known.
        call_count: Number of that check-in; rises with each.
        models: What it holds.
        owner: The control process that acknowledged its last check-in (the name of its directory), which
            watches for its silence.
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
        """Returns whether it holds the model and, if one is named, the adapter."""
        for held in self.models:
            if held.name == model and (not adapter or adapter in held.adapters):
                return True
        return False

    def encode(self) -> bytes:
        """Returns the value of its registry entry."""
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
        """Reads the value of a registry entry."""
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
        # Many runners hold the same models and adapters: their names are kept once.
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

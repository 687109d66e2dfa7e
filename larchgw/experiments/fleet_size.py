"""The deployment that `larchgw lab fleet` plays: sizes, the operator's configuration, what runners hold."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any

HOST = "fleet.example"
SERVICE = "engines"
BEAT_S = 1.2


@dataclass(frozen=True, slots=True)
class FleetSize:
    """A deployment of hollow dispatchers and runners around real control processes."""

    dispatchers: int = 490
    reading: int = 10  # of them, that read configurations; the others only note their arrival
    control: int = 5
    runners: int = 1400
    models: int = 800
    adapters: int = 60_000
    routes: int = 1000
    requests_per_s: float = 24.5  # at each dispatcher: 12,000 a second over 490
    run_s: float = 22.0  # that a request takes: 450 tokens, 49 ms between
    models_held: int = 2  # by a runner
    adapters_held: int = 8  # by a runner
    loads_per_s: float = 0.83  # 3,000 an hour


def configuration(size: FleetSize, version: int) -> dict[str, Any]:
    """The operator's whole configuration; versions differ in one route."""
    models = [
        {
            "name": model_name(number),
            "weights_mb": 70_000.0,
            "load_s": 3.0,
            "adapters": size.adapters // size.models,
            "adapter_mb": 66.0,
        }
        for number in range(size.models)
    ]
    runtime = {
        "slots": 64,
        "cache_tokens": 240_000,
        "token_bytes": 163_840.0,
        "link_mbps": 260_000.0,
        "stride": 4,
        "models": models,
        "weights_mb": 220_000.0,
        "adapter_slots": size.adapters_held,
        "loads_per_s": size.loads_per_s,
    }
    return {
        "config_version": version,
        "routes": [_route(number, version if number == 0 else 0) for number in range(size.routes)],
        "services": [
            {
                "name": SERVICE,
                "health_path": "/health",
                "max_conns": 400,
                "protocol": "h1",
                "uses_tls": False,
                "runtime": runtime,
            }
        ],
    }


def _route(number: int, shift: int) -> dict[str, Any]:
    return {
        "name": f"route-{number}",
        "hostname": HOST,
        "path_start": f"/team-{number}/",
        "kind": "streaming",
        "deadline_ms": 60_000 + shift,
        "target_ms": 800,
        "rank": number % 3,
        "service": SERVICE,
        "tries": 2,
        "pinned": True,
        "can_resume": True,
        "gap_aim_ms": 400,
    }


def model_name(number: int) -> str:
    """A model's name."""
    return f"model-{number:04}"


class Popularity:
    """Draws the model and adapter of a request: few are asked for often, most hardly ever."""

    def __init__(self, size: FleetSize, dice: random.Random) -> None:
        self._dice = dice
        self._models = [model_name(number) for number in range(size.models)]
        total = 0.0
        self._weights = [total := total + 1.0 / (number + 1) for number in range(size.models)]
        self._adapters = size.adapters // size.models

    def draw(self) -> tuple[str, str, str]:
        """A key; half of the requests are for adapters."""
        model = self._dice.choices(self._models, cum_weights=self._weights)[0]
        if self._dice.random() < 0.5:
            return SERVICE, model, ""
        return SERVICE, model, f"a{1 + int(self._adapters * self._dice.random() ** 3)}"

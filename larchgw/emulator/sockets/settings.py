"""The settings of a dispatcher among these models."""

from __future__ import annotations

from typing import Any

from ..load import LoadSpec

CLOSE_AFTER = 15.0  # seconds that a box lets a connection stand idle


def dispatcher_settings(load: LoadSpec, zones: int, instances: int = 1) -> dict[str, Any]:
    """What a dispatcher's configuration holds under `settings` for such a load."""
    return {
        "requestClasses": [
            {"name": c.name, "aim": c.aim, "deadline": c.deadline, "effect": c.effect, "points": c.worth}
            for c in load.classes
        ],
        "nInstances": instances,
        "areas": [f"room-{'abc'[i % 3]}" for i in range(zones)],
        "shapes": ["gen5", "gen4", "gen3"],
        "worthBy": "work",
        "allowed": {
            "cancel": True,
            "maxAttempts": 3,
            "dialTimeout": 0.25,
            "idleClose": CLOSE_AFTER,
            "probes": True,
            "retryAfter": True,
            "maxRetryAfter": 2.0,
        },
        "familyInfo": {
            "tellsStart": True,
            "classStretch": [c.stretch for c in load.classes],
            "classPriority": [c.priority for c in load.classes],
            "queueOrder": "fifo",
            "reportX0": "free slots",
        },
        "obligations": {"coldFrom": 0.15, "warmUp": 22.0, "drainGrace": 1.0, "tipMultiple": 2.5, "fall": 3.0},
        "report": {"via": "piggyback", "fields": ["fail_rate", "q", "x0"]},
    }

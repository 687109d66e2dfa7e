"""What all parts of one run share: its scenario, its time, its boxes, and what is noted of it."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from ...dispatcher.scheduling.interface import WorkerId
from ..box import Box
from ..rules import Records
from ..timeline import Virtual
from .scenario import Scenario


@dataclass(slots=True)
class Deployment:
    """One scenario under one seed."""

    scenario: Scenario
    seed: int
    random: random.Random  # of the clients and of discovery
    time: Virtual = field(default_factory=Virtual)
    records: Records = field(default_factory=Records)
    boxes: dict[WorkerId, Box] = field(default_factory=dict)

    def way(self, zone: int, box: Box) -> float:
        """Seconds one way between a dispatcher of this zone and a box."""
        return self.scenario.same_room_s if box.spec.zone == zone else self.scenario.other_room_s

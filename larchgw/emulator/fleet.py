"""Fleets: which boxes there are, drawn from the kinds that Lakeshore runs, and what goes wrong with them."""

from __future__ import annotations

import random
from bisect import bisect
from collections.abc import Sequence
from dataclasses import dataclass, replace
from itertools import accumulate

from .box import BoxSpec, Order

KINDS = (  # name, share, speed from and to, slots from and to
    ("gen5", 0.37, 1.7, 2.3, 5, 6),
    ("gen4", 0.44, 1.0, 1.4, 5, 5),
    ("gen3", 0.19, 0.68, 0.92, 5, 6),
)
FETCHED = 0.4  # share of jobs that fetch where a fleet holds about as many keys as there are
TOPS = list(accumulate(kind[1] for kind in KINDS))


@dataclass(frozen=True, slots=True)
class FleetSpec:
    """What a fleet is drawn from."""

    boxes: int = 9
    zones: int = 3
    order: Order = Order.FIFO
    fetch_s: float = 0.3
    headroom: float = 3.5  # fetches that the vault can do over those that a fleet of this size needs
    cores: int = 5
    slots: int = 0  # 0: as the kinds have them

    def lanes(self, rate: float) -> int:
        """Fetches that the vault does at a time, for so many jobs a second."""
        return max(round(self.headroom * self.fetch_s * rate * FETCHED), 2)


@dataclass(frozen=True, slots=True)
class Fault:
    """One thing that goes wrong with one box, `at` so many seconds after the start, for `seconds`."""

    what: str  # slow, hang, fail, cut, crash, drain, deploy
    box: int
    at: float
    seconds: float = 10.0
    size: float = 4.0  # slow: times slower; fail: share that fails


FAULTS = ("slow", "hang", "fail", "cut", "crash", "drain", "deploy")


def draw(spec: FleetSpec, seed: int) -> list[BoxSpec]:
    """The boxes of a fleet; the same for the same seed."""
    rng = random.Random(seed)
    boxes = []
    for index in range(spec.boxes):
        place = (index + 0.5) / spec.boxes
        name, _, slow, fast, few, many = KINDS[min(bisect(TOPS, place), len(KINDS) - 1)]
        slots = spec.slots or rng.randint(few, many)
        boxes.append(
            BoxSpec(
                name=f"render-{index + 1:02d}",
                zone=index % spec.zones,
                kind=name,
                cores=spec.cores,
                slots=slots,
                queue=rng.randint(spec.cores, 4 * spec.cores),
                order=spec.order,
                speed=rng.uniform(slow, fast),
                noise=rng.uniform(0.15, 0.5),
                keys=max(int(slots * rng.uniform(0.8, 1.8)), 2),
                cold_from=rng.uniform(0.18, 0.33),
                cold_s=rng.uniform(11.0, 21.0),
                report_s=rng.uniform(0.7, 1.5),
                report_delay_s=rng.uniform(0.17, 0.39),
            )
        )
    rng.shuffle(boxes)
    return [replace(box, name=f"render-{i + 1:02d}") for i, box in enumerate(boxes)]


def capacity(boxes: Sequence[BoxSpec]) -> float:
    """Slot seconds at speed 1 that these boxes do a second when every core is at work."""
    return sum(box.cores * box.speed for box in boxes)

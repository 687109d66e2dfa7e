"""`larchgw lab mass`: many dispatchers that each see little, on six days; weights in lists read, and not.

The days are in the spirit of the operators' full-fleet days. What their protocol adds and this leaves out:
handshakes and connections, calls for lists (here they come by themselves), bad clients, spoilt answers,
SIGTERM (a dispatcher here is killed and comes back) and a cut between zones (here boxes fall silent).
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from statistics import median
from typing import Any

from ..emulator.fleet import Fault, FleetSpec, capacity, draw
from ..emulator.load import CLASSES, LoadSpec, work_of
from ..emulator.virtual import Scenario, World, summary
from ..runtime.logs import muted
from .results import Options, Result, spread, spread_out

DISPATCHERS, BOXES, ZONES = 200, 114, 6
FETCH_S = 0.65  # what a fetch takes there
LOADS = {"calm": 0.6, "roll": 0.55, "herd": 0.6, "zone": 0.55, "split": 0.55, "join": 0.55}
WAYS = ("off", "on", "one")  # weights not read, read, and one dispatcher that has all jobs


@dataclass(frozen=True, slots=True)
class Day:
    """One run."""

    name: str
    seed: int
    way: str
    seconds: float
    dispatchers: int = DISPATCHERS
    boxes: int = BOXES


def faults_of(day: Day) -> list[Fault]:
    """What goes wrong with boxes; the same for the same seed, whoever dispatches."""
    dice = random.Random(day.seed * 13 + 5)
    order = dice.sample(range(day.boxes), day.boxes)
    third = day.seconds / 3.0

    def bad(share: float, kinds: tuple[str, ...]) -> list[Fault]:
        return [
            Fault(
                dice.choice(kinds),
                box,
                dice.uniform(0.1, 0.4) * day.seconds,
                third,
                dice.uniform(0.3, 0.95) if kinds == ("fail",) else dice.uniform(2.3, 9.2),
            )
            for box in order[: max(round(share * day.boxes), 1)]
        ]

    if day.name == "roll":
        return [
            Fault("deploy", box, third + 2.0 * (n // max(day.boxes // 10, 1)), 4.0)
            for n, box in enumerate(order[: day.boxes // 2])
        ]
    if day.name == "herd":
        return bad(0.125, ("fail",)) + [
            Fault("deploy", box, third + 4.0 * (n // max(day.boxes // 10, 1)), 4.0)
            for n, box in enumerate(order[day.boxes // 8 : day.boxes // 2])
        ]
    if day.name == "zone":
        lost = [Fault("crash", box, third, 5.0) for box in range(day.boxes) if box % ZONES == 0]
        return lost + bad(0.1, ("slow",))
    if day.name == "split":
        return [Fault("hang", box, third, 6.0) for box in order[: day.boxes // 5]]
    if day.name == "join":
        new = order[day.boxes // 10 : day.boxes // 10 + round(0.6 * day.boxes)]
        return bad(0.1, ("fail",)) + [
            Fault("deploy", box, third + dice.uniform(0.0, 4.0), 3.0) for box in new
        ]
    return []


def scenario_of(day: Day) -> Scenario:
    """The load is a share of what all cores do when no time is lost to fetches."""
    fleet = FleetSpec(boxes=day.boxes, zones=ZONES, fetch_s=FETCH_S)
    rate = LOADS[day.name] * capacity(draw(fleet, day.seed)) / work_of(CLASSES)
    many = 1 if day.way == "one" else day.dispatchers
    third = day.seconds / 3.0
    crashes: list[tuple[int, float]] = []
    if many > 1 and day.name == "herd":
        crashes = [(index, third) for index in range(many) if index % 10 < 7]
    elif many > 1 and day.name == "roll":
        crashes = [(index, third + 1.5 * (index % 10)) for index in range(many)]
    return Scenario(
        fleet,
        LoadSpec(CLASSES, rate, keys=round(5.3 * day.boxes)),
        many,
        True,
        day.seconds,
        faults=faults_of(day),
        crashes=crashes,
        back_s=1.0,
        weights_s=0.76,
        weights_late_s=0.4,
        read_weights=day.way != "off",
        uneven=0.7,
    )


@muted()
def play(day: Day) -> dict[str, Any]:
    """Figures of one run, and the rules that it broke."""
    world = World(scenario_of(day), day.seed)
    world.run()
    figures = summary(world)
    sent = [s for tries in world.records.sent.values() for s in tries]
    figures["attempts"] = len(sent) / max(len(world.jobs), 1)
    figures["full"] = sum(s.never_ran and s.written for s in sent) / max(len(world.jobs), 1)
    served = sum(job.served_at > 0.0 for job in world.jobs)
    figures["late"] = (served - sum(job.in_time() for job in world.jobs)) / max(len(world.jobs), 1)
    figures["refused_share"] = figures["refused"] / max(len(world.jobs), 1)
    return {"figures": figures, "broken": world.records.broken()}


COLUMNS = {
    "worth": "worth_all",
    "proofs": "in_time_proof",
    "quotes": "in_time_quote",
    "releases": "in_time_release",
    "attempts": "attempts",
    "full": "full",
    "late": "late",
    "refused": "refused_share",
}


def experiment(options: Options, dispatchers: int = DISPATCHERS, boxes: int = BOXES) -> Result:
    """Each day and seed in all ways; the last line has worth over that of the one that has all jobs."""
    seeds = range(options.seed, options.seed + options.seeds)
    days = [
        Day(name, seed, way, options.seconds, dispatchers, boxes)
        for name in LOADS
        for seed in seeds
        for way in WAYS
    ]
    played = dict(zip(days, spread_out(play, days, options.jobs), strict=True))
    result = Result("mass")
    on: list[dict[str, float]] = []
    for name in LOADS:
        by_way = {way: [played[d]["figures"] for d in days if (d.name, d.way) == (name, way)] for way in WAYS}
        for way, figures in by_way.items():
            row: dict[str, object] = {"day": name, "weights": {"one": "one dispatcher"}.get(way, way)}
            row |= {title: str(spread(f.get(key, 0.0) for f in figures)) for title, key in COLUMNS.items()}
            result.rows.append(row)
        gains = [a["worth_all"] - b["worth_all"] for a, b in zip(by_way["on"], by_way["off"], strict=True)]
        result.notes.append(f"{name}: worth on less off, pair by pair: {spread(gains)}")
        result.figures[name] = median(
            a["worth_all"] / max(b["worth_all"], 1e-9)
            for a, b in zip(by_way["on"], by_way["one"], strict=True)
        )
        on += by_way["on"]
    broken = [(day, line) for day in days for line in played[day]["broken"]]
    result.notes += [
        f"RULE BROKEN ({day.name}, seed {day.seed}, {day.way}): {line}" for day, line in broken[:10]
    ]
    result.figures |= {
        "attempts": median(f["attempts"] for f in on),
        "late": median(f["late"] for f in on),
        "rules": float(len(broken)),
    }
    return result

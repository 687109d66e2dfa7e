"""`larchgw lab room`: the same seeded load with room held for large jobs and without."""

from __future__ import annotations

from dataclasses import dataclass, replace
from statistics import median
from typing import Any

from ..dispatcher.capacity import Planner, ReservationPolicy, ReservationSettings
from ..dispatcher.scheduling.interface import Settings
from ..emulator.box import Order
from ..emulator.fleet import FleetSpec, capacity, draw
from ..emulator.load import CLASSES, RELEASE, ClassSpec, LoadSpec, work_of
from ..emulator.virtual import Scenario, World, no_room, summary
from ..runtime.logs import muted
from .results import Options, Result, spread, spread_out

LOADS = (0.7, 0.9, 1.0, 1.2)
HARD = replace(RELEASE, slots=((1, 0.6), (2, 0.25), (4, 0.15)))
ONE = tuple(replace(c, slots=((1, 1.0),)) for c in CLASSES)
# "one" is the bound: the same work with no large job in it, so that nothing can be gained by holding.
MIXES: dict[str, tuple[ClassSpec, ...]] = {"two": CLASSES, "four": (*CLASSES[:2], HARD), "one": ONE}
KINDS = (("two", True), ("four", True), ("two", False))  # mix, and whether worth counts by work or by job


@dataclass(frozen=True, slots=True)
class Run:
    """One run: `room` None is the baseline."""

    mix: str
    load: float
    seed: int
    seconds: float
    room: ReservationSettings | None
    boxes: int = 9
    by_work: bool = True
    order: Order = Order.FIFO
    dispatchers: int = 3


def scenario_of(run: Run) -> Scenario:
    """The load is a share of what all cores do when no time is lost to fetches."""
    classes = MIXES[run.mix]
    fleet = FleetSpec(boxes=run.boxes, order=run.order)
    rate = run.load * capacity(draw(fleet, run.seed)) / work_of(classes)
    return Scenario(
        fleet, LoadSpec(classes, rate, keys=6 * run.boxes), run.dispatchers, run.by_work, run.seconds
    )


@muted()
def play(run: Run) -> dict[str, Any]:
    """Figures of one run, the rules that it broke, and what the planners did."""
    config = run.room

    def make(settings: Settings) -> ReservationPolicy:
        return Planner(settings, config) if config else no_room(settings)

    world = World(scenario_of(run), run.seed, make)
    world.run()
    planners = [d.room for d in world.dispatchers if isinstance(d.room, Planner)]
    did = {
        name: sum(getattr(p.counts, name) for p in planners)
        for name in ("made", "used", "moved", "dropped", "filled", "passed", "overdue", "refused_cap")
    }
    return {"figures": summary(world), "broken": world.records.broken(), "did": did}


def experiment(options: Options, room: ReservationSettings | None = None) -> Result:
    """All mixes and loads, each seed with holding off and on; and the bound, off alone."""
    room = room or ReservationSettings()
    seeds = range(options.seed, options.seed + options.seeds)
    runs = [
        Run(mix, load, seed, options.seconds, how, by_work=by_work)
        for mix, by_work in KINDS
        for load in LOADS
        for seed in seeds
        for how in (None, room)
    ]
    runs += [
        Run("one", load, seed, options.seconds, None, by_work=by_work)
        for by_work in (True, False)
        for load in LOADS
        for seed in seeds
    ]
    played = dict(zip(runs, spread_out(play, runs, options.jobs), strict=True))
    result = Result("room")
    ratios: dict[tuple[str, bool, float], float] = {}
    larges: dict[tuple[str, bool, float], float] = {}
    losses: dict[tuple[str, bool, float], float] = {}
    starved = 0
    for mix, by_work in (*KINDS, ("one", True), ("one", False)):
        for load in LOADS:
            here = [r for r in runs if (r.mix, r.by_work, r.load) == (mix, by_work, load)]
            off = [played[run]["figures"] for run in here if run.room is None]
            on = [played[run]["figures"] for run in here if run.room is not None]
            for how, figures in (("off", off), ("on", on)):
                if figures:
                    row: dict[str, object] = {
                        "mix": mix,
                        "worth by": "work" if by_work else "job",
                        "load": load,
                        "holding": how,
                    }
                    for title, name in COLUMNS.items():
                        row[title] = str(spread(f.get(name, 0.0) for f in figures))
                    result.rows.append(row)
            if not on:
                continue
            key = mix, by_work, load
            ratios[key] = _ratio(on, off, "worth_all")
            larges[key] = _ratio(on, off, "in_time_release_large")
            losses[key] = median(
                b["in_time_proof"] - a["in_time_proof"] for a, b in zip(on, off, strict=True)
            )
            starved += sum(a["given_up"] > b["given_up"] for a, b in zip(on, off, strict=True))
            did = [played[run]["did"] for run in here if run.room is not None]
            result.notes.append(
                f"{mix} by {'work' if by_work else 'job'} {load:g}: worth x{ratios[key]:.3f}, large releases "
                f"x{larges[key]:.3f}, proofs {-losses[key]:+.3f}; "
                + " ".join(f"{name}={sum(d[name] for d in did)}" for name in did[0])
            )
    broken = [line for run in runs for line in played[run]["broken"]]
    result.notes += [f"RULE BROKEN: {line}" for line in broken[:10]]
    busy = [key for key in ratios if key[2] in (0.9, 1.0)]
    result.figures = {
        "ratio": median(ratios[k] for k in busy),
        "large": median(larges[k] for k in busy),
        "small_loss": max(losses[k] for k in busy),
        "starved": float(starved),
        "rules": float(len(broken)),
    }
    return result


COLUMNS = {
    "worth": "worth_all",
    "proofs": "in_time_proof",
    "quotes 1": "in_time_quote_small",
    "quotes 2+": "in_time_quote_large",
    "releases 1": "in_time_release_small",
    "releases 2+": "in_time_release_large",
    "longest proof s": "longest_wait_proof",
    "given up": "given_up",
}


def _ratio(on: list[dict[str, float]], off: list[dict[str, float]], name: str) -> float:
    """The median over seeds of one figure with holding over that without, pair by pair."""
    return median(a.get(name, 0.0) / max(b.get(name, 0.0), 1e-9) for a, b in zip(on, off, strict=True))

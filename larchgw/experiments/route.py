"""`larchgw lab route`: the selection against simpler ones, over drawn deployments of model runners."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from statistics import mean

from ..routing.interface import Selection
from ..routing.selection import Selector
from .results import Options, Result, spread_out
from .route_baselines import Baseline, DesignAlone, LeastPending
from .route_draws import Deployment, draw
from .route_play import MakeSelection, RouteWorld

LOADS = (0.4, 0.8, 1.2, 1.6)  # prompt tokens asked for, kept or not, against what can be read


def _ours(zone: str, random: Random, deployment: Deployment) -> Selection:
    selector = Selector(zone, random)
    selector.configure(deployment.configuration)
    return selector


SELECTIONS: dict[str, MakeSelection] = {
    "random": lambda zone, random, deployment: Baseline(random),
    "least_pending": lambda zone, random, deployment: LeastPending(random),
    "design": lambda zone, random, deployment: DesignAlone(random),
    "ours": _ours,
}


@dataclass(frozen=True, slots=True)
class Play:
    """One run of the experiment."""

    selection: str
    load: float
    seed: int
    seconds: float


@dataclass(frozen=True, slots=True)
class Shares:
    """Figures of one run, each a share of all."""

    in_time: float
    served: float
    kept: float
    crossing: float


def play(run: Play) -> Shares:
    """Plays one run."""
    world = RouteWorld(draw(run.seed, run.load), SELECTIONS[run.selection], run.seconds)
    tally = world.run()
    kept = sum(engine.kept_tokens for engine in world.engines.values())
    read = sum(engine.read_tokens for engine in world.engines.values())
    return Shares(
        tally.in_time / max(1, tally.owed),
        tally.served / max(1, tally.owed),
        kept / max(1, kept + read),
        tally.crossings / max(1, tally.sends),
    )


def experiment(options: Options) -> Result:
    """All selections on the same draws, at each load."""
    seeds = range(options.seed, options.seed + options.seeds)
    runs = [
        Play(name, load, seed, options.seconds) for load in LOADS for name in SELECTIONS for seed in seeds
    ]
    played = dict(zip(runs, spread_out(play, runs, options.jobs), strict=True))
    result = Result("route")
    for load in LOADS:
        for name in SELECTIONS:
            shares = [played[run] for run in runs if (run.selection, run.load) == (name, load)]
            result.rows.append(
                {
                    "load": load,
                    "selection": name,
                    "in time": mean(one.in_time for one in shares),
                    "served": mean(one.served for one in shares),
                    "kept tokens": mean(one.kept for one in shares),
                    "across zones": mean(one.crossing for one in shares),
                }
            )
    for name in SELECTIONS:
        shares = [played[run] for run in runs if run.selection == name]
        result.figures[f"{name}_in_time"] = mean(one.in_time for one in shares)
        result.figures[f"{name}_kept"] = mean(one.kept for one in shares)
    return result

"""`larchgw lab NAME`: runs an experiment, and prints a table and one line of metrics."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from ..experiments.results import Options, Result, table
from .command import Command, decimal, integer, string_arguments
from .command import file as file_option
from .errors import UsageError


def _room(options: Options) -> Result:
    from ..experiments.room import experiment

    return experiment(options)


def _room_cost(options: Options) -> Result:
    from ..experiments.room_cost import experiment

    return experiment(options)


def _mass(options: Options) -> Result:
    from ..experiments.mass import experiment

    return experiment(options)


def _distribution(options: Options) -> Result:
    from ..experiments.distribution import experiment

    return experiment(options)


def _membership(options: Options) -> Result:
    from ..experiments.membership import experiment

    return experiment(options)


def _place(options: Options) -> Result:
    from ..experiments.place import experiment

    return experiment(options)


def _recovery(options: Options) -> Result:
    from ..experiments.recovery import experiment

    return experiment(options)


def _route(options: Options) -> Result:
    from ..experiments.route import experiment

    return experiment(options)


EXPERIMENTS: dict[str, Callable[[Options], Result]] = {
    "distribution": _distribution,
    "mass": _mass,
    "membership": _membership,
    "place": _place,
    "recovery": _recovery,
    "room": _room,
    "room-cost": _room_cost,
    "route": _route,
}


@string_arguments
def lab(
    name: str,
    *,
    seed: str = "1",
    seeds: str = "5",
    seconds: str = "60",
    jobs: str | None = None,
    json: str | None = None,
) -> Command:
    """Runs an experiment, in most cases a simulation; the last line of the output is NAME: figure=value ...

    Args:
        name: The experiment: distribution, mass, membership, place, recovery, room, room-cost or route.
        seed: First of the consecutive seeds.
        seeds: Number of seeds; each variant runs once per seed.
        seconds: Duration of a run, in simulated time.
        jobs: Number of parallel processes; by default, one less than the number of cores.
        json: File to which the result is written.
    """
    if name not in EXPERIMENTS:
        raise UsageError(f"lab: unknown experiment {name!r}; choose one of {', '.join(sorted(EXPERIMENTS))}")
    options = Options(integer("seed", seed), integer("seeds", seeds, 1), decimal("seconds", seconds, 1.0))
    if jobs is not None:
        options.jobs = integer("jobs", jobs, 1)
    result_file = file_option("json", json)
    return Command(lambda: _run(name, options, result_file))


def _run(name: str, options: Options, file: Path | None) -> int:
    result = EXPERIMENTS[name](options)
    for line in [*table(result.rows), *result.notes, result.last_line()]:
        print(line)
    if file:
        result.save(file, options)
    return 1 if result.figures.get("rules") else 0

"""`larchgw lab NAME`: runs an experiment, prints its table, and ends with one line of figures."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import click

from ..lab.results import Options, Result, table


def _room(options: Options) -> Result:
    from ..lab.room import experiment

    return experiment(options)


def _room_cost(options: Options) -> Result:
    from ..lab.room_cost import experiment

    return experiment(options)


def _mass(options: Options) -> Result:
    from ..lab.mass import experiment

    return experiment(options)


def _place(options: Options) -> Result:
    from ..lab.place import experiment

    return experiment(options)


EXPERIMENTS: dict[str, Callable[[Options], Result]] = {
    "mass": _mass, "place": _place, "room": _room, "room-cost": _room_cost}


@click.command()
@click.argument("name", type=click.Choice(sorted(EXPERIMENTS)))
@click.option("--seed", default=1, show_default=True, help="The first seed.")
@click.option("--seeds", default=5, show_default=True, type=click.IntRange(1), help="Runs of each kind.")
@click.option("--seconds", default=60.0, show_default=True, type=click.FloatRange(1.0),
              help="Length of a run, in the time that it plays in.")
@click.option("--jobs", type=click.IntRange(1), help="Processes at a time; all cores but one if left out.")
@click.option("--json", "file", type=click.Path(dir_okay=False, path_type=Path), help="Keeps the result.")
def lab(name: str, seed: int, seeds: int, seconds: float, jobs: int | None, file: Path | None) -> int:
    """Runs an experiment against models; the last line printed is NAME: figure=value ..."""
    options = Options(seed, seeds, seconds) if jobs is None else Options(seed, seeds, seconds, jobs)
    result = EXPERIMENTS[name](options)
    for line in [*table(result.rows), *result.notes, result.last_line()]:
        click.echo(line)
    if file:
        result.save(file, options)
    return 1 if result.figures.get("rules") else 0

"""`larchgw try`: an emulated fleet, one dispatcher and a mixed load, with nothing to configure."""

from __future__ import annotations

import asyncio
import sys
from contextlib import AbstractContextManager, nullcontext
from pathlib import Path
from typing import Any

import click

from ..emulator.trial import Outcome, Trial, TrialSpec
from ..lab.results import table


def _live() -> tuple[AbstractContextManager[Any], Any]:
    """A table that is drawn anew in place, where there is a terminal."""
    from rich.live import Live

    live = Live(refresh_per_second=4, transient=True)
    return live, live


def _picture(trial: Trial) -> Any:
    from rich.console import Group
    from rich.table import Table

    assert trial.installation is not None
    now = trial.installation.time.now()
    jobs = Table(title="jobs")
    for row in trial.outcome.by_class(now):
        if not jobs.columns:
            for name in row:
                jobs.add_column(name, justify="left" if name == "class" else "right")
        jobs.add_row(*(f"{v:.2f}" if isinstance(v, float) else str(v) for v in row.values()))
    boxes = Table(title="boxes")
    for name in ("box", "kind", "slots", "at work", "waiting", "keys", "state"):
        boxes.add_column(name)
    for name, server in trial.installation.servers.items():
        box = server.box
        listed = trial.installation.discovery.servers[name]["state"].lower()
        state = "slow" if box.slow > 1 else "cold" if box.warm() < 1 else listed
        boxes.add_row(name, box.spec.kind, str(box.spec.slots), "#" * box.used, str(len(box.waiting)),
                      str(len(box.keys)), state)
    return Group(jobs, boxes, *trial.events[-3:])


def _summary(outcome: Outcome, events: list[str]) -> None:
    if outcome.jobs:
        last = max(j.due for j in outcome.jobs if j.tries) if any(j.tries for j in outcome.jobs) else 0.0
        for line in table(outcome.by_class(last)):
            click.echo(line)
    for event in events:
        click.echo(f"- {event}")
    for line in outcome.broken[:10]:
        click.echo(f"RULE BROKEN: {line}")
    click.echo(f"try: rules_broken={len(outcome.broken)} exit={outcome.exit_status}"
               + (" interrupted=1" if outcome.interrupted else ""))


@click.command("try")
@click.option("--seconds", default=20.0, show_default=True, type=click.FloatRange(1.0), help="How long.")
@click.option("--load", default=0.6, show_default=True, type=click.FloatRange(0.05, 2.0),
              help="Share of what all cores can do.")
@click.option("--boxes", default=9, show_default=True, type=click.IntRange(1, 200))
@click.option("--seed", default=1, show_default=True)
@click.option("--faults/--no-faults", default=True, show_default=True, help="A slow box and a restart.")
@click.option("--room", type=click.Path(dir_okay=False, exists=True, path_type=Path),
              help="Hold room for large jobs, as this file says.")
@click.option("--plain", is_flag=True, help="No live table.")
def trial(seconds: float, load: float, boxes: int, seed: int, faults: bool, room: Path | None,
          plain: bool) -> int:
    """Starts an emulated fleet, one dispatcher and a mixed load on loopback, and shows what comes of it."""
    spec = TrialSpec(boxes, load, seconds, min(10.0, seconds), seed, faults, room)
    live: Any = None
    around: AbstractContextManager[Any] = nullcontext()
    if not plain and sys.stdout.isatty():
        around, live = _live()

    def show(run: Trial) -> None:
        if live is not None:
            live.update(_picture(run))

    run = Trial(spec, show)
    with around:
        try:
            outcome = asyncio.run(run.run())
        except RuntimeError as error:
            raise click.ClickException(str(error)) from error
    _summary(outcome, run.events)
    return 1 if outcome.broken or outcome.exit_status else 0

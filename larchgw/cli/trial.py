"""`larchgw try`: runs an emulated fleet and one dispatcher under mixed load, without configuration."""

from __future__ import annotations

import asyncio
import sys
from contextlib import AbstractContextManager, nullcontext
from typing import TYPE_CHECKING, Any

from ..emulator.trial import Outcome, Trial, TrialSpec
from ..experiments.results import table
from .command import Command, decimal, file, flag, integer, string_arguments
from .errors import UsageError
from .system_trial import SystemSizes, system_trial

if TYPE_CHECKING:
    from rich.console import Group


def _open_live_table() -> tuple[AbstractContextManager[Any], Any]:
    """Returns a live table that is refreshed in place on the terminal, as context manager and as display."""
    from rich.live import Live

    live = Live(refresh_per_second=4, transient=True)
    return live, live


def _render_tables(trial: Trial) -> Group:
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
        boxes.add_row(
            name,
            box.spec.kind,
            str(box.spec.slots),
            "#" * box.used,
            str(len(box.waiting)),
            str(len(box.keys)),
            state,
        )
    return Group(jobs, boxes, *trial.events[-3:])


def _print_summary(outcome: Outcome, events: list[str]) -> None:
    if outcome.jobs:
        last = max(j.due for j in outcome.jobs if j.tries) if any(j.tries for j in outcome.jobs) else 0.0
        for line in table(outcome.by_class(last)):
            print(line)
    for event in events:
        print(f"- {event}")
    for line in outcome.broken[:10]:
        print(f"RULE BROKEN: {line}")
    print(
        f"try: rules_broken={len(outcome.broken)} exit={outcome.exit_status}"
        + (" interrupted=1" if outcome.interrupted else "")
    )


@string_arguments
def trial(
    *,
    seconds: str = "20",
    load: str = "0.6",
    boxes: str = "9",
    seed: str = "1",
    faults: str | None = None,
    no_faults: str = "False",
    room: str | None = None,
    plain: str = "False",
    system: str = "False",
    edges: str = "3",
    runners: str = "6",
    models: str = "12",
    rate: str = "20",
    folder: str | None = None,
    fault: str | None = None,
    hold: str = "20",
) -> Command:
    """Starts an emulated fleet, one dispatcher and a mixed load on loopback, and shows what comes of it.

    With --system: control processes, edges, model runners, clients and an operator instead.

    Args:
        seconds: How long.
        load: Share of what all cores can do.
        boxes: Boxes in the fleet, 200 at most.
        seed: Of all that is drawn.
        faults: A slow box and a restart; with --system (off there unless given), a script of troubles.
        no_faults: None of these.
        room: Hold room for large jobs, as this file says.
        plain: No live table.
        system: The whole system, judged by its rules.
        edges: Edges (with --system).
        runners: Runners of all services (with --system).
        models: Models (with --system).
        rate: Requests a second (with --system).
        folder: Keeps settings, disks and logs of the processes there (with --system).
        fault: Plays one fault of the control side instead (with --system): cut-off, one-way, race,
            second-loss, many-changes or answers. Requests come until it is over, whatever --seconds says.
        hold: Seconds that a process is cut off, or that answers are spoilt (with --fault).
    """
    length = decimal("seconds", seconds, 1.0)
    quiet = flag("no-faults", no_faults)
    if flag("system", system):
        sizes = SystemSizes(edges, runners, models, rate, folder, fault, hold)
        return system_trial(
            length, integer("seed", seed), sizes, flag("faults", faults or False) and not quiet
        )
    with_faults = flag("faults", True if faults is None else faults) and not quiet
    spec = TrialSpec(
        integer("boxes", boxes, 1, 200),
        decimal("load", load, 0.05, 2.0),
        length,
        min(10.0, length),
        integer("seed", seed),
        with_faults,
        file("room", room, exists=True),
    )
    is_plain = flag("plain", plain)
    return Command(lambda: _run(spec, is_plain))


def _run(spec: TrialSpec, plain: bool) -> int:
    live: Any = None
    display_context: AbstractContextManager[Any] = nullcontext()
    if not plain and sys.stdout.isatty():
        display_context, live = _open_live_table()

    def show(run: Trial) -> None:
        if live is not None:
            live.update(_render_tables(run))

    run = Trial(spec, show)
    with display_context:
        try:
            outcome = asyncio.run(run.run())
        except RuntimeError as error:
            raise UsageError(str(error)) from error
    _print_summary(outcome, run.events)
    return 1 if outcome.broken or outcome.exit_status else 0

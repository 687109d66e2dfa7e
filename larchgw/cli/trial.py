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
    soak: str | None = None,
    programs: str | None = None,
) -> Command:
    """Runs an emulated fleet and one dispatcher under mixed load on loopback, and shows the results.

    With --system, runs control processes, edges, model runners, clients and an operator instead.

    Args:
        seconds: Duration of the load, in seconds.
        load: Offered load as a fraction of the capacity of all cores in the fleet.
        boxes: Number of boxes (worker machines) in the fleet, at most 200.
        seed: Seed of all random choices.
        faults: Injects faults: a slow box and the restart of another; with --system, a seeded script of
            faults, which is off by default.
        no_faults: Injects no faults.
        room: File with the settings for reserving capacity for large jobs (TOML).
        plain: Shows no live table.
        system: Runs the whole system and checks its rules.
        edges: Number of edges (with --system).
        runners: Number of runners of all services together (with --system).
        models: Number of models (with --system).
        rate: Requests per second (with --system).
        folder: New folder in which settings, disks and logs of the processes are kept (with --system).
        fault: Injects one fault scenario instead (with --system): cut-off, one-way, race, second-loss,
            many-changes or answers. Requests are sent until it is over, regardless of --seconds.
        soak: Disturbs processes, runners and the configuration in series that overlap, while clients keep
            using open connections (with --system). With a value only these parts, separated by commas:
            edges, core, operator, runners, answers; and, left out without a value: restarts, long-prompts,
            impatient-clients (`all` names these and all before), client-repeats (the protocol forbids it).
        programs: Checkout whose programs the processes run, another one than this (with --system).
        hold: Seconds for which a process is cut off, or responses of runners are disturbed (with --fault).
    """
    length = decimal("seconds", seconds, 1.0)
    quiet = flag("no-faults", no_faults)
    if flag("system", system):
        sizes = SystemSizes(edges, runners, models, rate, folder, fault, hold, soak, programs)
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

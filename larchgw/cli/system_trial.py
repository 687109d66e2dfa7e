"""`larchgw try --system`: runs all processes of the system on loopback and checks its rules."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Coroutine
from dataclasses import dataclass, replace
from pathlib import Path
from typing import TYPE_CHECKING, Any, TypeVar

from ..experiments.results import table
from .command import Command, decimal, integer
from .errors import UsageError

if TYPE_CHECKING:
    from ..emulator.system.trial import SystemSpec

MAX_SHOWN_BREACHES = 20
FAULT_CONTROL_PROCESSES = 5  # number of control processes in a trial of a named fault
PACKAGE = "larchgw"  # folder of the program in a checkout
ALL_SOAK_PARTS = "all"  # but those that break the protocol
_NO_VALUE = "True"  # what Fire passes for an option without a value
TERMINATED = 143  # exit status, 128 + SIGTERM
Result = TypeVar("Result")


@dataclass(frozen=True, slots=True)
class SystemSizes:
    """Unparsed values of the options of `try` that only apply to --system."""

    edges: str
    runners: str
    models: str
    rate: str
    folder: str | None
    fault: str | None = None
    hold: str = "20"
    soak: str | None = None
    programs: str | None = None


def system_trial(seconds: float, seed: int, sizes: SystemSizes, faults: bool) -> Command:
    """Builds the command of a trial of the whole system. Raises UsageError."""
    from ..emulator.system.site import Site
    from ..emulator.system.soak import LONG_PROMPTS
    from ..emulator.system.trial import SystemSpec

    site = Site(
        edges=integer("edges", sizes.edges, 1, 60),
        runners=integer("runners", sizes.runners, 3, 100),
        models=integer("models", sizes.models, 1, 200),
        rate=decimal("rate", sizes.rate, 0.1, 1000.0),
    )
    if sizes.folder == _NO_VALUE:
        raise UsageError("--folder: needs the name of a new folder")
    folder = Path(sizes.folder).resolve() if sizes.folder else None
    parts = _soak_parts(sizes, faults)
    if LONG_PROMPTS in parts:
        site = site.with_long_prompts()
    spec = SystemSpec(seconds, seed, site, faults, parts, folder=folder, programs=_programs(sizes))
    if sizes.fault is not None:
        spec = _with_fault(spec, sizes)
    return Command(lambda: _run(spec))


def _soak_parts(sizes: SystemSizes, faults: bool) -> tuple[str, ...]:
    """Returns the parts of the soak, none without --soak. Raises UsageError."""
    from ..emulator.system.soak import ALL_PARTS, CLIENT_REPEATS, PARTS

    if sizes.soak is None:
        return ()
    if faults or sizes.fault is not None:
        raise UsageError("--soak: cannot be combined with --faults or --fault")
    named = {_NO_VALUE: PARTS, ALL_SOAK_PARTS: ALL_PARTS}
    parts = named.get(sizes.soak, tuple(sizes.soak.split(",")))
    known = (*ALL_PARTS, CLIENT_REPEATS)
    if set(parts) - set(known):
        raise UsageError(f"--soak: name some of {', '.join((*known, ALL_SOAK_PARTS))}, not {sizes.soak!r}")
    return parts


def _programs(sizes: SystemSizes) -> Path:
    """Returns the checkout whose programs are played. Raises UsageError."""
    from ..emulator.system.rig import ROOT

    if sizes.programs is None:
        return ROOT
    folder = Path(sizes.programs).resolve()
    if not (folder / PACKAGE).is_dir():
        raise UsageError(f"--programs: {folder} holds no {PACKAGE}; name a checkout's folder")
    return folder


def _with_fault(spec: SystemSpec, sizes: SystemSizes) -> SystemSpec:
    """Returns the spec of a trial that injects one named fault. Raises UsageError."""
    from ..emulator.system.plays import FAULTS, Lengths

    if sizes.fault not in FAULTS:
        raise UsageError(f"--fault: name one of {', '.join(FAULTS)}, not {sizes.fault!r}")
    if spec.faults:
        raise UsageError("--fault: cannot be combined with --faults")
    lengths = Lengths(hold_s=decimal("hold", sizes.hold, 1.0, 300.0))
    site = replace(spec.site, controls=FAULT_CONTROL_PROCESSES)
    return replace(spec, site=site, fault=sizes.fault, lengths=lengths)


async def _cancelled_on_sigterm(work: Coroutine[Any, Any, Result]) -> Result:
    """Awaits `work`; SIGTERM cancels it, so that it can stop the processes that it started."""
    task = asyncio.ensure_future(work)
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await task


def _run(spec: object) -> int:
    from ..emulator.system.network import NoFreeNetwork
    from ..emulator.system.trial import SystemSpec, TrialError, run

    assert isinstance(spec, SystemSpec)
    try:
        outcome = asyncio.run(_cancelled_on_sigterm(run(spec)))
    except asyncio.CancelledError:
        return TERMINATED
    except (TrialError, NoFreeNetwork) as error:
        raise UsageError(str(error)) from error
    for line in [*table(outcome.rows()), *(f"- {event}" for event in outcome.events)]:
        print(line)
    for breach in outcome.broken[:MAX_SHOWN_BREACHES]:
        print(f"RULE BROKEN: {breach.rule} at {breach.at:.3f}: {breach.what}")
    figures = outcome.figures()
    print("try: " + " ".join(f"{name}={value}" for name, value in figures.items()))
    return 1 if figures["broken"] or figures["exits"] else 0

"""The named faults of `larchgw try --system --fault NAME` on real processes, each played shortly.

Nothing here asserts a speed: conditions are waited for, and only the judge's verdict counts.
"""

from __future__ import annotations

import asyncio
import math
import subprocess
import sys
from pathlib import Path

import pytest

from larchgw.cli.errors import UsageError
from larchgw.cli.main import call
from larchgw.emulator.system.plays import FAULTS, Lengths
from larchgw.emulator.system.site import Site
from larchgw.emulator.system.trial import SystemSpec, run
from tests.support.stand_ins import ROOT, until

SHORT = Lengths(hold_s=4.0, rounds=5, changes=200, rest_s=1.0)
SITE = Site(controls=5, edges=3, runners=4, models=6, rate=8.0)


@pytest.mark.parametrize("fault", FAULTS)
def test_no_rule_is_broken_under_the_fault(fault: str, tmp_path: Path) -> None:
    outcome = asyncio.run(run(SystemSpec(site=SITE, fault=fault, lengths=SHORT, folder=tmp_path)))
    assert outcome.broken == [], outcome.events
    assert outcome.statuses == [0] * (SITE.controls + SITE.edges)
    acknowledged = [one for one in outcome.records.configurations if one.acknowledged_at < math.inf]
    assert acknowledged
    assert outcome.records.reads
    assert outcome.records.operator_answers
    assert outcome.records.troubles
    assert outcome.total("served") > 0


@pytest.mark.parametrize(
    ("options", "complaint"),
    [
        (["--fault", "earthquake"], "cut-off"),
        (["--fault", "race", "--faults"], "--faults"),
        (["--fault", "cut-off", "--hold", "0"], "--hold"),
    ],
)
def test_faults_that_cannot_be_played_are_refused_before_anything_starts(
    options: list[str], complaint: str
) -> None:
    with pytest.raises(UsageError, match=complaint):
        call(["try", "--system", *options])


def test_processes_under_links_end_with_the_trial_that_started_them(tmp_path: Path) -> None:
    command = [
        sys.executable,
        "-m",
        "larchgw",
        "try",
        "--system",
        "--fault",
        "cut-off",
        "--folder",
        str(tmp_path),
    ]
    trial = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    try:
        logs = [tmp_path / f"control-{number}" / "log" for number in range(1, 6)]
        until(lambda: all(log.exists() and "event=control.started" in log.read_text() for log in logs))
    finally:
        trial.kill()
        trial.wait()
    until(lambda: all("event=process.stopping" in log.read_text() for log in logs))

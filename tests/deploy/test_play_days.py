"""The script that plays a folder of days, on a stand-in for the bench."""

from __future__ import annotations

import importlib.machinery
import importlib.util
import json
import sys
from pathlib import Path
from types import ModuleType
from typing import Any

import pytest

from tests.support.stand_ins import ROOT

PRINTED = """built in 0.2 s; 32578 lines in 330 files
day                  own/srv  score  worth served refused failed  weakest part
some-day                9/12   0.85  0.848  0.930   0.000  0.025  worst windows 0.76; prices 0.047
"""
REPORT = {"served": 0.93, "refused": 0.0, "failed": 0.025, "breaks": {}, "fault": None, "short": []}
BENCH = """#!{python}
import pathlib, sys
arguments = dict(zip(sys.argv[4::2], sys.argv[5::2]))
day = pathlib.Path(sys.argv[3]).stem
with open({calls!r}, "a") as calls:
    print(*sys.argv[1:], file=calls)
if day == "closed":
    sys.exit("fleetbench: idle_race: contract pool is not open")
print({printed!r})
pathlib.Path(arguments["--report"]).write_text({report!r})
"""


@pytest.fixture
def script() -> ModuleType:
    path = str(ROOT / "deploy/days/play")
    spec = importlib.util.spec_from_loader("play", importlib.machinery.SourceFileLoader("play", path))
    assert spec is not None
    assert spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    sys.modules["play"] = module
    spec.loader.exec_module(module)
    return module


class Folder:
    """Days, two sites and a bench that writes the same report for each day."""

    def __init__(self, path: Path, days: list[str], report: dict[str, Any] = REPORT) -> None:
        self.days = path / "days"
        self.days.mkdir()
        for day in days:
            (self.days / f"{day}.toml").write_text("")
        self.sites = [path / "one.toml", path / "two.toml"]
        for site in self.sites:
            site.write_text("")
        self.calls = path / "calls"
        self.bench = path / "bench"
        self.bench.write_text(
            BENCH.format(
                python=sys.executable, calls=str(self.calls), printed=PRINTED, report=json.dumps(report)
            )
        )
        self.bench.chmod(0o755)
        self.keep = path / "keep"

    def arguments(self, *more: str) -> list[str]:
        return [
            str(self.days),
            *map(str, self.sites),
            "--bench",
            str(self.bench),
            "--keep",
            str(self.keep),
            "--jobs",
            "2",
            *more,
        ]


def test_each_day_is_played_on_each_site(
    script: ModuleType, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    folder = Folder(tmp_path, ["a", "b"])
    assert script.main(folder.arguments("--seed", "7", "--why", "a reason")) == 0
    lines = capsys.readouterr().out.splitlines()
    assert lines[2] == "| a | one | 7 | 0.85 | 0.930 | 0.000 | 0.025 | none | kept |"
    assert [line.split(" | ")[:2] for line in lines[2:6]] == [
        ["| a", "one"],
        ["| a", "two"],
        ["| b", "one"],
        ["| b", "two"],
    ]
    assert lines[-1] == "days=4 0 with a rule broken, 0 with a fault, 0 short of the gate, 0 not played"
    calls = folder.calls.read_text().splitlines()
    assert len(calls) == 4
    assert all(call.startswith("run ") and "--seed 7 --jobs 1" in call for call in calls)
    assert all(call.endswith("--why a reason") for call in calls)


@pytest.mark.parametrize(
    ("change", "cells"),
    [
        ({"breaks": {"TWICE": 2, "LOST": 1}}, "| LOST 1, TWICE 2 | kept |"),
        ({"fault": "a process ended"}, "| fault: a process ended | kept |"),
        (
            {"short": ["0.3 of the worth owed was earned", "one more"]},
            "| none | 0.3 of the worth owed was earned; one more |",
        ),
    ],
)
def test_a_broken_rule_a_fault_or_a_missed_gate_is_told_and_fails(
    script: ModuleType, tmp_path: Path, capsys: pytest.CaptureFixture[str], change: dict[str, Any], cells: str
) -> None:
    folder = Folder(tmp_path, ["a"], {**REPORT, **change})
    assert script.main(folder.arguments()) == 1
    assert capsys.readouterr().out.splitlines()[2].endswith(cells)


def test_a_day_without_a_figure_is_told_and_fails(
    script: ModuleType, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    folder = Folder(tmp_path, ["closed"])
    assert script.main(folder.arguments()) == 1
    lines = capsys.readouterr().out.splitlines()
    assert lines[2].endswith("| not played | fleetbench: idle_race: contract pool is not open |")
    assert lines[-1].endswith("2 not played")


def test_a_report_that_lacks_a_figure_does_not_pass(script: ModuleType) -> None:
    incomplete = {key: value for key, value in REPORT.items() if key != "breaks"}
    with pytest.raises(KeyError):
        script.read_result(incomplete, PRINTED)


def test_a_day_that_was_played_is_not_played_again(script: ModuleType, tmp_path: Path) -> None:
    folder = Folder(tmp_path, ["a"])
    script.main(folder.arguments())
    assert script.main(folder.arguments()) == 0
    assert len(folder.calls.read_text().splitlines()) == 2
    script.main(folder.arguments("--seed", "2"))
    assert len(folder.calls.read_text().splitlines()) == 4


def test_a_score_is_read_from_the_row_of_the_day(script: ModuleType) -> None:
    assert script.find_score(PRINTED) == 0.85
    assert script.find_score(PRINTED.replace(" 0.85 ", " -0.05 ")) == -0.05
    assert script.find_score("fleetbench: no such day") is None


@pytest.mark.parametrize("lacking", ["days", "site"])
def test_a_wrong_call_is_told(
    script: ModuleType, tmp_path: Path, capsys: pytest.CaptureFixture[str], lacking: str
) -> None:
    folder = Folder(tmp_path, [] if lacking == "days" else ["a"])
    if lacking == "site":
        folder.sites[0].unlink()
    assert script.main(folder.arguments()) == 2
    assert "play: no " in capsys.readouterr().err

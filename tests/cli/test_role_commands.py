"""Commands for roles: minimal imports at start, no work after usage errors, and checks of files."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from larchgw.cli import main
from larchgw.cli.check import faults_of
from larchgw.cli.errors import UsageError
from larchgw.cli.explore import EXPLORATIONS
from larchgw.cli.lab import EXPERIMENTS
from larchgw.cli.main import call
from larchgw.dispatcher import daemon
from tests.support.configurations import EXAMPLE, example, with_value
from tests.support.stand_ins import PATIENCE, ROOT

SETTINGS: dict[str, Any] = {
    "node_name": "core-1",
    "ip": "10.1.0.37",
    "zone": "a",
    "serves": ["control"],
    "listen": {"control": "10.1.0.37:8146"},
    "spare_ports": [7660, 7675],
    "seed_list": ["10.1.0.37:8146"],
    "data_dir": "/data",
    "time_limits": {"ack_ms": 4000, "fenced": True},
    "later": "",
}

# Runs a role with a stub module that reports the loaded modules and whether SIGHUP is ignored.
ROLE = """
import importlib.abc, json, runpy, signal, sys, types
role = sys.argv[1]
signal.signal(signal.SIGHUP, signal.SIG_DFL)  # whoever runs the tests may have it ignored (nohup)
def run():
    ignored = signal.getsignal(signal.SIGHUP) is signal.SIG_IGN
    print(json.dumps({"ignored": ignored, "before": before, "loaded": sorted(sys.modules)}))
    return 7
before = []
class Watch(importlib.abc.MetaPathFinder):
    def find_spec(self, name, path, target=None):
        if signal.getsignal(signal.SIGHUP) is not signal.SIG_IGN:
            before.append(name)
sys.meta_path.insert(0, Watch())
stand_in = types.ModuleType(f"larchgw.{role}.main")
stand_in.run = run
sys.modules[stand_in.__name__] = stand_in
runpy.run_module("larchgw", run_name="__main__", alter_sys=True)
"""


def write(path: Path, value: object) -> str:
    path.write_text(json.dumps(value))
    return str(path)


@pytest.mark.parametrize("role", ["edge", "control"])
def test_a_role_starts_without_loading_the_command_line_and_ignores_sighup(role: str) -> None:
    done = subprocess.run(
        [sys.executable, "-c", ROLE, role], cwd=ROOT, text=True, capture_output=True, timeout=3 * PATIENCE
    )
    report = json.loads(done.stdout)
    assert done.returncode == 7
    assert report["ignored"]
    excluded = {
        "click",
        "fire",
        "rich",
        "msgspec",
        "larchgw.cli",
        "larchgw.experiments",
        "larchgw.emulator",
        "larchgw.dispatcher.scheduling.scheduler",
        "larchgw.dispatcher.daemon",
    }
    assert not excluded & set(report["loaded"])
    assert set(report["before"]) - {"runpy", "pkgutil"} == {"larchgw", "larchgw.__main__"}


def test_a_role_can_be_run_through_the_command_line(monkeypatch: pytest.MonkeyPatch) -> None:
    called: list[str] = []
    monkeypatch.setattr(main, "run_role", lambda role: called.append(role) or 3)
    assert (call(["edge"]), call(["control"]), called) == (3, 3, ["edge", "control"])


@pytest.mark.parametrize(
    ("arguments", "word"),
    [
        (["serve", "x.toml"], "x.toml"),
        (["serve", "--rom", "x"], "--rom"),
        (["serve", "--room"], "--room"),
        (["serve", "__doc__"], "__doc__"),
        (["edge", "x"], "x"),
        (["control", "--port", "1"], "--port"),
        (["lab", "room", "--sed", "3"], "--sed"),
        (["lab", "room", "room"], "room"),
        (["lab"], "name"),
        (["lab", "room", "--seeds", "0"], "--seeds"),
        (["lab", "room", "--seeds", "x"], "--seeds"),
        (["lab", "room", "--seconds", "nan"], "--seconds"),
        (["lab", "room", "--json", "/"], "--json"),
        (["try", "--load", "3"], "--load"),
        (["try", "--boxes", "201"], "--boxes"),
        (["try", "--plain=1"], "--plain"),
        (["try", "--room", "/nowhere.toml"], "/nowhere.toml"),
        (["check"], "file"),
        (["settings"], "file"),
        (["settings", "a", "b"], "b"),
        (["--port", "1"], "--port"),
        (["--room", "check", "check", "x"], "check"),
    ],
)
def test_a_usage_error_does_no_work(arguments: list[str], word: str, monkeypatch: pytest.MonkeyPatch) -> None:
    def work(*_: object) -> int:
        raise AssertionError("it has begun")

    monkeypatch.setattr(daemon, "serve", work)
    monkeypatch.setattr(main, "run_role", work)
    monkeypatch.setitem(EXPERIMENTS, "room", work)
    monkeypatch.setattr("larchgw.cli.trial.Trial", work)
    with pytest.raises(UsageError) as caught:
        call(arguments)
    assert word in str(caught.value)
    assert "\n" not in str(caught.value)


def test_options_without_a_sub_command_are_passed_to_serve(monkeypatch: pytest.MonkeyPatch) -> None:
    seen: list[tuple[object, object]] = []
    monkeypatch.setattr(daemon, "serve", lambda fronts, room: seen.append((fronts, room)) or 5)
    room = str(ROOT / "deploy/room.toml")
    assert [call(["--room", room]), call([f"--room={room}"]), call(["serve", "--room", room])] == [5, 5, 5]
    assert call(["serve"]) == 5
    assert [fronts for fronts, _ in seen] == [None] * 4
    assert [held is None for _, held in seen] == [False, False, False, True]


def test_options_are_passed_to_an_experiment_and_broken_rules_set_the_exit_status(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    from larchgw.experiments.results import Options, Result

    seen: list[Options] = []
    monkeypatch.setitem(
        EXPERIMENTS, "mass", lambda options: seen.append(options) or Result("mass", figures={"rules": 1.0})
    )
    assert call(["lab", "mass", "--seed", "4", "--seeds=2", "--seconds", "3.5", "--jobs", "2"]) == 1
    assert seen == [Options(4, 2, 3.5, 2)]


@pytest.mark.parametrize("arguments", [["--help"], ["lab", "--help"], ["check", "-h"], ["try", "--help"]])
def test_help_is_printed_and_does_no_work(arguments: list[str], capsys: pytest.CaptureFixture[str]) -> None:
    assert call(arguments) == 0
    printed = capsys.readouterr().out
    assert "SYNOPSIS" in printed
    assert "FIRE" not in printed


def test_check_reports_invalid_items_of_an_operators_configuration(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    raw = with_value(with_value(EXAMPLE, "routes.0.kind", "batch"), "routes.2.deadline_ms", 0)
    path = write(tmp_path / "c.json", raw)
    assert call(["check", path]) == 2
    lines = capsys.readouterr().out.splitlines()
    assert [line.split(": ")[:2] for line in lines] == [
        [path, "routes[0].kind"],
        [path, "routes[2].deadline_ms"],
    ]
    assert call(["check", write(tmp_path / "c.json", example())]) == 0


@pytest.mark.parametrize(
    "order", [["--configuration", "FILE"], ["FILE", "--configuration"], ["--configuration=FILE"]]
)
def test_a_file_without_known_fields_is_checked_as_a_configuration_on_request(
    order: list[str], tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = write(tmp_path / "anything", {})
    assert call(["check", *(word.replace("FILE", path) for word in order)]) == 2
    assert f"{path}: config_version: is missing" in capsys.readouterr().out


def test_an_unreadable_file_is_reported(tmp_path: Path) -> None:
    missing = tmp_path / "none.json"
    assert [str(fault) for fault in faults_of(missing, True)] == [
        f"{missing}: cannot read it: No such file or directory"
    ]
    assert faults_of(missing)
    assert faults_of(tmp_path / "none.toml")


def test_the_settings_of_a_process_are_checked(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = write(tmp_path / "local.json", SETTINGS)
    assert (call(["settings", path]), call(["check", path]), capsys.readouterr().out) == (0, 0, "")
    path = write(tmp_path / "local.json", SETTINGS | {"spare_ports": [1]})
    assert (call(["settings", path]), call(["check", path])) == (2, 2)
    assert capsys.readouterr().out.count(f"{path}: spare_ports: ") == 2
    assert call(["settings", str(tmp_path / "none")]) == 2


def test_a_file_name_that_looks_like_a_number_is_accepted(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.chdir(tmp_path)
    assert call(["check", "1e3"]) == 2
    assert capsys.readouterr().out.startswith("1e3: ")


def test_an_unknown_exploration_is_rejected_with_the_list_of_known_ones():
    with pytest.raises(UsageError, match="no part 'nothing'; there are replication"):
        call(["explore", "nothing"])


@pytest.mark.parametrize("part", EXPLORATIONS)
def test_an_exploration_that_finds_an_error_exits_with_status_1(monkeypatch, part):
    asked = []
    monkeypatch.setattr(f"{EXPLORATIONS[part]}.main", lambda *called: asked.append(called) or 1)
    assert call(["explore", part, "--seconds", "5", "--seed", "7"]) == 1
    assert asked == [(5.0, 7)]

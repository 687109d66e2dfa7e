"""The command line: accepted and rejected arguments, and the form of error messages."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from larchgw.dispatcher.config.settings_file import load_room, read
from tests.support.stand_ins import PATIENCE, ROOT, settings


def larchgw(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "larchgw", *arguments],
        cwd=ROOT,
        text=True,
        capture_output=True,
        timeout=3 * PATIENCE,
    )


def test_check_reports_every_error_of_a_file_and_the_closest_known_name(tmp_path: Path) -> None:
    path = tmp_path / "bad.toml"
    path.write_text(
        '[gearman]\nlistn = "127.0.0.1:1"\nremember_s = "long"\n[rom]\n[room]\nbox_share = 0.5\n'
        "sample = 1.5\n[ops]\nlisten = 'nowhere'\n"
    )
    done = larchgw("check", str(path))
    lines = done.stdout.splitlines()
    assert done.returncode == 2
    assert all(line.startswith(f"{path}: ") for line in lines)
    for field, word in (
        ("gearman.listn", "listen?"),
        ("gearman.remember_s", "float"),
        ("gearman.listen", "missing"),
        ("rom", "room?"),
        ("room.box_share", "boxes_share?"),
        ("room.sample", "int"),
        ("ops.listen", "host:port"),
    ):
        assert any(f": {field}: " in line and word in line for line in lines), field


def test_check_accepts_the_shipped_files_and_those_of_the_platform(tmp_path: Path) -> None:
    config = {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": settings()}
    (tmp_path / "c.json").write_text(json.dumps(config))
    done = larchgw("check", "deploy/fronts.toml", "deploy/room.toml", str(tmp_path / "c.json"))
    assert (done.returncode, done.stdout) == (0, "")
    (tmp_path / "c.json").write_text(json.dumps(config | {"seed": "?"}))
    done = larchgw("check", str(tmp_path / "c.json"))
    assert done.returncode == 2
    assert ": seed: " in done.stdout


@pytest.mark.parametrize(
    ("text", "field"),
    [
        ("boxes_share = 0", "boxes_share"),
        ("certainty = 1.5", "certainty"),
        ("smallest = 1", "smallest"),
        ("margin = -1", "margin"),
        ("most = 0", "most"),
        ("favour = 0", "favour"),
        ("replan = 0", "replan"),
    ],
)
def test_a_number_out_of_range_is_reported(tmp_path: Path, text: str, field: str) -> None:
    path = tmp_path / "room.toml"
    path.write_text(f"[room]\n{text}\n")
    found, faults = read(path)
    assert not found
    assert [f.field for f in faults] == [f"room.{field}"]
    path.write_text("")
    assert load_room(path).smallest == 2.0


@pytest.mark.parametrize(
    ("arguments", "word"),
    [
        (["nosuch"], "nosuch"),
        (["serve", "--room", "/nowhere.toml"], "/nowhere.toml"),
        (["lab", "nosuch"], "nosuch"),
        (["--room", "x.toml", "check", "x.toml"], "--room"),
    ],
)
def test_a_usage_error_prints_one_line_and_exits_with_status_2(arguments: list[str], word: str) -> None:
    done = larchgw(*arguments)
    assert done.returncode == 2
    assert done.stderr.count("\n") == 1
    assert word in done.stderr


def test_without_arguments_nothing_of_the_command_line_is_loaded() -> None:
    excluded = ("click", "fire", "msgspec", "larchgw.cli", "larchgw.emulator")
    script = f"import sys, larchgw.dispatcher.daemon; print([m for m in {excluded} if m in sys.modules])"
    done = subprocess.run([sys.executable, "-c", script], cwd=ROOT, text=True, capture_output=True)
    assert done.stdout.strip() == "[]", done.stderr


def test_the_room_experiment_ends_with_a_line_of_metrics(tmp_path: Path) -> None:
    done = larchgw(
        "lab", "room", "--seeds", "1", "--seconds", "2", "--jobs", "2", "--json", str(tmp_path / "r.json")
    )
    last = done.stdout.splitlines()[-1]
    assert done.returncode == 0
    assert last.startswith("room: ratio=")
    assert "starved=" in last
    assert json.loads((tmp_path / "r.json").read_text())["figures"]["rules"] == 0

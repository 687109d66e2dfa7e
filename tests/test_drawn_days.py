"""The days that deploy/days/draw.py writes."""

from __future__ import annotations

import importlib.util
import tomllib
from pathlib import Path
from types import ModuleType
from typing import Any

SCRIPT = Path(__file__).parent.parent / "deploy" / "days" / "draw.py"
SEEDS = range(1, 4)


def script() -> ModuleType:
    spec = importlib.util.spec_from_file_location("draw", SCRIPT)
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def days(seed: int, folder: Path) -> list[dict[str, Any]]:
    folder.mkdir()
    script().main(seed, folder)
    return [tomllib.loads(file.read_text())["day"][0] for file in sorted(folder.iterdir())]


def test_no_variant_of_a_trouble_of_the_core_is_left_out(tmp_path: Path) -> None:
    wanted = tomllib.loads("all = [" + ",".join(f"{{ {entry} }}" for entry in script().CORE) + "]")["all"]
    for seed in SEEDS:
        played = [{key: value for key, value in entry.items() if key != "at"}
                  for day in days(seed, tmp_path / str(seed)) for entry in day["plan"] + day["faults"]]
        assert [entry for entry in wanted if entry not in played] == []


def test_troubles_meet_changes_of_the_configuration_and_end_in_a_final_fault(tmp_path: Path) -> None:
    for day in days(1, tmp_path / "days"):
        assert any(entry["kind"] == "config_storm" for entry in day["plan"])
        assert len(day["plan"]) + len(day["faults"]) == 13
        assert day["closing"]["kind"] in ("power_off_all", "wipe_after_ack", "kill_all")


def test_notice_given_or_not_decides_whether_work_counts_as_planned() -> None:
    draw = script()
    assert draw.is_planned('kind = "scale_in", share = 0.3, x = 2.0, how = ""')
    assert not draw.is_planned('kind = "scale_in", share = 0.3, x = 2.0, how = "spot"')
    assert not draw.is_planned('kind = "node_kill", on = "core", count = 1, how = "leader"')


def test_the_same_seed_writes_the_same_days(tmp_path: Path) -> None:
    assert days(7, tmp_path / "one") == days(7, tmp_path / "two")

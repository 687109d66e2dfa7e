"""The days that deploy/days/draw.py writes."""

from __future__ import annotations

import importlib.util
import sys
import tomllib
from pathlib import Path
from types import ModuleType
from typing import Any

import pytest

SCRIPT = Path(__file__).parents[2] / "deploy" / "days" / "draw.py"
SEEDS = range(1, 4)


GROUPS = ("mixed", "cut-off", "races", "second-loss", "dense", "pairs", "long", "answers", "answers-of-pools")
FAULTS_OF_POOLS = ("idle_race", "srv_lying_health", "srv_flap")  # not every site has the contracts for these


def script() -> ModuleType:
    if str(SCRIPT.parent) not in sys.path:
        sys.path.append(str(SCRIPT.parent))
    spec = importlib.util.spec_from_file_location("draw", SCRIPT)
    assert spec is not None
    assert spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    sys.modules["draw"] = module
    spec.loader.exec_module(module)
    return module


def days(seed: int, folder: Path, group: str = "mixed") -> list[dict[str, Any]]:
    folder.mkdir()
    script().main(seed, folder, group)
    return [tomllib.loads(file.read_text())["day"][0] for file in sorted(folder.iterdir())]


def entries(deck: list[str]) -> list[dict[str, Any]]:
    """The entries of a deck, read as the bench reads them."""
    tables = ",".join(f"{{ {entry} }}" for entry in deck)
    found: list[dict[str, Any]] = tomllib.loads(f"all = [{tables}]")["all"]
    return found


def played_on(written: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """All entries of some days, without their times."""
    return [
        {key: value for key, value in entry.items() if key != "at"}
        for day in written
        for entry in day["plan"] + day["faults"]
    ]


def test_no_variant_of_a_trouble_of_the_core_is_left_out(tmp_path: Path) -> None:
    wanted = entries(script().GROUPS["mixed"].main)
    for seed in SEEDS:
        played = played_on(days(seed, tmp_path / str(seed)))
        assert [entry for entry in wanted if entry not in played] == []


@pytest.mark.parametrize("group", GROUPS)
def test_no_variant_of_a_group_is_left_out(tmp_path: Path, group: str) -> None:
    drawn = script().GROUPS[group]
    played = played_on(days(5, tmp_path / "days", group))
    wanted = drawn.main + list(drawn.always) + (drawn.beside if group != "mixed" else [])
    assert [entry for entry in entries(wanted) if entry not in played] == []


@pytest.mark.parametrize("group", GROUPS)
def test_the_days_of_a_group_say_what_the_bench_needs(tmp_path: Path, group: str) -> None:
    written = days(1, tmp_path / "days", group)
    names = {day["name"] for day in written}
    assert len(names) == len(written)
    for day in written:
        assert max(entry["at"] for entry in day["plan"] + day["faults"]) < day["length_s"]
        assert day["closing"]["kind"] in ("power_off_all", "wipe_after_ack", "kill_all")


def test_the_groups_are_those_that_are_tested() -> None:
    assert set(script().GROUPS) == set(GROUPS)


def test_only_the_group_for_pools_needs_their_contracts() -> None:
    for name, group in script().GROUPS.items():
        kinds = {entry["kind"] for entry in entries(group.main + group.beside)}
        assert (not kinds.isdisjoint(FAULTS_OF_POOLS)) == (name == "answers-of-pools")


def test_cuts_of_the_group_for_cuts_last_twenty_seconds() -> None:
    cuts = [entry for entry in entries(script().GROUPS["cut-off"].main) if entry["kind"] == "core_cut"]
    assert {cut["for_s"] for cut in cuts} == {20.0}
    words = {word for cut in cuts for word in cut["how"].split()}
    assert {"all", "near", "oldest", "one_way", "seeds", "both", "lure", "turn", "leader", "reader"} <= words


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

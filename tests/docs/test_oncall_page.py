"""docs/oncall.md names every event that the system's processes can log, at each level, and no others."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path

from tests.support.stand_ins import ROOT

PACKAGES = (
    "control",
    "edge",
    "replication",
    "membership",
    "distribution",
    "runner_directory",
    "placement",
    "storage",
    "rpc",
    "runtime",
    "routing",
    "configuration",
)
LEVELS = {
    "info": "info",
    "warning": "warning",
    "error": "error",
    "exception": "error",
    "critical": "error",
    "log": "info",
}
ROW = re.compile(r"^\| `(.+)` \((info|warning|error)\) \| .+ \| .+ \|$", re.MULTILINE)
EVENT = re.compile(r"[a-z_]+\.[a-z_]+")


def calls(path: Path) -> Iterator[ast.Call]:
    """Calls that log at one of LEVELS."""
    for found in ast.walk(ast.parse(path.read_text())):
        if (
            isinstance(found, ast.Call)
            and isinstance(found.func, ast.Attribute)
            and isinstance(found.func.value, ast.Name)
            and found.func.value.id == "log"
            and found.func.attr in LEVELS
        ):
            yield found


def logged() -> dict[tuple[str, str], str]:
    """(message, level) -> where."""
    found = {}
    for package in PACKAGES:
        for path in (ROOT / "larchgw" / package).rglob("*.py"):
            for call in calls(path):
                assert isinstance(call.func, ast.Attribute)
                message = call.args[1 if call.func.attr == "log" else 0]
                where = f"{path.name}:{call.lineno}"
                assert isinstance(message, ast.Constant), f"{where}: make the event a literal"
                found[str(message.value), LEVELS[call.func.attr]] = where
    return found


def documented() -> set[tuple[str, str]]:
    section = (ROOT / "docs/oncall.md").read_text().partition("\n## The system\n")[2]
    return {(message, level) for message, level in ROW.findall(section.partition("\n## ")[0])}


def test_whoever_is_on_call_finds_every_event_with_what_to_do() -> None:
    lacking = {where: key for key, where in logged().items() if key not in documented()}
    assert not lacking, f"add to docs/oncall.md, section The system: {lacking}"


def test_no_line_is_explained_that_cannot_come() -> None:
    assert documented() - logged().keys() == set()


def test_each_event_names_its_subject_and_what_happened() -> None:
    assert [where for (event, _), where in logged().items() if not EVENT.fullmatch(event)] == []

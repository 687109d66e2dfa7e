"""docs/control-state.md, "1. Cut off", names modules, tests and mutants that exist."""

from __future__ import annotations

import re

from larchgw.model_checking.check_ins import mutants as checkins
from larchgw.model_checking.replication import mutants as replication
from tests.support.stand_ins import ROOT

SECTION = (ROOT / "docs/control-state.md").read_text().partition("\n## 1. Cut off\n")[2].partition("\n## ")[0]
ROWS = [
    row.strip("| ").split(" | ")
    for row in re.findall(r"^\|.+\|$", SECTION, re.MULTILINE)
    if not row.startswith(("| ---", "| claim"))
]


def test_every_claim_names_modules_and_tests_that_exist() -> None:
    sources = "\n".join(path.read_text() for path in (ROOT / "tests").rglob("test_*.py"))
    known = set(re.findall(r"def test_(\w+)", sources))
    assert len(ROWS) > 10
    for claim, _, _, modules, tests, _ in ROWS:
        names = re.findall(r"`([^`]+)`", modules)
        assert names, claim
        assert [name for name in names if not (ROOT / "larchgw" / name).exists()] == [], claim
        names = re.findall(r"`(\w+)`", tests)
        assert names, claim
        assert [name for name in names if name not in known] == [], claim


def test_every_claim_names_a_mutant_or_the_test_that_takes_its_place() -> None:
    known = {mutant.name for mutant in (*checkins.MUTANTS, *replication.MUTANTS)}
    named = set()
    for claim, _, _, _, _, mutants in ROWS:
        for mutant in mutants.split("; "):
            is_held_by_a_test = mutant == "as above" or mutant.endswith(("by its test", "by its tests"))
            assert mutant in known or is_held_by_a_test, (claim, mutant)
            named.add(mutant)
    assert {mutant.name for mutant in checkins.MUTANTS} <= named

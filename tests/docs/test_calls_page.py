"""docs/calls.md names modules and tests that exist."""

from __future__ import annotations

import re

from tests.support.stand_ins import ROOT

PAGE = (ROOT / "docs/calls.md").read_text()
ROWS = [
    row.strip("| ").split(" | ")
    for row in re.findall(r"^\|.+\|$", PAGE, re.MULTILINE)
    if not row.startswith(("| ---", "| what happens"))
]


def test_every_row_names_modules_and_tests_that_exist() -> None:
    sources = "\n".join(path.read_text() for path in (ROOT / "tests").rglob("test_*.py"))
    known = set(re.findall(r"def test_(\w+)", sources))
    assert len(ROWS) > 40
    for what, _, modules, tests in ROWS:
        names = re.findall(r"`([^`]+)`", modules)
        assert names, what
        assert [name for name in names if not (ROOT / "larchgw" / name).exists()] == [], what
        names = re.findall(r"`(\w+)`", tests)
        assert names, what
        assert [name for name in names if name not in known] == [], what

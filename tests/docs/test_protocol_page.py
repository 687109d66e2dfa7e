"""docs/protocol-system.md names modules and tests that exist."""

from __future__ import annotations

import re

from tests.support.stand_ins import ROOT

PAGE = (ROOT / "docs/protocol-system.md").read_text()
ROWS = [
    row.strip("|").split(" | ")
    for row in re.findall(r"^\|.+\|$", PAGE, re.MULTILINE)
    if not row.startswith(("| ---", "| what is asked"))
]


def test_every_line_names_a_module_that_exists() -> None:
    for what, modules, _ in ROWS:
        names = re.findall(r"`([^`]+)`", modules)
        assert names, what
        assert [name for name in names if not (ROOT / "larchgw" / name).exists()] == []


def test_every_line_names_tests_that_exist_or_says_that_none_does() -> None:
    sources = "\n".join(path.read_text() for path in (ROOT / "tests").rglob("test_*.py"))
    known = set(re.findall(r"def test_(\w+)", sources))
    for what, _, held in ROWS:
        names = re.findall(r"`(\w+)`", held)
        assert names or "*bench*" in held, what
        assert [name for name in names if name not in known] == []

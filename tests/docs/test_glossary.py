"""docs/glossary.md and docs/architecture.md name modules that exist; each term stands once."""

from __future__ import annotations

import re

import pytest

from tests.support.stand_ins import ROOT

MODULE = re.compile(r"`(?:larchgw/)?([a-z_]+(?:/[a-z_]+)*(?:/|\.py))`")
GLOSSARY = (ROOT / "docs/glossary.md").read_text()
ROWS = [line.strip("|").split("|") for line in GLOSSARY.splitlines() if line.startswith("| ")][1:]


@pytest.mark.parametrize("page", ["glossary", "architecture"])
def test_every_module_named_exists(page: str) -> None:
    text = (ROOT / f"docs/{page}.md").read_text()
    modules = set(MODULE.findall(text)) - {"tests/docs/test_glossary.py"}
    assert len(modules) > 20
    assert [name for name in sorted(modules) if not (ROOT / "larchgw" / name).exists()] == []


def test_every_term_has_an_owner() -> None:
    rows = [row for row in ROWS if not row[0].startswith(" ---")]
    assert [row[0] for row in rows if not MODULE.search(row[2])] == []


def test_no_term_stands_twice() -> None:
    terms = [row[0].strip() for row in ROWS]
    assert [term for term in terms if terms.count(term) > 1] == []

"""Links between pages lead somewhere, and the files that pages name exist."""

from __future__ import annotations

import fnmatch
import re
from collections.abc import Iterator
from functools import cache
from pathlib import Path

import pytest

from tests.support.stand_ins import ROOT

FOLDERS = (ROOT, ROOT / "larchgw", ROOT / "docs")  # that pages name files from
SOURCES = ("larchgw", "tests", "deploy", "docs")
HISTORY = "CHANGELOG.md"  # names what was there once
MADE_ELSEWHERE = {  # named by pages, but no file of the repository
    "KNOWN-RED.txt",  # there only while a test is known to fail
    "HOUSE.md",  # of the workplace
    "DIR/NAME/local.json",  # in the folder of a trial
}
PAGES = sorted(
    path.relative_to(ROOT).as_posix()
    for path in (*ROOT.glob("*.md"), *(ROOT / "docs").rglob("*.md"), *(ROOT / "larchgw").rglob("*.md"))
    if path.name != HISTORY
)
LINK = re.compile(r"\[[^\]]*\]\(([^)\s]+)\)")
FENCE = re.compile(r"^```.*?^```", re.MULTILINE | re.DOTALL)
HEADING = re.compile(r"^#+ (.+)$", re.MULTILINE)
NAME = re.compile(r"`([\w./*-]*\.(?:py|md|toml|thrift|txt|svg)|(?:larchgw|tests|docs|deploy)/[\w./*-]*)`")
MODULE = re.compile(r"`(larchgw(?:\.\w+)+)`")


def anchors(page: Path) -> set[str]:
    """Names by which the headings of a page can be linked to."""
    headings = HEADING.findall(FENCE.sub("", page.read_text()))
    return {re.sub(r"[^\w\- ]", "", heading.lower()).replace(" ", "-") for heading in headings}


@cache
def file_names() -> frozenset[str]:
    return frozenset(path.name for folder in SOURCES for path in (ROOT / folder).rglob("*"))


def broken_links(page: Path) -> Iterator[str]:
    for target in LINK.findall(FENCE.sub("", page.read_text())):
        if re.match(r"\w+:", target):
            continue  # to another site
        name, _, anchor = target.partition("#")
        linked = page.parent / name if name else page
        if not linked.exists() or (anchor and anchor not in anchors(linked)):
            yield target


def exists(name: str, page: Path) -> bool:
    """Whether a file of this name or pattern is there; one without folder may be in any."""
    if "/" not in name:
        return bool(fnmatch.filter(file_names(), name)) or (ROOT / name).exists()
    return any(next(folder.glob(name.rstrip("/")), None) for folder in (*FOLDERS, page.parent))


def missing_files(page: Path) -> Iterator[str]:
    for name in NAME.findall(page.read_text()):
        if name not in MADE_ELSEWHERE and not name.startswith((".", "/")) and not exists(name, page):
            yield name


def missing_modules(page: Path) -> Iterator[str]:
    """Dotted names of which neither the whole nor the part before the last dot is a module."""
    for name in MODULE.findall(page.read_text()):
        path = ROOT / name.replace(".", "/")
        if not any(one.is_dir() or one.with_suffix(".py").exists() for one in (path, path.parent)):
            yield name


@pytest.mark.parametrize("page", PAGES)
def test_links_of_the_page_lead_somewhere(page: str) -> None:
    assert list(broken_links(ROOT / page)) == []


@pytest.mark.parametrize("page", PAGES)
def test_files_and_modules_that_the_page_names_exist(page: str) -> None:
    assert list(missing_files(ROOT / page)) + list(missing_modules(ROOT / page)) == []


def test_a_link_a_file_and_a_module_that_do_not_exist_are_found(tmp_path: Path) -> None:
    page = tmp_path / "page.md"
    page.write_text(
        "# One\n\n[a](#one) [b](#two) [c](gone.md) `gone/away.py` `gone.py` `larchgw.gone.away`\n"
    )
    assert list(broken_links(page)) == ["#two", "gone.md"]
    assert list(missing_files(page)) == ["gone/away.py", "gone.py"]
    assert list(missing_modules(page)) == ["larchgw.gone.away"]

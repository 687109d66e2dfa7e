"""Which program a process runs, in its log and on the command line."""

from __future__ import annotations

import re
import shutil
from pathlib import Path

import pytest

from larchgw import __version__
from larchgw.cli.main import call
from larchgw.runtime.build_identity import PACKAGE, build_identity


def package(folder: Path) -> Path:
    (folder / "edge").mkdir(parents=True)
    (folder / "a.py").write_text("a = 1\n")
    (folder / "edge" / "b.py").write_text("b = 2\n")
    return folder


def test_equal_sources_have_one_digest_wherever_they_lie(tmp_path: Path) -> None:
    first = package(tmp_path / "one")
    second = shutil.copytree(first, tmp_path / "two")
    assert build_identity(first) == build_identity(second)
    assert build_identity(first).version == __version__


@pytest.mark.parametrize("change", ["content", "name", "moved bytes", "added"])
def test_each_change_of_the_sources_has_another_digest(tmp_path: Path, change: str) -> None:
    changed = package(tmp_path / "one")
    before = build_identity(changed).source
    if change == "content":
        (changed / "a.py").write_text("a = 2\n")
    elif change == "name":
        (changed / "a.py").rename(changed / "c.py")
    elif change == "moved bytes":
        (changed / "a.py").write_text("")
        (changed / "edge" / "b.py").write_text("a = 1\nb = 2\n")
    else:
        (changed / "c.py").write_text("")
    assert build_identity(changed).source != before


def test_other_files_do_not_count(tmp_path: Path) -> None:
    changed = package(tmp_path / "one")
    before = build_identity(changed)
    (changed / "a.pyc").write_bytes(b"compiled")
    assert build_identity(changed) == before


def test_the_command_prints_the_identity_of_this_package(capsys: pytest.CaptureFixture[str]) -> None:
    assert call(["version"]) == 0
    printed = capsys.readouterr().out
    assert re.fullmatch(r"larchgw \S+ source=[0-9a-f]{12}\n", printed)
    assert build_identity(PACKAGE).source in printed

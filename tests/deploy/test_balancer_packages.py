"""deploy/balancer.toml names each system package that its build and run need beside the essential ones."""

from __future__ import annotations

import tomllib
from importlib.metadata import distribution
from pathlib import Path

from packaging.requirements import Requirement

from tests.deploy.test_system_packages import LIBC_FAMILY
from tests.support.elf import is_shared_object, read_shared_object
from tests.support.stand_ins import ROOT

DEPLOY = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())


def installed_files() -> list[Path]:
    """Files of what requirements.txt installs, as it is installed for the tests."""
    lines = (ROOT / "requirements.txt").read_text().splitlines()
    distributions = [distribution(Requirement(line).name) for line in lines]
    return [Path(str(file.locate())) for one in distributions for file in one.files or []]


def test_what_the_build_runs_is_named() -> None:
    assert "python3 -m venv .venv" in DEPLOY["build"]
    assert DEPLOY["packages"] == ["python3", "python3-venv"]


def test_shared_objects_of_the_wheels_load_only_libc_and_what_the_wheels_bring() -> None:
    objects = [read_shared_object(path) for path in installed_files() if is_shared_object(path)]
    assert objects
    needed = {name for item in objects for name in item.needed if not item.bundled(name)}
    assert [name for name in needed if not LIBC_FAMILY.fullmatch(name)] == []

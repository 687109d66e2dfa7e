"""deploy/system.toml names each system package that the build and the run need; the build checks its Python.

The build itself needs the network, so no test runs it: the tests read the files of the wheels that it
installs, under target/deps if it has run here, else as they are installed for the tests.
"""

from __future__ import annotations

import importlib.util
import re
import subprocess
import sys
import tomllib
from importlib.metadata import Distribution, distribution
from pathlib import Path
from types import ModuleType

import pytest
from packaging.requirements import Requirement
from packaging.specifiers import SpecifierSet

from tests.support.elf import SharedObject, is_shared_object, read_shared_object
from tests.support.stand_ins import ROOT

DEPLOY = tomllib.loads((ROOT / "deploy/system.toml").read_text())
PACKAGES: list[str] = DEPLOY["packages"]
BUILT = ROOT / "target/deps"
LIBC_FAMILY = re.compile(r"(lib(c|m|dl|rt|pthread|resolv|util)|ld-linux[\w-]*)\.so\.\d")
PACKAGE_OF_LIBRARY = {"libgcc_s.so.1": "libgcc-s1", "libstdc++.so.6": "libstdc++6", "libz.so.1": "zlib1g"}


def pinned() -> list[str]:
    lines = (ROOT / "requirements-system.txt").read_text().splitlines()
    return [Requirement(line).name for line in lines]


def distributions() -> list[Distribution]:
    """What requirements-system.txt installs, with what that asks for in turn."""
    found: dict[str, Distribution] = {}
    names = pinned()
    while names:
        name = names.pop()
        if name in found:
            continue
        found[name] = distribution(name)
        wanted = [Requirement(line) for line in found[name].requires or []]
        names += [one.name for one in wanted if one.marker is None or one.marker.evaluate({"extra": ""})]
    return list(found.values())


def installed_files() -> list[Path]:
    if BUILT.is_dir():
        return [path for path in BUILT.rglob("*.so*") if path.is_file()]
    return [
        Path(str(file.locate()))
        for one in distributions()
        for file in one.files or []
        if ".so" in file.name and Path(str(file.locate())).is_file()
    ]


def shared_objects() -> list[SharedObject]:
    return [read_shared_object(path) for path in installed_files() if is_shared_object(path)]


def system_libraries() -> dict[str, list[str]]:
    """Libraries that neither a wheel nor libc brings, each with the files that load it."""
    users: dict[str, list[str]] = {}
    for item in shared_objects():
        for name in item.needed:
            if not item.bundled(name) and not LIBC_FAMILY.fullmatch(name):
                users.setdefault(name, []).append(item.path.name)
    return users


def check_python() -> ModuleType:
    spec = importlib.util.spec_from_file_location("check_python", ROOT / "deploy/check_python.py")
    assert spec is not None
    assert spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def test_the_reader_agrees_with_what_a_wheel_is_known_to_load() -> None:
    curl = next(item for item in shared_objects() if item.path.name.startswith("_pycurl."))
    libcurl = next(name for name in curl.needed if name.startswith("libcurl"))
    assert curl.bundled(libcurl)
    assert not curl.bundled("libc.so.6")
    assert "libc.so.6" in curl.needed


def test_a_file_that_is_no_shared_object_is_refused(tmp_path: Path) -> None:
    text = tmp_path / "lib.so"
    text.write_text("/* a linker script */")
    assert not is_shared_object(text)
    with pytest.raises(ValueError, match="not a 64-bit"):
        read_shared_object(text)


def test_each_shared_object_needs_only_its_wheel_and_libc_and_packages_that_are_named() -> None:
    assert len(shared_objects()) > len(pinned()) // 2
    unnamed = {
        name: users
        for name, users in system_libraries().items()
        if PACKAGE_OF_LIBRARY.get(name) not in PACKAGES
    }
    assert unnamed == {}


def test_no_library_is_named_that_nothing_loads() -> None:
    loaded = {PACKAGE_OF_LIBRARY[name] for name in system_libraries()}
    assert loaded == set(PACKAGES) & set(PACKAGE_OF_LIBRARY.values())


def test_what_the_build_runs_is_named() -> None:
    assert "python3 -m pip" in DEPLOY["build"]
    assert {"python3", "python3-pip", "ca-certificates"} <= set(PACKAGES)
    assert len(PACKAGES) == len(set(PACKAGES))


def test_pip_installs_into_a_folder_as_only_that_is_allowed_outside_a_virtual_environment() -> None:
    install = DEPLOY["build"].split("pip install", 1)[1].split(")", 1)[0]
    assert "--target target/deps" in install


def test_the_python_is_checked_before_pip_runs() -> None:
    steps = DEPLOY["build"].split(" && ")
    assert steps[0] == "python3 deploy/check_python.py"
    assert "pip" in steps[1]


def test_the_range_of_pythons_is_what_the_wheels_ask_for() -> None:
    check = check_python()
    asked = [
        SpecifierSet(one.metadata["Requires-Python"])
        for one in distributions()
        if one.metadata["Requires-Python"]
    ]
    for version in (check.OLDEST, check.NEWEST):
        assert [str(one) for one in asked if not one.contains(check.dotted(version))] == []
    older = f"{check.OLDEST[0]}.{check.OLDEST[1] - 1}"
    assert not all(one.contains(older) for one in asked)


@pytest.mark.parametrize(
    ("implementation", "version"),
    [("CPython", (3, 10)), ("CPython", (3, 15)), ("CPython", (2, 7)), ("CPython", (4, 0)), ("PyPy", (3, 11))],
)
def test_another_python_is_named_in_a_plain_error(implementation: str, version: tuple[int, int]) -> None:
    text = check_python().problem(implementation, version)
    assert text.startswith("larchgw needs CPython 3.11 to 3.14, this is ")
    assert f"{implementation} {version[0]}.{version[1]}:" in text


@pytest.mark.parametrize("minor", range(11, 15))
def test_each_python_of_the_range_is_taken(minor: int) -> None:
    assert check_python().problem("CPython", (3, minor)) is None


def test_the_check_runs_alone() -> None:
    assert subprocess.run([sys.executable, "deploy/check_python.py"], cwd=ROOT).returncode == 0


@pytest.mark.parametrize("page", ["README.md", "docs/operators-system.md"])
def test_the_pages_state_the_range(page: str) -> None:
    assert "CPython 3.11 to 3.14" in (ROOT / page).read_text()


def test_the_operators_page_names_each_package() -> None:
    page = (ROOT / "docs/operators-system.md").read_text()
    assert [name for name in PACKAGES if f"`{name}`" not in page] == []

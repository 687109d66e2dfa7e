"""Which modules import which: no cycles, and the pure packages import nothing that does I/O or is a role."""

from __future__ import annotations

import ast
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

import pytest

from tests.support.stand_ins import ROOT

PRODUCT = ("edge", "control")
INSTRUMENTS = ("cli", "emulator", "experiments", "fault_injection", "model_checking")
LOWER = (
    "configuration",
    "distribution",
    "membership",
    "net",
    "placement",
    "replication",
    "routing",
    "rpc",
    "runner_directory",
    "runtime",
    "storage",
)


def module_name(path: Path) -> str:
    parts = path.relative_to(ROOT).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


MODULES = {
    module_name(path): path for path in (ROOT / "larchgw").rglob("*.py") if "generated" not in path.parts
}


def statements(tree: ast.Module) -> list[ast.stmt]:
    """The statements that run when the module is imported; what only type checkers read is left out."""
    found: list[ast.stmt] = []
    for statement in tree.body:
        if isinstance(statement, ast.Try):
            found += statement.body
        elif not isinstance(statement, ast.If):
            found.append(statement)
    return found


def imported(name: str) -> set[str]:
    """Modules of ours that this one imports when it is imported itself."""
    path = MODULES[name]
    package = name.split(".") if path.name == "__init__.py" else name.split(".")[:-1]
    found: set[str] = set()
    for statement in statements(ast.parse(path.read_text())):
        if not isinstance(statement, ast.ImportFrom):
            continue
        parent = package[: len(package) - statement.level + 1] if statement.level else []
        base = ".".join([*parent, *([statement.module] if statement.module else [])])
        for alias in statement.names:
            full = f"{base}.{alias.name}"
            found.add(full if full in MODULES else base)
    return {module for module in found if module in MODULES} - {name}


GRAPH = {name: imported(name) for name in MODULES}


def package_of(module: str) -> str:
    parts = module.split(".")
    return parts[1] if len(parts) > 1 else ""


def test_no_module_imports_itself_through_others() -> None:
    try:
        TopologicalSorter(GRAPH).prepare()
    except CycleError as error:
        pytest.fail(" -> ".join(error.args[1]))


def test_no_package_imports_itself_through_others() -> None:
    packages: dict[str, set[str]] = {}
    for module, needed in GRAPH.items():
        if package_of(module) in ("", "wsgi"):
            continue
        others = {package_of(other) for other in needed} - {package_of(module), ""}
        packages.setdefault(package_of(module), set()).update(others)
    try:
        TopologicalSorter(packages).prepare()
    except CycleError as error:
        pytest.fail(" -> ".join(error.args[1]))


@pytest.mark.parametrize("package", LOWER)
def test_what_the_roles_are_made_of_knows_neither_roles_nor_instruments(package: str) -> None:
    forbidden = {*PRODUCT, *INSTRUMENTS, "dispatcher"}
    upward = {
        (module, other)
        for module, needed in GRAPH.items()
        if package_of(module) == package
        for other in needed
        if package_of(other) in forbidden
    }
    assert upward == set()


@pytest.mark.parametrize("package", [*PRODUCT, "dispatcher"])
def test_programs_know_neither_each_other_nor_instruments(package: str) -> None:
    forbidden = {*PRODUCT, *INSTRUMENTS, "dispatcher"} - {package}
    upward = {
        (module, other)
        for module, needed in GRAPH.items()
        if package_of(module) == package
        for other in needed
        if package_of(other) in forbidden
    }
    assert upward == set()

"""Reads the TOML files under `deploy/`, which have one table per subsystem, and lists all errors.

The schema of a table is a dataclass; msgspec checks the types. A dataclass may have a method `check` for
conditions that types cannot express; it raises ValueError with the text `field: what is wrong`.
"""

from __future__ import annotations

import tomllib
from collections.abc import Iterator, Mapping
from dataclasses import MISSING, dataclass, fields
from difflib import get_close_matches
from pathlib import Path
from typing import Any, get_type_hints

import msgspec

from ...net.address import parse_address
from ..capacity import ReservationSettings
from .startup import ConfigError, Fronts


@dataclass(frozen=True, slots=True)
class Fault:
    """An error in a file; `field` is the dotted path of the setting, empty for the file as a whole."""

    file: str
    field: str
    wrong: str

    def __str__(self) -> str:
        return ": ".join(part for part in (self.file, self.field, self.wrong) if part)


def _check_listen(listen: str) -> None:
    try:
        parse_address(listen)
    except ValueError as error:
        raise ValueError(f"listen: {error}") from error


@dataclass(slots=True, frozen=True)
class GearmanTable:
    """Settings of the Gearman front."""

    listen: str
    grab_wait_s: float = 2.0
    remember_s: float = 900.0

    def check(self) -> None:
        _check_listen(self.listen)
        for name in ("grab_wait_s", "remember_s"):
            if not getattr(self, name) > 0:
                raise ValueError(f"{name}: must be a number above 0")


@dataclass(slots=True, frozen=True)
class ListenTable:
    """Settings of a front that has only an address."""

    listen: str

    def check(self) -> None:
        _check_listen(self.listen)


FRONTS: dict[str, type] = {"gearman": GearmanTable, "agent_check": ListenTable, "ops": ListenTable}
ROOM: dict[str, type] = {"room": ReservationSettings}
TABLES = FRONTS | ROOM


def read(path: Path, tables: Mapping[str, type] = TABLES) -> tuple[dict[str, Any], list[Fault]]:
    """Returns the valid tables and all errors of a file."""
    file = str(path)
    try:
        top = tomllib.loads(path.read_text())
    except OSError as error:
        return {}, [Fault(file, "", f"cannot read it: {error.strerror}")]
    except ValueError as error:
        return {}, [Fault(file, "", f"not TOML: {error}")]
    found: dict[str, Any] = {}
    faults: list[Fault] = []
    for name, table in top.items():
        if name not in tables:
            faults.append(Fault(file, name, _unknown("table", name, tables)))
        elif not isinstance(table, dict):
            faults.append(Fault(file, name, "must be a table"))
        else:
            wrong = [Fault(file, f"{name}.{field}", what) for field, what in _faults(tables[name], table)]
            faults += wrong
            if not wrong:
                found[name] = tables[name](**table)
    return found, faults


def load(path: Path, tables: Mapping[str, type]) -> dict[str, Any]:
    """Returns the tables of a file.

    Raises:
        ConfigError: The file has an error; the message describes the first one.
    """
    found, faults = read(path, tables)
    if faults:
        first = faults[0]
        raise ConfigError(f"{first.field}: {first.wrong}" if first.field else f"{first.file}: {first.wrong}")
    return found


def load_room(path: Path) -> ReservationSettings:
    """Reads a file like deploy/room.toml; without the table the defaults apply."""
    room: ReservationSettings = load(path, ROOM).get("room") or ReservationSettings()
    return room


def load_fronts(path: Path) -> Fronts:
    """Reads a file like deploy/fronts.toml."""
    found = load(path, FRONTS)
    fronts = Fronts()
    for name, table in found.items():
        setattr(fronts, name, parse_address(table.listen))
    gearman: GearmanTable | None = found.get("gearman")
    if gearman:
        fronts.grab_wait, fronts.remember = gearman.grab_wait_s, gearman.remember_s
    return fronts


def _faults(schema: type, table: dict[str, Any]) -> Iterator[tuple[str, str]]:
    """Yields the name and the error of each invalid field."""
    known = {field.name: field for field in fields(schema)}
    hints = get_type_hints(schema)
    clean = True
    for name, value in table.items():
        if name not in known:
            clean = False
            yield name, _unknown("setting", name, known)
            continue
        try:
            msgspec.convert(value, hints[name], strict=True)
        except msgspec.ValidationError as error:
            clean = False
            yield name, str(error)
    for name, field in known.items():
        if name not in table and field.default is MISSING and field.default_factory is MISSING:
            clean = False
            yield name, "is missing"
    if not clean:
        return
    check = getattr(schema(**table), "check", None)
    try:
        if check:
            check()
    except ValueError as error:
        name, _, wrong = str(error).partition(": ")
        yield name, wrong


def _unknown(what: str, name: str, known: Mapping[str, Any]) -> str:
    near = get_close_matches(name, list(known), 1, 0.5)
    hint = f"; did you mean {near[0]}?" if near else f"; there are {', '.join(known)}"
    return f"no such {what}{hint}"

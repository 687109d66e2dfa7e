"""Reads one JSON object into one of the model's dataclasses, with dacite.

dacite alone takes a boolean for a number and knows no ranges; the hooks here are strict. No number of a
configuration may be negative, so that is checked here once and for all.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Mapping
from typing import Any, TypeVar, get_type_hints

import dacite

from .errors import ConfigurationError, InvalidConfigurationError, MalformedConfigurationError

MAX_NUMBER = 2**63 - 1
"""What the 64-bit integers of the internal protocol hold; versions, times and sizes alike."""
_SHOWN = 60  # characters of a wrong value that a message repeats

T = TypeVar("T")


class InvalidValueError(dacite.DaciteFieldError):
    """A value that a hook refuses; dacite adds the path of its field."""

    def __init__(self, problem: str, remedy: str) -> None:
        super().__init__()
        self.problem, self.remedy = problem, remedy


class Findings:
    """The faults found so far. Reading goes on after a fault, so that the operator learns of all at once."""

    def __init__(self) -> None:
        self.faults: list[ConfigurationError] = []

    def malformed(self, path: str, problem: str, remedy: str) -> None:
        """Notes a field that is missing or of another type."""
        self.faults.append(MalformedConfigurationError(path, problem, remedy))

    def require(self, holds: bool, path: str, problem: str, remedy: str) -> None:
        """Notes a contradiction unless `holds`."""
        if not holds:
            self.faults.append(InvalidConfigurationError(path, problem, remedy))

    def mapping(self, value: object, path: str) -> Mapping[str, Any] | None:
        """A JSON object; None, and a note, where it is something else."""
        if isinstance(value, dict):
            return value
        self.malformed(path, f"{shown(value)} is no JSON object", "give an object")
        return None

    def sequence(self, value: object, path: str) -> list[Any]:
        """A JSON list; an empty one, and a note, where it is something else."""
        if isinstance(value, list):
            return value
        self.malformed(path, f"{shown(value)} is no list", "give a list")
        return []

    def integer(self, value: object, path: str) -> int | None:
        """A whole number from 0 to MAX_NUMBER; None, and a note, where it is something else."""
        try:
            return _integer(value)
        except InvalidValueError as error:
            self.malformed(path, error.problem, error.remedy)
            return None

    def record(self, data_class: type[T], raw: Mapping[str, Any], path: str) -> T | None:
        """An instance of `data_class`; None, and a note for each wrong field, where it cannot be made.

        A field that is null counts as left out, and unknown ones are ignored. Fields that are dataclasses
        or tuples must have been made before.
        """
        present = {name: value for name, value in raw.items() if value is not None}
        try:
            return dacite.from_dict(data_class, present, _STRICT)
        except dacite.DaciteFieldError:
            for name, problem, remedy in _wrong_fields(data_class, present):
                self.malformed(f"{path}.{name}", problem, remedy)
            return None


def shown(value: object) -> str:
    """A wrong value as a message repeats it: short."""
    text = repr(value)
    return text if len(text) <= _SHOWN else f"{text[:_SHOWN]}..."


def _number(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise InvalidValueError(f"{shown(value)} is no number", "give a number that is not negative")
    if not 0 <= value <= MAX_NUMBER:  # NaN compares as false
        raise InvalidValueError(f"{shown(value)} is out of range", f"give a number from 0 to {MAX_NUMBER}")
    return float(value)


def _integer(value: object) -> int:
    number = _number(value)
    if not number.is_integer():
        raise InvalidValueError(f"{shown(value)} is no whole number", "give a whole number")
    return value if isinstance(value, int) else int(number)


def _text(value: object) -> str:
    if not isinstance(value, str):
        raise InvalidValueError(f"{shown(value)} is no text", "give a string")
    return value


def _flag(value: object) -> bool:
    if not isinstance(value, bool):
        raise InvalidValueError(f"{shown(value)} is neither true nor false", "give true or false")
    return value


_HOOKS: dict[Any, Callable[[Any], Any]] = {float: _number, int: _integer, str: _text, bool: _flag}
_STRICT = dacite.Config(type_hooks=_HOOKS)


def _wrong_fields(data_class: type, present: Mapping[str, Any]) -> list[tuple[str, str, str]]:
    """Field, problem and remedy of each field that dacite would refuse; it stops at the first."""
    hints = get_type_hints(data_class)
    found = []
    for field in dataclasses.fields(data_class):
        if field.name not in present:
            if field.default is dataclasses.MISSING:
                found.append((field.name, "is missing", "add it"))
            continue
        try:
            _HOOKS.get(hints[field.name], lambda value: value)(present[field.name])
        except InvalidValueError as error:
            found.append((field.name, error.problem, error.remedy))
    return found

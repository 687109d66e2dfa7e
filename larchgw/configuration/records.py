"""Reads one JSON object into one of the model's dataclasses, with dacite.

dacite alone takes a boolean for a number and knows no ranges; the hooks here are strict. No number of a
configuration may be negative, so that is checked here once and for all.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, TypeVar

import dacite

from .errors import InvalidConfiguration, MalformedConfiguration

LARGEST = 2**63 - 1  # what the 64-bit integers of the internal protocol hold; versions, times and sizes alike
_SHOWN = 60  # characters of a wrong value that a message repeats

T = TypeVar("T")


class UnfitValue(dacite.DaciteFieldError):
    """A value that a hook refuses; dacite adds the path of its field."""

    def __init__(self, problem: str, remedy: str) -> None:
        super().__init__()
        self.problem, self.remedy = problem, remedy


def shown(value: object) -> str:
    """A wrong value as a message repeats it: short."""
    text = repr(value)
    return text if len(text) <= _SHOWN else f"{text[:_SHOWN]}..."


def _number(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise UnfitValue(f"{shown(value)} is no number", "give a number that is not negative")
    if not 0 <= value <= LARGEST:  # NaN compares as false
        raise UnfitValue(f"{shown(value)} is out of range", f"give a number from 0 to {LARGEST}")
    return float(value)


def _integer(value: object) -> int:
    number = _number(value)
    if not number.is_integer():
        raise UnfitValue(f"{shown(value)} is no whole number", "give a whole number")
    return value if isinstance(value, int) else int(number)


def _text(value: object) -> str:
    if not isinstance(value, str):
        raise UnfitValue(f"{shown(value)} is no text", "give a string")
    return value


def _flag(value: object) -> bool:
    if not isinstance(value, bool):
        raise UnfitValue(f"{shown(value)} is neither true nor false", "give true or false")
    return value


_STRICT = dacite.Config(type_hooks={float: _number, int: _integer, str: _text, bool: _flag})


def integer(value: object, path: str) -> int:
    """A whole number from 0 to LARGEST. Raises MalformedConfiguration."""
    try:
        return _integer(value)
    except UnfitValue as error:
        raise MalformedConfiguration(path, error.problem, error.remedy) from None


def mapping(value: object, path: str) -> Mapping[str, Any]:
    """A JSON object. Raises MalformedConfiguration."""
    if not isinstance(value, dict):
        raise MalformedConfiguration(path, f"{shown(value)} is no JSON object", "give an object")
    return value


def sequence(value: object, path: str) -> list[Any]:
    """A JSON list. Raises MalformedConfiguration."""
    if not isinstance(value, list):
        raise MalformedConfiguration(path, f"{shown(value)} is no list", "give a list of objects")
    return value


def record(data_class: type[T], raw: Mapping[str, Any], path: str) -> T:
    """An instance of `data_class`; a field that is null counts as left out, unknown ones are ignored.

    Raises MalformedConfiguration.
    """
    present = {name: value for name, value in raw.items() if value is not None}
    try:
        return dacite.from_dict(data_class, present, _STRICT)
    except UnfitValue as error:
        raise MalformedConfiguration(f"{path}.{error.field_path}", error.problem, error.remedy) from None
    except dacite.MissingValueError as error:
        raise MalformedConfiguration(f"{path}.{error.field_path}", "is missing", "add it") from None
    except dacite.WrongTypeError as error:
        raise MalformedConfiguration(
            f"{path}.{error.field_path}", f"{shown(error.value)} has the wrong type",
            "give what docs/operators-system.md says") from None


def require(holds: bool, path: str, problem: str, remedy: str) -> None:
    """Raises InvalidConfiguration unless `holds`."""
    if not holds:
        raise InvalidConfiguration(path, problem, remedy)

"""Strict checks of single JSON values, used as dacite's type hooks.

By itself, dacite accepts a boolean as a number and does not check ranges. No number in a configuration may
be negative, so the range is checked here for all fields.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import dacite

MAX_NUMBER = 2**63 - 1
"""Maximum of the 64-bit integers of the internal protocol, which carry versions, times and sizes."""
_MAX_SHOWN_CHARACTERS = 60


class InvalidValueError(dacite.DaciteFieldError):
    """A value that a type hook rejects; dacite fills in the path of its field.

    Attributes:
        problem: What is wrong with the value.
        remedy: How to correct it.
    """

    def __init__(self, problem: str, remedy: str) -> None:
        """Leaves `field_path` empty, for dacite to fill in."""
        super().__init__()
        self.problem = problem
        self.remedy = remedy


def abbreviate(value: object) -> str:
    """Returns the `repr` of a rejected value for messages, truncated if it is long."""
    text = repr(value)
    return text if len(text) <= _MAX_SHOWN_CHARACTERS else f"{text[:_MAX_SHOWN_CHARACTERS]}..."


def check_number(value: object) -> float:
    """Returns the value as a float if it is a number from 0 to MAX_NUMBER, else raises InvalidValueError."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise InvalidValueError(f"{abbreviate(value)} is no number", "give a number that is not negative")
    if not 0 <= value <= MAX_NUMBER:  # also true for NaN, which compares as false
        raise InvalidValueError(
            f"{abbreviate(value)} is out of range", f"give a number from 0 to {MAX_NUMBER}"
        )
    return float(value)


def check_integer(value: object) -> int:
    """Returns the value if it is an integer from 0 to MAX_NUMBER, else raises InvalidValueError."""
    number = check_number(value)
    if not number.is_integer():
        raise InvalidValueError(f"{abbreviate(value)} is no whole number", "give a whole number")
    return value if isinstance(value, int) else int(number)


def check_text(value: object) -> str:
    """Returns the value if it is a string, else raises InvalidValueError."""
    if not isinstance(value, str):
        raise InvalidValueError(f"{abbreviate(value)} is no text", "give a string")
    return value


def check_flag(value: object) -> bool:
    """Returns the value if it is a boolean, else raises InvalidValueError."""
    if not isinstance(value, bool):
        raise InvalidValueError(f"{abbreviate(value)} is neither true nor false", "give true or false")
    return value


STRICT_TYPE_HOOKS: dict[Any, Callable[[Any], Any]] = {
    float: check_number,
    int: check_integer,
    str: check_text,
    bool: check_flag,
}

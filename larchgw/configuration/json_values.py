"""Strict checks of single JSON values, used as dacite's type hooks.

dacite alone takes a boolean for a number and knows no ranges. No number of a configuration may be negative,
so that is checked here once and for all.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import dacite

MAX_NUMBER = 2**63 - 1
"""What the 64-bit integers of the internal protocol hold; versions, times and sizes alike."""
_MAX_SHOWN_CHARACTERS = 60


class InvalidValueError(dacite.DaciteFieldError):
    """A value that a type hook rejects; dacite adds the path of its field.

    Attributes:
        problem: What is wrong with the value.
        remedy: What to give instead.
    """

    def __init__(self, problem: str, remedy: str) -> None:
        """Leaves the path of the field to dacite."""
        super().__init__()
        self.problem = problem
        self.remedy = remedy


def abbreviate(value: object) -> str:
    """Returns a wrong value as messages repeat it: short."""
    text = repr(value)
    return text if len(text) <= _MAX_SHOWN_CHARACTERS else f"{text[:_MAX_SHOWN_CHARACTERS]}..."


def check_number(value: object) -> float:
    """Returns a number from 0 to MAX_NUMBER; raises InvalidValueError for anything else."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise InvalidValueError(f"{abbreviate(value)} is no number", "give a number that is not negative")
    if not 0 <= value <= MAX_NUMBER:  # NaN compares as false
        raise InvalidValueError(
            f"{abbreviate(value)} is out of range", f"give a number from 0 to {MAX_NUMBER}"
        )
    return float(value)


def check_integer(value: object) -> int:
    """Returns a whole number from 0 to MAX_NUMBER; raises InvalidValueError for anything else."""
    number = check_number(value)
    if not number.is_integer():
        raise InvalidValueError(f"{abbreviate(value)} is no whole number", "give a whole number")
    return value if isinstance(value, int) else int(number)


def check_text(value: object) -> str:
    """Returns a string; raises InvalidValueError for anything else."""
    if not isinstance(value, str):
        raise InvalidValueError(f"{abbreviate(value)} is no text", "give a string")
    return value


def check_flag(value: object) -> bool:
    """Returns true or false; raises InvalidValueError for anything else."""
    if not isinstance(value, bool):
        raise InvalidValueError(f"{abbreviate(value)} is neither true nor false", "give true or false")
    return value


STRICT_TYPE_HOOKS: dict[Any, Callable[[Any], Any]] = {
    float: check_number,
    int: check_integer,
    str: check_text,
    bool: check_flag,
}

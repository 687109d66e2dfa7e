"""What Fire needs around it: arguments as text, wrong calls in one line, and no work before all is read.

Fire calls a function as soon as it has found its arguments, and complains about the others afterwards. So
the functions of the command line only read: each gives a `Command`, which is run once Fire has found
nothing wrong.
"""

from __future__ import annotations

import io
import sys
from collections.abc import Callable, Mapping, Sequence
from contextlib import redirect_stderr
from pathlib import Path
from typing import Any, ParamSpec

import fire
from fire.core import FireExit
from fire.decorators import FIRE_METADATA, SetParseFn

from .errors import UsageError

Parameters = ParamSpec("Parameters")
WRONG_CALL = 2  # exit status
INTERRUPTED = 130  # exit status, 128 + SIGINT
_HELP = ("-h", "--help")
_NO_VALUE = "True"  # what Fire hands over for an option that has no value behind it


class Command:
    """Work that has been asked for. Without public members: Fire takes what is left over for their names."""

    __slots__ = ("_act",)

    def __init__(self, act: Callable[[], int]) -> None:
        """`act` does the work and returns the exit status."""
        self._act = act


def textual(function: Callable[Parameters, Command]) -> Callable[Parameters, Command]:
    """Has Fire hand the arguments over as they were written: a file may be named 1e3."""
    SetParseFn(str)(function)
    return function


def integer(name: str, value: object, minimum: int | None = None, maximum: int | None = None) -> int:
    """An option that is a whole number. Raises UsageError."""
    try:
        number = int(str(value))
    except ValueError:
        raise UsageError(f"--{name}: {value!r} is no whole number") from None
    _check_bounds(name, number, minimum, maximum)
    return number


def decimal(name: str, value: object, minimum: float, maximum: float | None = None) -> float:
    """An option that is a number. Raises UsageError."""
    try:
        number = float(str(value))
    except ValueError:
        raise UsageError(f"--{name}: {value!r} is no number") from None
    _check_bounds(name, number, minimum, maximum)
    return number


def _check_bounds(name: str, number: float, minimum: float | None, maximum: float | None) -> None:
    if minimum is not None and not number >= minimum:
        raise UsageError(f"--{name}: {number} is below {minimum}")
    if maximum is not None and not number <= maximum:
        raise UsageError(f"--{name}: {number} is above {maximum}")


def flag(name: str, value: object) -> bool:
    """An option without a value. Raises UsageError where it was given one."""
    if str(value) not in ("True", "False"):
        raise UsageError(f"--{name}: takes no value, not {value!r}")
    return str(value) == "True"


def file(name: str, value: str | None, exists: bool = False) -> Path | None:
    """An option that names a file; None where it is left out. Raises UsageError."""
    if value is None:
        return None
    path = Path(value)
    if value == _NO_VALUE:
        raise UsageError(f"--{name}: needs a file")
    if path.is_dir():
        raise UsageError(f"--{name}: {value!r} is a directory")
    if exists and not path.exists():
        raise UsageError(f"--{name}: file {value!r} does not exist")
    return path


def read(commands: Mapping[str, Any], arguments: Sequence[str]) -> Command | None:
    """The command that the arguments ask for; None where they asked for help, which has been printed.

    `commands` maps names to functions, or to groups: further mappings of that kind.

    Raises UsageError.
    """
    words = [word for word in arguments if word not in _HELP]
    if len(words) < len(arguments):
        words += ["--", "--help"]
    messages = io.StringIO()
    try:
        with redirect_stderr(messages):
            found = fire.Fire(dict(commands), words, name="larchgw", serialize=lambda _: None)
    except FireExit as end:
        if end.code:
            raise UsageError(end.trace.elements[-1].ErrorAsStr()) from None
        sys.stdout.write(_without_groups(messages.getvalue()))
        return None
    if isinstance(found, dict):
        raise UsageError(f"{' '.join(arguments)}: name one of {', '.join(found)}")
    if not isinstance(found, Command):
        raise UsageError(f"{' '.join(arguments)}: is no command")
    return found


def _without_groups(text: str) -> str:
    """A help text without the mark that `textual` leaves on a function, which Fire lists as a group."""
    before, _, groups = text.partition("\nGROUPS\n")
    if FIRE_METADATA not in groups:
        return text.rstrip() + "\n"
    return before.replace("GROUP | ", "").rstrip() + "\n"


def act(command: Command) -> int:
    """Runs it; its exit status."""
    return command._act()

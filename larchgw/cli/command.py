"""Adapts Fire: arguments stay strings, usage errors are one line, and no work starts before all is parsed.

Fire calls a function as soon as it has the arguments of that function, and reports surplus arguments only
afterwards. The functions of the command line therefore only parse their arguments and return a `Command`,
which is executed once Fire has accepted the whole command line.
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
EXIT_USAGE = 2  # exit status
EXIT_INTERRUPTED = 130  # exit status, 128 + SIGINT
_HELP_OPTIONS = ("-h", "--help")
_NO_VALUE = "True"  # what Fire passes for an option without a value


class Command:
    """A parsed command. Has no public members, because Fire would resolve surplus arguments to them."""

    __slots__ = ("_run",)

    def __init__(self, run: Callable[[], int]) -> None:
        """Stores the function that does the work and returns the exit status."""
        self._run = run


def string_arguments(function: Callable[Parameters, Command]) -> Callable[Parameters, Command]:
    """Makes Fire pass arguments as strings, without parsing them: a file may be named 1e3."""
    SetParseFn(str)(function)
    return function


def integer(name: str, value: object, minimum: int | None = None, maximum: int | None = None) -> int:
    """Parses the value of an integer option. Raises UsageError."""
    try:
        number = int(str(value))
    except ValueError:
        raise UsageError(f"--{name}: {value!r} is not an integer") from None
    _check_bounds(name, number, minimum, maximum)
    return number


def decimal(name: str, value: object, minimum: float, maximum: float | None = None) -> float:
    """Parses the value of a numeric option. Raises UsageError."""
    try:
        number = float(str(value))
    except ValueError:
        raise UsageError(f"--{name}: {value!r} is not a number") from None
    _check_bounds(name, number, minimum, maximum)
    return number


def _check_bounds(name: str, number: float, minimum: float | None, maximum: float | None) -> None:
    if minimum is not None and not number >= minimum:
        raise UsageError(f"--{name}: {number} is below {minimum}")
    if maximum is not None and not number <= maximum:
        raise UsageError(f"--{name}: {number} is above {maximum}")


def flag(name: str, value: object) -> bool:
    """Parses an option that takes no value. Raises UsageError if it has one."""
    if str(value) not in ("True", "False"):
        raise UsageError(f"--{name}: takes no value, got {value!r}")
    return str(value) == "True"


def file(name: str, value: str | None, exists: bool = False) -> Path | None:
    """Parses the value of a file option; None if the option is absent. Raises UsageError."""
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


def parse_command(commands: Mapping[str, Any], arguments: Sequence[str]) -> Command | None:
    """Parses the arguments; returns None if they requested help, which has then been printed.

    `commands` maps names to functions, or to groups, which are nested mappings of the same kind.

    Raises UsageError.
    """
    words = [word for word in arguments if word not in _HELP_OPTIONS]
    if len(words) < len(arguments):
        words += ["--", "--help"]
    messages = io.StringIO()
    try:
        with redirect_stderr(messages):
            found = fire.Fire(dict(commands), words, name="larchgw", serialize=lambda _: None)
    except FireExit as end:
        if end.code:
            raise UsageError(end.trace.elements[-1].ErrorAsStr()) from None
        sys.stdout.write(_remove_groups(messages.getvalue()))
        return None
    if isinstance(found, dict):
        raise UsageError(f"{' '.join(arguments)}: name one of {', '.join(found)}")
    if not isinstance(found, Command):
        raise UsageError(f"{' '.join(arguments)}: is not a command")
    return found


def _remove_groups(text: str) -> str:
    """Removes from a help text the group that Fire lists for the attribute set by `string_arguments`."""
    before, _, groups = text.partition("\nGROUPS\n")
    if FIRE_METADATA not in groups:
        return text.rstrip() + "\n"
    return before.replace("GROUP | ", "").rstrip() + "\n"


def execute(command: Command) -> int:
    """Executes a command; returns its exit status."""
    return command._run()

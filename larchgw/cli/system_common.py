"""What the commands of `larchgw system` share: whom to ask, how to end, how to print a table."""

from __future__ import annotations

import os
import sys
from collections.abc import Callable, Sequence
from enum import IntEnum

from ..configuration import settings as process_settings
from ..configuration.errors import SettingsError
from ..configuration.settings import NodeSettings
from .errors import UsageError


class Ending(IntEnum):
    """Exit statuses besides 2 for a wrong call."""

    DONE = 0
    REFUSED = 1  # the system said no, or what was looked at is damaged
    UNCLEAR = 3  # nobody answered clearly: a change may have been taken


def addresses(at: str | None, of_settings: Callable[[NodeSettings], Sequence[str]]) -> list[str]:
    """The addresses given, or those that this machine's settings file names. Raises UsageError."""
    if at is not None:
        found = [address.strip() for address in at.split(",") if address.strip()]
        wrong = next((address for address in found if not _is_address(address)), None)
        if not found or wrong is not None:
            raise UsageError(f"--at: {wrong or at!r} is no HOST:PORT; give some, separated by commas")
        return found
    variable = process_settings.SETTINGS_FILE_VARIABLE
    if not os.environ.get(variable):
        raise UsageError(f"--at: name control processes, or set {variable} to the settings of one")
    try:
        return list(of_settings(process_settings.load_settings()))
    except SettingsError as error:
        raise UsageError(str(error)) from None


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    return bool(host) and port.isdigit() and 0 < int(port) < 1 << 16


def fail(message: str, ending: Ending) -> int:
    """Says why in one line on standard error; the exit status."""
    print(f"larchgw: {message}", file=sys.stderr)
    return int(ending)


def columns(head: Sequence[str], rows: Sequence[Sequence[object]]) -> list[str]:
    """Lines of a table, columns two spaces apart; numbers stand to the right."""
    cells = [[str(cell) for cell in row] for row in rows]
    widths = [max(len(line[place]) for line in [list(head), *cells]) for place in range(len(head))]
    numeric = [
        bool(rows) and all(isinstance(row[place], int | float) for row in rows) for place in range(len(head))
    ]
    return [
        "  ".join(
            cell.rjust(width) if right else cell.ljust(width)
            for cell, width, right in zip(line, widths, numeric, strict=True)
        ).rstrip()
        for line in [list(head), *cells]
    ]

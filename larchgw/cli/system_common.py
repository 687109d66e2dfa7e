"""Helpers of the `larchgw system` commands: process addresses, exit statuses and tables."""

from __future__ import annotations

import os
import sys
from collections.abc import Callable, Sequence
from enum import IntEnum

from ..configuration import settings as process_settings
from ..configuration.errors import SettingsError
from ..configuration.settings import NodeSettings
from .errors import UsageError


class ExitStatus(IntEnum):
    """Exit statuses, besides 2 for a usage error."""

    DONE = 0
    REFUSED = 1  # the system refused the request, or the inspected data is damaged
    UNCLEAR = 3  # no definite response: a change may have been accepted


def addresses(at: str | None, of_settings: Callable[[NodeSettings], Sequence[str]]) -> list[str]:
    """Parses --at; by default, takes the addresses from this machine's settings file. Raises UsageError."""
    if at is not None:
        found = [address.strip() for address in at.split(",") if address.strip()]
        wrong = next((address for address in found if not _is_address(address)), None)
        if not found or wrong is not None:
            raise UsageError(f"--at: {wrong or at!r} is not HOST:PORT; separate several addresses by commas")
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


def fail(message: str, status: ExitStatus) -> int:
    """Prints the message as one line on standard error; returns the exit status."""
    print(f"larchgw: {message}", file=sys.stderr)
    return int(status)


def columns(head: Sequence[str], rows: Sequence[Sequence[object]]) -> list[str]:
    """Formats a table with columns two spaces apart; numeric columns are right-aligned."""
    cells = [[str(cell) for cell in row] for row in rows]
    widths = [max(len(line[column]) for line in [list(head), *cells]) for column in range(len(head))]
    numeric = [
        bool(rows) and all(isinstance(row[column], int | float) for row in rows)
        for column in range(len(head))
    ]
    return [
        "  ".join(
            cell.rjust(width) if right else cell.ljust(width)
            for cell, width, right in zip(line, widths, numeric, strict=True)
        ).rstrip()
        for line in [list(head), *cells]
    ]

"""The command line, based on Fire.

Sub-commands: `larchgw [serve|edge|control|check|settings|losses|try|lab|explore|system|version]`.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from .. import __version__
from ..dispatcher.config.startup import ConfigError
from ..roles import run_role
from ..runtime import logs
from .check import check, settings
from .command import EXIT_INTERRUPTED, EXIT_USAGE, Command, execute, file, parse_command, string_arguments
from .errors import UsageError
from .explore import explore
from .lab import lab
from .losses import losses
from .system import SYSTEM
from .trial import trial
from .version import version


@string_arguments
def serve(*, fronts: str | None = None, room: str | None = None) -> Command:
    """Runs a dispatcher with the file that PROXY_CONFIG names, until SIGTERM; the default sub-command.

    Args:
        fronts: Settings file of the optional fronts (TOML); without it, only the platform's front runs.
        room: File with the settings for reserving capacity for large jobs (TOML); no reservations without it.
    """
    fronts_file, room_file = file("fronts", fronts), file("room", room)
    return Command(lambda: _serve(fronts_file, room_file))


def _serve(fronts: Path | None, room: Path | None) -> int:
    from ..dispatcher import daemon
    from ..dispatcher.config.settings_file import load_fronts, load_room

    return daemon.serve(load_fronts(fronts) if fronts else None, load_room(room) if room else None)


@string_arguments
def edge() -> Command:
    """Forwards clients' requests to runners until SIGTERM; LARCHGW_NODE_FILE names the settings file."""
    return Command(lambda: run_role("edge"))


@string_arguments
def control() -> Command:
    """Manages the configuration and the runners until SIGTERM; LARCHGW_NODE_FILE names the settings file."""
    return Command(lambda: run_role("control"))


COMMANDS: dict[str, Any] = {
    "serve": serve,
    "edge": edge,
    "control": control,
    "check": check,
    "settings": settings,
    "losses": losses,
    "try": trial,
    "lab": lab,
    "explore": explore,
    "system": SYSTEM,
    "version": version,
}


def _prepend_serve(arguments: Sequence[str]) -> list[str]:
    """Adds `serve` before options without a sub-command. Raises UsageError if a sub-command follows."""
    position = 0
    while position < len(arguments) and arguments[position].startswith("--"):
        position += 1 if "=" in arguments[position] else 2
    if position < len(arguments):
        raise UsageError(f"--fronts and --room must follow serve, not precede {arguments[position]}")
    return ["serve", *arguments]


def call(arguments: Sequence[str]) -> int:
    """Runs the command given by the arguments; returns its exit status. Raises UsageError or ConfigError."""
    if list(arguments) == ["--version"]:
        print(f"larchgw, version {__version__}")
        return 0
    if arguments and arguments[0].startswith("--") and arguments[0] != "--help":
        arguments = _prepend_serve(arguments)
    command = parse_command(COMMANDS, arguments)
    return execute(command) if command else 0


def run() -> int:
    """Runs the console script, and `python -m larchgw` with arguments.

    Usage errors are reported as one line on standard error, with exit status 2.

    Returns:
        The exit status.
    """
    logs.configure_command()
    try:
        return call(sys.argv[1:])
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED
    except (UsageError, ConfigError) as error:
        print(f"larchgw: {error}", file=sys.stderr)
        return EXIT_USAGE

"""`larchgw [serve|check|lab]`, on click."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from .. import __version__
from ..config import ConfigError
from .check import check
from .lab import lab
from .trial import trial

FILE = click.Path(dir_okay=False, path_type=Path)


class OneLine(click.Group):
    """What a user got wrong is one line on standard error, and status 2."""

    def main(self, *args: object, **extra: object) -> int:  # type: ignore[override]
        extra["standalone_mode"] = False
        try:
            return int(super().main(*args, **extra) or 0)  # type: ignore[call-overload]
        except click.exceptions.Exit as error:
            return error.exit_code
        except click.Abort:
            return 130
        except click.ClickException as error:
            click.echo(f"larchgw: {error.format_message()}", err=True)
            return 2
        except ConfigError as error:
            click.echo(f"larchgw: {error}", err=True)
            return 2


WITH_FRONTS = click.option(
    "--fronts", type=FILE, help="Where the fronts beside the platform's listen (TOML).")
WITH_ROOM = click.option(
    "--room", type=FILE, help="How room is held for large jobs (TOML); off without it.")


@click.group(cls=OneLine, invoke_without_command=True)
@click.version_option(__version__, prog_name="larchgw")
@WITH_FRONTS
@WITH_ROOM
@click.pass_context
def group(context: click.Context, fronts: Path | None, room: Path | None) -> int:
    """The job dispatcher. Without a sub-command it serves."""
    if context.invoked_subcommand is None:
        return _serve(fronts, room)
    if fronts or room:
        raise click.UsageError(f"--fronts and --room belong behind serve, not before "
                               f"{context.invoked_subcommand}")
    return 0


@group.command()
@WITH_FRONTS
@WITH_ROOM
def serve(fronts: Path | None, room: Path | None) -> int:
    """Serves, as PROXY_CONFIG's file says, until SIGTERM."""
    return _serve(fronts, room)


def _serve(fronts: Path | None, room: Path | None) -> int:
    from .. import daemon
    from ..settings_file import load_fronts, load_room

    return daemon.serve(load_fronts(fronts) if fronts else None, load_room(room) if room else None)


group.add_command(check)
group.add_command(lab)
group.add_command(trial)


def run() -> int:
    """The console script's, and `python -m larchgw`'s with arguments."""
    return int(group.main(sys.argv[1:], prog_name="larchgw") or 0)

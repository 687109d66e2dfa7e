"""`larchgw check FILE...`: every fault of configuration files."""

from __future__ import annotations

import os
from pathlib import Path

import click

from .. import config
from ..settings_file import Fault, read


def faults_of(path: Path) -> list[Fault]:
    """JSON is read as PROXY_CONFIG's file, of which the first fault is named; anything else as our TOML."""
    if path.suffix != ".json":
        return read(path)[1]
    try:
        config.load({**os.environ, "PROXY_CONFIG": str(path)})
    except config.ConfigError as error:
        field, _, wrong = str(error).partition(": ")
        return [Fault(str(path), "" if field == "PROXY_CONFIG" else field, wrong)]
    return []


@click.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path))
def check(files: tuple[Path, ...]) -> int:
    """Names every fault of these files as `file: field: what is wrong`; status 2 if there is one."""
    faults = [fault for path in files for fault in faults_of(path)]
    for fault in faults:
        click.echo(str(fault))
    return 2 if faults else 0

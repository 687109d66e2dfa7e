"""`larchgw check FILE...` and `larchgw settings FILE`: report all errors in configuration files."""

from __future__ import annotations

import json
import os
from collections.abc import Sequence
from pathlib import Path

from ..configuration import settings as process_settings
from ..configuration.errors import ConfigurationError, SettingsError
from ..configuration.json_decoding import decode_object
from ..configuration.settings_check import settings_faults
from ..configuration.validation import check_configuration
from ..dispatcher.config import startup
from ..dispatcher.config.settings_file import Fault, read
from .command import EXIT_USAGE, Command, string_arguments
from .errors import UsageError

# Fields that occur in an operator's configuration, but not in the file that PROXY_CONFIG names.
_CONFIGURATION_FIELDS = frozenset({"config_version", "routes", "services"})


def faults_of(path: Path, configuration: bool = False) -> list[Fault]:
    """Returns the errors in one file.

    A JSON file is checked as an operator's configuration if it looks like one or `configuration` is set, as
    the settings of a process if it has a `node_name`, and otherwise as the file that PROXY_CONFIG names, of
    which only the first error is reported. Any other file is checked as a TOML file of this program.
    """
    if configuration or (path.suffix == ".json" and _CONFIGURATION_FIELDS & _top_level_fields(path)):
        return _configuration_faults(path)
    if path.suffix != ".json":
        return read(path)[1]
    if "node_name" in _top_level_fields(path):
        return _settings_faults(path)
    return _proxy_faults(path)


def _top_level_fields(path: Path) -> set[str]:
    """Returns the top-level field names of a JSON file; an empty set if it cannot be read."""
    try:
        return set(json.loads(path.read_bytes()))
    except (OSError, ValueError, TypeError):
        return set()


def _proxy_faults(path: Path) -> list[Fault]:
    try:
        startup.load({**os.environ, "PROXY_CONFIG": str(path)})
    except startup.ConfigError as error:
        field, _, wrong = str(error).partition(": ")
        return [Fault(str(path), "" if field == "PROXY_CONFIG" else field, wrong)]
    return []


def _configuration_faults(path: Path) -> list[Fault]:
    try:
        faults = check_configuration(decode_object(path.read_bytes())).faults
    except OSError as error:
        return [Fault(str(path), "", f"cannot read it: {error.strerror}")]
    except ConfigurationError as error:
        faults = [error]
    return [_to_fault(path, fault) for fault in faults]


def _settings_faults(path: Path) -> list[Fault]:
    try:
        faults = settings_faults(process_settings.load_settings(str(path)))
    except SettingsError as error:
        faults = [error]
    return [_to_fault(path, fault) for fault in faults]


def _to_fault(path: Path, error: ConfigurationError) -> Fault:
    field = "" if error.field == str(path) else error.field
    return Fault(str(path), field, f"{error.problem}; {error.remedy}")


def _report(faults: Sequence[Fault]) -> int:
    for fault in faults:
        print(fault)
    return EXIT_USAGE if faults else 0


@string_arguments
def check(*files: str, configuration: str = "False") -> Command:
    """Prints the errors in the given files as `file: field: problem`; exits with status 2 if there are any.

    Args:
        files: TOML files of this program, files for PROXY_CONFIG, configurations of an operator, or settings
            files of edge or control processes.
        configuration: Checks all files as configurations of an operator, regardless of their content.
    """
    forced = configuration != "False"
    # Fire takes the word after the option as its value, so that it may be a file name.
    paths = [Path(name) for name in ([] if configuration in ("False", "True") else [configuration])]
    paths += [Path(name) for name in files]
    if not paths:
        raise UsageError("check: name at least one file")
    return Command(lambda: _report([fault for path in paths for fault in faults_of(path, forced)]))


@string_arguments
def settings(file: str) -> Command:
    """Checks the settings file of an edge or control process; exits with status 2 if it is invalid.

    Args:
        file: Path of the settings file (JSON), the one that LARCHGW_NODE_FILE names for that process.
    """
    return Command(lambda: _report(_settings_faults(Path(file))))

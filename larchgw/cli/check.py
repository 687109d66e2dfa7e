"""`larchgw check FILE...` and `larchgw settings FILE`: every fault of files that people write."""

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
from .command import WRONG_CALL, Command, textual
from .errors import UsageError

# Fields that a configuration of the operator's has and PROXY_CONFIG's file has not.
_OPERATORS_FIELDS = frozenset({"config_version", "routes", "services"})


def faults_of(path: Path, configuration: bool = False) -> list[Fault]:
    """The faults of one file.

    JSON is read as a configuration of the operator's where it looks like one or `configuration` says so, as
    a process's settings where it names a node, and else as PROXY_CONFIG's file, of which the first fault is
    named. Anything else is read as our TOML.
    """
    if configuration or (path.suffix == ".json" and _OPERATORS_FIELDS & _fields(path)):
        return _configuration_faults(path)
    if path.suffix != ".json":
        return read(path)[1]
    if "node_name" in _fields(path):
        return _settings_faults(path)
    return _proxy_faults(path)


def _fields(path: Path) -> set[str]:
    """The names at the top of a JSON file; none where it cannot be read."""
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
    return [_fault(path, fault) for fault in faults]


def _settings_faults(path: Path) -> list[Fault]:
    try:
        faults = settings_faults(process_settings.load_settings(str(path)))
    except SettingsError as error:
        faults = [error]
    return [_fault(path, fault) for fault in faults]


def _fault(path: Path, error: ConfigurationError) -> Fault:
    field = "" if error.field == str(path) else error.field
    return Fault(str(path), field, f"{error.problem}; {error.remedy}")


def _report(faults: Sequence[Fault]) -> int:
    for fault in faults:
        print(fault)
    return WRONG_CALL if faults else 0


@textual
def check(*files: str, configuration: str = "False") -> Command:
    """Names every fault of these files as `file: field: what is wrong`; status 2 if there is one.

    Args:
        files: TOML files of ours, PROXY_CONFIG's, configurations of the operator's, settings of a process.
        configuration: Reads the files as configurations of the operator's, whatever they look like.
    """
    forced = configuration != "False"
    # Fire takes the word behind the option for its value.
    paths = [Path(name) for name in ([] if configuration in ("False", "True") else [configuration])]
    paths += [Path(name) for name in files]
    if not paths:
        raise UsageError("check: name at least one file")
    return Command(lambda: _report([fault for path in paths for fault in faults_of(path, forced)]))


@textual
def settings(file: str) -> Command:
    """Checks the settings file of an edge or control process; status 2 if it cannot be used.

    Args:
        file: What LARCHGW_NODE_FILE names there (JSON).
    """
    return Command(lambda: _report(_settings_faults(Path(file))))

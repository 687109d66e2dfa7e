"""The settings of one process, from the JSON file that LARCHGW_NODE_FILE names."""

from __future__ import annotations

import json
import os
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import dacite

from .errors import SettingsError
from .json_reader import InvalidValueError, shown

SETTINGS_FILE_VARIABLE = "LARCHGW_NODE_FILE"


@dataclass(frozen=True, slots=True)
class Listen:
    """Where the role listens, each "host:port"; empty if it does not serve that."""

    front: str = ""
    ready: str = ""
    control: str = ""


@dataclass(frozen=True, slots=True)
class MachineLimits:
    """What the machine gives this process."""

    cpu_share: float = 1.0
    cpus: int = 1
    memory_mb: float = 256.0
    open_files: int = 1024
    link_mbps: float = 1000.0
    disk_mb: float = 0.0


@dataclass(frozen=True, slots=True)
class Survive:
    """How many may be lost at once while all promises hold."""

    computers: int = 0
    zones: int = 0
    regions: int = 0


@dataclass(frozen=True, slots=True)
class TimeLimits:
    """The bounds of the deployment; names ending in _ms are milliseconds, in _s seconds."""

    seed_lag_s: float = 3.0
    reuse_after_s: float = 2.0
    contact_ms: float = 3000.0
    ack_ms: float = 4000.0
    catch_up_s: float = 4.0
    drain_end_ms: float = 2000.0
    grace_period_s: float = 8.0
    loss_slack_ms: float = 200.0
    apply_ms: float = 2000.0
    downgrade_ms: float = 250.0
    stretch_ms: float = 5000.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_extra: float = 50.0
    recovery_s: float = 12.0
    pass_ms: float = 120.0
    again_s: float = 0.0
    fenced: bool = False
    lease_term_ms: float = 3000.0
    unfreeze_ms: float = 300.0
    ceiling_window_s: float = 5.0
    origin_rate_cap: float = 1.1


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """All that a process is told at its start."""

    node_name: str
    ip: str
    zone: str
    role: str = ""
    machine_class: str = ""
    region: str = ""
    serves: list[str] = field(default_factory=list)
    zones: dict[str, str] = field(default_factory=dict)
    listen: Listen = Listen()
    spare_ports: list[int] = field(default_factory=list)
    seed_list: list[str] = field(default_factory=list)
    first_boot: bool = False
    counts_for_quorum: bool = False
    limits: MachineLimits = MachineLimits()
    data_dir: str | None = None
    beat_ms: float = 1200.0
    promises: list[str] = field(default_factory=list)
    survive: Survive = Survive()
    time_limits: TimeLimits = TimeLimits()

    def port(self, offset: int) -> int:
        """The spare port at this place. Raises SettingsError if there are not that many."""
        first, last = self.spare_ports
        if first + offset > last:
            raise SettingsError("spare_ports", f"holds no port {first + offset}", "give it a wider range")
        return first + offset


def _number(value: Any) -> float:
    try:
        return float(value)
    except (TypeError, ValueError):
        raise InvalidValueError(f"{shown(value)} is no number", "give a number") from None


def _integer(value: Any) -> int:
    try:
        return int(value)
    except (TypeError, ValueError, OverflowError):
        raise InvalidValueError(f"{shown(value)} is no whole number", "give a whole number") from None


# Lenient, as a process that does not start helps nobody; `settings_check` is what finds fault.
_LENIENT = dacite.Config(type_hooks={float: _number, int: _integer})


def _given(value: Any) -> Any:
    """The value without the fields that are null or empty text, at any depth: these count as left out."""
    if not isinstance(value, dict):
        return value
    return {name: _given(inner) for name, inner in value.items() if inner is not None and inner != ""}


def parse_settings(raw: dict[str, Any]) -> NodeSettings:
    """The settings in a decoded file; unknown fields are ignored. Raises SettingsError."""
    try:
        settings = dacite.from_dict(NodeSettings, _given(raw), _LENIENT)
    except InvalidValueError as error:
        raise SettingsError(str(error.field_path), error.problem, error.remedy) from None
    except dacite.MissingValueError as error:
        raise SettingsError(str(error.field_path), "is missing", "add it") from None
    except dacite.WrongTypeError as error:
        raise SettingsError(
            str(error.field_path),
            f"{shown(error.value)} has the wrong type",
            "see docs/operators-system.md for the fields",
        ) from None
    if len(settings.spare_ports) != 2:
        raise SettingsError("spare_ports", "is no pair of ports", "give the first and the last free port")
    return settings


def load_settings(path: str | None = None) -> NodeSettings:
    """Reads the file at `path`, or the one that the environment names. Raises SettingsError."""
    name = path or os.environ.get(SETTINGS_FILE_VARIABLE, "")
    if not name:
        raise SettingsError(SETTINGS_FILE_VARIABLE, "is not set", "set it to the path of the settings file")
    try:
        raw = json.loads(Path(name).read_text())
    except (OSError, ValueError) as error:
        raise SettingsError(name, str(error), "make it a readable JSON file") from error
    if not isinstance(raw, dict):
        raise SettingsError(name, "is no JSON object", "make it an object of settings")
    return parse_settings(raw)

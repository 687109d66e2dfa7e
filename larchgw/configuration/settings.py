"""Reads the settings of one process from the JSON file that LARCHGW_NODE_FILE names."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, SupportsFloat, SupportsIndex, SupportsInt

import dacite

from .errors import SettingsError
from .json_values import InvalidValueError, abbreviate

SETTINGS_FILE_VARIABLE = "LARCHGW_NODE_FILE"

# Field names below are those of the settings file, which dacite reads from the dataclasses.


@dataclass(frozen=True, slots=True)
class Listen:
    """Listen addresses of the role, each "host:port"; empty if the role does not serve that interface.

    Attributes:
        front: For clients' requests (edge).
        ready: For readiness probes (edge).
        control: For operators' calls and runners' check-ins (control).
    """

    front: str = ""
    ready: str = ""
    control: str = ""


@dataclass(frozen=True, slots=True)
class MachineLimits:
    """Resources of the machine that this process may use.

    Attributes:
        open_files: Maximum number of open file descriptors.
        memory_mb: Memory in MiB.
        cpu_share, cpus, link_mbps, disk_mb: Not used by the process itself.
    """

    cpu_share: float = 1.0
    cpus: int = 1
    memory_mb: float = 256.0
    open_files: int = 1024
    link_mbps: float = 1000.0
    disk_mb: float = 0.0


@dataclass(frozen=True, slots=True)
class Survive:
    """Number of simultaneous failures that are tolerated while all guarantees hold.

    Attributes:
        computers: Failed machines; a change is acknowledged once one more replica than this stores it.
        zones, regions: Failed zones and regions; if one is above 0, every in-sync member has a vote.
    """

    computers: int = 0
    zones: int = 0
    regions: int = 0


@dataclass(frozen=True, slots=True)
class TimeLimits:
    """Time limits and rates of the deployment; _ms stands for milliseconds, _s for seconds.

    Fields that are not listed are not used by the process itself.

    Attributes:
        grace_period_s: Time limit for a process to stop after SIGTERM.
        retry_ratio, retry_window_s, retry_extra: The retry budget: in any window, `retry_ratio` retries per
            request plus `retry_extra` retries.
        lease_term_ms: Duration of a lease.
        ceiling_window_s: Window of the rate limit for loading models.
        origin_rate_cap: Factor applied to `loads_per_s` in that rate limit.
        apply_ms: Time limit for an edge to apply a new configuration.
        drain_end_ms: Time limit for an edge to learn that a runner is draining.
    """

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
    """All settings of a process, read at start, reloaded on SIGHUP and periodically.

    Attributes:
        node_name: Unique among all processes; included in each log line.
        ip: Address of this machine for RPC and membership.
        zone: Failure domain of this machine.
        role, machine_class, region, promises: Not used by the process itself.
        serves: Roles of the process, "edge" or "control"; used only by `settings_check`.
        zones: Region of each zone; used only by `settings_check`.
        listen: Addresses for clients, runners and operators.
        spare_ports: First and last port for RPC and membership; see `port`.
        seed_list: `listen.control` addresses of some control processes, used to discover the others.
        first_boot: Whether this is the first start of the whole system; the seeds then form the first view.
        counts_for_quorum: Whether the machine counts for the quorum; used only by `settings_check`.
        limits: Resources that this process may use.
        data_dir: Directory of the durable state (control).
        beat_ms: Interval between a runner's check-ins, in milliseconds.
        survive: Number of failures that are tolerated.
        time_limits: Time limits and rates of the deployment.
    """

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
        """Returns the spare port at this offset from the first one.

        Raises:
            SettingsError: The port is beyond the range of spare ports.
        """
        first, last = self.spare_ports
        if first + offset > last:
            raise SettingsError("spare_ports", f"holds no port {first + offset}", "give it a wider range")
        return first + offset


def parse_settings(raw: Mapping[str, Any]) -> NodeSettings:
    """Returns the settings in a decoded file.

    Unknown fields are ignored; null and empty strings count as absent. Numbers in strings are accepted and
    ranges are not checked, so that an imprecise file does not prevent a start; `settings_check` is strict.

    Raises:
        SettingsError: A required field is missing, or a field has a type that cannot be converted.
    """
    try:
        settings = dacite.from_dict(NodeSettings, _without_empty_fields(raw), _LENIENT)
    except InvalidValueError as error:
        raise SettingsError(str(error.field_path), error.problem, error.remedy) from None
    except dacite.MissingValueError as error:
        raise SettingsError(str(error.field_path), "is missing", "add it") from None
    except dacite.WrongTypeError as error:
        raise SettingsError(
            str(error.field_path),
            f"{abbreviate(error.value)} has the wrong type",
            "see docs/operators-system.md for the fields",
        ) from None
    if len(settings.spare_ports) != 2:
        raise SettingsError("spare_ports", "is no pair of ports", "give the first and the last free port")
    return settings


def load_settings(path: str | None = None) -> NodeSettings:
    """Reads the file at `path`; by default, the one that LARCHGW_NODE_FILE names.

    Raises:
        SettingsError: The file does not exist or is not usable.
    """
    file_name = path or os.environ.get(SETTINGS_FILE_VARIABLE, "")
    if not file_name:
        raise SettingsError(SETTINGS_FILE_VARIABLE, "is not set", "set it to the path of the settings file")
    try:
        raw = json.loads(Path(file_name).read_text())
    except (OSError, ValueError) as error:
        raise SettingsError(file_name, str(error), "make it a readable JSON file") from error
    if not isinstance(raw, dict):
        raise SettingsError(file_name, "is no JSON object", "make it an object of settings")
    return parse_settings(raw)


def _to_number(value: str | SupportsFloat | SupportsIndex) -> float:
    try:
        return float(value)
    except (TypeError, ValueError):
        raise InvalidValueError(f"{abbreviate(value)} is no number", "give a number") from None


def _to_integer(value: str | SupportsInt | SupportsIndex) -> int:
    try:
        return int(value)
    except (TypeError, ValueError, OverflowError):
        raise InvalidValueError(f"{abbreviate(value)} is no whole number", "give a whole number") from None


_LENIENT = dacite.Config(type_hooks={float: _to_number, int: _to_integer})


def _without_empty_fields(fields: Mapping[str, Any]) -> dict[str, Any]:
    """Removes fields that are null or an empty string, at any depth of nested objects."""
    return {
        name: _without_empty_fields(value) if isinstance(value, dict) else value
        for name, value in fields.items()
        if value is not None and value != ""
    }

"""Reads and checks the JSON configuration of a dispatcher; an error is described in one line."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ...net.address import parse_address
from ..scheduling.interface import Settings
from ..simulator_protocol.checks import check_settings
from ..simulator_protocol.wire import EFFECTS, WireError, read_settings

DEFAULT_SOCKETS, DEFAULT_MEMORY_MB = 1024, 128
NUMERIC_FIELDS = {
    "allowed": ("idleClose", "dialTimeout", "maxAttempts", "maxRetryAfter"),
    "obligations": ("askWithin", "drainGrace", "coldFrom", "warmUp", "tipMultiple", "fall"),
    "familyInfo": ("progress",),
    "charges": ("crossZone", "origin", "probe", "waste", "lateFail"),
}
ALLOWED_WORDS = {  # for these settings; the first is the default, and any other word would act like it
    "registryMode": ("automatic", "subscribe"),
    "weightSource": ("silent", "nominal", "rough", "live"),
    "worthBy": ("request", "work"),
    "report.via": ("silent", "piggyback", "pull"),
    "familyInfo.queueOrder": ("fifo", "backfill", "priority"),
}
NUMERIC_CLASS_FIELDS = ("points", "lateWorth", "memorySpan", "aimStretch")


class ConfigError(ValueError):
    """An error in the configuration, as `field: what is wrong`."""


class TrackedDict(dict[str, Any]):
    """A JSON object of the settings that records which of its fields have been read."""

    def __init__(self, *fields: Any) -> None:
        super().__init__(*fields)
        self.read: set[str] = set()

    def __getitem__(self, name: str) -> Any:
        self.read.add(name)
        return super().__getitem__(name)

    def get(self, name: str, default: Any = None) -> Any:
        self.read.add(name)
        return super().get(name, default)


def unread(value: Any, path: str = "") -> list[str]:
    """Returns the paths of fields that were never read; fields of list items are listed once per list."""
    if isinstance(value, list):
        return list(dict.fromkeys(name for one in value for name in unread(one, path + "[]")))
    if not isinstance(value, TrackedDict):
        return []
    found: list[str] = []
    for name, field_ in value.items():
        where = f"{path}.{name}" if path else name
        found += unread(field_, where) if name in value.read else [where]
    return found


@dataclass(slots=True)
class Config:
    name: str
    listen: tuple[str, int] | None
    admin: tuple[str, int] | None
    accept_fd: int | None
    discovery: tuple[str, int]
    seed: int
    sockets: int
    memory_mb: float
    known: dict[str, Any] | None
    raw: dict[str, Any]
    settings: Settings = field(repr=False)


def load(environ: Mapping[str, str]) -> Config:
    """Reads the file that `PROXY_CONFIG` names; other variables supply fields that it leaves out."""
    path = environ.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG: is not set")
    try:
        top = json.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError(f"PROXY_CONFIG: cannot read it: {error.strerror}") from error
    except ValueError as error:
        raise ConfigError(f"PROXY_CONFIG: not JSON: {error}") from error
    return read(top, environ)


def read(top: Any, environ: Mapping[str, str] | None = None, need_listen: bool = True) -> Config:
    """Reads a parsed configuration. An embedded dispatcher does not need a `listen` address."""
    environ = environ or {}
    if not isinstance(top, dict):
        raise ConfigError("PROXY_CONFIG: must hold a JSON object")
    raw = json.loads(json.dumps(_typed_field(top, "settings", dict)), object_hook=TrackedDict)
    limits = _typed_field(top, "limits", dict, {})
    sockets = limits.get("sockets", DEFAULT_SOCKETS)
    if not isinstance(sockets, int) or isinstance(sockets, bool) or sockets < 64:
        raise ConfigError("limits.sockets: must be a whole number, 64 or more")
    memory_mb = limits.get("memory_mb", DEFAULT_MEMORY_MB)
    if not isinstance(memory_mb, int | float) or isinstance(memory_mb, bool) or not memory_mb > 0:
        raise ConfigError("limits.memory_mb: must be a number above 0")
    _check_types(raw)
    try:
        settings = read_settings(raw)
        check_settings(settings)
    except WireError as error:
        raise ConfigError(str(error).replace("settings:", "settings: cannot be read:", 1)) from error
    except (ValueError, TypeError) as error:
        raise ConfigError(f"settings.{error}") from error
    seed = top.get("seed", "")
    try:
        number = int(seed, 16) if isinstance(seed, str) and seed else int.from_bytes(os.urandom(8), "little")
    except ValueError as error:
        raise ConfigError("seed: must be a hexadecimal number") from error
    known = top.get("known")
    if known is not None and not isinstance(known, dict):
        raise ConfigError("known: must be a JSON object")
    return Config(
        name=str(top.get("name") or environ.get("PROXY_NAME", "larchgw")),
        listen=_address(top, environ, "listen", "PROXY_LISTEN", optional=not need_listen),
        admin=_address(top, environ, "admin", "PROXY_ADMIN", optional=True),
        accept_fd=_accept_fd(environ) if need_listen else None,
        discovery=_address(top, environ, "discovery", "PROXY_DISCOVERY"),
        seed=number,
        sockets=sockets,
        memory_mb=memory_mb,
        known=known,
        raw=raw,
        settings=settings,
    )


def check_reload(old: Config, new: Config) -> None:
    """Checks that a reload changes only settings that can change without a restart.

    Open jobs refer to their class by its index, and the effect of a class decides whether a job may be sent
    again. With another list of classes, open jobs would be treated as jobs of the wrong class.

    Raises:
        ConfigError: A changed setting needs a restart.
    """
    for name in ("listen", "admin"):
        if getattr(new, name) != getattr(old, name):
            raise ConfigError(f"{name}: a reload cannot change it, only a restart")
    was, now = ([(c.name, c.effect) for c in x.settings.classes] for x in (old, new))
    if now != was:
        raise ConfigError("settings.requestClasses: a reload cannot change names or effects, only a restart")


@dataclass(slots=True)
class Fronts:
    """Addresses and settings of the optional fronts; None for a front that is disabled."""

    gearman: tuple[str, int] | None = None
    agent_check: tuple[str, int] | None = None
    ops: tuple[str, int] | None = None
    grab_wait: float = 2.0  # seconds that a job waits at a box until a slot grabs it
    remember: float = 900.0  # seconds that the answer of a release is kept for repeated submits


def _check_types(raw: dict[str, Any]) -> None:
    """Checks types up front; a wrong type would otherwise fail during start-up or while a job is handled."""
    for part in ("allowed", "familyInfo", "obligations", "charges", "report"):
        table = _typed_field(raw, part, dict, {}, "settings.")
        for name in NUMERIC_FIELDS.get(part, ()):
            _check_number(table.get(name, 0), f"settings.{part}.{name}")
    for name in ("nInstances", "overShareWorth", "rank"):
        _check_number(raw.get(name, 1), f"settings.{name}")
    for path, words in ALLOWED_WORDS.items():
        table, _, name = path.rpartition(".")
        found = (raw.get(table, {}) if table else raw).get(name, words[0])
        if found not in words:
            raise ConfigError(f"settings.{path}: must be one of {', '.join(words)}")
    fields = raw.get("report", {}).get("fields", [])
    if not isinstance(fields, list) or not all(isinstance(f, str) for f in fields):
        raise ConfigError("settings.report.fields: must be a list of names")
    for part in ("areas", "shapes", "requestClasses"):
        _typed_field(raw, part, list, [], "settings.")
    for index, one in enumerate(
        _typed_field(raw, "tenants", list, [], "settings.") if raw.get("tenants") else []
    ):
        where = f"settings.tenants[{index}]"
        if not isinstance(one, dict) or not isinstance(one.get("name"), str):
            raise ConfigError(f"{where}.name: is missing")
        _check_number(one.get("quotaPerS", 0.0), f"{where}.quotaPerS")
    for index, one in enumerate(raw.get("requestClasses", [])):
        where = f"settings.requestClasses[{index}]"
        if not isinstance(one, dict) or not isinstance(one.get("name"), str):
            raise ConfigError(f"{where}.name: is missing")
        for name in ("aim", "deadline"):
            _check_number(one.get(name), f"{where}.{name}")
        for name in NUMERIC_CLASS_FIELDS:
            _check_number(one.get(name, 0.0), f"{where}.{name}")
        if one.get("effect") not in EFFECTS:
            raise ConfigError(f"{where}.effect: must be one of {', '.join(EFFECTS)}")


def _check_number(value: Any, where: str) -> None:
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise ConfigError(f"{where}: must be a number")


def _typed_field(top: dict[str, Any], name: str, kind: type, default: Any = None, where: str = "") -> Any:
    value = top.get(name, default)
    if not isinstance(value, kind):
        raise ConfigError(f"{where}{name}: is missing or not a JSON {'object' if kind is dict else 'list'}")
    return value


def _accept_fd(environ: Mapping[str, str]) -> int | None:
    text = environ.get("PROXY_ACCEPT_FD")
    if not text:
        return None
    if not text.isascii() or not text.isdigit():
        raise ConfigError("PROXY_ACCEPT_FD: must be a file descriptor number")
    return int(text)


def _address(
    top: dict[str, Any], environ: Mapping[str, str], name: str, variable: str, optional: bool = False
) -> Any:
    text = top.get(name) or environ.get(variable)
    if text is None and optional:
        return None
    if not isinstance(text, str):
        raise ConfigError(f"{name}: is missing")
    try:
        return parse_address(text)
    except ValueError as error:
        raise ConfigError(f"{name}: {error}") from error

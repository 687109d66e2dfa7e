"""What a dispatcher is told at its start; whatever is wrong is named in one line."""

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
FIGURES = {
    "allowed": ("idleClose", "dialTimeout", "maxAttempts", "maxRetryAfter"),
    "obligations": ("askWithin", "drainGrace", "coldFrom", "warmUp", "tipMultiple", "fall"),
    "familyInfo": ("progress",),
    "charges": ("crossZone", "origin", "probe", "waste", "lateFail"),
}
ONE_OF = {  # words that settings may hold; another would be taken for the first of them
    "registryMode": ("automatic", "subscribe"),
    "weightSource": ("silent", "nominal", "rough", "live"),
    "worthBy": ("request", "work"),
    "report.via": ("silent", "piggyback", "pull"),
    "familyInfo.queueOrder": ("fifo", "backfill", "priority"),
}
OF_CLASS = ("points", "lateWorth", "memorySpan", "aimStretch")


class ConfigError(ValueError):
    """`field: what is wrong with it`."""


class Noted(dict[str, Any]):
    """An object of the settings that notes which of its fields were read."""

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
    """The fields that nobody has read, by their paths; of alike objects in a list, each but once."""
    if isinstance(value, list):
        return list(dict.fromkeys(name for one in value for name in unread(one, path + "[]")))
    if not isinstance(value, Noted):
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
    """From `PROXY_CONFIG`'s file; the other variables fill in what it leaves out."""
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
    """From the parsed JSON. What is embedded listens nowhere."""
    environ = environ or {}
    if not isinstance(top, dict):
        raise ConfigError("PROXY_CONFIG: must hold a JSON object")
    raw = json.loads(json.dumps(_part(top, "settings", dict)), object_hook=Noted)
    limits = _part(top, "limits", dict, {})
    sockets = limits.get("sockets", DEFAULT_SOCKETS)
    if not isinstance(sockets, int) or isinstance(sockets, bool) or sockets < 64:
        raise ConfigError("limits.sockets: must be a whole number, 64 or more")
    memory_mb = limits.get("memory_mb", DEFAULT_MEMORY_MB)
    if not isinstance(memory_mb, int | float) or isinstance(memory_mb, bool) or not memory_mb > 0:
        raise ConfigError("limits.memory_mb: must be a figure above 0")
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
    """Raises ConfigError for what only a start can change.

    Open jobs know their class by its number, and what may be sent again hangs on its effect: a list of other
    classes would read them as something else in mid-flight.
    """
    for name in ("listen", "admin"):
        if getattr(new, name) != getattr(old, name):
            raise ConfigError(f"{name}: a reload cannot change it, only a restart")
    was, now = ([(c.name, c.effect) for c in x.settings.classes] for x in (old, new))
    if now != was:
        raise ConfigError("settings.requestClasses: a reload cannot change names or effects, only a restart")


@dataclass(slots=True)
class Fronts:
    """The fronts beside the platform's; None for one that is off."""

    gearman: tuple[str, int] | None = None
    agent_check: tuple[str, int] | None = None
    ops: tuple[str, int] | None = None
    grab_wait: float = 2.0  # seconds that a job waits at a box for a worker to grab it
    remember: float = 900.0  # seconds that the end of a release is kept for those who submit it again


def _check_types(raw: dict[str, Any]) -> None:
    """What is of the wrong type would otherwise be met in the middle of a start, or of a job."""
    for part in ("allowed", "familyInfo", "obligations", "charges", "report"):
        table = _part(raw, part, dict, {}, "settings.")
        for name in FIGURES.get(part, ()):
            _figure(table.get(name, 0), f"settings.{part}.{name}")
    for name in ("nInstances", "overShareWorth", "rank"):
        _figure(raw.get(name, 1), f"settings.{name}")
    for path, words in ONE_OF.items():
        table, _, name = path.rpartition(".")
        found = (raw.get(table, {}) if table else raw).get(name, words[0])
        if found not in words:
            raise ConfigError(f"settings.{path}: is none of {', '.join(words)}")
    fields = raw.get("report", {}).get("fields", [])
    if not isinstance(fields, list) or not all(isinstance(f, str) for f in fields):
        raise ConfigError("settings.report.fields: must be a list of names")
    for part in ("areas", "shapes", "requestClasses"):
        _part(raw, part, list, [], "settings.")
    for index, one in enumerate(_part(raw, "tenants", list, [], "settings.") if raw.get("tenants") else []):
        where = f"settings.tenants[{index}]"
        if not isinstance(one, dict) or not isinstance(one.get("name"), str):
            raise ConfigError(f"{where}.name: is missing")
        _figure(one.get("quotaPerS", 0.0), f"{where}.quotaPerS")
    for index, one in enumerate(raw.get("requestClasses", [])):
        where = f"settings.requestClasses[{index}]"
        if not isinstance(one, dict) or not isinstance(one.get("name"), str):
            raise ConfigError(f"{where}.name: is missing")
        for name in ("aim", "deadline"):
            _figure(one.get(name), f"{where}.{name}")
        for name in OF_CLASS:
            _figure(one.get(name, 0.0), f"{where}.{name}")
        if one.get("effect") not in EFFECTS:
            raise ConfigError(f"{where}.effect: is none of {', '.join(EFFECTS)}")


def _figure(value: Any, where: str) -> None:
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise ConfigError(f"{where}: must be a figure")


def _part(top: dict[str, Any], name: str, kind: type, default: Any = None, where: str = "") -> Any:
    value = top.get(name, default)
    if not isinstance(value, kind):
        raise ConfigError(f"{where}{name}: is missing or no JSON {'object' if kind is dict else 'list'}")
    return value


def _accept_fd(environ: Mapping[str, str]) -> int | None:
    text = environ.get("PROXY_ACCEPT_FD")
    if not text:
        return None
    if not text.isascii() or not text.isdigit():
        raise ConfigError("PROXY_ACCEPT_FD: must be the number of a descriptor")
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

"""What an order of the operator makes of the current configuration."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Mapping
from typing import Any

from .errors import InvalidConfigurationError, MalformedConfigurationError, StaleConfigurationError
from .json_reader import shown
from .model import Configuration
from .validation import decode_object, parse_configuration

REPLACE, CHANGE = "replace", "change"
NO_BASE_VERSION = -1  # `base_version` of an order that names no version
_EMPTY: dict[str, Any] = {"config_version": 0, "routes": [], "services": []}


def canonical_json(raw: Mapping[str, Any]) -> bytes:
    """The same bytes for the same JSON object, whatever the order of its fields and its spaces."""
    return json.dumps(raw, sort_keys=True, separators=(",", ":"), allow_nan=False).encode()


def order_digest(operation: str, base_version: int, body: bytes) -> str:
    """Recognises an order that is sent again: the same operation on the same version with the same bytes."""
    head = f"{operation} {base_version}\n".encode()
    return hashlib.sha256(head + body).hexdigest()


def evaluate_order(
    current: Configuration | None, operation: str, base_version: int, body: bytes
) -> Configuration:
    """The version that a "replace" or "change" order asks for.

    Raises StaleConfigurationError where it builds on another version than the current one (0 stands for
    none), MalformedConfigurationError or InvalidConfigurationError where it cannot be taken at all.
    """
    version = current.config_version if current else 0
    if base_version not in (NO_BASE_VERSION, version):
        raise StaleConfigurationError(
            "X-Built-On",
            f"{base_version} is not the current version, {version}",
            "read the configuration and build on it",
        )
    raw = decode_object(body)
    if operation == CHANGE:
        raw = apply_change(current.raw if current else _EMPTY, raw)
    elif operation != REPLACE:
        raise InvalidConfigurationError(
            "operation", f"{operation!r} is unknown", f"use {REPLACE} or {CHANGE}"
        )
    wanted = parse_configuration(raw, current)
    if wanted.config_version <= version:
        raise InvalidConfigurationError(
            "config_version",
            f"{wanted.config_version} is not above {version}",
            f"number it from {version + 1}",
        )
    return wanted


def apply_change(current: Mapping[str, Any], change: Mapping[str, Any]) -> dict[str, Any]:
    """The raw configuration after a change; `current` stays as it is and shares its unchanged items.

    Items named under `remove` go first, and names that are not there are passed over. Those under `add` take
    the place of the item of their name, or stand at the end. `limits` replace the fields they name.
    Raises MalformedConfigurationError.
    """
    removals = _mapping(_given(change, "remove"), "remove")
    additions = _mapping(_given(change, "add"), "add")
    changed = {**current, "config_version": change.get("config_version")}
    for field, names in removals.items():
        changed[field] = _without(_list_of(changed, field), names, f"remove.{field}")
    for field, items in additions.items():
        if isinstance(items, dict):
            changed[field] = _merged(changed, field, items)
        else:
            changed[field] = _with(_list_of(changed, field), items, f"add.{field}")
    if change.get("limits") is not None:
        changed["limits"] = _merged(changed, "limits", _mapping(change["limits"], "limits"))
    return changed


def _mapping(value: object, path: str) -> Mapping[str, Any]:
    if not isinstance(value, dict):
        raise MalformedConfigurationError(path, f"{shown(value)} is no JSON object", "give an object")
    return value


def _sequence(value: object, path: str) -> list[Any]:
    if not isinstance(value, list):
        raise MalformedConfigurationError(path, f"{shown(value)} is no list", "give a list")
    return value


def _given(change: Mapping[str, Any], field: str) -> object:
    value = change.get(field)
    return {} if value is None else value


def _list_of(raw: Mapping[str, Any], field: str) -> list[Any]:
    value = raw.get(field)
    if value is not None and not isinstance(value, list):
        raise MalformedConfigurationError(field, "is no list of named items", "send the whole configuration")
    return value or []


def _merged(raw: Mapping[str, Any], field: str, fields: Mapping[str, Any]) -> dict[str, Any]:
    value = raw.get(field)
    return {**_mapping({} if value is None else value, field), **fields}


def _name(item: object) -> str | None:
    name = item.get("name") if isinstance(item, dict) else None
    return name if isinstance(name, str) else None


def _without(items: list[Any], names: object, path: str) -> list[Any]:
    gone = set()
    for index, name in enumerate(_sequence(names, path)):
        if not isinstance(name, str):
            raise MalformedConfigurationError(f"{path}[{index}]", f"{shown(name)} is no name", "list names")
        gone.add(name)
    return [item for item in items if _name(item) not in gone]


def _with(items: list[Any], additions: object, path: str) -> list[Any]:
    places = {_name(item): place for place, item in enumerate(items)}
    found = list(items)
    added: set[str] = set()
    for index, item in enumerate(_sequence(additions, path)):
        name = _mapping(item, f"{path}[{index}]").get("name")
        where = f"{path}[{index}].name"
        if not isinstance(name, str):
            raise MalformedConfigurationError(where, f"{shown(name)} is no name", "name the item")
        if name in added:
            raise InvalidConfigurationError(where, f"{name!r} is added twice", "keep one of them")
        added.add(name)
        if name in places:
            found[places[name]] = item
        else:
            found.append(item)
    return found

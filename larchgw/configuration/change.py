"""Applies an operator's "replace" or "change" request to the current configuration."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Mapping
from typing import Any

from .errors import InvalidConfigurationError, MalformedConfigurationError, StaleConfigurationError
from .json_decoding import decode_object
from .json_values import abbreviate
from .model import Configuration
from .validation import parse_configuration

REPLACE = "replace"
CHANGE = "change"
NO_BASE_VERSION = -1
"""`base_version` of a request that names no version and applies to any."""
_BASE_VERSION_HEADER = "X-Built-On"
_EMPTY_CONFIGURATION: dict[str, Any] = {"config_version": 0, "routes": [], "services": []}


def canonical_json(raw: Mapping[str, Any]) -> bytes:
    """Serialises a JSON object independently of its field order and whitespace."""
    return json.dumps(raw, sort_keys=True, separators=(",", ":"), allow_nan=False).encode()


def order_digest(operation: str, base_version: int, body: bytes) -> str:
    """Returns a hash of operation, base version and body, by which a repeated request is recognised."""
    head = f"{operation} {base_version}\n".encode()
    return hashlib.sha256(head + body).hexdigest()


def evaluate_order(
    current: Configuration | None, operation: str, base_version: int, body: bytes
) -> Configuration:
    """Returns the configuration that results from an operator's request.

    Args:
        current: The configuration in force; None if there is none yet.
        operation: REPLACE or CHANGE.
        base_version: The version that the request is based on: 0 for none yet, NO_BASE_VERSION for any.
        body: JSON: a complete configuration, or a change in the form that `apply_change` expects.

    Raises:
        StaleConfigurationError: The request is based on a version other than the current one.
        MalformedConfigurationError, InvalidConfigurationError: The body or its result is not valid.
    """
    current_version = current.config_version if current else 0
    if base_version not in (NO_BASE_VERSION, current_version):
        raise StaleConfigurationError(
            _BASE_VERSION_HEADER,
            f"{base_version} is not the current version, {current_version}",
            "read the configuration and build on it",
        )
    raw = decode_object(body)
    if operation == CHANGE:
        raw = apply_change(current.raw if current else _EMPTY_CONFIGURATION, raw)
    elif operation != REPLACE:
        problem = f"{operation!r} is unknown"
        raise InvalidConfigurationError("operation", problem, f"use {REPLACE} or {CHANGE}")
    new = parse_configuration(raw, current)
    if new.config_version <= current_version:
        raise InvalidConfigurationError(
            "config_version",
            f"{new.config_version} is not above {current_version}",
            f"number it from {current_version + 1}",
        )
    return new


def apply_change(current: Mapping[str, Any], change: Mapping[str, Any]) -> dict[str, Any]:
    """Returns the raw configuration after a change.

    Items named under `remove` are removed first; names that do not exist are ignored. Each item under `add`
    replaces the existing item of the same name, or is appended. `limits` replaces only the fields it names.

    Args:
        current: The raw configuration. It is not modified; the result shares its unchanged items.
        change: The JSON object of the change.

    Raises:
        MalformedConfigurationError: A part of the change, or of the configuration it applies to, has the
            wrong type.
        InvalidConfigurationError: The change adds two items of the same name.
    """
    removals = _require_object(_field_or_empty(change, "remove"), "remove")
    additions = _require_object(_field_or_empty(change, "add"), "add")
    changed = {**current, "config_version": change.get("config_version")}
    for field, names in removals.items():
        changed[field] = _remove_items(_item_list(changed, field), names, f"remove.{field}")
    for field, items in additions.items():
        if isinstance(items, dict):
            changed[field] = _merge_fields(changed, field, items)
        else:
            changed[field] = _add_items(_item_list(changed, field), items, f"add.{field}")
    if change.get("limits") is not None:
        changed["limits"] = _merge_fields(changed, "limits", _require_object(change["limits"], "limits"))
    return changed


def _require_object(value: object, path: str) -> Mapping[str, Any]:
    if not isinstance(value, dict):
        raise MalformedConfigurationError(path, f"{abbreviate(value)} is no JSON object", "give an object")
    return value


def _require_list(value: object, path: str) -> list[Any]:
    if not isinstance(value, list):
        raise MalformedConfigurationError(path, f"{abbreviate(value)} is no list", "give a list")
    return value


def _field_or_empty(change: Mapping[str, Any], field: str) -> object:
    value = change.get(field)
    return {} if value is None else value


def _item_list(raw: Mapping[str, Any], field: str) -> list[Any]:
    """Returns the list of named items in a field of the configuration; empty if the field is absent."""
    value = raw.get(field)
    if value is not None and not isinstance(value, list):
        problem = "is no list of named items"
        raise MalformedConfigurationError(field, problem, "send the whole configuration")
    return value or []


def _merge_fields(raw: Mapping[str, Any], field: str, fields: Mapping[str, Any]) -> dict[str, Any]:
    value = raw.get(field)
    return {**_require_object({} if value is None else value, field), **fields}


def _item_name(item: object) -> str | None:
    name = item.get("name") if isinstance(item, dict) else None
    return name if isinstance(name, str) else None


def _remove_items(items: list[Any], names: object, path: str) -> list[Any]:
    removed_names = set()
    for index, name in enumerate(_require_list(names, path)):
        if not isinstance(name, str):
            problem = f"{abbreviate(name)} is no name"
            raise MalformedConfigurationError(f"{path}[{index}]", problem, "list names")
        removed_names.add(name)
    return [item for item in items if _item_name(item) not in removed_names]


def _add_items(items: list[Any], additions: object, path: str) -> list[Any]:
    """Replaces the items that have the name of an addition, and appends the other additions."""
    position_by_name = {_item_name(item): position for position, item in enumerate(items)}
    result = list(items)
    added_names: set[str] = set()
    for index, item in enumerate(_require_list(additions, path)):
        name = _require_object(item, f"{path}[{index}]").get("name")
        name_path = f"{path}[{index}].name"
        if not isinstance(name, str):
            raise MalformedConfigurationError(name_path, f"{abbreviate(name)} is no name", "name the item")
        if name in added_names:
            raise InvalidConfigurationError(name_path, f"{name!r} is added twice", "keep one of them")
        added_names.add(name)
        if name in position_by_name:
            result[position_by_name[name]] = item
        else:
            result.append(item)
    return result

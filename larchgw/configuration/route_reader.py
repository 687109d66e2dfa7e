"""Reads one route. An operator may send ten thousand, so ordinary ones avoid dacite's reflection."""

from __future__ import annotations

from collections.abc import Mapping
from itertools import product
from typing import Any

from .model import KINDS, Route, Share
from .records import LARGEST, mapping, record, require, sequence

# Field, value where it is left out, and JSON types that need no closer look. Order is that of `Route`.
_FIELDS: tuple[tuple[str, object, tuple[type, ...]], ...] = (
    ("name", None, (str,)),
    ("hostname", None, (str,)),
    ("path_start", None, (str,)),
    ("kind", None, (str,)),
    ("deadline_ms", None, (int, float)),
    ("target_ms", 0.0, (int, float)),
    ("rank", 0, (int,)),
    ("service", "", (str,)),
    ("shares", (), (list, tuple)),
    ("tries", 1, (int,)),
    ("pinned", False, (bool,)),
    ("can_resume", False, (bool,)),
    ("gap_aim_ms", 0.0, (int, float)),
)
_NAMES = tuple(name for name, _, _ in _FIELDS)
_DEFAULTS = tuple(default for _, default, _ in _FIELDS)
_ORDINARY = frozenset(product(*(types for _, _, types in _FIELDS)))


def read_route(value: object, path: str) -> Route:
    """The route in this JSON object, checked by itself; `path` names it in errors.

    Raises MalformedConfiguration or InvalidConfiguration.
    """
    raw = mapping(value, path)
    return _ordinary(raw) or read_by_record(raw, path)


def read_by_record(raw: Mapping[str, Any], path: str) -> Route:
    """The same by dacite: slower, and it names what is wrong."""
    shares = _shares(raw.get("shares"), f"{path}.shares")
    route = record(Route, {**raw, "shares": shares}, path)
    _check(route, path)
    return route


def _ordinary(raw: Mapping[str, Any]) -> Route | None:
    """The same as dacite and `_check` would give; None where anything is unusual and they must look."""
    values = tuple(map(raw.get, _NAMES, _DEFAULTS))
    if tuple(map(type, values)) not in _ORDINARY:
        return None
    name, host, start, kind, deadline, target, rank, service, shares, tries, pinned, resume, gap = values
    split = _ordinary_shares(shares)
    if split is None or not (name and host and kind in KINDS and (service or split)):
        return None
    if not (start[:1] == "/" == start[-1:] and 0 < deadline <= LARGEST and 0 <= target <= LARGEST):
        return None
    if not (0 <= rank <= LARGEST and 1 <= tries <= LARGEST and 0 <= gap <= LARGEST):
        return None
    return Route(name, host, start, kind, float(deadline), float(target), rank, service, split, tries,
                 pinned, resume, float(gap))


def _ordinary_shares(values: list[Any] | tuple[Any, ...]) -> tuple[Share, ...] | None:
    """The shares of a split route; None where dacite and `_check` must look."""
    shares = []
    total = 0.0
    for value in values:
        if type(value) is not dict:
            return None
        service: Any = value.get("service")
        weight: Any = value.get("weight")
        if type(service) is not str or type(weight) not in (int, float) or not 0 <= weight <= LARGEST:
            return None
        total += weight
        shares.append(Share(service, float(weight)))
    return tuple(shares) if total > 0 or not shares else None


def _shares(value: object, path: str) -> tuple[Share, ...]:
    items = [] if value is None else sequence(value, path)
    return tuple(record(Share, mapping(item, f"{path}[{index}]"), f"{path}[{index}]")
                 for index, item in enumerate(items))


def _check(route: Route, path: str) -> None:
    """What types cannot say."""
    require(route.name != "", f"{path}.name", "is empty", "name the route")
    require(route.hostname != "", f"{path}.hostname", "is empty", "name the host that the route serves")
    require(route.path_start.startswith("/") and route.path_start.endswith("/"), f"{path}.path_start",
            f"{route.path_start!r} does not begin and end with a slash", "write it as /prefix/")
    require(route.kind in KINDS, f"{path}.kind", f"{route.kind!r} is unknown", f"use {', '.join(KINDS)}")
    require(route.deadline_ms > 0, f"{path}.deadline_ms", "is 0", "give the milliseconds it may be held")
    require(route.tries > 0, f"{path}.tries", "is 0", "allow at least one runner")
    require(route.service != "" or bool(route.shares), path, "has neither service nor shares",
            "name a service, or split it in shares")
    weight = sum(share.weight for share in route.shares)
    require(weight > 0 or not route.shares, f"{path}.shares", "weights add up to 0",
            "give at least one share a weight above 0")

"""Reads one route. A configuration may have ten thousand, so valid ones bypass dacite's slow reflection."""

from __future__ import annotations

from collections.abc import Mapping
from itertools import product
from typing import Any

from .json_reader import JsonReader
from .json_values import MAX_NUMBER
from .model import ROUTE_KINDS, Route, Share

# Field, default, and JSON types that the fast path accepts, in the order of the fields of `Route`.
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
_PLAIN_TYPES = frozenset(product(*(types for _, _, types in _FIELDS)))


def read_route(value: object, path: str, reader: JsonReader) -> Route | None:
    """Returns the route in this JSON object, without cross-checks; None after adding errors if invalid."""
    raw = reader.read_object(value, path)
    if raw is None:
        return None
    return read_plain_route(raw) or read_route_by_dacite(raw, path, reader)


def read_plain_route(raw: Mapping[str, Any]) -> Route | None:
    """Fast path of `read_route_by_dacite`; None for any input that is not plainly valid."""
    values = tuple(map(raw.get, _NAMES, _DEFAULTS))
    if tuple(map(type, values)) not in _PLAIN_TYPES:
        return None
    name, host, start, kind, deadline, target, rank, service, shares, tries, pinned, resume, gap = values
    split = _read_plain_shares(shares) if shares else ()
    if split is None or not (name and host and kind in ROUTE_KINDS and (service or split)):
        return None
    if not (start[:1] == "/" == start[-1:] and 0 < deadline <= MAX_NUMBER and 0 <= target <= MAX_NUMBER):
        return None
    if not (0 <= rank <= MAX_NUMBER and 1 <= tries <= MAX_NUMBER and 0 <= gap <= MAX_NUMBER):
        return None
    return Route(
        name,
        host,
        start,
        kind,
        float(deadline),
        float(target),
        rank,
        service,
        split,
        tries,
        pinned,
        resume,
        float(gap),
    )


def _read_plain_shares(values: list[Any]) -> tuple[Share, ...] | None:
    """Returns the shares of a route; None if they are not plainly valid."""
    shares = []
    total = 0.0
    for value in values:
        if type(value) is not dict:
            return None
        service: Any = value.get("service")
        weight: Any = value.get("weight")
        if type(service) is not str or type(weight) not in (int, float) or not 0 <= weight <= MAX_NUMBER:
            return None
        total += weight
        shares.append(Share(service, float(weight)))
    return tuple(shares) if total > 0 else None


def read_route_by_dacite(raw: Mapping[str, Any], path: str, reader: JsonReader) -> Route | None:
    """Returns the route, converted by dacite; None after adding an error for each invalid field."""
    faults_before = len(reader.faults)
    shares = _read_shares(raw.get("shares"), f"{path}.shares", reader)
    route = reader.read_record(Route, {**raw, "shares": shares}, path)
    if route is not None:
        _check_route(route, path, reader)
    return route if len(reader.faults) == faults_before else None


def _read_shares(value: object, path: str, reader: JsonReader) -> tuple[Share, ...]:
    shares = []
    for index, item in enumerate([] if value is None else reader.read_list(value, path)):
        share_path = f"{path}[{index}]"
        raw = reader.read_object(item, share_path)
        share = None if raw is None else reader.read_record(Share, raw, share_path)
        if share is not None:
            shares.append(share)
    return tuple(shares)


def _check_route(route: Route, path: str, reader: JsonReader) -> None:
    """Adds an error for each value that has the right type but is not allowed."""
    require = reader.require
    require(route.name != "", f"{path}.name", "is empty", "name the route")
    require(route.hostname != "", f"{path}.hostname", "is empty", "name the host that the route serves")
    require(
        route.path_start.startswith("/") and route.path_start.endswith("/"),
        f"{path}.path_start",
        f"{route.path_start!r} does not begin and end with a slash",
        "write it as /prefix/",
    )
    is_known = route.kind in ROUTE_KINDS
    require(is_known, f"{path}.kind", f"{route.kind!r} is unknown", f"use {', '.join(ROUTE_KINDS)}")
    require(route.deadline_ms > 0, f"{path}.deadline_ms", "is 0", "give the milliseconds it may be held")
    require(route.tries > 0, f"{path}.tries", "is 0", "allow at least one runner")
    require(
        route.service != "" or bool(route.shares),
        path,
        "has neither service nor shares",
        "name a service, or split it in shares",
    )
    total_weight = sum(share.weight for share in route.shares)
    require(
        total_weight > 0 or not route.shares,
        f"{path}.shares",
        "weights add up to 0",
        "give at least one share a weight above 0",
    )

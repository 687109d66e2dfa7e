"""Reads one route. An operator may send ten thousand, so ordinary ones avoid dacite's reflection."""

from __future__ import annotations

from collections.abc import Mapping
from itertools import product
from typing import Any

from .json_reader import MAX_NUMBER, Findings
from .model import KINDS, Route, Share

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


def read_route(value: object, path: str, findings: Findings) -> Route | None:
    """The route in this JSON object, checked by itself; None where `findings` tells what is wrong."""
    raw = findings.mapping(value, path)
    if raw is None:
        return None
    return ordinary_route(raw) or route_by_record(raw, path, findings)


def ordinary_route(raw: Mapping[str, Any]) -> Route | None:
    """The same as `route_by_record` would give, sooner; None where anything is unusual and it must look."""
    values = tuple(map(raw.get, _NAMES, _DEFAULTS))
    if tuple(map(type, values)) not in _ORDINARY:
        return None
    name, host, start, kind, deadline, target, rank, service, shares, tries, pinned, resume, gap = values
    split = _ordinary_shares(shares) if shares else ()
    if split is None or not (name and host and kind in KINDS and (service or split)):
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


def _ordinary_shares(values: list[Any]) -> tuple[Share, ...] | None:
    """The shares of a split route; None where `route_by_record` must look."""
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


def route_by_record(raw: Mapping[str, Any], path: str, findings: Findings) -> Route | None:
    """The route by way of dacite, which names what is wrong."""
    before = len(findings.faults)
    shares = _shares(raw.get("shares"), f"{path}.shares", findings)
    route = findings.record(Route, {**raw, "shares": shares}, path)
    if route is not None:
        _check(route, path, findings)
    return route if len(findings.faults) == before else None


def _shares(value: object, path: str, findings: Findings) -> tuple[Share, ...]:
    shares = []
    for index, item in enumerate([] if value is None else findings.sequence(value, path)):
        where = f"{path}[{index}]"
        raw = findings.mapping(item, where)
        share = None if raw is None else findings.record(Share, raw, where)
        if share is not None:
            shares.append(share)
    return tuple(shares)


def _check(route: Route, path: str, findings: Findings) -> None:
    """What types cannot say."""
    require = findings.require
    require(route.name != "", f"{path}.name", "is empty", "name the route")
    require(route.hostname != "", f"{path}.hostname", "is empty", "name the host that the route serves")
    require(
        route.path_start.startswith("/") and route.path_start.endswith("/"),
        f"{path}.path_start",
        f"{route.path_start!r} does not begin and end with a slash",
        "write it as /prefix/",
    )
    require(route.kind in KINDS, f"{path}.kind", f"{route.kind!r} is unknown", f"use {', '.join(KINDS)}")
    require(route.deadline_ms > 0, f"{path}.deadline_ms", "is 0", "give the milliseconds it may be held")
    require(route.tries > 0, f"{path}.tries", "is 0", "allow at least one runner")
    require(
        route.service != "" or bool(route.shares),
        path,
        "has neither service nor shares",
        "name a service, or split it in shares",
    )
    weight = sum(share.weight for share in route.shares)
    require(
        weight > 0 or not route.shares,
        f"{path}.shares",
        "weights add up to 0",
        "give at least one share a weight above 0",
    )

"""Reads and checks a whole configuration of the operator's.

What the pages call invalid is refused, and so is what no reading gives a meaning; unknown fields are kept in
`Configuration.raw` and otherwise ignored.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable, Mapping
from typing import Any, NoReturn, TypeVar

from .errors import ConfigurationError, InvalidConfiguration, MalformedConfiguration
from .model import Configuration, Limits, Model, Route, Runtime, Service
from .records import integer, mapping, record, require, sequence
from .route_reader import read_route
from .routing import normalised_host

WHOLE = "configuration"  # the path that errors name where no single field is at fault
T = TypeVar("T")


def _unique(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """A JSON object, of which no field is given twice: which of them counts would be a guess."""
    fields = dict(pairs)
    if len(fields) < len(pairs):
        names = [name for name, _ in pairs]
        twice = next(name for name in names if names.count(name) > 1)
        raise MalformedConfiguration(twice, "is given twice in one object", "keep one of them")
    return fields


def _no_constant(text: str) -> NoReturn:
    raise MalformedConfiguration(WHOLE, f"holds {text}, which is not JSON", "give a finite number")


def decode(body: bytes) -> dict[str, Any]:
    """The JSON object in a body. Raises MalformedConfiguration."""
    try:
        raw = json.loads(body.decode(), object_pairs_hook=_unique, parse_constant=_no_constant)
        if b"\\ud" in body.lower():  # half of a surrogate pair would fail later, wherever text is sent on
            json.dumps(raw, ensure_ascii=False).encode()
    except (ValueError, RecursionError) as error:
        raise MalformedConfiguration(WHOLE, f"is not JSON ({error})", "send one whole JSON object") from None
    return dict(mapping(raw, WHOLE))


def parse(raw: Mapping[str, Any]) -> Configuration:
    """The configuration in a decoded body. Raises MalformedConfiguration or InvalidConfiguration."""
    configuration, faults = examine(raw)
    if configuration is None:
        raise faults[0]
    return configuration


def examine(raw: Mapping[str, Any]) -> tuple[Configuration | None, list[ConfigurationError]]:
    """The configuration, or None and every fault that was found (the first one of each item)."""
    faults: list[ConfigurationError] = []
    version = _attempt(lambda: _version(raw), faults)
    services = _items(raw, "services", _service, faults)
    routes = _items(raw, "routes", read_route, faults)
    limits = _attempt(lambda: _limits(raw.get("limits")), faults)
    faults += _repeated_names("services", services)
    faults += _repeated_names("routes", routes)
    faults += _repeated_places(routes)
    if not any(fault.field.startswith("services") for fault in faults):
        faults += _unknown_services(routes, {service.name for _, service in services})
    if faults or version is None or limits is None:
        return None, faults
    return Configuration(version, tuple(route for _, route in routes),
                         tuple(service for _, service in services), limits, dict(raw)), []


def _attempt(read: Callable[[], T], faults: list[ConfigurationError]) -> T | None:
    try:
        return read()
    except ConfigurationError as fault:
        faults.append(fault)
        return None


def _version(raw: Mapping[str, Any]) -> int:
    if raw.get("config_version") is None:
        raise MalformedConfiguration("config_version", "is missing", "number the configuration")
    version = integer(raw["config_version"], "config_version")
    require(version > 0, "config_version", "is 0, which stands for no configuration", "begin with 1")
    return version


def _items(raw: Mapping[str, Any], field: str, read: Callable[[object, str], T],
           faults: list[ConfigurationError]) -> list[tuple[str, T]]:
    """The items of a list that can be read, each with its path."""
    if raw.get(field) is None:
        faults.append(MalformedConfiguration(field, "is missing", "add the list, empty if there are none"))
        return []
    found: list[tuple[str, T]] = []
    try:
        values = sequence(raw[field], field)
    except ConfigurationError as fault:
        faults.append(fault)
        return []
    for index, value in enumerate(values):
        path = f"{field}[{index}]"
        try:
            found.append((path, read(value, path)))
        except ConfigurationError as fault:
            faults.append(fault)
    return found


def _service(value: object, path: str) -> Service:
    raw = mapping(value, path)
    runtime = raw.get("runtime")
    built = None if runtime is None else _runtime(runtime, f"{path}.runtime")
    service = record(Service, {**raw, "runtime": built}, path)
    require(service.name != "", f"{path}.name", "is empty", "name the service")
    return service


def _runtime(value: object, path: str) -> Runtime:
    raw = mapping(value, path)
    models = []
    for index, item in enumerate(sequence(raw.get("models") or [], f"{path}.models")):
        where = f"{path}.models[{index}]"
        model = record(Model, mapping(item, where), where)
        require(model.name != "", f"{where}.name", "is empty", "name the model")
        models.append((where, model))
    for fault in _repeated_names(f"{path}.models", models):
        raise fault
    return record(Runtime, {**raw, "models": tuple(model for _, model in models)}, path)


def _limits(value: object) -> Limits:
    if value is None:
        return Limits()
    limits = record(Limits, mapping(value, "limits"), "limits")
    for name in Limits.__dataclass_fields__:
        require(getattr(limits, name) > 0, f"limits.{name}", "is 0", "give a limit above 0, or leave it out")
    return limits


def _repeated_names(field: str, items: Iterable[tuple[str, Route | Service | Model]],
                    ) -> list[InvalidConfiguration]:
    seen: dict[str, str] = {}
    faults = []
    for path, item in items:
        first = seen.setdefault(item.name, path)
        if first is not path:
            faults.append(InvalidConfiguration(
                f"{path}.name", f"{item.name!r} is the name of {first} too", f"rename one of these {field}"))
    return faults


def _repeated_places(routes: Iterable[tuple[str, Route]]) -> list[InvalidConfiguration]:
    seen: dict[tuple[str, str], str] = {}
    faults = []
    for path, route in routes:
        first = seen.setdefault((normalised_host(route.hostname), route.path_start), path)
        if first is not path:
            faults.append(InvalidConfiguration(
                f"{path}.path_start", f"shares its host and prefix with {first}",
                "give it another prefix or host, or drop one of them"))
    return faults


def _unknown_services(routes: Iterable[tuple[str, Route]], known: set[str]) -> list[InvalidConfiguration]:
    faults = []
    for path, route in routes:
        if not route.shares and route.service in known:
            continue
        named = [(f"{path}.service", route.service)] if route.service else []
        named += [(f"{path}.shares[{i}].service", share.service) for i, share in enumerate(route.shares)]
        for where, name in named:
            if name not in known:
                faults.append(InvalidConfiguration(
                    where, f"service {name!r} is unknown", "add the service, or name another"))
    return faults

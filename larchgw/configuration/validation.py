"""Reads and checks a whole configuration of the operator's.

What the pages call invalid is refused, and so is what no reading gives a meaning; unknown fields are kept in
`Configuration.raw` and otherwise ignored.
"""

from __future__ import annotations

import json
import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any, NoReturn, TypeVar

from .errors import ConfigurationError, MalformedConfigurationError
from .json_reader import Findings, shown
from .model import Configuration, Limits, Model, Route, Runtime, Service
from .route_reader import read_route
from .route_table import normalised_host

WHOLE_BODY = "configuration"  # the path that errors name where no single field is at fault
MAX_NESTING = 64  # levels of JSON; Python's own limit depends on who calls, and replicas must agree
Named = TypeVar("Named", Route, Service, Model)
Reader = Callable[[object, str, Findings], Named | None]


def decode_object(body: bytes) -> dict[str, Any]:
    """The JSON object in a body. Raises MalformedConfigurationError."""
    try:
        raw = json.loads(
            body.decode(), object_pairs_hook=_unique, parse_constant=_no_constant, parse_float=_finite
        )
        if b"\\ud" in body.lower():  # half of a surrogate pair would fail later, wherever text is sent on
            json.dumps(raw, ensure_ascii=False).encode()
    except (ValueError, RecursionError) as error:
        raise MalformedConfigurationError(
            WHOLE_BODY, f"is not JSON ({error})", "send one whole JSON object"
        ) from None
    if _is_too_deep(raw):
        raise MalformedConfigurationError(
            WHOLE_BODY, f"is nested over {MAX_NESTING} levels deep", "send it flatter"
        )
    return _object(raw)


def _is_too_deep(value: object) -> bool:
    level = [value]
    for _ in range(MAX_NESTING):
        level = [inner for outer in level for inner in _inside(outer)]
        if not level:
            return False
    return True


def _inside(value: object) -> list[object]:
    """The objects and lists directly in a decoded one."""
    items: Iterable[object] = ()
    if isinstance(value, dict):
        items = value.values()
    elif isinstance(value, list):
        items = value
    return [item for item in items if isinstance(item, dict | list)]


def _object(value: object) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise MalformedConfigurationError(WHOLE_BODY, f"{shown(value)} is no JSON object", "send an object")
    return value


def _unique(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """A JSON object, of which no field is given twice: which of them counts would be a guess."""
    fields = dict(pairs)
    if len(fields) < len(pairs):
        names = [name for name, _ in pairs]
        twice = next(name for name in names if names.count(name) > 1)
        raise MalformedConfigurationError(twice, "is given twice in one object", "keep one of them")
    return fields


def _finite(text: str) -> float:
    number = float(text)
    if math.isinf(number):
        raise MalformedConfigurationError(
            WHOLE_BODY, f"holds {text}, which is too large", "give a smaller number"
        )
    return number


def _no_constant(text: str) -> NoReturn:
    raise MalformedConfigurationError(WHOLE_BODY, f"holds {text}, which is not JSON", "give a finite number")


def parse_configuration(raw: Mapping[str, Any], known: Configuration | None = None) -> Configuration:
    """The configuration in a decoded body.

    Routes and services of `known` whose JSON objects are the very ones in `raw`, as after
    `change.apply_change`, are not read again.

    Raises MalformedConfigurationError or InvalidConfigurationError.
    """
    return _whole(raw, _unless_same(known, "routes", read_route), _unless_same(known, "services", _service))


def parse_committed(body: bytes, known: Configuration | None) -> Configuration:
    """A configuration that a control process has checked already, as it comes to the other processes.

    Routes and services that are equal in `known` are not read again, which is not enough for an operator's
    order: JSON's true equals 1 here. Raises MalformedConfigurationError or InvalidConfigurationError.
    """
    try:
        raw = json.loads(body)
    except ValueError as error:
        raise MalformedConfigurationError(
            WHOLE_BODY, f"is not JSON ({error})", "send one whole JSON object"
        ) from None
    return _whole(
        _object(raw), _unless_equal(known, "routes", read_route), _unless_equal(known, "services", _service)
    )


def examine_configuration(raw: Mapping[str, Any]) -> tuple[Configuration | None, list[ConfigurationError]]:
    """The configuration, or None and every fault that was found."""
    return _examine(raw, read_route, _service)


def _whole(raw: Mapping[str, Any], route: Reader[Route], service: Reader[Service]) -> Configuration:
    configuration, faults = _examine(raw, route, service)
    if configuration is None:
        raise faults[0]
    return configuration


def _examine(
    raw: Mapping[str, Any],
    route: Reader[Route],
    service: Reader[Service],
) -> tuple[Configuration | None, list[ConfigurationError]]:
    findings = Findings()
    version = _version(raw.get("config_version"), findings)
    services = _required(raw, "services", service, findings)
    readable = not findings.faults  # all services are known, so routes can be held against them
    routes = _required(raw, "routes", route, findings)
    limits = _limits(raw.get("limits"), findings)
    _check_names("services", services, findings)
    _check_names("routes", routes, findings)
    _check_places(routes, findings)
    if readable:
        _check_services(routes, {service.name for _, service in services}, findings)
    if findings.faults or version is None or limits is None:
        return None, findings.faults
    return Configuration(
        version,
        tuple(route for _, route in routes),
        tuple(service for _, service in services),
        limits,
        dict(raw),
    ), []


def _held(known: Configuration | None, field: str) -> list[tuple[dict[str, Any], Any]]:
    """The routes or services of a configuration, each with the JSON object that it was read from."""
    values = known.raw.get(field) if known else None
    if known is None or not isinstance(values, list):
        return []
    return list(zip(values, getattr(known, field), strict=True))


def _unless_same(known: Configuration | None, field: str, read: Reader[Named]) -> Reader[Named]:
    """Reads routes or services, but for those whose very JSON objects are in `known`."""
    # `known` keeps its objects alive, so no other one can have the id of one of them.
    held: dict[int, Named] = {id(value): item for value, item in _held(known, field)}
    return lambda value, path, findings: held.get(id(value)) or read(value, path, findings)


def _unless_equal(known: Configuration | None, field: str, read: Reader[Named]) -> Reader[Named]:
    """Reads routes or services, but for those whose JSON objects equal the one of that name in `known`."""
    held: dict[str, tuple[dict[str, Any], Named]] = {
        item.name: (value, item) for value, item in _held(known, field)
    }

    def read_changed(value: object, path: str, findings: Findings) -> Named | None:
        name = value.get("name") if isinstance(value, dict) else None
        before = held.get(name) if isinstance(name, str) else None
        if before is not None and before[0] == value:
            return before[1]
        return read(value, path, findings)

    return read_changed


def _version(value: object, findings: Findings) -> int | None:
    if value is None:
        findings.malformed("config_version", "is missing", "number the configuration")
        return None
    version = findings.integer(value, "config_version")
    findings.require(version != 0, "config_version", "is 0, which stands for none", "begin with 1")
    return version


def _required(
    raw: Mapping[str, Any],
    field: str,
    read: Reader[Named],
    findings: Findings,
) -> list[tuple[str, Named]]:
    if raw.get(field) is None:
        findings.malformed(field, "is missing", "add the list, empty if there are none")
        return []
    return _items(raw[field], field, read, findings)


def _items(values: object, path: str, read: Reader[Named], findings: Findings) -> list[tuple[str, Named]]:
    """The items of a list that can be read, each with its path."""
    found = []
    for index, value in enumerate(findings.sequence(values, path)):
        where = f"{path}[{index}]"
        item = read(value, where, findings)
        if item is not None:
            found.append((where, item))
    return found


def _service(value: object, path: str, findings: Findings) -> Service | None:
    raw = findings.mapping(value, path)
    if raw is None:
        return None
    runtime = raw.get("runtime")
    built = None if runtime is None else _runtime(runtime, f"{path}.runtime", findings)
    service = findings.record(Service, {**raw, "runtime": built}, path)
    if service is not None:
        findings.require(service.name != "", f"{path}.name", "is empty", "name the service")
    return service


def _runtime(value: object, path: str, findings: Findings) -> Runtime | None:
    raw = findings.mapping(value, path)
    if raw is None:
        return None
    listed = raw.get("models")
    models = [] if listed is None else _items(listed, f"{path}.models", _model, findings)
    _check_names(f"{path}.models", models, findings)
    return findings.record(Runtime, {**raw, "models": tuple(model for _, model in models)}, path)


def _model(value: object, path: str, findings: Findings) -> Model | None:
    raw = findings.mapping(value, path)
    model = None if raw is None else findings.record(Model, raw, path)
    if model is not None:
        findings.require(model.name != "", f"{path}.name", "is empty", "name the model")
    return model


def _limits(value: object, findings: Findings) -> Limits | None:
    if value is None:
        return Limits()
    raw = findings.mapping(value, "limits")
    limits = None if raw is None else findings.record(Limits, raw, "limits")
    if limits is not None:
        for name in Limits.__dataclass_fields__:
            findings.require(
                getattr(limits, name) > 0, f"limits.{name}", "is 0", "give a limit above 0, or leave it out"
            )
    return limits


def _check_names(field: str, items: Sequence[tuple[str, Named]], findings: Findings) -> None:
    seen: dict[str, str] = {}
    for path, item in items:
        first = seen.setdefault(item.name, path)
        if first is not path:
            findings.require(
                False,
                f"{path}.name",
                f"{item.name!r} is the name of {first} too",
                f"rename one of these {field}",
            )


def _check_places(routes: Iterable[tuple[str, Route]], findings: Findings) -> None:
    seen: dict[tuple[str, str], str] = {}
    for path, route in routes:
        first = seen.setdefault((normalised_host(route.hostname), route.path_start), path)
        if first is not path:
            findings.require(
                False,
                f"{path}.path_start",
                f"shares its host and prefix with {first}",
                "give it another prefix or host, or drop one of them",
            )


def _check_services(routes: Iterable[tuple[str, Route]], known: set[str], findings: Findings) -> None:
    for path, route in routes:
        if (route.service in known or not route.service) and all(s.service in known for s in route.shares):
            continue
        named = [(f"{path}.service", route.service)] if route.service else []
        named += [(f"{path}.shares[{i}].service", share.service) for i, share in enumerate(route.shares)]
        for where, name in named:
            findings.require(
                name in known, where, f"service {name!r} is unknown", "add the service, or name another"
            )
